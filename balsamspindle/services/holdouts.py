"""Hold-outs: periods for which one ingress avoids a node after failures.

Hold-outs are not shared between nodes. A node that one ingress cannot reach may be
reachable for all others. If the broken link were shared as a failure of the node, the
whole fleet would avoid a healthy node.
"""

import threading
from typing import NamedTuple

__all__ = ["HoldOuts"]

HOLD_OUTS_MAX = 1000


class _HoldOut(NamedTuple):
    end_s: float
    length_s: float
    is_tried: bool
    since_s: float = 0.0


_NO_HOLD_OUT = _HoldOut(0.0, 0.0, False)


class HoldOuts:
    """The hold-outs of an ingress, by the name of the node; thread-safe.

    After each further failure without a success between them, a node is held out for
    twice as long as before.

    Parameters
    ----------
    first_s, max_s : float
        Length of a node's first hold-out and of its longest possible one.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._lock = threading.Lock()
        # In the order of their last failure, the newest last.
        self._held: dict[str, _HoldOut] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def record_failure(self, name: str, now_s: float) -> bool:
        """Start a hold-out or the next longer one; return whether it is the first.

        A failure during a hold-out does not prolong it, so that several requests which
        fail at the same time count as one failure.
        """
        with self._lock:
            is_first = name not in self._held
            hold_out = self._held.pop(name, _NO_HOLD_OUT)
            if now_s >= hold_out.end_s or hold_out.is_tried:
                length_s = min(max(2 * hold_out.length_s, self._first_s), self._max_s)
                since_s = now_s if is_first else hold_out.since_s
                hold_out = _HoldOut(now_s + length_s, length_s, False, since_s)
            self._held[name] = hold_out
            if len(self._held) > HOLD_OUTS_MAX:
                del self._held[next(iter(self._held))]
            return is_first

    def record_success(self, name: str, now_s: float = 0.0) -> float | None:
        """End a node's hold-out; its next failure starts one of `first_s` again.

        Returns
        -------
        float or None
            Seconds since the node's first failure after its previous success; None if
            it had no failure.
        """
        if name not in self._held:
            return None
        with self._lock:
            hold_out = self._held.pop(name, None)
        return None if hold_out is None else now_s - hold_out.since_s

    def is_held_out(self, name: str, now_s: float) -> bool:
        """Tell whether a name is held out.

        The first call after the end of a hold-out returns False, so that its caller
        sends one request to the node. For all further calls the name is held out for
        another `first_s`, or until the success or failure of that request is recorded.
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
