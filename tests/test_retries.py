"""Retries: which requests get one, and the load that retries add."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.latency_estimate import LatencyEstimate
from balsamspindle.requests.retries import (
    DENIALS_BY_DEMAND_MAX,
    DENIALS_MAX,
    RetryPolicy,
)
from balsamspindle.requests.retry_after import RetryAfterEstimator
from balsamspindle.requests.retry_tokens import FLOOR_BURST_S, RetryTokens
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.holdouts import HOLD_OUTS_MAX, HoldOuts
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import (
    AttemptId,
    BackendServerRecord,
    NodeRecord,
    Reply,
)
from bench.retry_storm import SERVERS, Failure, FixedAttempts, run_storm

SERVICE = "crew/vacancies"
OWN = NodeRecord("own", 1, 1, "r", "z", "-", "-", "alive")
ATTEMPT = AttemptId("own", 1, 1)
BUDGET = RetryBudget(fraction=0.1, per_s_min=1.0)
STEPS = st.lists(
    st.tuples(st.sampled_from(["request", "retry"]), st.floats(0, 3)), max_size=200
)


class RetryStormTests(TestCase):
    # When all backend servers of a service fail or hang, three attempts for each
    # request would triple the load and keep the service overloaded.

    def test_the_budget_limits_a_retry_storm(self):
        for failure in (Failure.HANG, Failure.BROKEN, Failure.SHED):
            result = run_storm(failure, SERVERS, RetryPolicy, seed=0)
            baseline = run_storm(failure, SERVERS, FixedAttempts, seed=0)
            self.assertLessEqual(result.attempts, 1.15, failure)
            self.assertEqual(3.0, baseline.attempts, failure)

    def test_refusals_by_busy_gates_cost_the_backend_servers_nothing(self):
        result = run_storm(Failure.BUSY, SERVERS, RetryPolicy, seed=0)
        self.assertEqual(0, result.runs)
        self.assertLessEqual(result.attempts, 2.2)

    def test_most_requests_are_answered_while_half_of_the_backend_servers_fail(self):
        for failure in Failure:
            result = run_storm(failure, SERVERS // 2, RetryPolicy, seed=0)
            self.assertGreaterEqual(result.answered, 0.9, failure)
            self.assertLessEqual(result.attempts, 1.15, failure)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(STEPS)
    def test_retries_stay_below_a_fraction_of_requests_plus_a_fixed_rate(self, steps):
        tokens, now_s, requests, retries = RetryTokens(), 0.0, 0, 0
        for kind, pause_s in steps:
            now_s += pause_s
            if kind == "request":
                tokens.record_request(BUDGET, now_s)
                requests += 1
            else:
                retries += tokens.take(BUDGET, now_s)
        floor = BUDGET.per_s_min * (now_s + FLOOR_BURST_S)
        self.assertLessEqual(retries, BUDGET.fraction * requests + floor + 1e-6)


class MayRetryTests(TestCase):
    def _may_retry(self, execution, *replies, remaining_s=1.0):
        policy = RetryPolicy(lambda service: BUDGET)
        return bool(
            policy.may_retry(SERVICE, execution, list(replies), remaining_s, 0.0)
        )

    def test_which_replies_are_retried(self):
        def reply(outcome, reason=None, status=0):
            return Reply(ATTEMPT, outcome, reason, status)

        drained = reply(Outcome.NOT_RUN, Reason.DRAINING)
        busy = reply(Outcome.NOT_RUN, Reason.NO_FREE_SLOT)
        cancelled = reply(Outcome.NOT_RUN, Reason.CANCELLED)
        silent = reply(Outcome.UNKNOWN, Reason.SILENCE)
        shed = reply(Outcome.ANSWERED, status=503)
        failed = reply(Outcome.ANSWERED, status=500)
        # Each case: the reply, whether an idempotent request is retried after it, and
        # whether a non-idempotent request is.
        cases = [
            (drained, True, True),
            (busy, True, True),
            (cancelled, False, False),
            (silent, True, False),
            (shed, True, False),
            (failed, False, False),
        ]
        for case, idempotent, non_idempotent in cases:
            may = [self._may_retry(execution, case) for execution in Execution]
            self.assertEqual([idempotent, non_idempotent], may, case)
        self.assertFalse(
            self._may_retry(Execution.IDEMPOTENT, drained, remaining_s=0.0)
        )
        self.assertFalse(self._may_retry(Execution.IDEMPOTENT, *[drained] * 5))

    def test_no_attempt_begins_that_could_not_end_in_time(self):
        policy = RetryPolicy(lambda service: BUDGET)
        policy.record_answer(SERVICE, 0.5)
        silent = [Reply(ATTEMPT, Outcome.UNKNOWN, Reason.SILENCE)]
        arguments = SERVICE, Execution.IDEMPOTENT, silent
        self.assertFalse(policy.may_retry(*arguments, 0.4, 0.0))
        self.assertTrue(policy.may_retry(*arguments, 0.6, 0.0))

    def test_the_own_gates_hedge_delay_exceeds_its_limit_for_a_slow_answer(self):
        # An attempt at the own gate is ended after the hedge delay. If the delay were
        # shorter than the gate's limit for a slow answer, a backend server that hangs
        # would give the gate no evidence and would never be detected.
        policy = RetryPolicy(lambda service: BUDGET)
        policy.record_answer(SERVICE, 0.01, p99_ms=30.0)
        near_s, far_s = (
            policy.hedge_delay_s(SERVICE, is_own, 2.0, 0.0) for is_own in (True, False)
        )
        self.assertGreaterEqual(near_s, 0.09)
        self.assertLess(far_s, 0.09)
        # A second attempt would not end before the deadline, so the first attempt may
        # use all of the remaining time.
        self.assertEqual(0.1, policy.hedge_delay_s(SERVICE, True, 0.1, 0.0))
        while policy.may_hedge(SERVICE, 0.0):
            pass
        self.assertEqual(2.0, policy.hedge_delay_s(SERVICE, False, 2.0, 0.0))

    def test_a_retry_paid_for_in_advance_is_made_or_refunded(self):
        # A silent attempt at the own gate is ended, and the request is retried at
        # another gate. The token for the retry is taken first. If other requests could
        # take the last token after the attempt has ended, the caller would get
        # `unknown` although an answer was about to come.
        policy = RetryPolicy(lambda service: BUDGET)
        self.assertTrue(policy.may_hedge(SERVICE, 0.0))
        while policy.may_hedge(SERVICE, 0.0):
            pass
        silent = [Reply(ATTEMPT, Outcome.UNKNOWN, Reason.SILENCE)]
        arguments = SERVICE, Execution.IDEMPOTENT, silent, 1.0, 0.0
        self.assertFalse(policy.may_retry(*arguments))
        self.assertTrue(policy.may_retry(*arguments, is_paid=True))
        cancelled = [Reply(ATTEMPT, Outcome.NOT_RUN, Reason.CANCELLED)]
        arguments = SERVICE, Execution.IDEMPOTENT, cancelled, 1.0, 0.0
        self.assertFalse(policy.may_retry(*arguments, is_paid=True))
        self.assertTrue(policy.may_hedge(SERVICE, 0.0))

    def test_a_retry_is_requested_from_a_limited_number_of_gates(self):
        # A gate without budget refuses a retry. Without a limit, an ingress would
        # request the retry from all gates of a large service, one after the other, for
        # each error.
        budget = RetryBudget(fraction=0.0, fleet_per_s_min=1.0, on_errors=True)
        policy = RetryPolicy(lambda service: budget)
        error = Reply(ATTEMPT, Outcome.ANSWERED, status=500)
        denial = Reply(ATTEMPT, Outcome.NOT_RUN, Reason.RETRY_BUDGET)
        replies = [error]
        while policy.may_retry(SERVICE, Execution.IDEMPOTENT, replies, 100.0, 0.0):
            replies.append(denial)
        self.assertEqual(1 + DENIALS_MAX, len(replies))
        # An attempt at the own gate is not ended early here, because the gates may deny
        # the retry.
        self.assertEqual(2.0, policy.hedge_delay_s(SERVICE, True, 2.0, 0.0))
        self.assertLess(policy.hedge_delay_s(SERVICE, False, 2.0, 0.0), 2.0)

    def test_more_gates_are_asked_for_a_retry_where_each_reserves_by_demand(self):
        """Requests failed while most of the fleet's repeats were not used."""
        budget = RetryBudget(
            fraction=0.0, fleet_per_s_min=1.0, on_errors=True, reserves_by_demand=True
        )
        policy = RetryPolicy(lambda service: budget)
        replies = [Reply(ATTEMPT, Outcome.ANSWERED, status=500)]
        while policy.may_retry(SERVICE, Execution.IDEMPOTENT, replies, 100.0, 0.0):
            replies.append(Reply(ATTEMPT, Outcome.NOT_RUN, Reason.RETRY_BUDGET))
        self.assertEqual(1 + DENIALS_BY_DEMAND_MAX, len(replies))

    def test_the_high_latency_estimate_is_near_the_95th_percentile(self):
        rng, estimate = random.Random(5), LatencyEstimate()
        for _ in range(5000):
            estimate.record(rng.expovariate(1.0))
        # The 95th percentile of this distribution is 3.0.
        self.assertTrue(2.2 < estimate.p95_s < 4.0, estimate.p95_s)
        self.assertTrue(0.5 < estimate.mean_s < 2.0, estimate.mean_s)


class RetryAfterTests(TestCase):
    def test_retry_times_are_spread_over_the_time_needed_to_serve_all_callers(self):
        # A service answers 20 requests per second and refuses 400 at once. If all
        # refused callers got the same retry time, they would all retry at the same
        # moment.
        times, rng = RetryAfterEstimator(), random.Random(3)
        for number in range(200):
            times.record(True, number * 0.05)
        for _ in range(400):
            times.record(False, 10.0)
        suggested = [times.suggest_ms(0.0, rng) for _ in range(400)]
        per_s = [
            sum(int(ms // 1000) == second for ms in suggested) for second in range(60)
        ]
        self.assertLess(max(per_s), 40)
        self.assertGreater(max(suggested), 20_000)

    def test_without_load_the_retry_time_is_short(self):
        times = RetryAfterEstimator()
        times.record(False, 0.0)
        suggested = times.suggest_ms(500.0, random.Random(3))
        self.assertTrue(500 <= suggested <= 2500)


class IngressViewTests(TestCase):
    def setUp(self):
        super().setUp()
        server = BackendServerRecord("server", SERVICE, "1", 6, "ready")
        self.placement = Placement(OWN, server)

    def test_own_attempts_since_the_last_reply_reduce_the_free_slots(self):
        estimates = FreeSlotEstimates()
        estimates.record_start("server")
        self.assertEqual(5, estimates.free_slots(self.placement, 0.0))
        estimates.record("server", 2, 0.0)
        self.assertEqual(2, estimates.free_slots(self.placement, 0.0))
        estimates.record_start("server")
        estimates.record_start("server")
        self.assertEqual(0, estimates.free_slots(self.placement, 0.0))
        for _ in range(3):
            estimates.record_end("server")
        self.assertEqual(2, estimates.free_slots(self.placement, 0.0))
        self.assertEqual(6, estimates.free_slots(self.placement, 60.0))

    def test_a_link_that_fails_again_is_held_out_longer(self):
        holds = HoldOuts(first_s=0.5, max_s=4.0)
        now_s, lengths_s = 0.0, []
        for _ in range(5):
            holds.record_failure("gate", now_s)
            holds.record_failure("gate", now_s)
            start_s = now_s
            while holds.is_held_out("gate", now_s):
                now_s += 0.125
            lengths_s.append(now_s - start_s)
        self.assertEqual([0.5, 1.0, 2.0, 4.0, 4.0], lengths_s)
        # When the hold-out has passed, `is_held_out` returns False to its first caller,
        # which may try the link. It returns True to all others until the result of that
        # try is recorded.
        self.assertTrue(holds.is_held_out("gate", now_s))
        holds.record_success("gate")
        self.assertFalse(holds.is_held_out("gate", now_s))

    def test_the_number_of_links_held_out_is_bounded(self):
        holds = HoldOuts(0.5, 4.0)
        for number in range(3 * HOLD_OUTS_MAX):
            holds.record_failure(f"gate-{number}", 0.0)
        kept = [
            holds.is_held_out(f"gate-{number}", 0.1)
            for number in range(3 * HOLD_OUTS_MAX)
        ]
        self.assertEqual(HOLD_OUTS_MAX, sum(kept))
