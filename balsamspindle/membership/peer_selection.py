"""Selection of peers to send to, mostly in the own availability zone.

Traffic between zones is billed, traffic within a zone is not. With five zones,
four of five messages to random peers cross zones: 10 MB of the 13 MB that 233 nodes
send when all start together. Some messages have to cross zones, since a zone learns
of the other zones, and detects that one is cut off, only by them.
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

# One choice in this many is made among the peers of all zones. If fifty nodes of a
# zone send one probe a second each, about ten a second go to other zones, and news
# leaves the zone as often.
OTHER_ZONE_EVERY = 5
# Number of nodes of other zones that each node probes. A node is probed by as many
# nodes of other zones on average. Two of a hundred nodes are probed by none; their
# failure is detected within their own zone.
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
    """Return a random peer, most often one of the own zone."""
    own_zone = peers_in_zone(peers, own) if rng.randrange(OTHER_ZONE_EVERY) else []
    return rng.choice(own_zone or peers)


def sample_peers(
    peers: Sequence[NodeRecord], own: NodeHeader, count: int, rng: random.Random
) -> list[NodeRecord]:
    """Return distinct random peers, most of them of the own zone."""
    chosen: dict[str, NodeRecord] = {}
    while len(chosen) < min(count, len(peers)):
        remaining = [peer for peer in peers if peer.node_id not in chosen]
        peer = choose_peer(remaining, own, rng)
        chosen[peer.node_id] = peer
    return list(chosen.values())


def other_zone_targets(
    peers: Sequence[NodeRecord], own: NodeHeader, own_id: str
) -> list[str]:
    """Return the ids of a few peers of other zones, the same ones on each call."""
    own_zone = {peer.node_id for peer in peers_in_zone(peers, own)}
    others = (peer.node_id for peer in peers if peer.node_id not in own_zone)
    return heapq.nsmallest(
        OTHER_ZONE_TARGET_COUNT,
        others,
        key=lambda node_id: xxhash.xxh3_64_intdigest(f"{own_id}\0{node_id}".encode()),
    )
