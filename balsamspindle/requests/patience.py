"""How long to wait for a peer, not counting time in which this process stood still.

A VM that is paused or short of processor time finds a limit passed before it could read
what had come in time. The peer is not to blame for that.
"""

from collections.abc import Callable

__all__ = ["Patience"]

# A poll that takes longer was held up by this process, not by the peer.
STEP_S = 0.05


class Patience:
    """The time that is left for a peer.

    Parameters
    ----------
    patience_s : float
        Of time in which this process ran.
    deadline_s : float
        On the monotonic clock; then it is over in any case.
    """

    def __init__(self, patience_s: float, deadline_s: float) -> None:
        self._left_s = patience_s
        self._deadline_s = deadline_s

    def wait(self, poll: Callable[[float], bool], clock: Callable[[], float]) -> bool:
        """Poll in short steps; tell whether it was true before the patience ended.

        Parameters
        ----------
        poll : callable
            Waits for at most a time, in s, and tells whether it came.
        clock : callable
            Tells the present time.
        """
        now_s = clock()
        while (step_s := self._step_s(now_s)) > 0:
            if poll(step_s):
                return True
            before_s, now_s = now_s, clock()
            self._left_s -= min(now_s - before_s, step_s)
        return False

    def _step_s(self, now_s: float) -> float:
        return min(STEP_S, self._left_s, self._deadline_s - now_s)
