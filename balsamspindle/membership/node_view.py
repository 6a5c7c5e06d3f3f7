"""One node as this process knows it: header, backend servers, and whether it died."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from balsamspindle.membership.fingerprints import bucket_of, entry_hash
from balsamspindle.membership.headers import header_of
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    NodeRecord,
    ServerEntry,
)

__all__ = ["GONE", "ChangedParts", "Epoch", "NodeState", "NodeView", "ServerChange"]

# State of a backend server that its node no longer has. The backend server's entry is
# kept so that delayed news of it, with an older version, is rejected.
GONE = "gone"


class NodeState(StrEnum):
    """Whether a node takes part in the fleet or announced that it is leaving."""

    ALIVE = "alive"
    LEAVING = "leaving"


class Epoch(NamedTuple):
    """Orders news of a node and verdicts on it, by incarnation, then header version."""

    incarnation: int
    version: int


class ServerChange(NamedTuple):
    """A backend server's new entry; `before` is the record it replaced, or None."""

    entry: ServerEntry
    before: BackendServerRecord | None


class ChangedParts(NamedTuple):
    """Which parts of an item of news were new.

    Attributes
    ----------
    header : bool
        Whether the header was new. The first header of a node or incarnation is new.
    servers : list of ServerChange
        The entries of backend servers that were new.
    rejected_as_dead : bool
        Whether the news was rejected because the node is dead. News with a newer
        header is not rejected, since it refutes the death.
    """

    header: bool = False
    servers: list[ServerChange] = []
    rejected_as_dead: bool = False

    @property
    def any(self) -> bool:
        """Whether the header or any entry was new."""
        return self.header or bool(self.servers)


class NodeView:
    """One node's header and the entries of its backend servers.

    The header and each entry have a version and are replaced only by a higher one.

    Attributes
    ----------
    record : NodeRecord
        The header and its version; contains no backend servers.
    entries : dict of str to ServerEntry
        Entries by backend server id, including entries in state `GONE`.
    version : int
        The highest version of the header and the entries.
    fingerprint : int
        See `balsamspindle.membership.fingerprints`.
    dead_since_s : float or None
        Time at which the node was declared dead; None if the node is not dead.
    """

    __slots__ = (
        "record",
        "entries",
        "version",
        "fingerprint",
        "bucket",
        "dead_since_s",
    )

    def __init__(self, record: NodeRecord) -> None:
        self.record = record
        self.entries: dict[str, ServerEntry] = {}
        self.version = record.version
        self.bucket = bucket_of(record.node_id)
        self.fingerprint = self._hash("", record.version)
        self.dead_since_s: float | None = None

    @property
    def epoch(self) -> Epoch:
        """Incarnation and header version."""
        return Epoch(self.record.incarnation, self.record.version)

    @property
    def is_dead(self) -> bool:
        """Whether the node was declared dead."""
        return self.dead_since_s is not None

    def set_header(self, record: NodeRecord) -> None:
        """Replace the header by a newer one of the same incarnation.

        A newer header refutes a death: the node is no longer marked as dead.
        """
        self.fingerprint ^= self._hash("", self.record.version)
        self.fingerprint ^= self._hash("", record.version)
        self.record = record
        self.version = max(self.version, record.version)
        self.dead_since_s = None

    def set_entry(self, entry: ServerEntry) -> bool:
        """Store an entry and return True if the entry is newer than the known one."""
        server_id = entry.record.backend_server_id
        known = self.entries.get(server_id)
        if known is not None:
            if entry.version <= known.version:
                return False
            self.fingerprint ^= self._hash(server_id, known.version)
        self.fingerprint ^= self._hash(server_id, entry.version)
        self.entries[server_id] = entry
        self.version = max(self.version, entry.version)
        return True

    def header(self) -> NodeHeader:
        """Return the header in the format of `NodeNews`."""
        return header_of(self.record)

    def news(self, above_version: int = 0) -> NodeNews:
        """Return the header and the entries with versions above `above_version`."""
        record = self.record
        entries = [
            entry for entry in self.entries.values() if entry.version > above_version
        ]
        return NodeNews(
            record.node_id,
            record.incarnation,
            record.version,
            self.header(),
            entries,
        )

    def full_record(self) -> NodeRecord:
        """Return the record including the backend servers that are not `GONE`."""
        servers = tuple(
            entry.record
            for entry in self.entries.values()
            if entry.record.state != GONE
        )
        return msgspec.structs.replace(
            self.record, version=self.version, backend_servers=servers
        )

    def _hash(self, entry: str, version: int) -> int:
        return entry_hash(self.record.node_id, self.record.incarnation, entry, version)
