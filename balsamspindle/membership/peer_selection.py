"""Selection of peers to send to, mostly in the node's own availability zone.

Traffic between zones is billed, traffic within a zone is not. With five zones,
four of five messages to random peers would cross zones: 10 MB of the 13 MB that 233
nodes send when all start together. Some messages still have to cross zones: without
them, no news would reach other zones, and a zone that is cut off would not be detected.
"""

import heapq
import random
from collections.abc import Sequence

import xxhash

from balsamspindle.wire import NodeHeader, NodeRecord

__all__ = [
    "OTHER_ZONE_EVERY",
    "choose_peer",
    "peers_in_zone",
    "sample_peers",
    "other_zone_targets",
]

# One in this many peers is selected among the peers of all zones, the others among the
# peers of the node's own zone. If fifty nodes of a zone send one probe a second each,
# about ten probes a second go to other zones and carry news there.
OTHER_ZONE_EVERY = 5
# Number of nodes of other zones that each node probes. On average, each node is also
# probed by this number of nodes of other zones. Two of a hundred nodes are probed by no
# node of another zone; only nodes of their own zone detect their failure.
OTHER_ZONE_TARGET_COUNT = 4


def peers_in_zone(peers: Sequence[NodeRecord], own: NodeHeader) -> list[NodeRecord]:
    """Return the peers in the availability zone of `own`."""
    return [
        peer
        for peer in peers
        if (peer.region, peer.availability_zone) == (own.region, own.availability_zone)
    ]


def choose_peer(
    peers: Sequence[NodeRecord], own: NodeHeader, rng: random.Random
) -> NodeRecord:
    """Return a random peer, mostly from the zone of `own`."""
    own_zone = peers_in_zone(peers, own) if rng.randrange(OTHER_ZONE_EVERY) else []
    return rng.choice(own_zone or peers)


def sample_peers(
    peers: Sequence[NodeRecord], own: NodeHeader, count: int, rng: random.Random
) -> list[NodeRecord]:
    """Return up to `count` distinct random peers, mostly from the zone of `own`."""
    chosen: dict[str, NodeRecord] = {}
    while len(chosen) < min(count, len(peers)):
        remaining = [peer for peer in peers if peer.node_id not in chosen]
        peer = choose_peer(remaining, own, rng)
        chosen[peer.node_id] = peer
    return list(chosen.values())


def other_zone_targets(
    peers: Sequence[NodeRecord], own: NodeHeader, own_id: str
) -> list[str]:
    """Return the ids of a few peers of other zones.

    For the same peers, each call returns the same ids.
    """
    own_zone = {peer.node_id for peer in peers_in_zone(peers, own)}
    others = (peer.node_id for peer in peers if peer.node_id not in own_zone)
    return heapq.nsmallest(
        OTHER_ZONE_TARGET_COUNT,
        others,
        key=lambda node_id: xxhash.xxh3_64_intdigest(f"{own_id}\0{node_id}".encode()),
    )
