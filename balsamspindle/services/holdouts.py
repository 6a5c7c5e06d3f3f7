"""Hold-outs: nodes that one ingress avoids for a while after failures.

Hold-outs are not shared with other nodes. A node that this one cannot reach may be
reachable for all others; if one broken link were shared as a failure of the node, the
whole fleet would lose healthy capacity.
"""

import threading
from typing import NamedTuple

__all__ = ["HoldOuts"]

KEPT_MAX = 1000


class _HoldOut(NamedTuple):
    end_s: float
    length_s: float
    is_tried: bool
    since_s: float = 0.0


_NO_HOLD_OUT = _HoldOut(0.0, 0.0, False)


class HoldOuts:
    """Names to avoid, each for a time that doubles with each failure in a row.

    Parameters
    ----------
    first_s, max_s : float
        Length of the first hold-out and of the longest.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._lock = threading.Lock()
        # In order of the last failure, the newest last.
        self._held: dict[str, _HoldOut] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def record_failure(self, name: str, now_s: float) -> bool:
        """Start or prolong a hold-out; return whether it is the name's first failure.

        Failures before the end of a hold-out do not prolong it, so that requests which
        fail together count once.
        """
        with self._lock:
            is_first = name not in self._held
            hold_out = self._held.pop(name, _NO_HOLD_OUT)
            if now_s >= hold_out.end_s or hold_out.is_tried:
                length_s = min(max(2 * hold_out.length_s, self._first_s), self._max_s)
                since_s = now_s if is_first else hold_out.since_s
                hold_out = _HoldOut(now_s + length_s, length_s, False, since_s)
            self._held[name] = hold_out
            if len(self._held) > KEPT_MAX:
                del self._held[next(iter(self._held))]
            return is_first

    def record_success(self, name: str, now_s: float = 0.0) -> float | None:
        """Clear a name's failures; return how long ago the first was, None if none."""
        if name not in self._held:
            return None
        with self._lock:
            hold_out = self._held.pop(name, None)
        return None if hold_out is None else now_s - hold_out.since_s

    def is_held(self, name: str, now_s: float) -> bool:
        """Tell whether a name is held out.

        After the end of a hold-out the first call returns False, so that its caller
        may try the name. The name is held out for all others for `first_s` more, or
        until a success or failure of that try is recorded.
        """
        if name not in self._held:
            return False
        with self._lock:
            hold_out = self._held.get(name, _NO_HOLD_OUT)
            if now_s < hold_out.end_s:
                return True
            if name in self._held:
                tried_until_s = now_s + self._first_s
                self._held[name] = hold_out._replace(end_s=tried_until_s, is_tried=True)
            return False
