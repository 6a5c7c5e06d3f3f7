"""What an ingress believes about free slots, from the replies that it got."""

import threading
from collections import OrderedDict
from typing import NamedTuple

from balsamspindle.membership.directory import Placement

__all__ = ["FREE_SLOTS_TTL_S", "FreeSlotViews"]

FREE_SLOTS_TTL_S = 1.0


class _Heard(NamedTuple):
    free_slots: int
    heard_s: float
    # Own attempts in flight when it was heard: these are counted in it.
    own_in_flight: int


class FreeSlotViews:
    """Free slots as piggybacked on the last reply of each backend server.

    What was heard is believed for `FREE_SLOTS_TTL_S`; after that a backend
    server counts as free. Believed for ever, one that was busy once would
    lose every choice, send no reply that says otherwise, and starve.

    Own attempts that started since then are taken off. Without that, a burst
    of requests between two replies would all go to the same backend server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: OrderedDict[str, _Heard] = OrderedDict()
        self._own: dict[str, int] = {}

    def started(self, backend_server_id: str) -> None:
        """Count an own attempt."""
        with self._lock:
            self._own[backend_server_id] = self._own.get(backend_server_id, 0) + 1

    def ended(self, backend_server_id: str) -> None:
        """Count the end of an own attempt."""
        with self._lock:
            own = self._own.pop(backend_server_id) - 1
            if own:
                self._own[backend_server_id] = own

    def note(self, backend_server_id: str, free_slots: int, now_s: float) -> None:
        """Take what a reply said."""
        with self._lock:
            own = self._own.get(backend_server_id, 0)
            self._heard[backend_server_id] = _Heard(free_slots, now_s, own)
            self._heard.move_to_end(backend_server_id)
            self._forget_old(now_s)

    def free_slots(self, placement: Placement, now_s: float) -> float:
        """Return the free slots of a backend server, as far as known."""
        server = placement.backend_server
        own = self._own.get(server.backend_server_id, 0)
        heard = self._heard.get(server.backend_server_id)
        if heard is None or now_s - heard.heard_s > FREE_SLOTS_TTL_S:
            return server.slots * server.capacity - own
        return heard.free_slots - max(0, own - heard.own_in_flight)

    def _forget_old(self, now_s: float) -> None:
        """Keep no entry that nobody believes any more."""
        while self._heard:
            oldest = next(iter(self._heard.values()))
            if now_s - oldest.heard_s <= FREE_SLOTS_TTL_S:
                return
            self._heard.popitem(last=False)
