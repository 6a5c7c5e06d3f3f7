"""What a gate tells ingresses about its room."""

import threading

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.queue import SlotQueue, Ticket
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.documents import ServiceDocument
from tests.gate_case import GateCase


class GateLoadTests(GateCase):
    def setUp(self):
        super().setUp()
        self.document = ServiceDocument(admits_by_level=True)
        admission = Admission(self.servers, lambda service: self.document)
        self.gate = Gate(
            self.servers,
            BackendServerClient(1000),
            self.log,
            self.observer,
            admission,
        )

    def test_a_reply_tells_the_room_that_is_left(self):
        load = self._handle(self._dispatch()).load
        self.assertEqual((1, 0, 0.0), (load.free_slots, load.waiting, load.weight_min))

    def test_a_refusal_tells_which_weight_still_got_a_slot(self):
        # The load: the only slot is taken by a heavy request; a lighter one is refused.
        self._hang()
        running = threading.Thread(
            target=self._handle, args=(self._dispatch(1, weight=3.0),)
        )
        running.start()
        self._wait_until_sent(1)
        refused = self._handle(self._dispatch(2, wait_max_ms=0.0))
        self.assertEqual(Reason.WOULD_WAIT, refused.reason)
        self.assertEqual((0, 3.0), (refused.load.free_slots, refused.load.weight_min))
        self.assertGreater(refused.load.wait_ms, 0.0)
        self.gate.cancel(self._dispatch(1).attempt_id)
        running.join()

    def test_a_service_without_the_settings_tells_nothing(self):
        self.document = ServiceDocument()
        self.assertIsNone(self._handle(self._dispatch()).load)


class ReservedTurnTests(GateCase):
    def test_a_reservation_that_starts_elsewhere_costs_its_customer_no_turn(self):
        # Guards against customers that wait longer because they reserved two places.
        queue = SlotQueue(10)
        blocker = Ticket("server", 1.0, 1e6, customer="other")
        queue.request_slot(blocker, 0, 1.0, 0.1, 0.0)
        reserved = Ticket("server", 1.0, 1e6, customer="anna", is_reservation=True)
        queue.request_slot(reserved, 0, 1.0, 0.1, 0.0)
        turn = reserved.key.turn
        queue.withdraw(reserved)
        following = Ticket("server", 1.0, 1e6, customer="anna")
        queue.request_slot(following, 0, 1.0, 0.1, 0.0)
        self.assertEqual(turn, following.key.turn)

    def test_reservations_ahead_count_for_half_a_wait(self):
        # The load: eight reservations wait at each of two gates with one slot, so each
        # gate starts about four of them. Guards against waits that look twice as long.
        queue = SlotQueue(10)
        for _ in range(8):
            reserved = Ticket("server", 1.0, 1e6, is_reservation=True)
            queue.request_slot(reserved, 0, 1.0, 0.1, 0.0)
        ticket = Ticket("server", 1.0, 1e6)
        queue.request_slot(ticket, 0, 1.0, 0.1, 0.0)
        self.assertAlmostEqual(0.5, ticket.expected_wait_s)
