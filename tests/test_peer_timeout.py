"""Timeouts that count only the time during which the process runs."""

from balsamspindle.requests.peer_timeout import POLL_STEP_S, PeerTimeout


class Clock:
    """A simulated clock, and a peer whose message arrives at a set time.

    Each poll advances the clock by the poll's step, or by the next pause if that is
    longer. `poll` returns whether the message has arrived.
    """

    def __init__(self, pauses_s: list[float], arrives_after_s: float = 1e9) -> None:
        self.now_s = 100.0
        self._pauses_s = pauses_s
        self._arrival_s = 100.0 + arrives_after_s

    def poll(self, step_s: float) -> bool:
        if self.now_s >= self._arrival_s:
            return True
        self.now_s += max(step_s, self._pauses_s.pop(0) if self._pauses_s else 0.0)
        return False

    def wait(self, timeout_s: float, time_s: float = 60.0) -> bool:
        timeout = PeerTimeout(timeout_s, self.now_s + time_s)
        return timeout.wait(self.poll, lambda: self.now_s)


def test_a_stall_of_the_own_process_does_not_count_against_the_peer():
    # Guards against a peer that is taken for silent because this process did not run
    # for 2 s. The peer's message arrives 0.1 s after that pause.
    assert Clock([2.0], arrives_after_s=2.1).wait(0.25)


def test_a_silent_peer_times_out():
    clock = Clock([])
    assert not clock.wait(0.25)
    assert abs(clock.now_s - 100.25) < 1e-9


def test_stalls_do_not_extend_the_deadline():
    clock = Clock([0.4] * 100)
    assert not clock.wait(0.25, time_s=1.0)
    assert clock.now_s <= 101.0 + 0.4


def test_a_timeout_shorter_than_one_step_is_not_exceeded():
    clock = Clock([])
    assert not clock.wait(POLL_STEP_S / 2)
    assert abs(clock.now_s - 100.0 - POLL_STEP_S / 2) < 1e-9
