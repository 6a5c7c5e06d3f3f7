"""Which backend server gets a request."""

import random
from collections.abc import Sequence, Set
from typing import Protocol

from balsamspindle.backend_servers.servers import BackendServerState
from balsamspindle.membership.directory import NodeState, Placement
from balsamspindle.wire import NodeRecord

__all__ = ["FreeSlots", "pick"]


class FreeSlots(Protocol):
    """What an ingress believes about free slots."""

    def free_slots(self, placement: Placement) -> int:
        """Return the free slots of a backend server, as last heard."""


def pick(
    placements: Sequence[Placement],
    own: NodeRecord,
    excluded: Set[str],
    free_slots: FreeSlots,
    rng: random.Random,
) -> Placement | None:
    """Choose a backend server: nearest first, then by two random choices.

    Parameters
    ----------
    placements : sequence of Placement
        The service's backend servers.
    own : NodeRecord
        The node that asks.
    excluded : set of str
        Ids of backend servers that this request has tried.

    Returns
    -------
    Placement or None
        None when no backend server takes work.
    """
    usable = [
        placement
        for placement in placements
        if placement.backend_server.state == BackendServerState.READY
        and placement.node.state == NodeState.ALIVE
        and placement.backend_server.backend_server_id not in excluded
    ]
    for tier in _tiers(usable, own):
        free = [placement for placement in tier if free_slots.free_slots(placement) > 0]
        if free:
            return _two_choices(free, free_slots, rng)
    # All are busy as far as we know: let one of them queue the request.
    return _two_choices(usable, free_slots, rng) if usable else None


def _tiers(usable: list[Placement], own: NodeRecord) -> list[list[Placement]]:
    """Split into own VM, own availability zone, the rest."""
    tiers: list[list[Placement]] = [[], [], []]
    for placement in usable:
        if placement.node.node_id == own.node_id:
            tiers[0].append(placement)
        elif placement.node.availability_zone == own.availability_zone:
            tiers[1].append(placement)
        else:
            tiers[2].append(placement)
    return tiers


def _two_choices(
    placements: list[Placement], free_slots: FreeSlots, rng: random.Random
) -> Placement:
    first, second = rng.choice(placements), rng.choice(placements)
    return max(first, second, key=free_slots.free_slots)
