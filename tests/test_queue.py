"""The slot queue: which attempts start, which wait and which are shed."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.backend_servers.queue import Order, QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.slots import SlotAccount, WorkEnd, ramped_slots
from bench.queue_overload import PLANS, run_overload

SERVICE_TIME_S = 1.0
QUEUE_MAX = 4
SLOTS = 2


class GateModel:
    """A slot queue with two backend servers.

    Waiting tickets request a slot again after each change.
    """

    def __init__(self, order=Order.FIFO, queue_max=QUEUE_MAX, slots=SLOTS):
        self.queue = SlotQueue(queue_max, order)
        self.accounts = {"a": SlotAccount(), "b": SlotAccount()}
        self.slots = slots
        self.waiting: list[Ticket] = []
        self.running: list[Ticket] = []
        self.late: list[Ticket] = []
        self.shed: list[Ticket] = []
        self.now_s = 0.0

    def arrive(self, ticket: Ticket) -> QueueDecision:
        decision = self._request_slot(ticket)
        self._retry_waiting()
        return decision

    def end(self, ticket: Ticket, is_answered: bool) -> None:
        self.running.remove(ticket)
        account = self.accounts[ticket.backend_server_id]
        end = WorkEnd.ANSWERED if is_answered else WorkEnd.IN_DOUBT
        account.release(end, SERVICE_TIME_S, self.now_s)
        self._retry_waiting()

    def pass_time(self, duration_s: float) -> None:
        self.now_s += duration_s
        self._retry_waiting()

    def free(self, server: str) -> int:
        return self.accounts[server].free(self.slots, self.now_s)

    def _retry_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for ticket in waiting:
            self._request_slot(ticket)

    def _request_slot(self, ticket: Ticket) -> QueueDecision:
        server = ticket.backend_server_id
        account = self.accounts[server]
        decision = self.queue.request_slot(
            ticket, self.free(server), self.slots, account.service_time_s, self.now_s
        )
        match decision:
            case QueueDecision.START:
                account.acquire()
                self.running.append(ticket)
            case QueueDecision.WAIT:
                self.waiting.append(ticket)
            case QueueDecision.SHED:
                self.shed.append(ticket)
            case QueueDecision.TOO_LATE:
                self.late.append(ticket)
        return decision


arrivals = st.tuples(
    st.just("arrive"),
    st.sampled_from("ab"),
    st.sampled_from([1.0, 2.0, 5.0]),
    st.floats(0.1, 8.0),
)
ends = st.tuples(st.just("end"), st.integers(0, 9), st.booleans())
pauses = st.tuples(st.just("pass"), st.floats(0.05, 2.0))
steps = st.lists(st.one_of(arrivals, arrivals, ends, pauses), max_size=60)


class SlotQueueProperties(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(steps, st.sampled_from(Order))
    def test_limits_hold_in_any_order_of_arrivals_ends_and_time_outs(
        self, steps, order
    ):
        model = GateModel(order)
        for step in steps:
            shed_before = len(model.shed)
            match step:
                case ("arrive", server, weight, patience_s):
                    model.arrive(Ticket(server, weight, model.now_s + patience_s))
                case ("end", number, is_answered) if model.running:
                    ticket = model.running[number % len(model.running)]
                    model.end(ticket, is_answered)
                case ("pass", duration_s):
                    model.pass_time(duration_s)
            self._check(model, model.shed[shed_before:])

    def _check(self, model: GateModel, shed: list[Ticket]) -> None:
        for server in "ab":
            running = [
                ticket for ticket in model.running if ticket.backend_server_id == server
            ]
            self.assertLessEqual(len(running), model.slots)
        self.assertLessEqual(len(model.waiting), QUEUE_MAX)
        self.assertEqual(len(model.waiting), len(model.queue))
        for ticket in model.waiting:
            self.assertGreater(ticket.deadline_s, model.now_s)
            # A slot is free only if no attempt waits for it.
            self.assertLessEqual(model.free(ticket.backend_server_id), 0)
        for ticket in shed:
            lighter = [other for other in model.waiting if other.weight < ticket.weight]
            self.assertEqual([], lighter)


class SlotQueueTests(TestCase):
    def test_a_full_queue_sheds_the_newest_of_the_lightest(self):
        model = GateModel(slots=1, queue_max=2)
        running, old, new = (Ticket("a", 1.0, 100.0) for _ in range(3))
        heavy, light = Ticket("a", 3.0, 100.0), Ticket("a", 0.5, 100.0)
        decisions = [model.arrive(ticket) for ticket in (running, old, new, heavy)]
        self.assertEqual([QueueDecision.START] + [QueueDecision.WAIT] * 3, decisions)
        self.assertEqual([new], model.shed)
        self.assertIs(QueueDecision.SHED, model.arrive(light))

    def test_a_request_that_can_not_be_finished_in_time_is_refused_at_once(self):
        model = GateModel(slots=1)
        model.accounts["a"].service_time_s = SERVICE_TIME_S
        self.assertIs(QueueDecision.START, model.arrive(Ticket("a", 1.0, 100.0)))
        self.assertIs(QueueDecision.TOO_LATE, model.arrive(Ticket("a", 1.0, 1.9)))
        self.assertIs(QueueDecision.WAIT, model.arrive(Ticket("a", 1.0, 2.1)))

    def test_an_estimate_that_is_far_too_high_does_not_stop_the_work(self):
        # A backend server hung for a while, so its mean service time is an hour. An
        # attempt that finds a free slot and no competing attempts starts nevertheless.
        model = GateModel()
        model.accounts["a"].service_time_s = 3600.0
        self.assertIs(QueueDecision.START, model.arrive(Ticket("a", 1.0, 2.0)))

    def test_after_a_time_out_a_slot_stays_in_use_for_the_run_time_again(self):
        account = SlotAccount()
        account.acquire()
        account.release(WorkEnd.IN_DOUBT, ran_s=2.0, now_s=10.0)
        self.assertEqual(0, account.free(1, 11.9))
        self.assertEqual(12.0, account.next_delayed_release_s())
        self.assertEqual(1, account.free(1, 12.0))

    def test_a_new_backend_server_gets_its_slots_gradually(self):
        ages_s = (0, 5, 10, 15, 20, 60)
        self.assertEqual(
            [1, 1, 3, 4, 6, 6], [ramped_slots(6, age_s, 20.0) for age_s in ages_s]
        )
        self.assertEqual(6, ramped_slots(6, 0.0, 0.0))


class OverloadTests(TestCase):
    # The load is twice what a backend server can handle. Guards against an unlimited
    # queue, which runs requests after their callers have stopped waiting, and answers
    # few requests in time.

    def test_the_heaviest_requests_are_answered_and_little_work_is_wasted(self):
        limited = run_overload(PLANS["fifo"], seed=0)
        unlimited = run_overload(PLANS["plain queue"], seed=0)
        self.assertGreaterEqual(limited.heavy, 0.99)
        self.assertGreaterEqual(limited.weighted, 0.72)
        self.assertLessEqual(limited.wasted, 0.05)
        self.assertLessEqual(limited.refusal_delay_s, 0.4)
        self.assertLessEqual(unlimited.weighted, 0.2)


class CustomerFairnessTests(TestCase):
    """Customers with many requests and customers with few share a busy gate."""

    def _next_customers(self, model, count):
        names = []
        for _ in range(count):
            model.pass_time(0.1)
            model.end(model.running[0], True)
            names.append(model.running[-1].customer)
        return names

    def test_customers_start_equal_numbers_of_requests(self):
        # Guards against one queue for all customers, in which a customer that sends ten
        # times as many requests as the others gets all slots.
        model = GateModel(slots=1, queue_max=40)
        model.arrive(Ticket("a", 1.0, 1e6))
        for number in range(20):
            model.arrive(Ticket("a", 1.0, 1e6, target_s=1e5 + number, customer="hot"))
        names = []
        for round_number in range(5):
            for name in ("anna", "ben"):
                target_s = 2e5 + round_number
                model.arrive(Ticket("a", 1.0, 1e6, target_s=target_s, customer=name))
            names += self._next_customers(model, 3)
        self.assertEqual((5, 5, 5), tuple(map(names.count, ("hot", "anna", "ben"))))

    def test_customers_with_one_request_each_start_in_order_of_their_targets(self):
        model = GateModel(slots=1, queue_max=9)
        model.arrive(Ticket("a", 1.0, 1e6))
        for target_s, name in ((300, "c"), (100, "a"), (200, "b")):
            target_s += 1e5
            model.arrive(Ticket("a", 1.0, 1e6, target_s=target_s, customer=name))
        self.assertEqual(["a", "b", "c"], self._next_customers(model, 3))

    def test_a_full_queue_sheds_a_request_of_the_customer_with_most_in_it(self):
        # Guards against a customer that fills the queue, so that the requests of all
        # other customers are shed.
        model = GateModel(slots=1, queue_max=3)
        model.arrive(Ticket("a", 1.0, 1e6))
        for name in ("hot", "hot", "hot"):
            model.arrive(Ticket("a", 1.0, 1e6, customer=name))
        decision = model.arrive(Ticket("a", 1.0, 1e6, customer="anna"))
        self.assertIs(QueueDecision.WAIT, decision)
        self.assertEqual(["hot"], [ticket.customer for ticket in model.shed])
        decision = model.arrive(Ticket("a", 1.0, 1e6, customer="hot"))
        self.assertIs(QueueDecision.SHED, decision)
