"""Selects the peers that receive urgent news which each node forwards once."""

import random

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import NodeRecord

__all__ = ["Fanout"]

# If each node forwards news once, to four random peers, it reaches all but two of
# a hundred nodes. Most of the peers are in the own zone, where traffic is free.
PEERS_OWN_ZONE, PEERS_OTHER_ZONES = 3, 1


class Fanout:
    """Draws random peers; not thread-safe, the caller has to serialize calls.

    Parameters
    ----------
    topic : str
        Part of the random seed, so that different kinds of news go to different
        peers.
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
        own_zone = [one for one in peers if one.availability_zone == zone]
        other_zones = [one for one in peers if one.availability_zone != zone]
        chosen = self._random.sample(own_zone, min(PEERS_OWN_ZONE, len(own_zone)))
        chosen += self._random.sample(
            other_zones, min(PEERS_OTHER_ZONES, len(other_zones))
        )
        return [record.member_address for record in chosen]
