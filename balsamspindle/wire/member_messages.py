"""Messages between members.

Each frame is an `Envelope`: who sends, what kind of message, and the message
itself still undecoded. A receiver decodes a kind that it has a handler for
and counts the others, so that a kind can be added without a new version.

Structs that travel often are MessagePack arrays: unknown trailing fields are
passed over and missing ones take their default.
"""

from typing import Annotated, NamedTuple

import msgspec

__all__ = [
    "BackendServerRecord",
    "Envelope",
    "Hello",
    "NodeRecord",
    "Sender",
    "SettingsRequest",
    "SettingsSnapshot",
]

# A number above this can't be outbid by one more: garbage, or an attack.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
PeerAddress = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$", max_length=21)
]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """Who sends a member message, on each message.

    Attributes
    ----------
    address : str
        Where other nodes reach the sender's member task.
    settings_revision : int
        Revision in force at the sender; -1 without settings.
    hlc : int
        The sender's hybrid logical clock.
    """

    node_id: NodeId
    incarnation: Count
    address: PeerAddress
    settings_revision: int = -1
    hlc: int = 0


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One member message on the wire.

    Attributes
    ----------
    kind : str
        Name under which the message's type is registered.
    body : msgspec.Raw
        The message as MessagePack.
    """

    kind: str
    sender: Sender
    body: msgspec.Raw


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


class Hello(msgspec.Struct, frozen=True):
    """Node to node: what the sender knows."""

    sender: NodeRecord
    records: list[NodeRecord]


class SettingsRequest(msgspec.Struct, frozen=True):
    """Node to node: send the settings if they are above this revision."""

    above_revision: int


class SettingsSnapshot(msgspec.Struct, frozen=True):
    """Node to node: all settings documents, as JSON, at one revision."""

    revision: int
    documents: dict[str, bytes]
