"""Tests of the classification of requests that were not served."""

from testtools import TestCase

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.losses import (
    Loss,
    count_losses,
    count_lost_calls,
    lost_requests,
)
from balsamspindle.timeline.merge import TimelineEvent

SERVICE = "crew/contracts"


def event(at_ms: int, name: str, request: str = "r", **details) -> TimelineEvent:
    return TimelineEvent(
        at_ms << COUNTER_BITS, "node", 1, name, 0.0, {"request": request, **details}
    )


def ended(at_ms: int, outcome: str, **details) -> TimelineEvent:
    return event(at_ms, "request_ended", outcome=outcome, service=SERVICE, **details)


class LossesTests(TestCase):
    def cause(self, *events):
        [lost] = lost_requests([event(0, "request_received"), *events])
        self.assertEqual(SERVICE, lost.service)
        return lost.cause

    def test_a_served_request_is_no_loss(self):
        self.assertEqual([], lost_requests([ended(5, "answered", status="200")]))

    def test_a_refusal_after_a_wait_differs_from_an_immediate_one(self):
        self.assertIs(
            Loss.REFUSED_AT_ONCE, self.cause(ended(3, "not_run", cause="would_wait"))
        )
        self.assertIs(
            Loss.WAITED_AND_REFUSED,
            self.cause(ended(3000, "not_run", cause="no_free_slot")),
        )
        self.assertIs(
            Loss.NO_HEALTHY_SERVER, self.cause(ended(3, "not_run", cause="suspected"))
        )

    def test_an_error_is_classified_by_the_retries_before_it(self):
        error = ended(9, "answered", status="500")
        run = event(1, "attempt_dispatched")
        last_resort = event(1, "attempt_sent", is_last_resort="True")
        self.assertIs(Loss.ERROR_WITHOUT_RETRY, self.cause(run, error))
        self.assertIs(Loss.ERROR_AFTER_RETRY, self.cause(run, run, error))
        denied = event(8, "retry_denied", after="500")
        self.assertIs(Loss.ERROR_RETRY_DENIED, self.cause(run, denied, error))
        self.assertIs(Loss.ERROR_AT_SUSPECTED, self.cause(last_resort, run, error))

    def test_a_request_lost_by_its_call_names_the_call_and_its_cause(self):
        lost_run = event(8, "attempt_ended", status="500", lost_call="c")
        call = [
            event(2, "request_received", "c"),
            event(7, "request_ended", "c", outcome="not_run", cause="suspected"),
        ]
        call[1].details["service"] = SERVICE
        error = ended(9, "answered", status="500")
        lost = lost_requests([event(0, "request_received"), lost_run, error, *call])
        [parent] = [found for found in lost if found.request_id == "r"]
        self.assertIs(Loss.ERROR_AFTER_LOST_CALL, parent.cause)
        self.assertEqual(("c", Loss.NO_HEALTHY_SERVER), parent[-2:])
        counts = count_lost_calls(lost)
        self.assertEqual({(SERVICE, Loss.NO_HEALTHY_SERVER): 1}, dict(counts))

    def test_a_call_lost_in_an_earlier_run_is_not_the_cause(self):
        lost_run = event(5, "attempt_ended", status="500", lost_call="c")
        own_error = event(8, "attempt_ended", status="500")
        run = event(1, "attempt_dispatched")
        cause = self.cause(
            run, lost_run, run, own_error, ended(9, "answered", status="500")
        )
        self.assertIs(Loss.ERROR_AFTER_RETRY, cause)

    def test_losses_are_counted_by_service_and_cause(self):
        events = [ended(3, "unknown", cause="silence")]
        events += [
            original._replace(details=original.details | {"request": "s"})
            for original in events
        ]
        counts = count_losses(lost_requests(events))
        self.assertEqual({(SERVICE, Loss.NO_COMPLETE_ANSWER): 2}, dict(counts))

    def test_a_run_cut_by_a_leaving_node_differs_from_other_missing_answers(self):
        # The caller gets 'unknown' in all cases. Either the gate of a leaving node cut
        # the run, or a leaving ingress stopped waiting for the reply, or else the
        # backend server or a link failed.
        unknown = ended(9, "unknown", cause="cancelled")
        for cut_by in ("node_leaving", "ingress_leaving"):
            cut = event(5, "attempt_ended", outcome="unknown", cut_by=cut_by)
            self.assertIs(Loss.CUT_BY_LEAVING, self.cause(cut, unknown))
        stopped_waiting = event(5, "attempt_unanswered", cause="this node is leaving")
        self.assertIs(Loss.CUT_BY_LEAVING, self.cause(stopped_waiting, unknown))
        for cut_by in ("server_restarted", "deadline"):
            cut = event(5, "attempt_ended", outcome="unknown", cut_by=cut_by)
            self.assertIs(Loss.NO_COMPLETE_ANSWER, self.cause(cut, unknown))

    def test_a_request_whose_caller_left_is_counted_separately(self):
        left = event(1, "attempt_unanswered", cause="the caller left")
        self.assertIs(Loss.CALLER_LEFT, self.cause(left, ended(2, "unknown")))
