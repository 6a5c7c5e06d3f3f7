"""What one ingress keeps away from for a while, and tells nobody.

A node that this one cannot reach may be well for all others: spread as
sickness, one broken link would take healthy capacity from the whole fleet.
"""

import threading
from typing import NamedTuple

__all__ = ["HoldOuts"]

KEPT_MAX = 1000


class _Hold(NamedTuple):
    end_s: float
    length_s: float
    is_tried: bool
    since_s: float = 0.0


_NO_HOLD = _Hold(0.0, 0.0, False)


class HoldOuts:
    """Names that are avoided for a time that grows with each failure.

    Parameters
    ----------
    first_s, max_s : float
        The first time, doubled with each failure in a row up to the longest.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._lock = threading.Lock()
        # The newest failure last.
        self._held: dict[str, _Hold] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def note_failure(self, name: str, now_s: float) -> bool:
        """Avoid a name, longer than the last time; True when it is the first."""
        with self._lock:
            is_first = name not in self._held
            hold = self._held.pop(name, _NO_HOLD)
            # Requests that failed together count once.
            if now_s >= hold.end_s or hold.is_tried:
                length_s = min(max(2 * hold.length_s, self._first_s), self._max_s)
                since_s = now_s if is_first else hold.since_s
                hold = _Hold(now_s + length_s, length_s, False, since_s)
            self._held[name] = hold
            if len(self._held) > KEPT_MAX:
                del self._held[next(iter(self._held))]
            return is_first

    def note_success(self, name: str, now_s: float = 0.0) -> float | None:
        """Forget the failures of a name; return how long ago the first was."""
        if name not in self._held:
            return None
        with self._lock:
            hold = self._held.pop(name, None)
        return None if hold is None else now_s - hold.since_s

    def is_held(self, name: str, now_s: float) -> bool:
        """Tell whether a name is avoided.

        When its time is over the first to ask may try it, alone: it is held
        for the others until that try has told how it stands.
        """
        if name not in self._held:
            return False
        with self._lock:
            hold = self._held.get(name, _NO_HOLD)
            if now_s < hold.end_s:
                return True
            if name in self._held:
                tried_until_s = now_s + self._first_s
                self._held[name] = hold._replace(end_s=tried_until_s, is_tried=True)
            return False
