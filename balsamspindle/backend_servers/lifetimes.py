"""Which start of a backend server an announcement belongs to, and if it counts.

Announcements travel over connections that may hold them up for seconds. One
of a start that has ended must not bring it back, and one that says "ready"
must not undo a later "draining".
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.timeline import EventLog

__all__ = ["Lifetimes"]

# Starts that are remembered; a node has one backend server at a time.
LIFETIMES_MAX = 1000
# A start that another one replaced counts again when the other has been silent
# for so long: then the other's announcement was the late one. Announcements
# come every second or two.
REPLACED_SILENT_S = 4.0


@dataclass
class _Lifetime:
    """What is known of one start of a backend server."""

    address: str
    sequence: int
    heard_s: float
    has_left: bool = False
    is_draining: bool = False


class Lifetimes:
    """Takes announcements in whatever order they arrive."""

    def __init__(self, servers: LocalBackendServers, events: EventLog) -> None:
        self._servers = servers
        self._events = events
        self._lock = threading.Lock()
        self._known: OrderedDict[str, _Lifetime] = OrderedDict()
        # The start that each address belongs to.
        self._holders: dict[str, str] = {}

    def announce(
        self,
        announcement: Announcement,
        sequence: int,
        is_draining: bool,
        cold_s: float,
        now_s: float,
    ) -> None:
        """Take an announcement; its `boot_id` names the start.

        Parameters
        ----------
        sequence : int
            Rises with each announcement of a start.
        cold_s : float
            How much longer the backend server is slow after its start.
        """
        with self._lock:
            cause = self._refusal(announcement, sequence, now_s)
            if cause is not None:
                self._emit("announcement_ignored", announcement.boot_id, cause)
                return
            self._take(announcement, sequence, is_draining, cold_s, now_s)

    def leave(self, boot_id: str, cause: str | None = None) -> None:
        """Take the word that a start ends; no announcement of it counts again."""
        with self._lock:
            lifetime = self._known.get(boot_id)
            if lifetime is None:
                lifetime = self._remember(boot_id, _Lifetime("", 0, 0.0))
            lifetime.has_left = True
            self._servers.drain(boot_id)
            self._emit("backend_server_leaving", boot_id, cause)

    def misdirected(self, boot_id: str) -> None:
        """Take the word of whoever has the address now: this start is over."""
        self.leave(boot_id, "another one has its address")

    def _refusal(self, announcement, sequence: int, now_s: float) -> str | None:
        """Return why an announcement has no effect."""
        lifetime = self._known.get(announcement.boot_id)
        if lifetime is None:
            return None
        if lifetime.has_left:
            return "it has left"
        if sequence <= lifetime.sequence:
            return "a later one came before"
        holder = self._known.get(self._holders.get(announcement.address, ""))
        if holder is None or holder is lifetime:
            return None
        if now_s - holder.heard_s < REPLACED_SILENT_S:
            return "another start has its address"
        return None

    def _take(self, announcement, sequence, is_draining, cold_s, now_s) -> None:
        boot_id, address = announcement.boot_id, announcement.address
        replaced = self._holders.get(address)
        if replaced not in (None, boot_id):
            self._servers.drain(replaced)
            self._emit("backend_server_replaced", replaced, f"by {boot_id}")
        lifetime = self._known.get(boot_id)
        if lifetime is None:
            lifetime = self._remember(boot_id, _Lifetime(address, sequence, now_s))
        self._holders[address] = boot_id
        lifetime.sequence, lifetime.heard_s = sequence, now_s
        if replaced not in (None, boot_id) and not lifetime.is_draining:
            # It may have been replaced itself, by a late announcement.
            self._servers.undrain(boot_id)
        is_new = self._servers.announce(boot_id, announcement, now_s, cold_s)
        if is_new:
            self._emit("backend_server_announced", boot_id, announcement.service)
        if is_draining and not lifetime.is_draining:
            lifetime.is_draining = True
            self._servers.drain(boot_id)
            self._emit("backend_server_draining", boot_id)

    def _remember(self, boot_id: str, lifetime: _Lifetime) -> _Lifetime:
        self._known[boot_id] = lifetime
        if len(self._known) > LIFETIMES_MAX:
            self._known.popitem(last=False)
        return lifetime

    def _emit(self, event: str, boot_id: str, cause: str | None = None) -> None:
        self._events.emit(event, backend_server=boot_id, cause=cause)
