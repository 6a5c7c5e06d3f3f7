"""A hybrid logical clock: orders events over VMs whose clocks disagree.

The upper bits are milliseconds of wall time, the lower 16 a counter. Each
message carries the sender's value and the receiver moves past it, so that an
effect never sorts before its cause, however far the wall clocks are apart
(Kulkarni et al., 2014).
"""

import threading

__all__ = ["COUNTER_BITS", "HybridClock"]

COUNTER_BITS = 16


class HybridClock:
    """The clock of one process; safe to use from all of its threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last = 0

    def tick(self, wall_s: float) -> int:
        """Return the time of an event of this process.

        Parameters
        ----------
        wall_s : float
            Present wall time.
        """
        with self._lock:
            self._last = max(self._last + 1, int(wall_s * 1000) << COUNTER_BITS)
            return self._last

    def observe(self, remote: int, wall_s: float) -> int:
        """Move past the time that a message carried and return the new time."""
        with self._lock:
            wall = int(wall_s * 1000) << COUNTER_BITS
            self._last = max(self._last + 1, remote + 1, wall)
            return self._last
