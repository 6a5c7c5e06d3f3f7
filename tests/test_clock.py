"""Tests of the hybrid logical clock with wrong wall clocks."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.timeline.clock import AHEAD_MAX_S, COUNTER_BITS, HybridClock

WALL_S = 1_764_700_000.0


class HybridClockTests(TestCase):
    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.integers(0, 3), st.floats(0, 0.01)),
            max_size=40,
        ),
        st.lists(st.floats(-100, 100), min_size=4, max_size=4),
    )
    def test_an_effect_never_sorts_before_its_cause(self, messages, skews_s):
        clocks = [HybridClock(skew_s) for skew_s in skews_s]
        wall_s = WALL_S
        for source, target, later_s in messages:
            wall_s += later_s
            sent = clocks[source].tick(wall_s)
            self.assertLess(sent, clocks[target].observe(sent, wall_s))

    def test_a_clock_years_ahead_is_not_followed(self):
        # The clock of one VM is ten years ahead, and its messages reach all other VMs.
        # If the other VMs followed this clock, all events of the fleet would carry a
        # wrong time for years, even after this VM is removed.
        clock, wrong = HybridClock(), HybridClock(10 * 365 * 86_400)
        clock.tick(WALL_S)
        after = clock.observe(wrong.tick(WALL_S), WALL_S)
        self.assertLess((after >> COUNTER_BITS) / 1000, WALL_S + 1)
        self.assertEqual(1, clock.ignored_count)
        clock.observe(2**64 - 1, WALL_S)
        clock.observe(-5, WALL_S)
        self.assertEqual(2, clock.ignored_count)

    def test_a_clock_within_the_limit_is_followed(self):
        clock, ahead = HybridClock(), HybridClock(AHEAD_MAX_S - 1)
        sent = ahead.tick(WALL_S)
        self.assertLess(sent, clock.observe(sent, WALL_S))
        self.assertEqual(0, clock.ignored_count)

    def test_times_increase_if_the_counter_overflows_or_the_clock_steps_back(self):
        clock = HybridClock()
        last = clock.tick(WALL_S)
        for count in range(2 ** (COUNTER_BITS + 1)):
            value = clock.tick(WALL_S - count % 7)
            self.assertGreater(value, last)
            last = value
        # The counter overflows twice, which adds two milliseconds. The wall clock soon
        # exceeds this time.
        self.assertGreater(clock.tick(WALL_S + 0.1), last)
        self.assertEqual(
            int((WALL_S + 0.1) * 1000), clock.tick(WALL_S + 0.1) >> COUNTER_BITS
        )
