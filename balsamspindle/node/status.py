"""What a node says of itself and of the fleet as it sees it."""

import msgspec

from balsamspindle.metrics import MetricsReport
from balsamspindle.settings.reader import PlatformState
from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["NodeStatus", "SettingsStatus"]


class SettingsStatus(msgspec.Struct, frozen=True):
    """How a node stands with the settings.

    Attributes
    ----------
    chain : str
        Digest of all changes in force, in their order.
    unusable : dict of str to str
        Paths of documents that this node can't read, and why.
    platform : PlatformState or None
        None for a node that does not use the platform.
    platform_revision : int
        Newest revision seen at the platform; -1 before the first.
    """

    revision: int
    chain: str
    unusable: dict[str, str]
    platform: PlatformState | None
    platform_revision: int


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
    accepting : bool
        Whether callers can connect.
    metrics : MetricsReport
        Latencies and counts since the process started.
    """

    node_id: str
    availability_zone: str
    settings_revision: int
    nodes: list[NodeRecord]
    backend_servers: list[BackendServerRecord]
    settings: SettingsStatus | None = None
    accepting: bool = True
    metrics: MetricsReport | None = None
