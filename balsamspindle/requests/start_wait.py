"""Holds the requests that arrive before a started node can forward them."""

import time
from collections.abc import Callable

__all__ = ["READY_POLL_S", "StartWait"]

READY_POLL_S = 0.02


class StartWait:
    """Holds requests until this node is ready, but not beyond a time."""

    def __init__(self) -> None:
        self._end_s = 0.0
        self._is_ready: Callable[[], bool] = lambda: True

    def begin(self, is_ready: Callable[[], bool], end_s: float) -> None:
        """Hold requests until `is_ready` returns True, at most until `end_s`.

        Parameters
        ----------
        end_s : float
            Time on the monotonic clock.
        """
        self._is_ready, self._end_s = is_ready, end_s

    def wait(self) -> None:
        """Return once a request may be forwarded."""
        while time.monotonic() < self._end_s and not self._is_ready():
            time.sleep(READY_POLL_S)
