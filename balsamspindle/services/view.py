"""One picker's view of a service, worked out once for each change of it.

A request chooses from tuples that are ready to draw from: at hundreds of
backend servers a service, building lists for each request would cost more
than the rest of the choice.
"""

from collections.abc import Sequence
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.services.floor import FloorDecision, decide_floor, is_ready
from balsamspindle.services.subset import subset
from balsamspindle.wire import NodeRecord

__all__ = ["ON_TRIAL", "ServiceView", "is_on_trial", "make_view"]

# Suspicion of a backend server that is being readmitted: below the detection
# threshold, so the floor does not count it as a suspect.
ON_TRIAL = 0.5

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
    trusted_tiers : tuple of tuple of Placement
        The same without those on trial: for non-idempotent requests.
    """

    placements: Sequence[Placement]
    floor_fraction: float
    decision: FloorDecision
    tiers: Tiers
    trusted_tiers: Tiers


def make_view(
    placements: Sequence[Placement], own: NodeRecord, floor_fraction: float
) -> ServiceView:
    """Work out a view; costs a few steps for each placement."""
    decision = decide_floor(placements, floor_fraction)
    left_out = {
        (suspect.node_id, suspect.backend_server_id) for suspect in decision.left_out
    }
    usable = [
        placement
        for placement in placements
        if is_ready(placement)
        and (placement.node.node_id, placement.backend_server.backend_server_id)
        not in left_out
    ]
    trusted = [placement for placement in usable if not is_on_trial(placement)]
    return ServiceView(
        placements,
        floor_fraction,
        decision,
        _tiers(subset(usable, own), own),
        # With nobody but those on trial, they are better than no answer: a
        # refusal would be certain, a failure is not.
        _tiers(subset(trusted or usable, own), own),
    )


def is_on_trial(placement: Placement) -> bool:
    """Tell whether a backend server is being readmitted."""
    return ON_TRIAL <= placement.backend_server.suspicion < 1


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
