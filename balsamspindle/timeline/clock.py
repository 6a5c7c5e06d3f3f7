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
    """The clock of one process; safe to use from all of its threads.

    Parameters
    ----------
    wall_offset_s : float, default=0.0
        Added to each wall time: sets this VM's clock wrong, for tests.
    """

    def __init__(self, wall_offset_s: float = 0.0) -> None:
        self.wall_offset_s = wall_offset_s
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
            self._last = max(self._last + 1, self._wall(wall_s))
            return self._last

    def observe(self, remote: int, wall_s: float) -> int:
        """Move past the time that a message carried and return the new time."""
        with self._lock:
            self._last = max(self._last + 1, remote + 1, self._wall(wall_s))
            return self._last

    def _wall(self, wall_s: float) -> int:
        return int((wall_s + self.wall_offset_s) * 1000) << COUNTER_BITS
