"""Hold-outs: periods for which one ingress avoids a node after failures.

Hold-outs are not shared between nodes. A node that one ingress cannot reach may be
reachable for all others. If an ingress reported its broken link to the fleet as a
failure of the node, the whole fleet would avoid a healthy node.
"""

import threading
from typing import NamedTuple

__all__ = ["HoldOuts"]

HOLD_OUTS_MAX = 1000


class _HoldOut(NamedTuple):
    end_s: float
    length_s: float
    is_request_pending: bool
    since_s: float = 0.0


_NO_HOLD_OUT = _HoldOut(0.0, 0.0, False)


class HoldOuts:
    """Records the hold-outs of one ingress, by node; thread-safe.

    A node's first failure starts a hold-out of `first_s`. Each further hold-out is
    twice as long as the one before, up to `max_s`, until a request to the node
    succeeds.

    Parameters
    ----------
    first_s, max_s : float
        Length of a node's first hold-out, and maximum length of its later ones.
    """

    def __init__(self, first_s: float, max_s: float) -> None:
        self._first_s = first_s
        self._max_s = max_s
        self._lock = threading.Lock()
        # Sorted by the time of the node's last failure, the latest last.
        self._held: dict[str, _HoldOut] = {}

    def __bool__(self) -> bool:
        return bool(self._held)

    def record_failure(self, node_id: str, now_s: float) -> bool:
        """Record a failure; return whether it is the first since the last success.

        Several requests that fail at the same time count as one failure, so a failure
        during a hold-out does not change it. After the end of a hold-out,
        `is_held_out` lets one request through. If that request fails, the next
        hold-out starts.
        """
        with self._lock:
            is_first = node_id not in self._held
            hold_out = self._held.pop(node_id, _NO_HOLD_OUT)
            if now_s >= hold_out.end_s or hold_out.is_request_pending:
                length_s = min(max(2 * hold_out.length_s, self._first_s), self._max_s)
                since_s = now_s if is_first else hold_out.since_s
                hold_out = _HoldOut(now_s + length_s, length_s, False, since_s)
            self._held[node_id] = hold_out
            if len(self._held) > HOLD_OUTS_MAX:
                del self._held[next(iter(self._held))]
            return is_first

    def record_success(self, node_id: str, now_s: float = 0.0) -> float | None:
        """End a node's hold-out; the node's next hold-out lasts `first_s` again.

        Returns
        -------
        float or None
            Seconds since the node's first failure after its previous success; None if
            it had no failure.
        """
        if node_id not in self._held:
            return None
        with self._lock:
            hold_out = self._held.pop(node_id, None)
        return None if hold_out is None else now_s - hold_out.since_s

    def is_held_out(self, node_id: str, now_s: float) -> bool:
        """Return whether a node is held out.

        The first call after the end of a hold-out returns False, and its caller sends
        one request to the node. All further calls return True for another `first_s`, or
        until the success or failure of this request is recorded.
        """
        if node_id not in self._held:
            return False
        with self._lock:
            hold_out = self._held.get(node_id, _NO_HOLD_OUT)
            if now_s < hold_out.end_s:
                return True
            if node_id in self._held:
                tried_until_s = now_s + self._first_s
                self._held[node_id] = hold_out._replace(
                    end_s=tried_until_s, is_request_pending=True
                )
            return False
