"""Selects the peers to which a node forwards urgent news.

Each node forwards an item of news only once.
"""

import random

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import NodeRecord

__all__ = ["Fanout"]

# If each node forwards an item of news once, to four random peers, the item reaches
# all but two of a hundred nodes. Three of the four peers are in the node's own zone,
# since traffic within a zone is free.
PEERS_OWN_ZONE, PEERS_OTHER_ZONES = 3, 1


class Fanout:
    """Selects random peers; not thread-safe, so the caller has to serialize calls.

    Parameters
    ----------
    topic : str
        Included in the random seed, so that different kinds of news go to
        different peers.
    """

    def __init__(self, own: NodeRecord, directory: Directory, topic: str) -> None:
        self._own = own
        self._directory = directory
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/{topic}")

    def choose(self) -> list[str]:
        """Return the member addresses of up to four peers, three of the own zone."""
        peers = [
            record
            for record in self._directory.alive()
            if record.node_id != self._own.node_id
        ]
        zone = self._own.availability_zone
        own_zone = [peer for peer in peers if peer.availability_zone == zone]
        other_zones = [peer for peer in peers if peer.availability_zone != zone]
        chosen = self._random.sample(own_zone, min(PEERS_OWN_ZONE, len(own_zone)))
        chosen += self._random.sample(
            other_zones, min(PEERS_OTHER_ZONES, len(other_zones))
        )
        return [record.member_address for record in chosen]
