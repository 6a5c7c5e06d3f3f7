"""What this node says of itself: its incarnation, versions and backend servers."""

from collections.abc import Iterable

import msgspec

from balsamspindle.membership.node_view import GONE, Epoch, NodeState, NodeView
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    NodeRecord,
    ServerEntry,
)

__all__ = ["OwnRecord"]

GONE_MAX = 64


class OwnRecord:
    """The node's own record; changed by the member task alone.

    Parameters
    ----------
    first : NodeRecord
        The header at the node's start.
    """

    def __init__(self, first: NodeRecord) -> None:
        self._view = NodeView(first)
        self.header: NodeHeader = self._view.header()

    @property
    def node_id(self) -> str:
        """Id of the node."""
        return self._view.record.node_id

    @property
    def epoch(self) -> Epoch:
        """Incarnation and header version."""
        return self._view.epoch

    @property
    def region(self) -> str:
        """Region of the node."""
        return self.header.region

    def whole(self) -> NodeNews:
        """Return all that this node says of itself."""
        return self._view.news()

    def refresh(self, servers: Iterable[BackendServerRecord]) -> list[ServerEntry]:
        """Take the present backend servers; return the entries that changed."""
        present = {server.backend_server_id: server for server in servers}
        changed = [
            server
            for server_id, server in present.items()
            if self._known(server_id) != server
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

    def too_many_gone(self) -> bool:
        """Tell whether entries of past backend servers are worth dropping."""
        states = [entry.record.state for entry in self._view.entries.values()]
        return states.count(GONE) > GONE_MAX

    def leave(self) -> None:
        """Say that this node is going."""
        self.header = msgspec.structs.replace(
            self.header, state=NodeState.LEAVING.value
        )
        self._set_epoch(Epoch(self.epoch.incarnation, self._view.version + 1))

    def refute(self, epoch: Epoch) -> bool:
        """Outbid what others say of this node.

        Returns
        -------
        bool
            True when it took a new incarnation. A wall clock that stepped
            back can give a replaced VM a lower incarnation than its own old
            records have; without outbidding them the node would be passed
            over as old for as long as those records live.
        """
        if epoch.incarnation > self.epoch.incarnation:
            self.restart(epoch.incarnation + 1)
            return True
        if epoch >= self.epoch:
            version = max(epoch.version, self._view.version) + 1
            self._set_epoch(Epoch(epoch.incarnation, version))
        return False

    def restart(self, incarnation: int) -> None:
        """Say all anew under a higher incarnation, without past entries."""
        servers = [
            entry.record
            for entry in self._view.entries.values()
            if entry.record.state != GONE
        ]
        self._view = NodeView(self._record(Epoch(incarnation, 1)))
        self.refresh(servers)

    def _known(self, server_id: str) -> BackendServerRecord | None:
        entry = self._view.entries.get(server_id)
        return None if entry is None else entry.record

    def _set_epoch(self, epoch: Epoch) -> None:
        self._view.set_header(self._record(epoch))

    def _record(self, epoch: Epoch) -> NodeRecord:
        header = self.header
        return NodeRecord(
            self.node_id,
            epoch.incarnation,
            epoch.version,
            header.region,
            header.availability_zone,
            header.link_address,
            header.member_address,
            header.state,
            admin_address=header.admin_address,
        )
