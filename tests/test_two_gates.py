"""One ingress and two gates: second attempts, refusals and last resorts."""

import threading
import time

from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.retries import (
    RetryPolicy,
)
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import (
    Reply,
    encode,
)
from tests.two_gates import BODY, TwoGateCase, answer


class TwoGateTests(TwoGateCase):
    def test_a_second_attempt_answers_for_a_silent_backend_server(self):
        # One backend server hangs. Without a second attempt in parallel, its callers
        # would wait until their deadline and get `unknown`.
        self.answers["a"] = lambda dispatch: []
        replies = [self._request() for _ in range(6)]
        self.assertEqual([BODY] * 6, [reply.body for reply in replies])
        # The silent attempt is not cancelled: its duration lets the gate detect that
        # the backend server hangs.
        silent = self.gates["a"]
        self.assertTrue(silent.dispatches)
        self.assertEqual([], silent.cancels)

    def test_a_second_attempt_counts_towards_attempts_max(self):
        # The route allows two attempts. The first one hangs, and the second one, made
        # in parallel, fails. A third attempt would exceed the operator's limit.
        self.answers = {
            "a": lambda dispatch: [],
            "b": lambda dispatch: answer(dispatch, status=503),
        }
        while not self.gates["a"].dispatches:
            seen = self._dispatches()
            self._request(timeout_s=2.0, attempts_max=2)
            self.assertLessEqual(self._dispatches() - seen, 2)
        seen = self._dispatches()
        self._request(attempts_max=1, timeout_s=0.3)
        self.assertEqual(1, self._dispatches() - seen)

    def test_a_repeat_is_marked_and_a_gate_may_refuse_it(self):
        # The first gate's backend server fails. The second gate has no retry left to
        # grant and refuses the repeat without running it. The caller gets the first
        # error, because the refused repeat did not run.
        def denies(dispatch):
            denial = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.RETRY_BUDGET)
            if dispatch.is_repeat:
                return [(0.0, encode(denial))]
            return answer(dispatch, status=503)

        self.answers = {"a": denies, "b": denies}
        budget = RetryBudget(fraction=0.1, fleet_per_s_min=0.5)
        self.forwarder._retries = RetryPolicy(lambda service: budget)
        reply = self._request()
        self.assertEqual((Outcome.ANSWERED, 503), (reply.outcome, reply.status))
        repeats = [
            dispatch.is_repeat
            for gate in self.gates.values()
            for dispatch in gate.dispatches
        ]
        self.assertEqual([False, True], sorted(repeats))

    def test_the_outcome_of_two_refused_attempts_is_not_run(self):
        # The first attempt waits at a gate, a second one is sent in parallel, and both
        # gates refuse, so nothing ran. If the caller of a non-idempotent request got
        # `unknown`, it could not send the request again.
        def late_refusal(dispatch):
            refusal = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.CANCELLED)
            return [(1.2, encode(refusal))]

        self.answers = {"a": late_refusal, "b": late_refusal}
        reply = self._request(timeout_s=3.0)
        self.assertIs(Outcome.NOT_RUN, reply.outcome)
        self.assertEqual(2, self._dispatches())

    def test_a_request_waits_for_a_recovery_before_its_last_resort(self):
        # Both gates refuse because their backend servers are suspected. If the request
        # were sent as a last resort at once, four of five such attempts would fail, and
        # a non-idempotent request would be lost. Instead, the ingress tries the gates
        # again, and soon one of the backend servers has recovered and takes the
        # request.
        last_resort_flags = []

        def recovers(dispatch):
            last_resort_flags.append(dispatch.is_last_resort)
            if len(last_resort_flags) > 4:
                return answer(dispatch)
            refusal = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.SUSPECTED)
            return [(0.0, encode(refusal))]

        self.answers = {"a": recovers, "b": recovers}
        reply = self._request(Execution.NON_IDEMPOTENT, timeout_s=10.0)
        self.assertIs(Outcome.ANSWERED, reply.outcome)
        self.assertEqual([False] * 5, last_resort_flags)

    def test_a_backend_server_that_stays_suspected_takes_last_resorts(self):
        def suspected(dispatch):
            if dispatch.is_last_resort:
                return answer(dispatch)
            refusal = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.SUSPECTED)
            return [(0.0, encode(refusal))]

        self.answers = {"a": suspected, "b": suspected}
        for execution in Execution:
            reply = self._request(execution, timeout_s=1.5)
            self.assertIs(Outcome.ANSWERED, reply.outcome)

    def test_a_late_first_answer_wins_over_a_silent_second_attempt(self):
        # A gate that does not accept a new link within `links.CONNECT_TIMEOUT_S` gets
        # no attempt. The links therefore exist before the request.
        self._connect_links()
        second_arrived = threading.Event()

        def first_late(dispatch):
            if self._dispatches() == 1:
                second_arrived.wait(3.0)
                return [(0.5, answer(dispatch)[0][1])]
            second_arrived.set()
            return []

        self.answers = {"a": first_late, "b": first_late}
        reply = self._request(timeout_s=3.0)
        self.assertEqual((Outcome.ANSWERED, BODY), (reply.outcome, reply.body))
        self.assertEqual(2, self._dispatches())

    def test_a_silent_non_idempotent_request_has_one_attempt(self):
        self.answers = {"a": lambda dispatch: [], "b": lambda dispatch: []}
        reply = self._request(Execution.NON_IDEMPOTENT, timeout_s=0.5)
        self.assertEqual(Outcome.UNKNOWN, reply.outcome)
        self.assertEqual(1, self._dispatches())

    def test_a_503_is_retried_elsewhere_and_returned_if_all_send_it(self):
        self.answers["a"] = lambda dispatch: answer(dispatch, status=503)
        self.assertEqual([200] * 4, [self._request().status for _ in range(4)])
        self.answers["b"] = self.answers["a"]
        reply = self._request()
        self.assertEqual((Outcome.ANSWERED, 503), (reply.outcome, reply.status))

    def test_an_answer_is_kept_when_the_second_attempt_is_refused(self):
        # The backend server ran the request and answered 503. The other gate is busy
        # and replies `not_run`. This reply must not replace the answer, because the
        # request did run.
        def busy(dispatch):
            refusal = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NO_FREE_SLOT)
            return [(0.0, encode(refusal))]

        self.answers = {"a": lambda one: answer(one, status=503), "b": busy}
        for _ in range(8):
            reply = self._request()
            self.assertEqual((Outcome.ANSWERED, 503), (reply.outcome, reply.status))

    def test_an_unreachable_gate_is_held_out(self):
        # Without a hold-out each request would wait for a link to the unreachable node.
        self.gates["a"].close()
        self.gates["a"].close = lambda: None
        replies = [self._request(Execution.NON_IDEMPOTENT) for _ in range(20)]
        self.assertEqual([BODY] * 20, [reply.body for reply in replies])
        held = self.forwarder._sender.link_hold_outs
        self.assertTrue(held.is_held_out("gate-a", time.monotonic()))
