"""Messages between members.

Each frame is an `Envelope`: who sends, what kind of message, and the message
itself still undecoded. A receiver decodes a kind that it has a handler for
and counts the others, so that a kind can be added without a new version.

Structs that travel often are MessagePack arrays: unknown trailing fields are
passed over and missing ones take their default.
"""

from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from balsamspindle.wire.link_messages import HeldOut

__all__ = [
    "Ack",
    "BackendServerRecord",
    "VerdictNews",
    "Envelope",
    "Gossip",
    "News",
    "NodeHeader",
    "NodeNews",
    "NodeRecord",
    "NodeSummary",
    "Page",
    "Ping",
    "PingRequest",
    "StoreCameBack",
    "SuspectHint",
    "Pull",
    "Sender",
    "ServerEntry",
    "SyncRequest",
    "SyncSummary",
    "Verdict",
    "Want",
]

# A number above this can't be outbid by one more: garbage, or an attack.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
# An address that no socket takes would raise in the task that connects to it.
_OCTET = r"(25[0-5]|2[0-4]\d|1?\d?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]?\d{1,4})"
PeerAddress = Annotated[
    str,
    msgspec.Meta(pattern=rf"^{_OCTET}(\.{_OCTET}){{3}}:{_PORT}\Z", max_length=21),
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
    crash_digest : int
        Of what the sender knows of crashed backend servers; 0 for nothing.
    store_era : int
        Newest era of the store that the sender heard of.
    """

    node_id: NodeId
    incarnation: Count
    address: PeerAddress
    settings_revision: int = -1
    hlc: int = 0
    crash_digest: int = 0
    store_era: Count = 0


class StoreCameBack(
    msgspec.Struct, array_like=True, tag="store_came_back", frozen=True
):
    """Node to node: a new era of the store, which `Sender` tells.

    Attributes
    ----------
    wants_claims : bool
        Callers wait for the claims that the store has lost.
    """

    wants_claims: bool = False


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
    admin_address : str
        Where operators reach the node; empty when it tells none.
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
    admin_address: str = ""


class NodeHeader(msgspec.Struct, array_like=True, frozen=True):
    """A node's own part of its record, without its backend servers."""

    region: str
    availability_zone: str
    link_address: PeerAddress
    member_address: PeerAddress
    state: str
    admin_address: Annotated[str, msgspec.Meta(max_length=21)] = ""


class ServerEntry(NamedTuple):
    """One backend server at the version of its last change.

    Attributes
    ----------
    version : int
        The node's version when this entry changed.
    """

    version: Count
    record: BackendServerRecord


class NodeNews(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """A part of a node's record: what changed, not all of it.

    Attributes
    ----------
    version : int
        Version of the header; unused without one.
    header : NodeHeader or None
        None where it did not change.
    servers : list of ServerEntry
        The backend servers that changed.
    """

    node_id: NodeId
    incarnation: Count
    version: Count = 0
    header: NodeHeader | None = None
    servers: list[ServerEntry] = []


class Verdict(StrEnum):
    """What a claim says of a node."""

    SUSPECT = "suspect"
    DEAD = "dead"


class VerdictNews(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """What one node says of another: it does not answer, or it is dead.

    It holds for one incarnation and header version. The node refutes it with
    a higher one.

    Attributes
    ----------
    by : str
        Who says so. A death needs several who say so independently.
    """

    node_id: NodeId
    incarnation: Count
    version: Count
    verdict: Verdict
    by: NodeId


News = NodeNews | VerdictNews


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Are you there?

    Attributes
    ----------
    target : str
        Node that is asked; empty when only its address is known.
    """

    sequence: int
    target: str = ""
    news: list[News] = []


class Ack(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a ping, or to a ping request by the one who was asked.

    Attributes
    ----------
    reached : bool
        False from a helper that could not reach the target either.
    """

    sequence: int
    reached: bool = True
    news: list[News] = []


class SuspectHint(msgspec.Struct, array_like=True, tag="suspect", frozen=True):
    """Node to nodes of its zone: a gate elsewhere keeps usual work away.

    Attributes
    ----------
    held_out : HeldOut
        For how long from now on, and on what evidence.
    """

    backend_server_id: str
    held_out: HeldOut


class PingRequest(msgspec.Struct, array_like=True, frozen=True):
    """Ping this node for me: I can't reach it."""

    sequence: int
    target: NodeId
    address: PeerAddress


class Gossip(msgspec.Struct, array_like=True, frozen=True):
    """News alone; needs no answer."""

    news: list[News]


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """Compare what we know.

    Attributes
    ----------
    buckets : bytes
        Four bytes for each bucket of node ids, in order.
    first, step : int
        Look only at every so manieth bucket from a first one on: a joiner
        asks several peers at once for different parts.
    """

    buckets: bytes
    first: int = 0
    step: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1


class NodeSummary(NamedTuple):
    """What the sender knows of one node, in few bytes.

    Attributes
    ----------
    version : int
        The highest of the header's and the entries' versions.
    fingerprint : int
        Over the versions of the header and of all entries.
    """

    node_id: NodeId
    incarnation: Count
    version: Count
    fingerprint: int


class SyncSummary(msgspec.Struct, array_like=True, frozen=True):
    """All nodes of some of the buckets that differ.

    Attributes
    ----------
    buckets : list of int
        Buckets that `nodes` lists completely.
    differing : int
        Number of all buckets that differ.
    others : bytes
        The numbers of those that are not listed, a byte each.
    """

    buckets: list[int]
    nodes: list[NodeSummary]
    differing: int
    others: bytes = b""


class Want(NamedTuple):
    """One node of a pull: entries above a version; 0 for all."""

    node_id: NodeId
    incarnation: Count
    above_version: Count


class Pull(msgspec.Struct, array_like=True, frozen=True):
    """Send these nodes' records, as far as one page holds.

    Attributes
    ----------
    buckets : list of int
        Buckets whose nodes are wanted altogether: a joiner knows none.
    """

    wants: list[Want]
    buckets: list[int] = []


class Page(msgspec.Struct, array_like=True, frozen=True):
    """Records that were pulled or that the other side lacks.

    Attributes
    ----------
    left : int
        Nodes of the pull that did not fit.
    """

    news: list[News]
    left: int = 0
