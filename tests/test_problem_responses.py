"""Statuses of responses when no backend server answered."""

from testtools import TestCase

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.answers import encode_problem


def status_of(reason: Reason, outcome: Outcome) -> int:
    return int(encode_problem(reason, outcome, "id", True, False).split()[1])


class ProblemTests(TestCase):
    def test_a_request_that_did_not_run_gets_a_not_run_status(self):
        # The deadline passed before the request was sent to a backend server. A 504
        # would mean that the request may have run, so the caller of a non-idempotent
        # request could not send it again.
        for reason in (Reason.DEADLINE, Reason.SILENCE, Reason.DAMAGED):
            self.assertEqual(503, status_of(reason, Outcome.NOT_RUN))
        self.assertEqual(404, status_of(Reason.NO_ROUTE, Outcome.NOT_RUN))

    def test_a_request_that_may_have_run_gets_no_not_run_status(self):
        for reason in Reason:
            if reason in (Reason.NO_ROUTE, Reason.METHOD_NOT_ALLOWED):
                continue
            self.assertNotIn(status_of(reason, Outcome.UNKNOWN), (408, 421, 429, 503))
