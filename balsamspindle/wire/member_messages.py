"""Messages between members.

Each frame is an `Envelope`: the sender, the kind of message, and the message itself,
still encoded. A receiver decodes the kinds that it has handlers for and counts the
others as dropped, so a kind can be added without a new wire version.

Frequent structs are encoded as MessagePack arrays, without field names. A receiver
ignores unknown trailing fields and uses the defaults of missing trailing fields.
"""

from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from balsamspindle.protocol.addresses import Address
from balsamspindle.wire.message_parts import HoldOut

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
    "NewStoreEra",
    "SuspectHint",
    "Pull",
    "Sender",
    "ServerEntry",
    "SyncRequest",
    "SyncSummary",
    "Verdict",
    "NodePull",
]

# Numbers above this limit are rejected as malformed or hostile. Without the limit, a
# node could receive the largest number that can be encoded. To refute a verdict with
# this number as version, the node needs a higher number, which can't be encoded.
Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NodeId = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Sender(msgspec.Struct, array_like=True, frozen=True):
    """The sender of a member message, part of each message.

    Attributes
    ----------
    address : str
        Address at which other nodes reach the sender's member task.
    settings_revision : int
        Revision of the settings in force at the sender; -1 without settings.
    hlc : int
        The sender's hybrid logical clock.
    crash_digest : int
        Digest of the sender's records of crashed backend servers; 0 without any.
    store_era : int
        Newest era of the store that the sender knows.
    """

    node_id: NodeId
    incarnation: Count
    address: Address
    settings_revision: int = -1
    hlc: int = 0
    crash_digest: int = 0
    store_era: Count = 0


class NewStoreEra(msgspec.Struct, array_like=True, tag="store_came_back", frozen=True):
    """Node to node: a new era of the store began; `Sender` contains the era.

    Attributes
    ----------
    claims_requested : bool
        Whether callers wait for claims that the store has lost, so that receivers
        have to write their claims to the store again.
    """

    claims_requested: bool = False


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One member message as it is sent.

    Attributes
    ----------
    kind : str
        Name under which receivers register the type of the message.
    body : msgspec.Raw
        The message, encoded as MessagePack.
    """

    kind: str
    sender: Sender
    body: msgspec.Raw


class BackendServerRecord(NamedTuple):
    """State of one backend server, as its gate reports it to the fleet.

    Attributes
    ----------
    boot_id : str
        Changes with each restart of the backend server.
    state : str
        A `BackendServerState` value.
    suspicion : float
        0 if healthy; 1 or more is above the service's detection threshold.
    capacity : float
        Fraction of the slots that can be used now; below 1 during a cold start.
    """

    backend_server_id: str
    service: str
    boot_id: str
    slots: int
    state: str
    suspicion: float = 0.0
    capacity: float = 1.0


class NodeRecord(msgspec.Struct, frozen=True):
    """State of one node, as that node reports it to the fleet.

    Attributes
    ----------
    incarnation : int
        Increases with each start of the node's process.
    version : int
        Increases with each change of the record within an incarnation.
    state : str
        A `NodeState` value.
    admin_address : str
        Address for operators; empty if the node announces none.
    link_level : int
        Newest kind of link messages that the node handles; see `LINK_LEVEL`.
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
    link_level: int = 0


class NodeHeader(msgspec.Struct, array_like=True, frozen=True):
    """A node's record without its backend servers."""

    region: str
    availability_zone: str
    link_address: Address
    member_address: Address
    state: str
    admin_address: Annotated[str, msgspec.Meta(max_length=21)] = ""
    link_level: Count = 0


class ServerEntry(NamedTuple):
    """One backend server and the version of its last change.

    Attributes
    ----------
    version : int
        Version of the node's record when this entry last changed.
    """

    version: Count
    record: BackendServerRecord


class NodeNews(msgspec.Struct, array_like=True, tag="n", frozen=True):
    """The changed parts of a node's record.

    Attributes
    ----------
    version : int
        Version of the header; unused without a header.
    header : NodeHeader or None
        None if it did not change.
    servers : list of ServerEntry
        The backend servers that changed.
    """

    node_id: NodeId
    incarnation: Count
    version: Count = 0
    header: NodeHeader | None = None
    servers: list[ServerEntry] = []


class Verdict(StrEnum):
    """What a `VerdictNews` says about a node."""

    SUSPECT = "suspect"
    DEAD = "dead"


class VerdictNews(msgspec.Struct, array_like=True, tag="c", frozen=True):
    """One node's verdict that another node does not answer or is dead.

    The verdict applies to one incarnation and header version. The judged node
    refutes the verdict by announcing a higher version.

    Attributes
    ----------
    by : str
        Id of the node that reached the verdict. A node that is not leaving is
        declared dead only after several nodes suspected it independently.
    """

    node_id: NodeId
    incarnation: Count
    version: Count
    verdict: Verdict
    by: NodeId


News = NodeNews | VerdictNews


class Ping(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: checks whether the receiver is alive.

    Attributes
    ----------
    target : str
        Id of the receiver; empty if only its address is known.
    """

    sequence: int
    target: str = ""
    news: list[News] = []


class Ack(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a ping or a ping request.

    Attributes
    ----------
    reached : bool
        False in the answer to a ping request whose target did not answer.
    """

    sequence: int
    reached: bool = True
    news: list[News] = []


class SuspectHint(msgspec.Struct, array_like=True, tag="suspect", frozen=True):
    """Node to nodes of its zone: a gate in another zone holds out a backend server.

    Attributes
    ----------
    held_out : HoldOut
        Remaining time of the hold-out, and its evidence.
    """

    backend_server_id: str
    held_out: HoldOut


class PingRequest(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: ping the node `target`; the answer is an `Ack`.

    A node sends this message when the target did not answer the node's own ping. If a
    node receives a verdict on itself, it requests pings of itself. The node refutes the
    verdict when one of these pings has reached it.
    """

    sequence: int
    target: NodeId
    address: Address


class Gossip(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: news without a ping; not answered."""

    news: list[News]


class SyncRequest(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: compare the sender's membership state with the receiver's.

    Attributes
    ----------
    buckets : bytes
        Digests of the buckets of node ids, four bytes for each bucket, in order.
    first, step : int
        Compare only every `step`-th bucket, beginning with `first`. A joining node
        requests different parts from several peers at once.
    """

    buckets: bytes
    first: int = 0
    step: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1


class NodeSummary(NamedTuple):
    """Versions in the sender's record of one node.

    The receiver compares these versions with those in its own record of the node.

    Attributes
    ----------
    version : int
        Highest version of the header and all entries.
    fingerprint : int
        Hash of the versions of the header and all entries.
    """

    node_id: NodeId
    incarnation: Count
    version: Count
    fingerprint: int


class SyncSummary(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a `SyncRequest`: the nodes in buckets that differ.

    Attributes
    ----------
    buckets : list of int
        Numbers of the buckets whose nodes are all in `nodes`.
    differing_count : int
        Number of buckets that differ, including those not in `buckets`.
    unlisted_buckets : bytes
        Numbers of the differing buckets that are not in `buckets`, one byte each.
    """

    buckets: list[int]
    nodes: list[NodeSummary]
    differing_count: int
    unlisted_buckets: bytes = b""


class NodePull(NamedTuple):
    """A node in a `Pull`, and the version above which its entries are requested.

    Version 0 requests all entries.
    """

    node_id: NodeId
    incarnation: Count
    above_version: Count


class Pull(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: send the records of some nodes, as many as fit in one page.

    Attributes
    ----------
    buckets : list of int
        Buckets whose nodes are all requested. Used when the sender lacks too many nodes
        to list them in `nodes`.
    """

    nodes: list[NodePull]
    buckets: list[int] = []


class Page(msgspec.Struct, array_like=True, frozen=True):
    """Node to node: the answer to a `Pull` or a `SyncSummary`.

    In answer to a `Pull`, the page has the requested records. In answer to a
    `SyncSummary`, the page has news that the sender of the summary lacks.

    Attributes
    ----------
    remaining_count : int
        In answer to a `Pull`: number of requested nodes whose records did not fit.
        Otherwise 0.
    """

    news: list[News]
    remaining_count: int = 0
