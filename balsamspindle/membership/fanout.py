"""To whom a node passes on urgent news that each node passes on once."""

import random

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import NodeRecord

__all__ = ["Fanout"]

# Passed on once by each node, news to four random peers reach all but two of a
# hundred nodes. Most of them go within the zone, where bytes cost nothing.
PEERS_OWN_ZONE, PEERS_ELSEWHERE = 3, 1


class Fanout:
    """Draws peers; the caller makes sure that only one thread does so at a time.

    Parameters
    ----------
    topic : str
        Keeps the draws of several kinds of news apart.
    """

    def __init__(self, own: NodeRecord, directory: Directory, topic: str) -> None:
        self._own = own
        self._directory = directory
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/{topic}")

    def choose(self) -> list[str]:
        """Return the member addresses of a few peers."""
        peers = [
            record
            for record in self._directory.alive()
            if record.node_id != self._own.node_id
        ]
        zone = self._own.availability_zone
        near = [one for one in peers if one.availability_zone == zone]
        far = [one for one in peers if one.availability_zone != zone]
        chosen = self._random.sample(near, min(PEERS_OWN_ZONE, len(near)))
        chosen += self._random.sample(far, min(PEERS_ELSEWHERE, len(far)))
        return [record.member_address for record in chosen]
