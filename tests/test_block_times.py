"""Tests of how long a quarantine blocks a request, and what ends it."""

from balsamspindle.crashes.block_times import BLOCKED_S
from tests.test_crash_verdicts import CAUSE, SHORT_S, CrashScenario


def test_a_request_is_run_after_its_quarantine_and_one_crash_quarantines_it_again():
    scenario = CrashScenario()
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S})
    scenario.now_s += BLOCKED_S - 1
    assert scenario.is_blocked(CAUSE)
    scenario.now_s += 2
    assert not scenario.is_blocked(CAUSE)
    scenario.crash({CAUSE: SHORT_S})
    scenario.now_s += BLOCKED_S + 1
    assert scenario.is_blocked(CAUSE)


def test_a_request_that_is_answered_after_its_quarantine_is_served_again():
    scenario = CrashScenario()
    for _ in range(3):
        scenario.crash({CAUSE: SHORT_S})
    scenario.now_s += BLOCKED_S + 1
    scenario.answer(CAUSE)
    for _ in range(2):
        scenario.crash({CAUSE: SHORT_S}, after_s=BLOCKED_S / 10)
    assert not scenario.is_blocked(CAUSE)
