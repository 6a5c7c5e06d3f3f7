"""Computes a picker's view of a service, once for each change of the service.

The view contains tuples of backend servers, from which the backend server for each
request is drawn. With hundreds of backend servers in a service, computing these tuples
for each request would take longer than all other steps of the choice.
"""

from collections.abc import Sequence
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.services.floor import (
    SUSPECTED,
    FloorDecision,
    decide_floor,
    is_ready,
)
from balsamspindle.services.subset import choose_subset
from balsamspindle.wire import NodeRecord

__all__ = ["ServiceView", "make_view"]

# A backend server on trial gets this fraction of the requests that a usable backend
# server gets.
TRIAL_FRACTION = 0.2

Tiers = tuple[tuple[Placement, ...], ...]


class ServiceView(NamedTuple):
    """The backend servers that a picker may choose, in tiers by distance.

    Attributes
    ----------
    placements : sequence of Placement
        All placements of the service, from which the view was computed.
    floor_fraction : float
        Fraction of the known capacity that had to stay in use in `decision`.
    decision : FloorDecision
        Made for all placements, not only for those in `tiers` and `trials`.
    tiers : tuple of tuple of Placement
        The usable backend servers of the node's subset, in four tiers: those on the own
        VM, those on other VMs of the own availability zone, and those in other zones of
        the own region. The fourth tier has all usable backend servers of the subset,
        including those of the first three tiers.
    trials : tuple of Placement
        Backend servers on trial, except those that the floor keeps in use: those are in
        `tiers`.
    trial_chance : float
        Probability that an idempotent request goes to one of `trials`.
    """

    placements: Sequence[Placement]
    floor_fraction: float
    decision: FloorDecision
    tiers: Tiers
    trials: tuple[Placement, ...]
    trial_chance: float


def make_view(
    placements: Sequence[Placement], own: NodeRecord, floor_fraction: float
) -> ServiceView:
    """Compute a view, in time proportional to the number of placements."""
    decision = decide_floor(placements, floor_fraction)
    left_out = {
        (suspect.node_id, suspect.backend_server_id): suspect
        for suspect in decision.left_out
    }
    usable: list[Placement] = []
    trials: list[Placement] = []
    for placement in filter(is_ready, placements):
        server = placement.backend_server
        suspect = left_out.get((placement.node.node_id, server.backend_server_id))
        if suspect is None:
            usable.append(placement)
        elif suspect.suspicion < SUSPECTED:
            trials.append(placement)
    return ServiceView(
        placements,
        floor_fraction,
        decision,
        _tiers(choose_subset(usable, own), own),
        tuple(choose_subset(trials, own)),
        TRIAL_FRACTION * len(trials) / max(1, len(usable) + len(trials)),
    )


def _tiers(usable: Sequence[Placement], own: NodeRecord) -> Tiers:
    tiers: tuple[list[Placement], ...] = ([], [], [])
    for placement in usable:
        distance = _distance(placement.node, own)
        if distance < len(tiers):
            tiers[distance].append(placement)
    return (*map(tuple, tiers), tuple(usable))


def _distance(node: NodeRecord, own: NodeRecord) -> int:
    """Return the distance of a node from the own node, from 0 to 3.

    0 is the own node itself, 1 another node in the own availability zone, 2 a node in
    another zone of the own region, 3 a node in another region.
    """
    if node.node_id == own.node_id:
        return 0
    if node.region != own.region:
        return 3
    return 1 if node.availability_zone == own.availability_zone else 2
