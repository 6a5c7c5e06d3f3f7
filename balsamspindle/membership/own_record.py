"""The record that a node publishes about itself and its backend servers."""

from collections.abc import Iterable

import msgspec

from balsamspindle.membership.headers import record_with_header
from balsamspindle.membership.node_view import GONE, Epoch, NodeState, NodeView
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    NodeRecord,
    ServerEntry,
)

__all__ = ["OwnRecord"]

# When the node's record has more entries of backend servers in state `GONE` than this,
# the node starts a new incarnation, whose record does not contain these entries.
GONE_ENTRIES_MAX = 64


class OwnRecord:
    """The node's own record; changed by the member task alone.

    Parameters
    ----------
    first : NodeRecord
        This node's header, as it is when the node starts.
    """

    def __init__(self, first: NodeRecord) -> None:
        self._view = NodeView(first)
        self.header: NodeHeader = self._view.header()

    @property
    def node_id(self) -> str:
        """Id under which peers store this node's record."""
        return self._view.record.node_id

    @property
    def epoch(self) -> Epoch:
        """Incarnation and header version."""
        return self._view.epoch

    @property
    def region(self) -> str:
        """Region that this node announces."""
        return self.header.region

    def full_news(self) -> NodeNews:
        """Return the header and all entries as news."""
        return self._view.news()

    def update_servers(
        self, servers: Iterable[BackendServerRecord]
    ) -> list[ServerEntry]:
        """Store the current backend servers and return the entries that changed.

        Known backend servers that `servers` lacks get state `GONE`.
        """
        present = {server.backend_server_id: server for server in servers}
        changed = [
            server
            for server_id, server in present.items()
            if self._known_server(server_id) != server
        ]
        changed += [
            entry.record._replace(state=GONE)
            for server_id, entry in self._view.entries.items()
            if server_id not in present and entry.record.state != GONE
        ]
        if not changed:
            return []
        version = self._view.version + 1
        entries = [ServerEntry(version, server) for server in changed]
        for entry in entries:
            self._view.set_entry(entry)
        return entries

    def has_too_many_gone(self) -> bool:
        """Return whether over `GONE_ENTRIES_MAX` backend servers are `GONE`."""
        states = [entry.record.state for entry in self._view.entries.values()]
        return states.count(GONE) > GONE_ENTRIES_MAX

    def set_leaving(self) -> None:
        """Set the node's state to leaving, under a higher header version."""
        self.header = msgspec.structs.replace(
            self.header, state=NodeState.LEAVING.value
        )
        self._set_epoch(Epoch(self.epoch.incarnation, self._view.version + 1))

    def refute(self, epoch: Epoch) -> bool:
        """Raise this node's epoch above `epoch`, which a peer has stored for this node.

        If a VM is replaced and the new VM's wall clock is behind, the new node starts
        with a lower incarnation than the old node had. Peers that still have the old
        node's record would ignore news of the new node as outdated. So the new node
        starts an incarnation above that of the old node's record.

        Returns
        -------
        bool
            Whether the node started a new incarnation; if False, at most its
            header version was raised.
        """
        if epoch.incarnation > self.epoch.incarnation:
            self.start_incarnation(epoch.incarnation + 1)
            return True
        if epoch >= self.epoch:
            version = max(epoch.version, self._view.version) + 1
            self._set_epoch(Epoch(epoch.incarnation, version))
        return False

    def start_incarnation(self, incarnation: int) -> None:
        """Start a higher incarnation; entries in state `GONE` are discarded."""
        servers = [
            entry.record
            for entry in self._view.entries.values()
            if entry.record.state != GONE
        ]
        self._view = NodeView(self._header_record(Epoch(incarnation, 1)))
        self.update_servers(servers)

    def _known_server(self, server_id: str) -> BackendServerRecord | None:
        entry = self._view.entries.get(server_id)
        return None if entry is None else entry.record

    def _set_epoch(self, epoch: Epoch) -> None:
        self._view.set_header(self._header_record(epoch))

    def _header_record(self, epoch: Epoch) -> NodeRecord:
        return record_with_header(
            self.node_id, epoch.incarnation, epoch.version, self.header
        )
