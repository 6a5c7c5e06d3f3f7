"""The confirmed drains of this node, and whether anything else keeps them."""

import threading
import time
from collections.abc import Callable

from balsamspindle.drains.records import (
    DRAINED_MAX,
    DrainedServer,
    DrainsVersion,
    NodeDrains,
)
from balsamspindle.timeline import EventLog

__all__ = ["OwnDrains"]

# Longest time for which a start waits for the store's answer. Without it, a backend
# server beside a node that can't reach the store would get no work.
RESTORE_MAX_S = 2.0
# A backend server takes an announcement for unconfirmed after one second.
CONFIRM_MAX_S = 0.8
# Pause before the drains are sent to further peers.
SHARE_INTERVAL_S = 0.25


class OwnDrains:
    """Confirmed drains of this node's backend servers; thread-safe.

    Parameters
    ----------
    incarnation : int
        Incarnation at the start of this process.
    on_restored : callable
        Called with each drain that an earlier process of this node confirmed, and the
        present time.
    share : callable
        Sends the drains to peers.
    clock : callable
        Returns the present time in seconds.

    Attributes
    ----------
    changed : threading.Condition
        Guards the drains; notified of each change, and when a version is kept.
    """

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        events: EventLog,
        on_restored: Callable[[DrainedServer, float], None] = lambda *_: None,
        share: Callable[[NodeDrains], None] = lambda drains: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._events = events
        self._on_restored = on_restored
        self._share = share
        self._clock = clock
        self.changed = threading.Condition()
        self._number = 0
        self._kept_number = 0
        # Who acknowledged `_kept_number` first: "store" or "peer".
        self._keeper: str | None = None
        # What this process decided: a drain, or None for a drain that ended.
        self._decided: dict[str, DrainedServer | None] = {}
        self._inherited = NodeDrains(node_id, 0, 0)
        self._is_restored = False
        self._restore_until_s = clock() + RESTORE_MAX_S

    @property
    def number(self) -> int:
        """Number of the latest change; 0 before the first one."""
        return self._number

    def current(self) -> NodeDrains:
        """Return all drains, with their version."""
        with self.changed:
            inherited = [
                server
                for server in self._inherited.drained
                if server.backend_server_id not in self._decided
            ]
            decided = [server for server in self._decided.values() if server]
            drained = tuple(inherited + decided)[-DRAINED_MAX:]
            return NodeDrains(self._node_id, self._incarnation, self._number, drained)

    def add(self, server: DrainedServer) -> bool:
        """Keep a drain outside this process; return whether that succeeded in time.

        Waits until the store or a peer keeps it, for `CONFIRM_MAX_S` at most. A drain
        that nothing keeps may be kept later.
        """
        return self._decide(server.backend_server_id, server)

    def remove(self, backend_server_id: str) -> bool:
        """Drop a drain outside this process; return whether that succeeded in time."""
        return self._decide(backend_server_id, None)

    def wait_restored(self) -> bool:
        """Wait until the earlier process's drains are known; False if it takes long.

        Also True once the store has not answered for `RESTORE_MAX_S`. Peers still send
        the drains that they keep.
        """
        with self.changed:
            wait_s = min(CONFIRM_MAX_S, self._restore_until_s - self._clock())
            self.changed.wait_for(lambda: self._is_restored, max(0.0, wait_s))
            return self._is_restored or self._clock() >= self._restore_until_s

    def restore(self, drains: NodeDrains | None, from_store: bool = False) -> None:
        """Take over the drains that an earlier process of this node confirmed.

        Parameters
        ----------
        drains : NodeDrains or None
            None if the store has none.
        """
        restored: tuple[DrainedServer, ...] = ()
        must_share = False
        with self.changed:
            if drains is not None and self._is_news(drains):
                restored = drains.drained
                self._inherited = drains
                self._number += not from_store
                must_share = self._follow(drains.incarnation)
        # Apply the drains before announcements are accepted.
        for server in restored:
            if server.backend_server_id not in self._decided:
                self._on_restored(server, self._clock())
        if must_share:
            self._share(self.current())
        if restored:
            source = "store" if from_store else "peer"
            self._events.emit("drains_restored", drains=len(restored), source=source)
        with self.changed:
            self._is_restored |= from_store
            self.changed.notify_all()

    def record_kept(self, version: DrainsVersion, keeper: str = "peer") -> None:
        """Record that the store or a peer keeps the drains up to a version."""
        with self.changed:
            if version.incarnation != self._incarnation:
                return
            if version.number > self._kept_number:
                self._kept_number, self._keeper = version.number, keeper
                self.changed.notify_all()

    def _follow(self, earlier_incarnation: int) -> bool:
        """Take a higher incarnation than that of the process whose drains are restored.

        The wall clock, from which incarnations are made, may be behind. What the store
        and peers keep under the lower incarnation is no news to the next process.
        Return True if it therefore has to be kept again.
        """
        if self._incarnation > earlier_incarnation:
            return False
        self._incarnation = earlier_incarnation + 1
        self._kept_number = 0
        self._number += 1
        return True

    def _is_news(self, drains: NodeDrains) -> bool:
        is_own = drains.incarnation == self._incarnation
        return not is_own and drains.version > self._inherited.version

    def _decide(self, backend_server_id: str, server: DrainedServer | None) -> bool:
        with self.changed:
            if self._known(backend_server_id) == server:
                number = self._number
            else:
                self._decided.pop(backend_server_id, None)
                self._decided[backend_server_id] = server
                if len(self._decided) > DRAINED_MAX:
                    del self._decided[next(iter(self._decided))]
                self._number += 1
                number = self._number
                self.changed.notify_all()
        is_kept = self._wait_kept(number)
        if is_kept:
            self._events.emit(
                "drain_confirmed",
                backend_server=backend_server_id,
                start_unix_ms=server and server.start_unix_ms,
                number=number,
                keeper=self._keeper or "earlier_process",
                is_restored=self._is_restored,
            )
        else:
            self._events.emit(
                "drain_unconfirmed",
                backend_server=backend_server_id,
                cause="neither the store nor a peer has confirmed that it keeps it",
            )
        return is_kept

    def _wait_kept(self, number: int) -> bool:
        """Wait until anything else keeps a change; return False if it takes long."""
        end_s = self._clock() + CONFIRM_MAX_S
        while not self._is_kept(number) and (now_s := self._clock()) < end_s:
            self._share(self.current())
            wait_s = min(SHARE_INTERVAL_S, end_s - now_s)
            with self.changed:
                self.changed.wait_for(lambda: self._is_kept(number), wait_s)
        return self._is_kept(number)

    def _known(self, backend_server_id: str) -> DrainedServer | None:
        if backend_server_id in self._decided:
            return self._decided[backend_server_id]
        for server in self._inherited.drained:
            if server.backend_server_id == backend_server_id:
                return server
        return None

    def _is_kept(self, number: int) -> bool:
        return self._kept_number >= number
