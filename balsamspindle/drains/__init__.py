"""Drains that were confirmed to somebody outside, kept beyond the node's process.

A backend server that announces its end relies on the node's answer: from then on no
new work arrives. A node forgets all of it when its process ends. So each confirmed
drain is first kept by the platform's store or by a peer, and a starting node learns the
drains of its predecessor.

Start with `own_drains.py`, the state of one node. `store.py` and `peers.py` keep it.
"""

from balsamspindle.drains.own_drains import OwnDrains
from balsamspindle.drains.peers import DrainPeers
from balsamspindle.drains.records import DrainedServer, DrainsKept, NodeDrains
from balsamspindle.drains.store import DrainStore

__all__ = [
    "DrainPeers",
    "DrainStore",
    "DrainedServer",
    "DrainsKept",
    "NodeDrains",
    "OwnDrains",
]
