"""The cap on the bytes that one node sends for control."""

import threading

__all__ = ["ByteBudget"]

BURST_S = 4.0
RESERVE_FRACTION = 0.25


class ByteBudget:
    """A token bucket of bytes; safe to use from several threads.

    The last quarter of the bucket is kept for urgent messages: probes, their
    answers and news of nodes that leave or fail. Without it a burst of
    restarts would use up the bytes, acknowledgements would stay unsent, and
    busy nodes would be taken for dead ones.

    Parameters
    ----------
    bytes_per_s : float
        Long-run mean; a burst may take `BURST_S` seconds' worth at once.
    now_s : float
        Present time.
    """

    def __init__(self, bytes_per_s: float, now_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._burst_bytes = bytes_per_s * BURST_S
        self._reserve_bytes = self._burst_bytes * RESERVE_FRACTION
        self._level_bytes = self._burst_bytes
        self._filled_s = now_s
        self._lock = threading.Lock()
        self.spent_bytes = 0
        self.refused = 0

    def take(self, size_bytes: int, now_s: float, urgent: bool = False) -> bool:
        """Take bytes, or return False when the message has to wait."""
        with self._lock:
            self._fill(now_s)
            kept_bytes = 0.0 if urgent else self._reserve_bytes
            if self._level_bytes - size_bytes < kept_bytes:
                self.refused += 1
                return False
            self._level_bytes -= size_bytes
            self.spent_bytes += size_bytes
            return True

    def routine_bytes(self, now_s: float) -> int:
        """Return how much a routine message may take now."""
        with self._lock:
            self._fill(now_s)
            return max(0, int(self._level_bytes - self._reserve_bytes))

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = now_s
        self._level_bytes = min(
            self._burst_bytes, self._level_bytes + elapsed_s * self.bytes_per_s
        )
