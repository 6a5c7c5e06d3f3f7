"""Chooses the backend servers of a service to which a node keeps links.

With thousands of nodes, links from each node to every gate would exceed a node's
limit on control traffic. Each node chooses its own bounded subset by rendezvous
hashing: a gate that is added or removed changes one entry in the subsets that contain
it, and over all nodes each gate of a zone is in about equally many subsets.
"""

import heapq
from collections.abc import Sequence

import xxhash

from balsamspindle.membership.directory import Placement
from balsamspindle.wire import NodeRecord

__all__ = ["OTHER_ZONES_MIN", "SUBSET_MAX", "subset"]

# Links of a node for one service. Sixteen gates with seven slots each have a free slot
# at nearly any time, at two thirds of their load and with a third of them unhealthy.
SUBSET_MAX = 24
# Entries reserved for other zones when the own zone could fill the subset: they take
# requests when all gates of the own zone are busy or the zone is lost.
OTHER_ZONES_MIN = 8


def subset(
    placements: Sequence[Placement], own: NodeRecord, size_max: int = SUBSET_MAX
) -> list[Placement]:
    """Return the subset that a node uses of the backend servers that take work.

    Backend servers of the own VM come first; then those of the own zone, by hash,
    except for the entries reserved for other zones; then those of the own region; and
    those of other regions only if the own region has too few.

    The zone is preferred because otherwise a subset of 16 of 90 backend servers in five
    zones holds only three of the own zone. At two thirds of their load and with a third
    of them unhealthy, 6 to 7 of 100 requests would go to other zones although backend
    servers of the own zone have free slots; with the preference, less than one does.
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
