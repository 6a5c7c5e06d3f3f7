"""Waits that count only the time in which a process runs."""

from balsamspindle.requests.patience import STEP_S, Patience


class Clock:
    """A clock that each poll moves: by its step, or by a pause."""

    def __init__(self, pauses_s: list[float], comes_s: float = 1e9) -> None:
        self.now_s = 100.0
        self._pauses_s = pauses_s
        self._comes_s = 100.0 + comes_s

    def poll(self, step_s: float) -> bool:
        if self.now_s >= self._comes_s:
            return True
        self.now_s += max(step_s, self._pauses_s.pop(0) if self._pauses_s else 0.0)
        return False

    def wait(self, patience_s: float, time_s: float = 60.0) -> bool:
        patience = Patience(patience_s, self.now_s + time_s)
        return patience.wait(self.poll, lambda: self.now_s)


def test_a_pause_of_the_own_process_is_not_the_peers():
    # Guards against a peer that is given up since this process stood still.
    assert Clock([2.0], comes_s=2.1).wait(0.25)


def test_a_peer_that_is_silent_is_given_up_after_its_time():
    clock = Clock([])
    assert not clock.wait(0.25)
    assert abs(clock.now_s - 100.25) < 1e-9


def test_the_deadline_holds_whatever_stood_still():
    clock = Clock([0.4] * 100)
    assert not clock.wait(0.25, time_s=1.0)
    assert clock.now_s <= 101.0 + 0.4


def test_short_patience_is_one_short_step():
    clock = Clock([])
    assert not clock.wait(STEP_S / 2)
    assert abs(clock.now_s - 100.0 - STEP_S / 2) < 1e-9
