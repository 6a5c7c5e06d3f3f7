"""The byte cap: limits the bytes per second that one node sends in member messages."""

import threading
from enum import IntEnum

__all__ = ["ByteBudget", "Importance"]

BURST_S = 4.0


class Importance(IntEnum):
    """Importance of a message, which decides how much of the byte budget it may use.

    A message of a level must leave a fraction of the token bucket to messages of
    higher levels; answers to probes may use all of the bucket. Without these
    reserves, suspicions and the probes that check them would use up the budget, and
    answers to probes would not be sent. The missing answers would cause more
    suspicions, so the fleet would stay overloaded after the original cause is gone.

    Messages with settings use a separate bucket. When this bucket is empty, they use
    the common bucket at level ``URGENT`` (see `Channel`). The separate bucket exists
    because a change of many routes has to be in force within seconds and needs more
    bytes than the common bucket can hold.
    """

    ROUTINE = 0
    URGENT = 1
    CHECK = 2
    PROBE = 3
    ANSWER = 4
    SETTINGS = 5


# Fraction of the bucket that messages of a level must leave unspent.
RESERVED_FRACTIONS: dict[Importance, float] = {
    Importance.ROUTINE: 0.5,
    Importance.URGENT: 0.3,
    Importance.CHECK: 0.2,
    Importance.PROBE: 0.1,
    Importance.ANSWER: 0.0,
    Importance.SETTINGS: 0.0,
}


class ByteBudget:
    """A token bucket of bytes; thread-safe.

    Parameters
    ----------
    bytes_per_s : float
        Rate at which the bucket is refilled.
    burst_bytes : float or None
        Size of the bucket; None for the bytes that `BURST_S` seconds refill.
    """

    def __init__(
        self, bytes_per_s: float, now_s: float, burst_bytes: float | None = None
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes or bytes_per_s * BURST_S
        self._level_bytes = self._burst_bytes
        self._refilled_s = now_s
        self._lock = threading.Lock()
        self.spent_bytes = 0
        self.refused = 0

    def try_spend(self, size_bytes: int, now_s: float, importance: Importance) -> bool:
        """Spend bytes; return False, and spend none, if too few are available."""
        with self._lock:
            self._refill(now_s)
            reserved_bytes = self._burst_bytes * RESERVED_FRACTIONS[importance]
            if self._level_bytes - size_bytes < reserved_bytes:
                self.refused += 1
                return False
            self._level_bytes -= size_bytes
            self.spent_bytes += size_bytes
            return True

    def available_bytes(self, importance: Importance, now_s: float) -> int:
        """Return how many bytes a message of this importance may have now."""
        with self._lock:
            self._refill(now_s)
            reserved_bytes = self._burst_bytes * RESERVED_FRACTIONS[importance]
            return max(0, int(self._level_bytes - reserved_bytes))

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        self._level_bytes = min(
            self._burst_bytes, self._level_bytes + elapsed_s * self.bytes_per_s
        )
