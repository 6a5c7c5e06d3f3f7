"""One picker's view of a service, worked out once for each change of it.

A request chooses from tuples that are ready to draw from: at hundreds of
backend servers a service, building lists for each request would cost more
than the rest of the choice.
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

# Of a usable backend server's requests, what one on trial gets.
TRIAL_SHARE = 0.2

Tiers = tuple[tuple[Placement, ...], ...]


class ServiceView(NamedTuple):
    """The backend servers that one picker may choose, nearest first.

    Attributes
    ----------
    placements : sequence of Placement
        What the view was made from.
    floor_fraction : float
        What the decision was made with.
    decision : FloorDecision
        Who is left out, and why; on all of the service, not on the subset.
    tiers : tuple of tuple of Placement
        Own VM, rest of the own availability zone, rest of the own region,
        and last the whole subset.
    trials : tuple of Placement
        Those on trial that the floor does not need.
    trial_chance : float
        Part of the idempotent requests that goes to them.
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
    """Work out a view; costs a few steps for each placement."""
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
