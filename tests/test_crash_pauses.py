"""Tests of the pause of a request that may cause crashes, before that is certain."""

import math

import pytest

from balsamspindle.crashes.verdicts import (
    PAUSE_S,
    SIMILAR_TIMES_PROBABILITY_MIN,
    AttributedCrash,
    CauseEvidence,
    coincidence_probability,
)
from tests.test_crash_verdicts import CAUSE, CrashScenario

# Run times of a request that crashes backend servers after a time that varies as work
# does: too different to prove anything after three crashes.
VARIOUS_S = (0.6, 2.4, 1.3)


def lose_three(scenario: CrashScenario) -> None:
    for ran_s in VARIOUS_S:
        scenario.crash({CAUSE: ran_s}, after_s=3.0)


def test_the_third_crash_after_various_times_pauses_a_request():
    """Guards against a cause that ends a dozen servers before it is certain."""
    scenario = CrashScenario(servers=3)
    lose_three(scenario)
    assert scenario.quarantined == []
    assert scenario.is_blocked(CAUSE)


def test_a_pause_ends():
    """Guards against a request that is refused for long without proof."""
    scenario = CrashScenario(servers=3)
    lose_three(scenario)
    scenario.now_s += PAUSE_S - 0.1
    assert scenario.is_blocked(CAUSE)
    scenario.now_s += 0.2
    assert not scenario.is_blocked(CAUSE)


def test_an_answer_ends_a_pause():
    """Guards against the refusal of a request that has just been answered."""
    scenario = CrashScenario(servers=3)
    lose_three(scenario)
    scenario.answer(CAUSE)
    assert not scenario.is_blocked(CAUSE)


def test_a_request_is_not_paused_for_crashes_of_others():
    """Guards against the refusal of a lookup that runs beside a likelier cause."""
    scenario = CrashScenario()
    for ran_s in VARIOUS_S:
        scenario.crash({CAUSE: 0.1, 2: ran_s}, after_s=3.0)
    assert not scenario.is_blocked(2)


@pytest.mark.parametrize(("count", "total"), [(3, 3), (6, 6), (4, 9)])
def test_few_crashes_have_a_binomial_probability(count, total):
    """Guards against a cause that is the only one and is not recognized."""
    ran_s, servers, gap_s = 0.5, 4, 3.0
    crashes = [
        AttributedCrash(1_000.0 + gap_s * number, ran_s) for number in range(count)
    ]
    window_s = gap_s * (count - 1) + 1.0
    occupancy = count * ran_s / (window_s * servers)
    expected = (
        math.comb(total, count)
        * occupancy**count
        * (1 - occupancy) ** (total - count)
        * SIMILAR_TIMES_PROBABILITY_MIN
    )
    evidence = CauseEvidence(crashes, total, servers)
    assert coincidence_probability(evidence) == pytest.approx(expected)
