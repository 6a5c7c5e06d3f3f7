"""How many requests a backend server gets that names a limit."""

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.backend_servers.rate_limits import (
    WAIT_MAX_S,
    ZERO_LIMIT_INTERVAL_S,
    RateLimit,
)
from tests.announcing_server import most_in_window

WINDOW_S = 4.0
STEP_S = 0.01


def allowed(limit_per_s):
    """Return how many requests a backend server accepts in `WINDOW_S` at most."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def greedy_sends(rate: RateLimit, from_s: float, to_s: float) -> list[float]:
    """Send whenever the limit allows it; return when."""
    sent_s, now_s = [], from_s
    while now_s < to_s:
        while rate.allowance(now_s).tokens >= 1:
            rate.spend(1.0, now_s)
            sent_s.append(now_s)
        now_s += STEP_S
    return sent_s


class RateLimitTests(TestCase):
    @given(
        st.floats(0.05, 40.0),
        st.lists(st.floats(0.0, 6.0), min_size=1, max_size=5),
    )
    def test_no_window_has_more_than_allowed_across_pauses_and_restarts(
        self, limit_per_s, pauses_s
    ):
        # A new RateLimit after each pause is the gate of a restarted node.
        sent_s, now_s = [], 0.0
        for pause_s in pauses_s:
            sent_s += greedy_sends(RateLimit(limit_per_s, now_s), now_s, now_s + 2.0)
            now_s += 2.0 + pause_s
        self.assertLessEqual(
            most_in_window(sent_s, WINDOW_S, 0.0), allowed(limit_per_s)
        )

    def test_the_whole_allowance_can_be_used(self):
        for limit_per_s in (0.2, 1.7, 2.8, 30.0):
            sent = len(greedy_sends(RateLimit(limit_per_s, 0.0), 0.0, 60.0))
            self.assertAlmostEqual(60 * limit_per_s, sent, delta=2)

    def test_a_pause_saves_at_most_one_second_of_requests(self):
        rate = RateLimit(5.0, 0.0)
        self.assertEqual(5.0, rate.allowance(100.0).tokens)
        slow = RateLimit(0.2, 0.0)
        self.assertEqual(1.0, slow.allowance(100.0).tokens)

    def test_the_reported_wait_is_true(self):
        rate = RateLimit(0.2, 0.0)
        wait_s = rate.allowance(1.0).wait_s(1)
        self.assertAlmostEqual(4.0, wait_s)
        self.assertLess(rate.allowance(1.0 + wait_s - 0.01).tokens, 1)
        self.assertGreaterEqual(rate.allowance(1.0 + wait_s + 0.01).tokens, 1)

    def test_a_backend_server_that_takes_none_is_tried_rarely(self):
        # Without any request, no answer could tell that the limit has ended.
        sent_s = greedy_sends(RateLimit(0.0, 0.0), 0.0, 2.5 * ZERO_LIMIT_INTERVAL_S)
        self.assertEqual(2, len(sent_s))
        tiny = RateLimit(1e-9, 0.0)
        self.assertEqual(WAIT_MAX_S, tiny.allowance(0.0).wait_s(1))

    def test_a_lower_limit_takes_away_what_it_does_not_allow(self):
        rate = RateLimit(30.0, 0.0)
        rate.allowance(10.0)
        rate.set_limit(2.0, 10.0)
        self.assertEqual(2.0, rate.allowance(10.0).tokens)

    def test_a_request_that_was_not_sent_is_not_counted(self):
        rate = RateLimit(1.0, 0.0)
        rate.allowance(1.0)
        rate.spend(1.0, 1.0)
        rate.refund()
        self.assertEqual(1.0, rate.allowance(1.0).tokens)

    def test_a_light_request_is_told_the_wait_behind_heavier_ones(self):
        # Guards against light requests that queue although heavier ones use all of the
        # allowance.
        rate = RateLimit(2.0, 0.0)
        for number in range(40):
            rate.allowance(number / 2)
            rate.spend(5.0, number / 2)
        light, heavy = rate.allowance(20.0, 1.0), rate.allowance(20.0, 5.0)
        self.assertAlmostEqual(1.0, heavy.wait_s(2))
        self.assertGreater(light.wait_s(2), 4.0)
