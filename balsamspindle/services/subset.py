"""Chooses the backend servers of a service to which a node keeps links.

With thousands of nodes, links from each node to every gate would exceed a node's
limit on control traffic. Each node chooses its own bounded subset by rendezvous
hashing. When a gate is added or removed, only one entry changes in each subset that
contains it, and the gates of a zone are in about equally many subsets.
"""

import heapq
from collections.abc import Sequence

import xxhash

from balsamspindle.membership.directory import Placement
from balsamspindle.wire import NodeRecord

__all__ = ["OTHER_ZONES_MIN", "SUBSET_MAX", "choose_subset"]

# Maximum number of backend servers of one service to which a node keeps links. Eight of
# them are reserved for other zones, which leaves sixteen for the own zone. Suppose that
# sixteen gates have seven slots each, that a third of the gates are unhealthy, and that
# two thirds of the slots of the healthy gates are in use. Then a healthy gate with a
# free slot is nearly always among them.
SUBSET_MAX = 24
# Entries reserved for backend servers of other zones, even if the own zone could fill
# the subset. They get requests when all gates of the own zone are busy or lost.
OTHER_ZONES_MIN = 8


def choose_subset(
    placements: Sequence[Placement], own: NodeRecord, size_max: int = SUBSET_MAX
) -> list[Placement]:
    """Choose the backend servers of a service that a node uses.

    `placements` are the backend servers that take work. Of the `size_max` entries,
    `OTHER_ZONES_MIN` are reserved for other zones. The unreserved entries go to the
    backend servers of the own VM first, then to other backend servers of the own zone,
    selected by a hash. The reserved entries go to other zones of the own region, and to
    other regions if the own region has too few backend servers.

    Without the preference for the own zone, a subset of 16 of 90 backend servers in
    five zones would contain only three of the own zone. Suppose that a third of the
    backend servers are unhealthy, and that two thirds of the slots of the healthy ones
    are in use. Then 6 to 7 of 100 requests would go to other zones although other
    backend servers of the own zone have free slots. With the preference, it is less
    than 1 of 100.
    """
    if len(placements) <= size_max:
        return list(placements)
    near = [placement for placement in placements if _is_near(placement, own)]
    chosen = _lowest_ranked(near, own, max(1, size_max - OTHER_ZONES_MIN))
    far = [placement for placement in placements if not _is_near(placement, own)]
    chosen += _lowest_ranked(far, own, size_max - len(chosen))
    if len(chosen) < size_max:
        return _lowest_ranked(near, own, size_max - len(far)) + far
    return chosen


def _lowest_ranked(
    placements: Sequence[Placement], own: NodeRecord, count: int
) -> list[Placement]:
    return heapq.nsmallest(
        count, placements, key=lambda placement: _rank(placement, own)
    )


def _is_near(placement: Placement, own: NodeRecord) -> bool:
    node = placement.node
    return (node.region, node.availability_zone) == (own.region, own.availability_zone)


def _rank(placement: Placement, own: NodeRecord) -> tuple[bool, bool, int]:
    node = placement.node
    server_id = placement.backend_server.backend_server_id
    key = f"{own.node_id}\0{node.node_id}\0{server_id}"
    key_hash = xxhash.xxh3_64_intdigest(key.encode())
    return node.node_id != own.node_id, node.region != own.region, key_hash
