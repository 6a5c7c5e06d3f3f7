"""Creates the parts of a node that keep confirmed drains beyond its process."""

from collections.abc import Callable

from balsamspindle.drains import (
    DrainedServer,
    DrainPeers,
    DrainsKept,
    DrainStore,
    NodeDrains,
    OwnDrains,
)
from balsamspindle.membership import Directory, Member
from balsamspindle.node.store_eras import NodeEras
from balsamspindle.tables import TableService
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["DrainParts"]


class DrainParts:
    """Connects a node's confirmed drains with its peers and the store.

    Parameters
    ----------
    tables : TableService or None
        The store; None if the node uses no platform.
    on_restored : callable
        Called with each drain that an earlier process of this node confirmed, and the
        present time.

    Attributes
    ----------
    drains : OwnDrains
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        member: Member,
        events: EventLog,
        tables: TableService | None,
        eras: NodeEras,
        on_restored: Callable[[DrainedServer, float], None],
    ) -> None:
        self.drains = OwnDrains(
            own.node_id,
            own.incarnation,
            events,
            on_restored,
            lambda drains: self._peers.share(drains),
        )
        self._peers = DrainPeers(own, directory, self.drains, member.send)
        member.channel.register(
            "drains",
            NodeDrains,
            lambda peer, message, now_s: self._peers.receive(peer.address, message),
        )
        member.register({DrainsKept: self._peers.record_kept})
        self._store: DrainStore | None = None
        if tables is None:
            self.drains.restore(None, from_store=True)
        else:
            self._store = DrainStore(tables, own.node_id, self.drains, events)
            eras.on_new_era(self._store.write_again)

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks, each to be run in its own thread until `stop` is called."""
        return [] if self._store is None else [self._store.run]

    def deliver(self) -> None:
        """Send the drains kept for other nodes to those that have restarted."""
        self._peers.deliver()

    def stop(self) -> None:
        """Make the tasks end soon."""
        if self._store is not None:
            self._store.stop()
