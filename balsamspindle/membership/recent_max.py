"""Maximum of the values recorded recently."""

__all__ = ["RecentMax"]


class RecentMax:
    """Maximum of the values recorded in the current and the previous window.

    Only the maxima of these two windows are stored, not the values.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._window_start_s = 0.0
        self._previous_max = 0.0
        self._current_max = 0.0

    def record(self, value: float, now_s: float) -> None:
        """Add a value."""
        self._rotate(now_s)
        self._current_max = max(self._current_max, value)

    def value(self, now_s: float) -> float:
        """Return the maximum of the recent values; 0 if there are none."""
        self._rotate(now_s)
        return max(self._previous_max, self._current_max)

    def _rotate(self, now_s: float) -> None:
        if now_s - self._window_start_s > 2 * self._window_s:
            self._previous_max = 0.0
        elif now_s - self._window_start_s > self._window_s:
            self._previous_max = self._current_max
        else:
            return
        self._window_start_s, self._current_max = now_s, 0.0
