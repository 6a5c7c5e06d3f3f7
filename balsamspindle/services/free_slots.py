"""Estimates at an ingress how many free slots each backend server has."""

import threading
from collections import OrderedDict
from typing import NamedTuple

from balsamspindle.membership.directory import Placement

__all__ = ["FREE_SLOTS_TTL_S", "FreeSlotEstimates"]

FREE_SLOTS_TTL_S = 1.0


class _Report(NamedTuple):
    free_slots: int
    received_s: float
    # Number of this ingress's attempts that were in flight when the report was
    # received. `free_slots` already excludes the slots that they use.
    own_in_flight: int


class FreeSlotEstimates:
    """Estimates the free slots of each backend server from its latest reply.

    Each reply reports the number of free slots. The report expires after
    `FREE_SLOTS_TTL_S`. After that, all usable slots of the backend server count as
    free, except those that this ingress's attempts use. If reports did not expire, a
    backend server that once reported no free slot would never be chosen again, and no
    reply could correct its report.

    Attempts that this ingress started after the report are subtracted from the reported
    free slots. Otherwise all requests of a burst between two replies would go to the
    same backend server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._reports: OrderedDict[str, _Report] = OrderedDict()
        self._own_in_flight: dict[str, int] = {}

    def record_start(self, backend_server_id: str) -> None:
        """Count an attempt that this ingress starts as one slot in use."""
        with self._lock:
            self._own_in_flight[backend_server_id] = (
                self._own_in_flight.get(backend_server_id, 0) + 1
            )

    def record_end(self, backend_server_id: str) -> None:
        """Stop counting an attempt of this ingress that ended."""
        with self._lock:
            own = self._own_in_flight.pop(backend_server_id) - 1
            if own:
                self._own_in_flight[backend_server_id] = own

    def record(self, backend_server_id: str, free_slots: int, now_s: float) -> None:
        """Record the free slots that a reply reported."""
        with self._lock:
            own = self._own_in_flight.get(backend_server_id, 0)
            self._reports[backend_server_id] = _Report(free_slots, now_s, own)
            self._reports.move_to_end(backend_server_id)
            self._discard_expired(now_s)

    def free_slots(self, placement: Placement, now_s: float) -> float:
        """Return the estimated free slots of a backend server."""
        server = placement.backend_server
        own = self._own_in_flight.get(server.backend_server_id, 0)
        report = self._reports.get(server.backend_server_id)
        if report is None or now_s - report.received_s > FREE_SLOTS_TTL_S:
            return server.slots * server.capacity - own
        return report.free_slots - max(0, own - report.own_in_flight)

    def _discard_expired(self, now_s: float) -> None:
        while self._reports:
            oldest = next(iter(self._reports.values()))
            if now_s - oldest.received_s <= FREE_SLOTS_TTL_S:
                return
            self._reports.popitem(last=False)
