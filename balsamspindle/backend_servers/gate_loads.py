"""What a gate tells ingresses about its room with each reply and answer."""

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from balsamspindle.backend_servers.queue import DEFAULT_SERVICE_TIME_S, SlotQueue
from balsamspindle.backend_servers.servers import LocalBackendServer
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.wire import GateLoad

__all__ = ["GateLoads", "Room", "room_at", "tells_load"]

# For how long a start or a refusal counts as recent: about as long as ingresses use
# what a gate told them.
RECENT_S = 2.0
STARTS_MAX = 1000
SERVERS_MAX = 100
_ROOM_REASONS = frozenset({Reason.WOULD_WAIT, Reason.NO_FREE_SLOT, Reason.DEADLINE})


class Room(NamedTuple):
    """Room at one backend server.

    Attributes
    ----------
    wait_ms : float
        Expected wait of a new attempt that takes precedence over no waiting one.
    """

    free_slots: int
    waiting: int
    wait_ms: float


def room_at(
    server: LocalBackendServer, slots: int, queue: SlotQueue, now_s: float
) -> Room:
    """Return the room at a backend server that may use `slots` slots."""
    server_id = server.backend_server_id
    waiting = queue.count_waiting(server_id)
    free = server.account.free(slots, now_s)
    starts_ahead = max(0.0, queue.expected_starts(server_id) + 1 - free)
    service_time_s = server.account.service_time_s or DEFAULT_SERVICE_TIME_S
    wait_ms = starts_ahead * service_time_s / max(1, slots) * 1000
    free_slots = 0 if waiting else max(0, free)
    return Room(free_slots, waiting, wait_ms)


def tells_load(document: ServiceDocument) -> bool:
    """Return whether ingresses use a gate's load, by the settings of its service."""
    return document.reserves_places or document.admits_by_level


class GateLoads:
    """Loads of one gate's backend servers. Not thread-safe, except for `load`.

    Parameters
    ----------
    room : callable
        Returns the room at a backend server at a given time; None if it is unknown.
    service_document : callable
        Returns the settings in force for a service.
    """

    def __init__(
        self,
        room: Callable[[str, float], Room | None],
        service_document: Callable[[str], ServiceDocument],
    ) -> None:
        self._room = room
        self._service_document = service_document
        # Times and weights of recent starts, and times of recent refusals for want of
        # room, by backend server.
        self._starts: dict[str, deque[tuple[float, float]]] = {}
        self._refused_s: dict[str, float] = {}

    def record_start(self, backend_server_id: str, weight: float, now_s: float) -> None:
        """Record that an attempt got a slot."""
        starts = self._starts.setdefault(backend_server_id, deque(maxlen=STARTS_MAX))
        starts.append((now_s, weight))
        _discard_oldest(self._starts)

    def record_refusal(
        self, backend_server_id: str, reason: Reason, now_s: float
    ) -> None:
        """Record a refusal; it counts only if it was for want of room."""
        if reason in _ROOM_REASONS:
            self._refused_s[backend_server_id] = now_s
            _discard_oldest(self._refused_s)

    def load(
        self, service: str, backend_server_id: str, now_s: float
    ) -> GateLoad | None:
        """Return the load at a backend server; None if no ingress uses it."""
        if not tells_load(self._service_document(service)):
            return None
        room = self._room(backend_server_id, now_s)
        if room is None:
            return None
        return GateLoad(
            room.free_slots,
            room.waiting,
            room.wait_ms,
            weight_min=self._weight_min(backend_server_id, now_s),
        )

    def _weight_min(self, backend_server_id: str, now_s: float) -> float:
        since_s = now_s - RECENT_S
        if self._refused_s.get(backend_server_id, since_s) <= since_s:
            return 0.0
        starts = tuple(self._starts.get(backend_server_id, ()))
        return min((weight for at_s, weight in starts if at_s > since_s), default=0.0)


def _discard_oldest(by_server: dict) -> None:
    """Discard the oldest entry if there are more than `SERVERS_MAX`.

    A node has one backend server at a time, with a new id after each start.
    """
    if len(by_server) > SERVERS_MAX:
        by_server.pop(next(iter(by_server)), None)
