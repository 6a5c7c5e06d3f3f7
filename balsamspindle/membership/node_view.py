"""What is known of one node: its header, its backend servers, its standing."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from balsamspindle.membership.fingerprints import bucket_of, entry_hash
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    NodeRecord,
    ServerEntry,
)

__all__ = ["GONE", "Changes", "Epoch", "NodeState", "NodeView", "ServerChange"]

# State of a backend server that its node no longer has: the entry stays, so
# that older news of it is known to be old.
GONE = "gone"


class NodeState(StrEnum):
    """How a node stands, as others see it."""

    ALIVE = "alive"
    LEAVING = "leaving"


class Epoch(NamedTuple):
    """Orders what is said of a node: its incarnation, then a header version."""

    incarnation: int
    version: int


class ServerChange(NamedTuple):
    """A backend server's entry and what was known before, if anything."""

    entry: ServerEntry
    before: BackendServerRecord | None


class Changes(NamedTuple):
    """What of a piece of news was new.

    Attributes
    ----------
    header : bool
        The header, or the node itself, was new.
    servers : list of ServerChange
        The entries that were new.
    dead : bool
        Nothing was taken, since the node is dead at this epoch.
    """

    header: bool = False
    servers: list[ServerChange] = []
    dead: bool = False

    @property
    def any(self) -> bool:
        """Whether anything was new."""
        return self.header or bool(self.servers)


class NodeView:
    """One node's record; entries are replaced one by one by their versions.

    Attributes
    ----------
    record : NodeRecord
        The header at its version, without backend servers.
    entries : dict of str to ServerEntry
        By backend server id; those that are gone included.
    version : int
        The highest version seen, of the header or an entry.
    fingerprint : int
        See `balsamspindle.membership.fingerprints`.
    dead_since_s : float or None
        When the node was declared dead at its present epoch.
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
        """Take a newer header of the same incarnation."""
        self.fingerprint ^= self._hash("", self.record.version)
        self.fingerprint ^= self._hash("", record.version)
        self.record = record
        self.version = max(self.version, record.version)
        self.dead_since_s = None

    def set_entry(self, entry: ServerEntry) -> bool:
        """Take an entry if it is newer than the one known."""
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
        """Return the header as it travels."""
        record = self.record
        return NodeHeader(
            record.region,
            record.availability_zone,
            record.link_address,
            record.member_address,
            record.state,
            record.admin_address,
        )

    def news(self, above_version: int = 0) -> NodeNews:
        """Return what is known above a version; all of it above 0."""
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
        """Return the record with its present backend servers."""
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
