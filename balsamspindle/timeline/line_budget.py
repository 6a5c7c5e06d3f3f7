"""How many lines of each event a process writes in a second.

Under an overload each request makes lines, and the lines would take the
processor from the requests. Each event has a budget of its own: a flood of one
does not hide another. What is left out is counted, and told once a second.
"""

import threading
from collections import Counter

__all__ = ["LINES_PER_S", "LineBudget"]

# A line costs about 20 us of processor time; a node at its full size serves
# some 300 requests a second with four lines each. The budget holds them to a
# hundredth of a core for each event.
LINES_PER_S = 500


class LineBudget:
    """Counts lines by event within the present second."""

    def __init__(self, lines_per_s: int = LINES_PER_S) -> None:
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._second = 0
        self._written: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        # Of the seconds before, not yet told.
        self._due: Counter[str] = Counter()

    def allows(self, event: str, now_s: float) -> bool:
        """Tell whether a line of an event may be written; count it."""
        with self._lock:
            if int(now_s) != self._second:
                self._second = int(now_s)
                self._written.clear()
                self._due.update(self._left_out)
                self._left_out.clear()
            self._written[event] += 1
            if self._written[event] <= self._lines_per_s:
                return True
            self._left_out[event] += 1
            return False

    def take_left_out(self) -> dict[str, int]:
        """Return what was left out before the present second, once."""
        if not self._due:
            return {}
        with self._lock:
            due = dict(self._due)
            self._due.clear()
            return due
