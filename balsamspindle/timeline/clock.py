"""Hybrid logical clock: orders events of VMs whose wall clocks differ.

A value holds milliseconds of wall time in its upper bits and a counter in its lower
16 bits. Each message carries the sender's value, and the receiver sets its own clock
to a later value, so an effect never sorts before its cause even if the wall clocks
differ (Kulkarni et al., 2014).

A received value more than `AHEAD_MAX_S` ahead of the own wall clock is ignored.
Otherwise a single VM whose clock is years ahead would move the clocks of all others
to its time, and their events would carry a wrong time until the wall clocks reach that
time. Events of such a VM are not ordered relative to the events of other VMs;
`HybridClock.ignored_count` counts the ignored values.
"""

import threading

__all__ = ["AHEAD_MAX_S", "COUNTER_BITS", "HybridClock"]

COUNTER_BITS = 16
AHEAD_MAX_S = 300.0


class HybridClock:
    """Clock of one process; thread-safe.

    Parameters
    ----------
    wall_offset_s : float, default=0.0
        Added to each wall time, to simulate a wrong wall clock in tests.

    Attributes
    ----------
    ignored_count : int
        Number of received times that were ignored as too far ahead.
    """

    def __init__(self, wall_offset_s: float = 0.0) -> None:
        self.wall_offset_s = wall_offset_s
        self._lock = threading.Lock()
        self._last = 0
        self.ignored_count = 0

    def tick(self, wall_s: float) -> int:
        """Advance the clock for an event of this process and return its time.

        Parameters
        ----------
        wall_s : float
            Current wall time, without the clock's offset.
        """
        with self._lock:
            self._last = max(self._last + 1, self._encode_wall_time(wall_s))
            return self._last

    def observe(self, remote: int, wall_s: float) -> int:
        """Advance the clock past the time in a received message; return the new time.

        Parameters
        ----------
        remote : int
            Time in the message. It need not be validated: any integer is accepted.
        wall_s : float
            Current wall time, without the clock's offset.
        """
        with self._lock:
            wall = self._encode_wall_time(wall_s)
            if self.ahead_s(remote, wall_s) > AHEAD_MAX_S:
                self.ignored_count += 1
                remote = 0
            # More than 65,535 events in a millisecond overflow the counter into the
            # milliseconds. Values still increase, and the wall clock catches up.
            self._last = max(self._last + 1, remote + 1, wall)
            return self._last

    def ahead_s(self, remote: int, wall_s: float) -> float:
        """Return by how many seconds a remote time is ahead of the own wall clock."""
        return (
            (remote >> COUNTER_BITS) - (self._encode_wall_time(wall_s) >> COUNTER_BITS)
        ) / 1000

    def _encode_wall_time(self, wall_s: float) -> int:
        return int((wall_s + self.wall_offset_s) * 1000) << COUNTER_BITS
