"""Schedules requests with which an ingress checks whether limits still hold.

A backend server that names a limit reports few usable slots, so placement does not
select it while others have more free slots. But only its answers can show that the
limit has ended. So an ingress that knows of a limit sends the backend server an
idempotent request now and then, if no other request from this ingress got there.
"""

import math
import random
import threading
from typing import NamedTuple

__all__ = ["CHECK_INTERVAL_MAX_S", "LimitChecks"]

# Shortest time after an answer until the next check. A longer time leaves the room
# unused that the end of a limit gives back.
CHECK_INTERVAL_S = 1.0
# A refused check doubles the interval, up to this time: the limit is used up, so that
# requests of other ingresses get there and will show its end.
CHECK_INTERVAL_MAX_S = 4.0
# Intervals are longer by a random fraction, up to this one. Otherwise ingresses that
# learned of a limit at the same time would check at the same time, and all but one be
# refused. They are never shorter: the limit might not allow the next request yet.
JITTER_FRACTION = 0.5
SERVERS_MAX = 10_000


class _Schedule(NamedTuple):
    """When a backend server last got a request, and how long until the next check."""

    last_s: float
    interval_s: float
    jitter: float

    def is_due(self, factor: float, now_s: float) -> bool:
        interval_s = min(factor * self.interval_s, CHECK_INTERVAL_MAX_S)
        return now_s - self.last_s >= interval_s * self.jitter


class LimitChecks:
    """When each limited backend server is due for a check; thread-safe."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._random = rng or random.Random()
        self._lock = threading.Lock()
        self._schedules: dict[str, _Schedule] = {}

    def record_reply(
        self, server_id: str, limit_per_s: float, is_refused: bool, now_s: float
    ) -> None:
        """Record the reply to any request for a limited backend server."""
        interval_s = max(CHECK_INTERVAL_S, 1 / limit_per_s if limit_per_s else math.inf)
        with self._lock:
            schedule = self._schedules.get(server_id)
            if is_refused and schedule is not None:
                interval_s = 2 * schedule.interval_s
            self._store(server_id, min(interval_s, CHECK_INTERVAL_MAX_S), now_s)

    def remove(self, server_id: str) -> None:
        """Discard the schedule of a backend server that names no limit any more."""
        if server_id in self._schedules:
            with self._lock:
                self._schedules.pop(server_id, None)

    def try_begin(self, server_id: str, factor: float, now_s: float) -> bool:
        """Begin a check if one is due; return whether it is.

        Parameters
        ----------
        factor : float
            How much longer the intervals are, up to `CHECK_INTERVAL_MAX_S`, than at a
            backend server of the own zone.
        """
        with self._lock:
            schedule = self._schedules.get(server_id)
            if schedule is None:
                self._store(server_id, CHECK_INTERVAL_S, now_s)
                return True
            if not schedule.is_due(factor, now_s):
                return False
            # Until the reply arrives, no second check begins.
            self._store(server_id, schedule.interval_s, now_s)
            return True

    def _store(self, server_id: str, interval_s: float, now_s: float) -> None:
        self._schedules.pop(server_id, None)
        jitter = self._random.uniform(1, 1 + JITTER_FRACTION)
        self._schedules[server_id] = _Schedule(now_s, interval_s, jitter)
        if len(self._schedules) > SERVERS_MAX:
            del self._schedules[next(iter(self._schedules))]
