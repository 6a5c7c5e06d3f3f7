"""Timeout for a peer's reply that excludes time in which this process was stalled.

On a VM that is paused or short of CPU time, a timeout may pass before the process can
read a reply that arrived in time. The peer must then not be treated as unreachable.
"""

from collections.abc import Callable

__all__ = ["PeerTimeout"]

# Maximum wait of one poll. If a poll takes longer, this process was stalled; the excess
# does not count towards the peer's timeout.
POLL_STEP_S = 0.05


class PeerTimeout:
    """Limits the wait for a peer's reply, not counting stalls of this process.

    Parameters
    ----------
    timeout_s : float
        How long to wait for the reply, not counting time in which this process was
        stalled.
    deadline_s : float
        Monotonic time at which the wait ends even if `timeout_s` has not elapsed.
    """

    def __init__(self, timeout_s: float, deadline_s: float) -> None:
        self._remaining_s = timeout_s
        self._deadline_s = deadline_s

    def wait(self, poll: Callable[[float], bool], clock: Callable[[], float]) -> bool:
        """Poll in short steps; return whether the event occurred before the timeout.

        Parameters
        ----------
        poll : callable
            Waits for the event for at most the given time, in s, and returns whether
            the event occurred.
        clock : callable
            Returns the current monotonic time, in s.
        """
        now_s = clock()
        while (step_s := self._step_s(now_s)) > 0:
            if poll(step_s):
                return True
            before_s, now_s = now_s, clock()
            self._remaining_s -= min(now_s - before_s, step_s)
        return False

    def _step_s(self, now_s: float) -> float:
        return min(POLL_STEP_S, self._remaining_s, self._deadline_s - now_s)
