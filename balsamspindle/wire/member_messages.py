"""Messages between members: records of nodes, and settings."""

from typing import NamedTuple

import msgspec

__all__ = [
    "BackendServerRecord",
    "Hello",
    "MemberMessage",
    "NodeRecord",
    "SettingsRequest",
    "SettingsSnapshot",
]


class BackendServerRecord(NamedTuple):
    """What the fleet knows of one backend server, as its gate tells it.

    Attributes
    ----------
    boot_id : str
        Differs after each restart of the backend server.
    state : str
        A `BackendServerState` value.
    suspicion : float
        0 is healthy, 1 or more is over the service's detection threshold.
    capacity : float
        Part of the slots usable now, from 0 to 1 (below 1 in a cold start).
    """

    backend_server_id: str
    service: str
    boot_id: str
    slots: int
    state: str
    suspicion: float = 0.0
    capacity: float = 1.0


class NodeRecord(msgspec.Struct, frozen=True):
    """What the fleet knows of one node, as that node tells it.

    Attributes
    ----------
    incarnation : int
        Rises with each start of the node's process.
    version : int
        Rises with each change of the record within an incarnation.
    state : str
        A `NodeState` value.
    """

    node_id: str
    incarnation: int
    version: int
    region: str
    availability_zone: str
    link_address: str
    member_address: str
    state: str
    backend_servers: tuple[BackendServerRecord, ...] = ()


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """Node to node: what the sender knows, and its settings' revision."""

    sender: NodeRecord
    records: list[NodeRecord]
    settings_revision: int
    hlc: int = 0


class SettingsRequest(msgspec.Struct, tag="settings_request", frozen=True):
    """Node to node: send the settings if they are above this revision."""

    above_revision: int
    hlc: int = 0


class SettingsSnapshot(msgspec.Struct, tag="settings_snapshot", frozen=True):
    """Node to node: all settings documents, as JSON, at one revision."""

    revision: int
    documents: dict[str, bytes]
    hlc: int = 0


MemberMessage = Hello | SettingsRequest | SettingsSnapshot
