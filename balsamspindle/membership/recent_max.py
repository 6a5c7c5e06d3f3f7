"""The largest of the latest values."""

__all__ = ["RecentMax"]


class RecentMax:
    """Keeps the largest value of the last one to two spans of time."""

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._since_s = 0.0
        self._before = 0.0
        self._now = 0.0

    def note(self, value: float, now_s: float) -> None:
        """Take a value."""
        self._turn(now_s)
        self._now = max(self._now, value)

    def value(self, now_s: float) -> float:
        """Return the largest; 0 without any."""
        self._turn(now_s)
        return max(self._before, self._now)

    def _turn(self, now_s: float) -> None:
        if now_s - self._since_s > 2 * self._memory_s:
            self._before = 0.0
        elif now_s - self._since_s > self._memory_s:
            self._before = self._now
        else:
            return
        self._since_s, self._now = now_s, 0.0
