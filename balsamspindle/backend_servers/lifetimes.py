"""Applies the announcements of backend servers, and ignores those that arrive late.

Announcements may arrive seconds late and out of order. A late announcement must not
make a backend server available again after it has left, and a late "ready" must not
cancel a "draining". A backend server may restart under the same id. A lifetime is the
period from one start of the backend server until it leaves or starts again. Each
announcement contains the start time of the lifetime to which it belongs.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from balsamspindle.backend_servers.servers import (
    Announcement,
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.drains.records import DrainedServer
from balsamspindle.timeline import EventLog

__all__ = ["AnnouncedStatus", "Lifetimes"]

# Maximum number of backend servers whose latest lifetime is stored. The limit is ample
# because a node has one backend server at a time.
LIFETIMES_MAX = 1000
# The first announcement of a lifetime replaces the stored lifetime of the same backend
# server, and any other backend server at the same address. A live backend server sends
# an announcement every second or two. If no other announcement of the lifetime
# follows for this long, the first announcement was late. Announcements of the replaced
# lifetime or of the replaced backend server are then no longer ignored.
REPLACED_SILENT_S = 4.0
# A backend server that has left sends no announcement, and none is later than this. So
# an announcement after that time proves that the leave was a late one of an earlier
# lifetime. With a shorter time, a late announcement would undo a leave; with a longer
# one, a running backend server would get no work for as long.
ANNOUNCEMENT_LATE_MAX_S = 30.0
_EARLIER_START = "a later start of the backend server is known"
_RESTORED = "an earlier process of this node has confirmed it"
_OUTLIVED = "it has announced itself long after it was said to leave"


class AnnouncedStatus(NamedTuple):
    """The state that a backend server reports with an announcement.

    Attributes
    ----------
    sequence : int
        Number of the announcement; increases during a lifetime.
    cold_s : float
        Remaining time for which the backend server is slow because it has just started.
    start_unix_ms : int
        Unix time at which the lifetime began, by the backend server's own clock, in
        milliseconds; 0 if not reported.
    """

    sequence: int
    is_draining: bool = False
    cold_s: float = 0.0
    start_unix_ms: int = 0


@dataclass
class _Lifetime:
    """One lifetime of a backend server, with its last announced state.

    Attributes
    ----------
    doubted_leave_s : float or None
        When the leave was recorded, if it may be a late one of an earlier lifetime: it
        named no start, or an earlier process has confirmed it.
    """

    start_unix_ms: int
    sequence: int
    announced_s: float
    has_left: bool = False
    is_draining: bool = False
    doubted_leave_s: float | None = None

    def has_outlived_leave(self, now_s: float) -> bool:
        """Return whether an announcement that arrives now disproves the leave."""
        leave_s = self.doubted_leave_s
        return leave_s is not None and now_s - leave_s >= ANNOUNCEMENT_LATE_MAX_S

    def ended_before(self, status: AnnouncedStatus) -> bool:
        """Return whether an announcement proves that this lifetime has ended.

        Only a later start proves it. An announcement with an earlier start or without
        one may be a late one of an earlier lifetime, or come from another writer, while
        requests of this lifetime run.
        """
        return 0 < self.start_unix_ms < status.start_unix_ms

    def blocks_earlier_lifetimes(self, now_s: float) -> bool:
        """Return whether announcements with an earlier start time are ignored as late.

        If the clock of a backend server is set back before a restart, its new lifetime
        has an earlier start time than this one. The backend server must get work in the
        new lifetime, too. Announcements with an earlier start time are therefore
        accepted once no announcement of this lifetime has arrived for
        `REPLACED_SILENT_S`. If the backend server has left or begun to drain in this
        lifetime, they are always ignored, unless they disprove a leave that is in
        doubt.
        """
        if self.has_outlived_leave(now_s):
            return False
        is_silent = now_s - self.announced_s >= REPLACED_SILENT_S
        return self.has_left or self.is_draining or not is_silent


class Lifetimes:
    """Applies announcements, which may arrive late, twice or out of order."""

    def __init__(self, servers: LocalBackendServers, events: EventLog) -> None:
        self._servers = servers
        self._events = events
        self._lock = threading.Lock()
        self._lifetimes: OrderedDict[str, _Lifetime] = OrderedDict()
        # For each address, the id of the backend server that uses the address now.
        self._ids_by_address: dict[str, str] = {}

    def announce(
        self,
        server_id: str,
        announcement: Announcement,
        status: AnnouncedStatus,
        now_s: float,
    ) -> None:
        """Apply an announcement, or ignore it if it is late.

        An announcement is late in each of these cases:

        - A later start of the backend server is known. For exceptions, see
          `_Lifetime.blocks_earlier_lifetimes`.
        - The backend server has left in the announcement's lifetime.
        - An announcement of the same lifetime with the same or a higher sequence number
          was applied before.
        - The announcement's lifetime is known, but another backend server has announced
          the same address within the last `REPLACED_SILENT_S`.

        The announcement's `boot_id` is replaced by a value that is made from the
        backend server's id and the time of its start.
        """
        with self._lock:
            cause = self._ignore_cause(server_id, announcement, status, now_s)
            if cause is not None:
                self._emit(
                    "announcement_ignored", server_id, cause, status.start_unix_ms
                )
                if status.is_draining:
                    self._record_late_draining(server_id, status)
                return
            self._apply(server_id, announcement, status, now_s)

    def record_leave(
        self,
        server_id: str,
        cause: str | None = None,
        start_unix_ms: int = 0,
        received_unix_ms: int = 0,
        now_s: float | None = None,
    ) -> None:
        """Drain a leaving backend server; ignore its lifetime's later announcements.

        If a later lifetime of the backend server is known, nothing is drained.

        Parameters
        ----------
        start_unix_ms : int
            Start time of the lifetime that ends; 0 if unknown. Then the latest known
            lifetime ends, and each one that began by `received_unix_ms`. Its first
            announcement may arrive after the message that it leaves.
        received_unix_ms : int
            When the backend server said that it leaves; 0 if it did not say so.
        now_s : float, optional
            The present time, if the leave is in doubt when it names no start.
        """
        with self._lock:
            lifetime = self._lifetimes.get(server_id)
            doubted_leave_s = None if start_unix_ms else now_s
            if not start_unix_ms:
                known_ms = 0 if lifetime is None else lifetime.start_unix_ms
                start_unix_ms = max(known_ms, received_unix_ms)
            if lifetime is None or lifetime.start_unix_ms < start_unix_ms:
                lifetime = self._add(server_id, _Lifetime(start_unix_ms, 0, 0.0))
            elif start_unix_ms < lifetime.start_unix_ms:
                self._emit(
                    "announcement_ignored", server_id, _EARLIER_START, start_unix_ms
                )
                return
            lifetime.has_left, lifetime.doubted_leave_s = True, doubted_leave_s
            self._servers.drain(server_id)
            self._emit(
                "backend_server_leaving", server_id, cause, lifetime.start_unix_ms
            )

    def drained(self, server_id: str) -> DrainedServer | None:
        """Return the latest known lifetime of a backend server if it is to end.

        Return None if the backend server may get work.
        """
        with self._lock:
            lifetime = self._lifetimes.get(server_id)
            if lifetime is None or not (lifetime.has_left or lifetime.is_draining):
                return None
            start_unix_ms = lifetime.start_unix_ms
            boot_id = _boot_id(server_id, start_unix_ms)
            return DrainedServer(server_id, boot_id, start_unix_ms)

    def restore(self, drained: DrainedServer, now_s: float) -> None:
        """Record a drain that an earlier process of this node has confirmed."""
        server_id, start_unix_ms = drained.backend_server_id, drained.start_unix_ms
        self._servers.restore_drained(server_id, drained.boot_id)
        if not drained.has_announced:
            return
        with self._lock:
            lifetime = self._lifetimes.get(server_id)
            if lifetime is None or lifetime.start_unix_ms < start_unix_ms:
                lifetime = self._add(server_id, _Lifetime(start_unix_ms, 0, 0.0))
            if lifetime.start_unix_ms == start_unix_ms:
                lifetime.has_left, lifetime.doubted_leave_s = True, now_s
                self._servers.drain(server_id)
                self._emit(
                    "backend_server_leaving", server_id, _RESTORED, start_unix_ms
                )

    def record_announced_leaving(self, server_id: str, boot_id: str) -> None:
        """Drain a backend server whose answers say that it leaves.

        Does nothing if the backend server has restarted since, or drains already.
        """
        with self._lock, self._servers.changed:
            server = self._servers.get(server_id)
            if server is None or server.announcement.boot_id != boot_id:
                return
            lifetime = self._lifetimes.get(server_id)
            if lifetime is not None:
                lifetime.is_draining = True
            if server.state is not BackendServerState.DRAINING:
                self._servers.drain(server_id)
                self._emit("backend_server_draining", server_id, "its answers say so")

    def record_misdirected(self, server_id: str) -> None:
        """Drain a backend server after a request for it reached a different one."""
        self.record_leave(server_id, "another backend server has its address")

    def _ignore_cause(
        self,
        server_id: str,
        announcement: Announcement,
        status: AnnouncedStatus,
        now_s: float,
    ) -> str | None:
        """Return why an announcement must be ignored, or None if it must be applied."""
        lifetime = self._lifetimes.get(server_id)
        if lifetime is None:
            return None
        if status.start_unix_ms < lifetime.start_unix_ms:
            return _EARLIER_START if lifetime.blocks_earlier_lifetimes(now_s) else None
        if status.start_unix_ms > lifetime.start_unix_ms:
            return None
        if lifetime.has_left and not lifetime.has_outlived_leave(now_s):
            return "the backend server has left"
        if status.sequence <= lifetime.sequence:
            return "a later announcement arrived first"
        current = self._lifetimes.get(
            self._ids_by_address.get(announcement.address, "")
        )
        if current is None or current is lifetime:
            return None
        if now_s - current.announced_s < REPLACED_SILENT_S:
            return "another backend server has its address"
        return None

    def _record_late_draining(self, server_id: str, status: AnnouncedStatus) -> None:
        """Drain a backend server by an announcement that is otherwise ignored."""
        lifetime = self._lifetimes.get(server_id)
        if lifetime is not None and lifetime.start_unix_ms == status.start_unix_ms:
            lifetime.is_draining = True
            boot_id = _boot_id(server_id, status.start_unix_ms)
            self._servers.restore_drained(server_id, boot_id)

    def _apply(
        self,
        server_id: str,
        announcement: Announcement,
        status: AnnouncedStatus,
        now_s: float,
    ) -> None:
        replaced = self._ids_by_address.get(announcement.address)
        if replaced not in (None, server_id):
            self._servers.mark_replaced(replaced, now_s)
            self._emit("backend_server_replaced", replaced, f"by {server_id}")
        lifetime = self._lifetimes.get(server_id)
        has_outlived_leave = lifetime is not None and lifetime.has_outlived_leave(now_s)
        if has_outlived_leave:
            lifetime.has_left = lifetime.is_draining = False
            lifetime.doubted_leave_s = None
        has_restarted = lifetime is not None and lifetime.ended_before(status)
        if lifetime is None or lifetime.start_unix_ms != status.start_unix_ms:
            lifetime = self._add(
                server_id, _Lifetime(status.start_unix_ms, status.sequence, now_s)
            )
        self._ids_by_address[announcement.address] = server_id
        lifetime.sequence, lifetime.announced_s = status.sequence, now_s
        if replaced not in (None, server_id) and not lifetime.is_draining:
            # A late announcement of the replaced backend server may already have been
            # applied. It then assigned the address to the replaced backend server, and
            # drained `server_id`. Undo this drain, because `server_id` has not
            # announced that it drains.
            self._servers.undrain(server_id)
        announcement = msgspec.structs.replace(
            announcement, boot_id=_boot_id(server_id, status.start_unix_ms)
        )
        is_new = self._servers.announce(
            server_id, announcement, now_s, status.cold_s, ends_runs=has_restarted
        )
        if is_new:
            self._emit(
                "backend_server_announced",
                server_id,
                announcement.service,
                status.start_unix_ms,
            )
        if has_outlived_leave:
            self._servers.undrain(server_id)
            self._emit(
                "backend_server_ready", server_id, _OUTLIVED, status.start_unix_ms
            )
        if status.is_draining:
            # Again with each such announcement: an operator may have ended the drain.
            self._servers.drain(server_id)
        if status.is_draining and not lifetime.is_draining:
            lifetime.is_draining = True
            self._emit("backend_server_draining", server_id, None, status.start_unix_ms)

    def _add(self, server_id: str, lifetime: _Lifetime) -> _Lifetime:
        self._lifetimes.pop(server_id, None)
        self._lifetimes[server_id] = lifetime
        if len(self._lifetimes) > LIFETIMES_MAX:
            oldest_id, _ = self._lifetimes.popitem(last=False)
            self._ids_by_address = {
                address: other_id
                for address, other_id in self._ids_by_address.items()
                if other_id != oldest_id
            }
        return lifetime

    def _emit(
        self,
        event: str,
        server_id: str,
        cause: str | None = None,
        start_unix_ms: int | None = None,
    ) -> None:
        self._events.emit(
            event, backend_server=server_id, start_unix_ms=start_unix_ms, cause=cause
        )


def _boot_id(server_id: str, start_unix_ms: int) -> str:
    return f"{server_id}@{start_unix_ms}" if start_unix_ms else server_id
