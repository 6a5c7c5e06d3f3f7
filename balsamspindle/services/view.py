"""A picker's view of a service, computed once for each change of the service.

The view holds tuples from which a request's backend server is drawn. With hundreds of
backend servers in a service, building lists for each request would cost more than the
rest of the choice.
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
from balsamspindle.services.subset import subset
from balsamspindle.wire import NodeRecord

__all__ = ["ServiceView", "make_view"]

# Requests to a backend server on trial, as a fraction of those to a usable one.
TRIAL_SHARE = 0.2

Tiers = tuple[tuple[Placement, ...], ...]


class ServiceView(NamedTuple):
    """The backend servers that a picker may choose, in tiers by distance.

    Attributes
    ----------
    placements : sequence of Placement
        All placements of the service, from which the view was made.
    floor_fraction : float
        The floor with which the decision was made.
    decision : FloorDecision
        Made on the whole service, not on the node's subset.
    tiers : tuple of tuple of Placement
        Own VM, rest of the own availability zone, rest of the own region,
        and last the whole subset.
    trials : tuple of Placement
        Backend servers on trial whose capacity the floor does not need.
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
        _tiers(subset(usable, own), own),
        tuple(subset(trials, own)),
        TRIAL_SHARE * len(trials) / max(1, len(usable) + len(trials)),
    )


def _tiers(usable: Sequence[Placement], own: NodeRecord) -> Tiers:
    tiers: tuple[list[Placement], ...] = ([], [], [])
    for placement in usable:
        distance = _distance(placement.node, own)
        if distance < len(tiers):
            tiers[distance].append(placement)
    return (*map(tuple, tiers), tuple(usable))


def _distance(node: NodeRecord, own: NodeRecord) -> int:
    """Return how many of VM, availability zone and region differ."""
    if node.node_id == own.node_id:
        return 0
    if node.region != own.region:
        return 3
    return 1 if node.availability_zone == own.availability_zone else 2
