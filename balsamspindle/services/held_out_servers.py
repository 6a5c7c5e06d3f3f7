"""Records which backend servers are held out, as the replies of their gates report.

While a backend server is held out, its gate sends it only the attempts of its trial and
last-resort attempts, and refuses all others.
"""

import threading
from typing import NamedTuple

from balsamspindle.wire import HoldOut

__all__ = ["HeldOutServers"]

HOLD_OUTS_MAX = 10_000
# A backend server counts as failing after this many bad results in a row. One error
# does not show that it is unhealthy. Healthy backend servers fail only one request in a
# hundred, but run so many more requests that a single error is as likely to come from a
# healthy backend server as from an unhealthy one. Two errors in a row show that the
# backend server is unhealthy.
FAILING_IN_A_ROW = 2


class _HoldOut(NamedTuple):
    until_s: float
    bad_in_a_row: int


class HeldOutServers:
    """Records the time until which each backend server is held out; thread-safe.

    Each reply of a gate, whether a refusal or an answer, contains the remaining time of
    the hold-out. So an ingress knows of a hold-out after one reply, and is refused at
    most once during it. The recorded times are only hints: the gate decides whether it
    accepts a request.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._hold_outs: dict[str, _HoldOut] = {}

    def record(self, backend_server_id: str, held_out: HoldOut, now_s: float) -> None:
        """Record whether a backend server is held out, as its gate replied."""
        if not held_out.held_out_ms and backend_server_id not in self._hold_outs:
            return
        with self._lock:
            self._hold_outs.pop(backend_server_id, None)
            if held_out.held_out_ms:
                until_s = now_s + held_out.held_out_ms / 1000
                hold_out = _HoldOut(until_s, held_out.bad_in_a_row)
                self._hold_outs[backend_server_id] = hold_out
                if len(self._hold_outs) > HOLD_OUTS_MAX:
                    del self._hold_outs[next(iter(self._hold_outs))]

    def held_out(self, now_s: float) -> set[str]:
        """Return the ids of the backend servers that are held out now."""
        return self._select(0, now_s)

    def failing(self, now_s: float) -> set[str]:
        """Return the ids of held-out backend servers that are failing.

        A backend server is failing if the gate's latest report of the hold-out
        contained at least `FAILING_IN_A_ROW` bad results since the last good one.
        """
        return self._select(FAILING_IN_A_ROW, now_s)

    def _select(self, bad_in_a_row_min: int, now_s: float) -> set[str]:
        if not self._hold_outs:
            return set()
        with self._lock:
            return {
                backend_server_id
                for backend_server_id, hold_out in self._hold_outs.items()
                if hold_out.until_s > now_s
                and hold_out.bad_in_a_row >= bad_in_a_row_min
            }
