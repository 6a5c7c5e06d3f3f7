"""Calls of the backend server beside this node that came to nothing.

While it works on a request a backend server may make calls of its own, through
this node. When one of them fails it answers its own request with an error. That
error is not its own sickness: taken for it, one sick service would have the
healthy backend servers of every service that calls it ejected.
"""

import threading

__all__ = ["FailedCalls"]

# An error that follows a failed call's answer within this time comes from it:
# both travel within one VM, and a backend server that gives up does so at once.
FOLLOWS_WITHIN_S = 0.06


class FailedCalls:
    """When this node last answered somebody with a failure."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_s = float("-inf")

    def note(self, now_s: float) -> None:
        """Take a failure that was answered to a caller of this node."""
        with self._lock:
            self._last_s = max(self._last_s, now_s)

    def explain_error(self, now_s: float) -> bool:
        """Tell whether an error that came now may follow from a failed call."""
        return now_s - self._last_s <= FOLLOWS_WITHIN_S
