"""A hybrid logical clock: orders events over VMs whose clocks disagree.

The upper bits are milliseconds of wall time, the lower 16 a counter. Each
message carries the sender's value and the receiver moves past it, so that an
effect never sorts before its cause, though the wall clocks are apart
(Kulkarni et al., 2014).

A clock that is more than `AHEAD_MAX_S` ahead is not followed: one VM with a
clock years ahead would else drag all others there, and their events would
carry a wrong time until the wall clocks come there. Between such a VM and the
others the order is lost; `HybridClock.refused` counts it, so that it shows.
"""

import threading

__all__ = ["AHEAD_MAX_S", "COUNTER_BITS", "HybridClock"]

COUNTER_BITS = 16
AHEAD_MAX_S = 300.0


class HybridClock:
    """The clock of one process; safe to use from all of its threads.

    Parameters
    ----------
    wall_offset_s : float, default=0.0
        Added to each wall time: sets this VM's clock wrong, for tests.

    Attributes
    ----------
    refused : int
        Times of messages that were too far ahead to be followed.
    """

    def __init__(self, wall_offset_s: float = 0.0) -> None:
        self.wall_offset_s = wall_offset_s
        self._lock = threading.Lock()
        self._last = 0
        self.refused = 0

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
        """Move past the time that a message carried and return the new time.

        Parameters
        ----------
        remote : int
            From the message; taken as it is, though garbage.
        wall_s : float
            Present wall time.
        """
        with self._lock:
            wall = self._wall(wall_s)
            if self.ahead_s(remote, wall_s) > AHEAD_MAX_S:
                self.refused += 1
                remote = 0
            # More than 65,535 events in a millisecond carry over into the
            # next one: the sum stays in order, and the wall clock catches up.
            self._last = max(self._last + 1, remote + 1, wall)
            return self._last

    def ahead_s(self, remote: int, wall_s: float) -> float:
        """Return how far a time of another process is ahead of this VM's clock."""
        return ((remote >> COUNTER_BITS) - (self._wall(wall_s) >> COUNTER_BITS)) / 1000

    def _wall(self, wall_s: float) -> int:
        return int((wall_s + self.wall_offset_s) * 1000) << COUNTER_BITS
