"""What an ingress does with requests that crash backend servers, before fake gates."""

import time

from balsamspindle.crashes.book import CrashBook
from balsamspindle.crashes.records import Crash, CrashedRun, CrashNews
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
        self.book = CrashBook(lambda service: 5)
        self.forwarder._crash_book = self.book
        # Gates grant the repeats, and these have plenty.
        self.forwarder._retries = RetryPolicy(
            lambda service: RetryBudget(fleet_per_s_min=100.0)
        )

    def _crash(self, number, content=CONTENT):
        crash = Crash(f"server-{number}", 1, SERVICE, 0, (CrashedRun(content, 90),))
        self.book.take(CrashNews([crash]), time.monotonic())

    def _crash_and_answer(self, dispatch):
        """Crash the backend server, as its gate reports it."""
        self._crash(self._dispatches(), dispatch.content)
        return crashed(dispatch)

    def _forward(self, **route):
        return self._request(content=CONTENT, **route)

    def test_a_quarantined_request_is_refused_at_once_and_told_when_to_come_back(self):
        for number in range(3):
            self._crash(number)
        reply = self._forward()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CRASHES_SERVERS), (reply.outcome, reply.reason)
        )
        self.assertGreater(reply.retry_after_ms, 500_000)
        self.assertEqual(0, self._dispatches())

    def test_one_request_that_may_be_repeated_crashes_three_and_no_more(self):
        # Its route would allow more. What it did by itself counts like what its
        # caller's other requests did, before each next attempt.
        self.answers = dict.fromkeys(self.NAMES, self._crash_and_answer)
        reply = self._forward(attempts_max=5)
        self.assertEqual(3, self._dispatches())
        # It has run: its caller must not hear that it has not.
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.CRASHES_SERVERS), (reply.outcome, reply.reason)
        )

    def test_a_request_lost_twice_does_not_follow_the_crash_at_once(self):
        # Guards against a retry where a wave of crashes strikes next.
        times_s = []

        def crash_and_note(dispatch):
            times_s.append(time.monotonic())
            return self._crash_and_answer(dispatch)

        self.answers = dict.fromkeys(self.NAMES, crash_and_note)
        self._forward(attempts_max=3)
        first_s, second_s, third_s = times_s
        self.assertLess(second_s - first_s, third_s - second_s)
        self.assertGreaterEqual(third_s - second_s, RETRIED_WITHIN_S)

    def test_an_ingress_remembers_the_answers_of_its_callers(self):
        # Guards against an answer that is forgotten with the node of its gate.
        self.assertEqual(Outcome.ANSWERED, self._forward().outcome)
        for number in range(3):
            self._crash(number)
        standing = self.book.standing(CONTENT, time.monotonic())
        self.assertFalse(standing.is_suspect)

    def test_the_fourth_repeat_is_sent_nowhere_and_others_are(self):
        self.answers = dict.fromkeys(self.NAMES, self._crash_and_answer)
        for _ in range(3):
            self._forward(execution=Execution.NON_IDEMPOTENT)
        self.answers = dict.fromkeys(self.NAMES, answer)
        self.assertEqual(Reason.CRASHES_SERVERS, self._forward().reason)
        self.assertEqual(3, self._dispatches())
        self.assertEqual(Outcome.ANSWERED, self._request(content=8).outcome)

    def test_who_was_lost_in_a_crash_is_repeated_before_heavier_requests(self):
        # It failed by another one's fault; the service's repeats are not kept from
        # it for requests that failed by themselves.
        self.answers = dict.fromkeys(self.NAMES, crashed)
        self._forward(attempts_max=2)
        dispatches = [one for gate in self.gates.values() for one in gate.dispatches]
        self.assertEqual([False, True], sorted(one.was_cut for one in dispatches))
        self.assertEqual({CONTENT}, {one.content for one in dispatches})
