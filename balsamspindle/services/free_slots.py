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


class FreeSlotViews:
    """Free slots as piggybacked on the last reply of each backend server.

    What was heard is believed for `FREE_SLOTS_TTL_S`; after that a backend
    server counts as free. Believed for ever, one that was busy once would
    lose every choice, send no reply that says otherwise, and starve.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._heard: OrderedDict[str, _Heard] = OrderedDict()

    def note(self, backend_server_id: str, free_slots: int, now_s: float) -> None:
        """Take what a reply said."""
        with self._lock:
            self._heard[backend_server_id] = _Heard(free_slots, now_s)
            self._heard.move_to_end(backend_server_id)
            self._forget_old(now_s)

    def free_slots(self, placement: Placement, now_s: float) -> float:
        """Return the free slots of a backend server, as far as known."""
        server = placement.backend_server
        heard = self._heard.get(server.backend_server_id)
        if heard is None or now_s - heard.heard_s > FREE_SLOTS_TTL_S:
            return server.slots * server.capacity
        return heard.free_slots

    def _forget_old(self, now_s: float) -> None:
        """Keep no entry that nobody believes any more."""
        while self._heard:
            oldest = next(iter(self._heard.values()))
            if now_s - oldest.heard_s <= FREE_SLOTS_TTL_S:
                return
            self._heard.popitem(last=False)
