"""Rate limit on the lines that a process writes for each event name.

Each request writes several lines. Under overload, writing them would take processor
time from the requests. Each event name has its own budget, so a flood of one event
does not suppress others. Lines over the budget are counted. In a later second, the
event log writes the counts together with the first line, of any event name, that is
within the budget of its own event name.
"""

import threading
from collections import Counter

__all__ = ["LINES_PER_S", "LineBudget"]

# A line costs about 20 us of processor time, so this limit is one hundredth of a core
# for each event name. A fully loaded node serves about 300 requests per second. Each
# request usually writes four lines with four event names, so the node writes about 300
# lines per second for each of these event names, which is below the limit.
LINES_PER_S = 500


class LineBudget:
    """Counts the lines of each event name in the current second; thread-safe."""

    def __init__(self, lines_per_s: int = LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        # Lines left out in earlier seconds, not yet returned by `pop_left_out`.
        self._unreported: Counter[str] = Counter()

    def try_spend(self, event: str, now_s: float) -> bool:
        """Count a line of an event; return False if it exceeds the event's budget."""
        with self._lock:
            if int(now_s) != self._second:
                self._second = int(now_s)
                self._written.clear()
                self._unreported.update(self._left_out)
                self._left_out.clear()
            self._written[event] += 1
            if self._written[event] <= self._lines_per_s:
                return True
            self._left_out[event] += 1
            return False

    def pop_left_out(self) -> dict[str, int]:
        """Return and clear the numbers of lines left out in earlier seconds.

        Returns
        -------
        dict of str to int
            Event name to the number of its lines that were left out.
        """
        if not self._unreported:
            return {}
        with self._lock:
            unreported = dict(self._unreported)
            self._unreported.clear()
            return unreported
