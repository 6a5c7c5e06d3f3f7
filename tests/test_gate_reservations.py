"""A gate with one slot that calls reservations and holds the slot for them."""

import threading
import time

from balsamspindle.backend_servers import reservations
from balsamspindle.backend_servers.reservations import ReservationState, hold_ms
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.wire import AdmissionQuery, AttemptId, ReservationRequest
from tests.gate_case import SERVICE, GateCase
from tests.utils import wait_until

TIMEOUT_S = 10.0
# Long enough that a held slot does not expire while a test looks at it.
LONG_HOLD_MS = 5000.0


class _Task:
    """A reservation that waits at a gate in a thread of its own."""

    def __init__(self, gate, request):
        self.calls, self.replies = [], []
        self._thread = threading.Thread(target=self._run, args=(gate, request))
        self._thread.start()

    def _run(self, gate, request):
        self.replies.append(gate.reserve(request, time.monotonic(), self.calls.append))

    def reply(self):
        self._thread.join(TIMEOUT_S)
        return self.replies[0]

    def wait_called(self):
        wait_until(lambda: self.calls, "the reservation is called")


class GateReservationTests(GateCase):
    def _reserve(self, sequence=1, **changes):
        query = AdmissionQuery(
            sequence,
            SERVICE,
            "server",
            Execution.NON_IDEMPOTENT,
            5000.0,
            changes.pop("weight", 1.0),
            **changes,
        )
        request = ReservationRequest(AttemptId("ingress", 1, sequence), query)
        return _Task(self.gate, request)

    def _take(self, sequence=1, **changes):
        dispatch = self._dispatch(sequence, is_reserved=True, **changes)
        return self.gate.take_reserved(dispatch, time.monotonic())

    def test_a_dispatch_uses_the_slot_that_is_held_for_it(self):
        self.patch(reservations, "HOLD_MS", LONG_HOLD_MS)
        task = self._reserve()
        task.wait_called()
        # No other attempt gets the slot meanwhile.
        other = self._dispatch(2, wait_max_ms=0.0)
        self.assertEqual((Outcome.NOT_RUN, Reason.WOULD_WAIT), self._ended(other))
        self.assertTrue(self._take())
        self.assertEqual(Outcome.ANSWERED, task.reply().outcome)
        self.assertEqual(0, self.gate.in_flight())
        (ended,) = self._logged("attempt_ended")
        self.assertLess(int(ended["ran_ms"]), LONG_HOLD_MS)

    def test_a_held_slot_of_a_draining_backend_server_is_not_used(self):
        """Guards against a request that is sent after the drain was confirmed."""
        self.patch(reservations, "HOLD_MS", LONG_HOLD_MS)
        task = self._reserve()
        task.wait_called()
        self.servers.drain("server")
        self.assertTrue(self._take())
        reply = task.reply()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.DRAINING), (reply.outcome, reply.reason)
        )
        self.assertEqual(0, self.gate.in_flight())
        self.assertEqual([], self.server.requests)

    def test_a_slot_goes_to_the_next_when_the_call_expires(self):
        # Guards against slots that are held for ingresses that died.
        first = self._reserve(1)
        first.wait_called()
        second = self._reserve(2)
        self.assertIsNone(first.reply())
        second.wait_called()
        self.assertTrue(self._take(2))
        self.assertEqual(Outcome.ANSWERED, second.reply().outcome)
        self.assertEqual(1, len(self._logged("reservation_expired")))
        # The late dispatch of the first has not run yet, and is handled like any other.
        self.assertFalse(self._take(1))
        self.assertEqual(Outcome.ANSWERED, self._handle(self._dispatch(1)).outcome)
        self.assertIsNone(self._handle(self._dispatch(1)))

    def test_a_reservation_that_was_taken_back_frees_its_slot_and_never_starts(self):
        # Guards against a start after the ingress has started the request elsewhere.
        self.patch(reservations, "HOLD_MS", LONG_HOLD_MS)
        task = self._reserve()
        task.wait_called()
        self.gate.cancel(AttemptId("ingress", 1, 1))
        self.assertIsNone(task.reply())
        self.assertEqual(0, self.gate.in_flight())
        self.assertFalse(self._take())
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.CANCELLED), self._ended(self._dispatch(1))
        )
        self.assertEqual([], self.server.requests)

    def test_a_waiting_reservation_that_was_taken_back_gets_no_reply(self):
        self._hang()
        running = threading.Thread(target=self._handle, args=(self._dispatch(1),))
        running.start()
        self._wait_until_sent(1)
        task = self._reserve(2)
        wait_until(
            lambda: self.gate.reservations(ReservationState.WAITING), "one waits"
        )
        self.gate.cancel(AttemptId("ingress", 1, 2))
        self.assertIsNone(task.reply())
        self.assertEqual([], task.calls)
        self.assertEqual(0, self.gate.waiting())
        self.gate.cancel(AttemptId("ingress", 1, 1))
        running.join()

    def test_a_reservation_that_was_taken_back_before_it_arrived_is_ignored(self):
        self.gate.cancel(AttemptId("ingress", 1, 1))
        task = self._reserve()
        self.assertIsNone(task.reply())
        self.assertEqual([], task.calls)

    def test_a_repeated_reservation_is_ignored(self):
        task = self._reserve()
        task.wait_called()
        self.assertIsNone(self._reserve().reply())
        self.assertIsNone(task.reply())
        self.assertEqual(1, len(task.calls))

    def test_a_leaving_node_refuses_reservations_as_not_run(self):
        # Guards against ingresses that wait for a gate that will not call.
        self.gate.refuse_new_attempts()
        reply = self._reserve().reply()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.DRAINING), (reply.outcome, reply.reason)
        )

    def test_a_damaged_dispatch_frees_its_held_slot(self):
        self.patch(reservations, "HOLD_MS", LONG_HOLD_MS)
        task = self._reserve()
        task.wait_called()
        self.assertTrue(self._take(body_checksum=1))
        self.assertEqual(Reason.DAMAGED, task.reply().reason)
        self.assertEqual(0, self.gate.in_flight())

    def test_a_hold_is_longer_for_a_large_body_but_bounded(self):
        self.assertLess(hold_ms(0), hold_ms(60_000))
        self.assertLessEqual(hold_ms(9_000_000), 1000.0)
