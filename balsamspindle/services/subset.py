"""Which of a service's backend servers a node keeps links to.

Thousands of nodes with a link to every gate do not fit a node's bytes for
control. Each node draws its own bounded subset by rendezvous hashing: a gate
that comes or goes changes one place in the subsets that held it, and the
subsets of all nodes together hold each gate about equally often.
"""

import heapq
from collections.abc import Sequence

import xxhash

from balsamspindle.membership.directory import Placement
from balsamspindle.wire import NodeRecord

__all__ = ["SUBSET_MAX", "subset"]

SUBSET_MAX = 16


def subset(
    placements: Sequence[Placement], own: NodeRecord, size_max: int = SUBSET_MAX
) -> list[Placement]:
    """Return the backend servers that a node uses, of those that take work.

    Those of the own VM always belong to it; then the own region's by score,
    and other regions' only where the own one has too few. Zones have no say:
    a subset filled from the own zone first would load a small zone's backend
    servers more than others'.
    """
    if len(placements) <= size_max:
        return list(placements)
    return heapq.nsmallest(
        size_max, placements, key=lambda placement: _rank(placement, own)
    )


def _rank(placement: Placement, own: NodeRecord) -> tuple[bool, bool, int]:
    node = placement.node
    server_id = placement.backend_server.backend_server_id
    key = f"{own.node_id}\0{node.node_id}\0{server_id}"
    score = xxhash.xxh3_64_intdigest(key.encode())
    return node.node_id != own.node_id, node.region != own.region, score
