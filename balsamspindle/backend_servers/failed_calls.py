"""Identifies errors that a backend server returns because its own call failed.

While a backend server works on a request, it may call other services through the node
beside it. When such a call fails, the backend server answers the request that it works
on with an error. This error is no evidence against the backend server. If the error
counted, one sick service would cause the ejection of healthy backend servers of every
service that calls the sick one.
"""

import threading

__all__ = ["FailedCalls"]

# An error that a backend server returns this soon after a failed call is attributed to
# that call. The delay between the two is short: the node reports the failed call to the
# backend server, which at once stops working on its request and returns an error. Both
# messages are sent within one VM.
ERROR_DELAY_MAX_S = 0.06


class FailedCalls:
    """The time at which this node last answered a caller with a failure; thread-safe.

    Failed calls of all callers are recorded, not only those of the backend server that
    returns an error.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_s = float("-inf")
        # The last failed request that is known to be a call.
        self._last_call_s = float("-inf")
        self._last_call_id = ""

    def record(self, now_s: float, call_id: str = "") -> None:
        """Record that this node answered a caller with a failure.

        Parameters
        ----------
        call_id : str
            Id of the request if a run beside this node waited for it, else empty.
        """
        with self._lock:
            self._last_s = max(self._last_s, now_s)
            if call_id and now_s >= self._last_call_s:
                self._last_call_s, self._last_call_id = now_s, call_id

    def explains_error(self, now_s: float) -> bool:
        """Return whether an error received now may result from a failed call."""
        return now_s - self._last_s <= ERROR_DELAY_MAX_S

    def lost_call(self, now_s: float) -> str:
        """Return the id of the call that an error results from; empty if unknown."""
        with self._lock:
            is_recent = now_s - self._last_call_s <= ERROR_DELAY_MAX_S
            return self._last_call_id if is_recent else ""
