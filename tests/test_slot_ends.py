"""The wait of a short call behind long runs, estimated from what runs now."""

from testtools import TestCase

from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.slot_ends import (
    expected_remaining_s,
    expected_wait_s,
)
from balsamspindle.backend_servers.tickets import BusySlots

UPLOAD_S, CALL_S = 0.6, 0.12
SLOTS = 3


class ExpectedWaitTests(TestCase):
    def wait_s(self, ends_s, ahead_s=(), free=0, effective=float(SLOTS)):
        return expected_wait_s(ends_s, ahead_s, free, SLOTS, effective)

    def test_a_call_waits_for_the_run_that_ends_first(self):
        self.assertEqual(0.1, self.wait_s([0.5, 0.1, 0.3]))

    def test_calls_ahead_take_a_calls_time_not_the_mean_time(self):
        wait_s = self.wait_s([0.9, 0.1, 0.8], [CALL_S, CALL_S])
        self.assertAlmostEqual(0.1 + 2 * CALL_S, wait_s)

    def test_a_free_slot_is_not_waited_for(self):
        self.assertEqual(0.0, self.wait_s([0.5, 0.1], free=1))

    def test_a_reserved_slot_is_passed_over(self):
        self.assertEqual(0.3, self.wait_s([0.5, 0.1, 0.3], free=-1))

    def test_heavier_attempts_that_keep_arriving_make_lighter_ones_wait_longer(self):
        self.assertAlmostEqual(0.3, self.wait_s([0.5, 0.1, 0.3], effective=1.0))

    def test_a_run_longer_than_its_mean_is_not_expected_to_end_at_once(self):
        self.assertAlmostEqual(0.4, expected_remaining_s(UPLOAD_S, 0.2))
        self.assertEqual(0.15, expected_remaining_s(UPLOAD_S, 5.0))


class CallsBesideUploadsTests(TestCase):
    def setUp(self):
        super().setUp()
        self.queue = SlotQueue(32)

    def request(self, ticket, now_s=0.0, free=0, effective=float(SLOTS)):
        return self.queue.request_slot(ticket, free, effective, UPLOAD_S, now_s)

    def ticket(self, deadline_s, **fields):
        busy = fields.pop("busy", BusySlots((0.4, 0.2, 0.5), SLOTS))
        return Ticket(
            "server", 0.5, deadline_s, route_time_s=CALL_S, busy=busy, **fields
        )

    def test_a_call_with_time_for_the_next_free_slot_is_not_refused(self):
        # With the weight of its own route, the expected wait is the mean time of all
        # routes over the slots that heavier requests leave: 2.4 s.
        heaviest = self.request(self.ticket(1.4), effective=float(SLOTS))
        self.assertIs(QueueDecision.WAIT, heaviest)
        refused = self.request(self.ticket(1.4, busy=None), effective=0.25)
        self.assertIs(QueueDecision.TOO_LATE, refused)

    def test_a_call_that_can_not_be_in_time_is_refused_at_once(self):
        self.assertIs(QueueDecision.TOO_LATE, self.request(self.ticket(0.25)))

    def test_of_two_calls_the_one_whose_run_has_spent_more_starts_first(self):
        new = self.ticket(5.0, target_s=0.5, spent_s=0.0)
        spent = self.ticket(5.0, target_s=0.55, spent_s=0.7)
        for ticket in (new, spent):
            self.assertIs(QueueDecision.WAIT, self.request(ticket))
        self.assertIs(QueueDecision.WAIT, self.request(new, free=1))
        self.assertIs(QueueDecision.START, self.request(spent, free=1))

    def test_a_late_call_still_starts_before_new_ones(self):
        # Guards against runs that are lost to a call which was late by its own target,
        # but not for the run.
        late = self.ticket(5.0, target_s=0.1, spent_s=0.0)
        self.request(late)
        self.request(self.ticket(5.0, target_s=2.0))
        self.assertIs(QueueDecision.START, self.request(late, now_s=1.0, free=1))
