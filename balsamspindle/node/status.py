"""What a node says of itself and of the fleet as it sees it."""

import msgspec

from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["NodeStatus"]


class NodeStatus(msgspec.Struct, frozen=True):
    """The answer of a node's status page.

    Attributes
    ----------
    settings_revision : int
        Revision in force at this node; -1 before the first.
    nodes : list of NodeRecord
        All nodes that it knows, itself included.
    backend_servers : list of BackendServerRecord
        Those that stand beside it.
    """

    node_id: str
    availability_zone: str
    settings_revision: int
    nodes: list[NodeRecord]
    backend_servers: list[BackendServerRecord]
