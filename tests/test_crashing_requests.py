"""How an ingress handles requests that crash backend servers, with fake gates."""

import time

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate
from balsamspindle.crashes.verdicts import RETRIED_WITHIN_S
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import Reply, encode
from tests.two_gates import SERVICE, TwoGateCase, answer

CONTENT = 7


def crashed(dispatch):
    reply = Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.SERVER_CRASHED)
    return [(0.0, encode(reply))]


class CrashingRequestTests(TwoGateCase):
    NAMES = ("a", "b", "c", "d", "e")

    def setUp(self):
        super().setUp()
        self.history = CrashHistory(lambda service: 5)
        self.forwarder._crash_history = self.history
        # If a retry budget has a minimum for the whole fleet, gates grant the retries.
        # This test never uses up the minimum of 100 retries per second.
        self.forwarder._retries = RetryPolicy(
            lambda service: RetryBudget(fleet_per_s_min=100.0)
        )

    def _crash(self, number, content_hash=CONTENT):
        crash = Crash(
            f"server-{number}", 1, SERVICE, 0, (CrashedRun(content_hash, 90),)
        )
        self.history.merge(CrashUpdate([crash]), time.monotonic())

    def _crash_and_answer(self, dispatch):
        """Record a crash and reply, as the gate of the crashed backend server does."""
        self._crash(self._dispatches(), dispatch.content_hash)
        return crashed(dispatch)

    def _forward(self, **route):
        return self._request(content_hash=CONTENT, **route)

    def test_a_quarantined_request_is_refused_at_once_with_a_retry_after(self):
        for number in range(3):
            self._crash(number)
        reply = self._forward()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CRASHES_SERVERS), (reply.outcome, reply.reason)
        )
        self.assertGreater(reply.retry_after_ms, 500_000)
        self.assertEqual(0, self._dispatches())

    def test_one_idempotent_request_crashes_no_more_than_three_backend_servers(self):
        # Guards against a request whose retries crash more than three backend servers.
        # The route allows five attempts, but a request's content may cause only three
        # crashes. Before each further attempt, the ingress counts the crashes of this
        # request's earlier attempts together with those of its caller's earlier
        # requests.
        self.answers = dict.fromkeys(self.NAMES, self._crash_and_answer)
        reply = self._forward(attempts_max=5)
        self.assertEqual(3, self._dispatches())
        # The request has run, so the outcome must not be NOT_RUN.
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.CRASHES_SERVERS), (reply.outcome, reply.reason)
        )

    def test_a_request_lost_twice_is_not_retried_at_once(self):
        # Guards against retries that follow a wave of crashes from one backend server
        # to the next.
        times_s = []

        def record_and_crash(dispatch):
            times_s.append(time.monotonic())
            return self._crash_and_answer(dispatch)

        self.answers = dict.fromkeys(self.NAMES, record_and_crash)
        self._forward(attempts_max=3)
        first_s, second_s, third_s = times_s
        self.assertLess(second_s - first_s, third_s - second_s)
        self.assertGreaterEqual(third_s - second_s, RETRIED_WITHIN_S)

    def test_an_ingress_records_the_answers_to_its_callers(self):
        # Guards against a request that stays suspected because only the node of its
        # gate recorded its answer, and this node has ended.
        self.assertEqual(Outcome.ANSWERED, self._forward().outcome)
        for number in range(3):
            self._crash(number)
        status = self.history.status_of(CONTENT, time.monotonic())
        self.assertFalse(status.is_suspect)

    def test_a_fourth_repeat_is_not_dispatched_and_another_request_is(self):
        self.answers = dict.fromkeys(self.NAMES, self._crash_and_answer)
        for _ in range(3):
            self._forward(execution=Execution.NON_IDEMPOTENT)
        self.answers = dict.fromkeys(self.NAMES, answer)
        self.assertEqual(Reason.CRASHES_SERVERS, self._forward().reason)
        self.assertEqual(3, self._dispatches())
        self.assertEqual(Outcome.ANSWERED, self._request(content_hash=8).outcome)

    def test_the_retry_of_a_request_lost_in_a_crash_is_marked_as_lost(self):
        # The first attempt was lost through another request's fault. Therefore gates
        # may grant the retry also from the part of the budget that is reserved for
        # heavier requests.
        self.answers = dict.fromkeys(self.NAMES, crashed)
        self._forward(attempts_max=2)
        dispatches = [one for gate in self.gates.values() for one in gate.dispatches]
        self.assertEqual([False, True], sorted(one.run_was_lost for one in dispatches))
        self.assertEqual({CONTENT}, {one.content_hash for one in dispatches})
