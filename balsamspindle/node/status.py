"""The status of a node, as its admin address reports it."""

import msgspec

from balsamspindle.metrics import MetricsReport
from balsamspindle.settings.reader import PlatformState
from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["NodeStatus", "SettingsStatus"]


class SettingsStatus(msgspec.Struct, frozen=True):
    """Status of the settings at a node.

    Attributes
    ----------
    chain : str
        Digest of all changes in force, in their order.
    unusable : dict of str to str
        Documents of the settings that this node can't read: the reason, by path.
    platform : PlatformState or None
        None if the node does not use the platform.
    platform_revision : int
        Newest revision read from the platform; -1 before the first read.
    proof_age_s : float or None
        Age of the newest answer of the platform by which these settings, or those of
        `platform_revision`, were its newest; None without one.
    """

    revision: int
    chain: str
    unusable: dict[str, str]
    platform: PlatformState | None
    platform_revision: int
    proof_age_s: float | None = None


class NodeStatus(msgspec.Struct, frozen=True):
    """Response body of ``/status``.

    Attributes
    ----------
    settings_revision : int
        Revision of the settings in force at this node; -1 if none are in force.
    nodes : list of NodeRecord
        All known nodes, including this one.
    backend_servers : list of BackendServerRecord
        The backend servers beside this node.
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
