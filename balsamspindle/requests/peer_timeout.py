"""Timeout for a peer's reply that excludes time in which this process was stalled.

On a VM that is paused or short of CPU time, a timeout may pass before the process can
read a reply that arrived in time. The peer must not count as unreachable then.
"""

from collections.abc import Callable

__all__ = ["PeerTimeout"]

# Longest time that one poll waits. If a poll takes longer, this process was stalled;
# the excess does not count as a delay of the peer.
POLL_STEP_S = 0.05


class PeerTimeout:
    """The time that a peer has left to reply.

    Parameters
    ----------
    timeout_s : float
        How long to wait for the reply, not counting time in which this process was
        stalled.
    deadline_s : float
        When the wait ends in any case, stalls included, on the monotonic clock.
    """

    def __init__(self, timeout_s: float, deadline_s: float) -> None:
        self._left_s = timeout_s
        self._deadline_s = deadline_s

    def wait(self, poll: Callable[[float], bool], clock: Callable[[], float]) -> bool:
        """Poll in short steps; return True at the awaited event, False at the timeout.

        Parameters
        ----------
        poll : callable
            Waits for at most the given time, in s, and returns whether the awaited
            event came.
        clock : callable
            Returns the present time on the monotonic clock, in s.
        """
        now_s = clock()
        while (step_s := self._step_s(now_s)) > 0:
            if poll(step_s):
                return True
            before_s, now_s = now_s, clock()
            self._left_s -= min(now_s - before_s, step_s)
        return False

    def _step_s(self, now_s: float) -> float:
        return min(POLL_STEP_S, self._left_s, self._deadline_s - now_s)
