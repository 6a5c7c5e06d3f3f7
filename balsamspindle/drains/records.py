"""Records of drained backend servers, as kept by the store and by peers."""

from typing import Annotated, NamedTuple

import msgspec

from balsamspindle.wire.member_messages import Count, NodeId

__all__ = ["DRAINED_MAX", "DrainedServer", "DrainsKept", "DrainsVersion", "NodeDrains"]

# Number of drained backend servers kept for one node, the latest ones. A VM of the
# platform has one backend server at a time.
DRAINED_MAX = 100


class DrainsVersion(NamedTuple):
    """Version of a node's drains; the drains of a later process have a higher one.

    Attributes
    ----------
    incarnation : int
        Incarnation of the process.
    number : int
        Rises with each change within the process.
    """

    incarnation: int
    number: int


class DrainedServer(NamedTuple):
    """A start of a backend server that gets no more work.

    Attributes
    ----------
    start_unix_ms : int
        See `AnnouncedStatus`; 0 if unknown.
    has_announced : bool
        Whether the backend server itself announced that it leaves. Otherwise an
        operator drained it, and may end the drain.
    """

    backend_server_id: str
    boot_id: str
    start_unix_ms: Count = 0
    has_announced: bool = True


class NodeDrains(msgspec.Struct, array_like=True, tag="drains", frozen=True):
    """All drains of one node; sent to peers, and the value of the node's row.

    Attributes
    ----------
    drained : tuple of DrainedServer
        Oldest first.
    """

    node_id: NodeId
    incarnation: Count
    number: Count
    drained: Annotated[
        tuple[DrainedServer, ...], msgspec.Meta(max_length=DRAINED_MAX)
    ] = ()

    @property
    def version(self) -> DrainsVersion:
        """Version of these drains."""
        return DrainsVersion(self.incarnation, self.number)


class DrainsKept(msgspec.Struct, array_like=True, tag="drains_kept", frozen=True):
    """The sender keeps the drains of a node up to a version."""

    node_id: NodeId
    incarnation: Count
    number: Count

    @property
    def version(self) -> DrainsVersion:
        """Version up to which the sender keeps the drains."""
        return DrainsVersion(self.incarnation, self.number)
