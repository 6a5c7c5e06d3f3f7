"""Which of several gates' replies a caller gets."""

from testtools import TestCase

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.retries import best_reply
from balsamspindle.wire import AttemptId, Reply


def refusal(reason, retry_after_ms=0.0):
    attempt_id = AttemptId("node", 1, 1)
    return Reply(attempt_id, Outcome.NOT_RUN, reason, retry_after_ms=retry_after_ms)


class BestReplyTests(TestCase):
    def test_the_caller_is_told_the_shortest_wait_of_all_gates(self):
        # Guards against a Retry-After of the gate that happened to be asked last.
        waits_ms = (4800.0, 300.0, 0.0, 2500.0)
        replies = [refusal(Reason.WOULD_WAIT, wait_ms) for wait_ms in waits_ms]
        self.assertEqual(300.0, best_reply(replies).retry_after_ms)

    def test_without_any_stated_wait_none_is_told(self):
        replies = [refusal(Reason.WOULD_WAIT), refusal(Reason.WOULD_WAIT)]
        self.assertEqual(0.0, best_reply(replies).retry_after_ms)

    def test_other_refusals_keep_their_own_wait(self):
        blocked = refusal(Reason.CRASHES_SERVERS, 9000.0)
        replies = [refusal(Reason.WOULD_WAIT, 300.0), blocked]
        self.assertEqual(blocked, best_reply(replies))

    def test_an_answer_goes_before_any_refusal(self):
        answer = Reply(AttemptId("node", 1, 2), Outcome.ANSWERED, status=503)
        replies = [answer, refusal(Reason.WOULD_WAIT, 300.0)]
        self.assertEqual(answer, best_reply(replies))
