"""Placement of attempts at busy gates: own zone, short queues, then other zones."""

import random

import msgspec
from testtools import TestCase

from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.slots import SlotAccount, WorkEnd, WorkKind
from balsamspindle.requests.forwarded import Step
from balsamspindle.requests.placement_selection import (
    FAR_TRIES_MAX,
    NEAR_TRIES_MAX,
    QUEUE_WAIT_FRACTION,
    PlacementSelector,
    near_wait_ms,
)
from balsamspindle.wire import HoldOut, Importance
from tests.placement_case import (
    ANSWER_BYTES,
    DEADLINE_S,
    FAR,
    NEAR,
    TARGET_MS,
    FixedPicker,
    PlacementCase,
)


class PlacementSelectionTests(PlacementCase):
    def test_the_own_zone_is_tried_first_and_a_free_slot_there_ends_the_search(self):
        [(name, wait_max_ms)] = self.tries(dict.fromkeys(NEAR, 0.0))
        self.assertIn(name, NEAR)
        self.assertEqual(0.0, wait_max_ms)

    def test_a_short_queue_in_the_own_zone_goes_before_a_free_slot_elsewhere(self):
        # The traffic of an answer from another zone costs about as much as is lost when
        # an answer misses its target time. A short wait in the own zone costs nothing.
        waits_ms = {"near-0": 600.0, "near-1": 300.0, **dict.fromkeys(FAR, 0.0)}
        tries = self.tries(waits_ms)
        self.assertEqual({*NEAR}, {name for name, _ in tries[:2]})
        self.assertEqual("near-1", tries[2][0])
        self.assertEqual(3, len(tries))

    def test_a_call_waits_in_its_own_zone_for_a_part_of_its_time(self):
        # A call's target says little: the run that waits for it needs a late answer,
        # too. A queue of 5 s is short for a call with 100 s.
        waits_ms = {"near-0": 9000.0, "near-1": 5000.0, **dict.fromkeys(FAR, 0.0)}
        self.forwarded.importance = Importance(0.5, 700.0)
        self.assertEqual("near-1", self.tries(waits_ms)[-1][0])

    def test_other_requests_do_not_wait_that_long(self):
        waits_ms = {"near-0": 9000.0, "near-1": 5000.0, **dict.fromkeys(FAR, 0.0)}
        self.assertIn(self.tries(waits_ms)[-1][0], FAR)

    def test_a_request_tries_a_limited_number_of_gates_before_it_queues(self):
        # Without a limit, a request in a zone with sixteen busy gates would try all of
        # them before it joins a queue, and the gates would use their CPU for refusals.
        near = tuple(f"near-{number}" for number in range(16))
        self.selector = PlacementSelector(
            FixedPicker(near), self.sender, self.free, self.sizes, random.Random(1)
        )
        waits_ms = dict.fromkeys((*near, *FAR), 300.0)
        tries = self.tries(waits_ms)
        self.assertEqual(NEAR_TRIES_MAX, [wait_ms for _, wait_ms in tries].count(0.0))
        self.assertIn(tries[-1][0], near)
        self.assertEqual(NEAR_TRIES_MAX + 1, len(tries))

    def test_a_request_with_a_large_answer_waits_longer_in_its_own_zone(self):
        # Traffic between zones is paid by the byte. At a wait of 700 ms in the own
        # zone, a request with an answer of 2.5 KB waits, and a request with an answer
        # of 400 bytes goes to a free slot in another zone.
        waits_ms = {**dict.fromkeys(NEAR, 700.0), **dict.fromkeys(FAR, 0.0)}
        self.assertIn(self.tries(waits_ms)[-1][0], NEAR)
        for _ in range(100):
            self.sizes.record(self.forwarded.route, 400)
        self.forwarded.tried.clear()
        self.forwarded.search.restart()
        self.assertIn(self.tries(waits_ms)[-1][0], FAR)

    def test_a_gate_that_reported_a_long_queue_is_not_tried_again_at_once(self):
        hints = self.sender.queue_hints
        for name in FAR[:-1]:
            hints.record(name, 2500.0, 0.0)
        waits_ms = {**dict.fromkeys(NEAR, 1500.0), **dict.fromkeys(FAR, 0.0)}
        self.assertEqual(FAR[-1], self.tries(waits_ms)[-1][0])
        self.assertEqual(set(FAR[:-1]), hints.longer_than(2000.0, 0.4))
        self.assertEqual(set(), hints.longer_than(3000.0, 0.4))
        self.assertEqual(set(), hints.longer_than(2000.0, 0.6))

    def test_a_free_slot_elsewhere_goes_before_a_long_queue_in_the_own_zone(self):
        waits_ms = {**dict.fromkeys(NEAR, 1500.0), **dict.fromkeys(FAR, 0.0)}
        tries = self.tries(waits_ms)
        self.assertEqual(3, len(tries))
        self.assertIn(tries[2][0], FAR)
        self.assertEqual(near_wait_ms(TARGET_MS, ANSWER_BYTES), tries[2][1])

    def test_where_all_gates_are_busy_the_shortest_queue_is_joined(self):
        # Without a limit, a request would try every gate of a large service when all
        # gates are busy.
        waits_ms = {name: 3000.0 + number for number, name in enumerate(NEAR + FAR)}
        tries = self.tries(waits_ms)
        self.assertEqual(len(NEAR) + FAR_TRIES_MAX + 1, len(tries))
        self.assertEqual(("near-0", QUEUE_WAIT_FRACTION * DEADLINE_S * 1000), tries[-1])

    def test_where_all_queues_are_too_long_the_request_is_refused_at_once(self):
        # In an overload each gate reports a queue longer than half of the request's
        # remaining time. A request that joined one would be refused at its deadline,
        # with no time left for its caller to retry.
        waits_ms = dict.fromkeys(NEAR + FAR, 3000.0)
        self.forwarded.deadline_s = 5.0
        tries = self.tries(waits_ms)
        self.assertEqual(len(NEAR) + FAR_TRIES_MAX, len(tries))

    def test_a_request_waits_for_half_of_its_time_in_all_queues_together(self):
        # A queue may be longer than its gate reported, and the gate then refuses the
        # request after a wait. The request may wait in another queue, but only until
        # half of its time has passed.
        self.forwarded.deadline_s = 10.0
        self.forwarded.search.step = Step.QUEUE
        self.forwarded.search.queue_wait_ms = dict.fromkeys(NEAR, 100.0)
        first = self.selector.select(self.forwarded, 0.0)
        second = self.selector.select(self.forwarded, 4.0)
        self.assertEqual((5000.0, 1000.0), (first.wait_max_ms, second.wait_max_ms))
        self.forwarded.attempts = 2
        self.forwarded.search.queue_wait_ms = dict.fromkeys(NEAR, 100.0)
        self.assertIsNone(self.selector.select(self.forwarded, 5.0))

    def test_the_wait_in_queues_of_the_own_zone_is_limited(self):
        # The gate reports an expected wait of 300 ms again and again, but the request
        # still has no slot after 900 ms. Without a limit it would wait in its own zone
        # until its deadline, although a gate of another zone has free slots.
        waits_ms = dict.fromkeys(NEAR, 300.0)
        self.assertEqual(3, len(self.tries(waits_ms)))
        self.forwarded.search.queue_wait_ms["near-0"] = 300.0
        selected = self.selector.select(self.forwarded, 0.9)
        self.assertIn(selected.placement.backend_server.backend_server_id, FAR)

    def test_a_queue_elsewhere_must_be_shorter_by_the_cost_of_its_traffic(self):
        # All gates are busy. The traffic of an answer of 2.5 KB from another zone costs
        # as much as a wait of 700 ms. A queue in another zone is joined only if it is
        # shorter by more than that wait.
        self.forwarded.search.step = Step.QUEUE
        self.forwarded.search.queue_wait_ms = {"near-0": 3000.0, "far-0": 2500.0}
        selected = self.selector.select(self.forwarded, 0.0)
        self.assertEqual("near-0", selected.placement.backend_server.backend_server_id)
        self.forwarded.search.queue_wait_ms = {"near-0": 3000.0, "far-0": 2000.0}
        selected = self.selector.select(self.forwarded, 0.0)
        self.assertEqual("far-0", selected.placement.backend_server.backend_server_id)

    def test_short_queues_reported_to_other_requests_go_before_suspected_servers(self):
        # Only one backend server is not suspected, and its gate reported a queue of 200
        # ms to other requests. A call with 800 ms remaining must join that queue,
        # although the call has not tried the gate yet. At a suspected backend server
        # the call would fail, and its parent request with it.
        for name in NEAR + FAR[1:]:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 9), 0.0)
        self.sender.queue_hints.record(FAR[0], 200.0, 0.0)
        self.forwarded.route = msgspec.structs.replace(
            self.forwarded.route, target_ms=250.0
        )
        self.forwarded.deadline_s = 0.8
        [(name, wait_max_ms)] = self.tries({FAR[0]: 200.0})
        self.assertEqual((FAR[0], 400.0), (name, wait_max_ms))

    def test_long_queues_reported_to_other_requests_are_not_joined(self):
        for name in NEAR + FAR[1:]:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 9), 0.0)
        self.sender.queue_hints.record(FAR[0], 300.0, 0.0)
        self.forwarded.route = msgspec.structs.replace(
            self.forwarded.route, target_ms=250.0
        )
        self.forwarded.deadline_s = 0.8
        self.assertEqual([], self.tries())

    def test_suspected_backend_servers_are_not_tried_if_others_are_available(self):
        for name in NEAR:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 1), 0.0)
        [(name, _)] = self.tries(dict.fromkeys(FAR, 0.0))
        self.assertIn(name, FAR)

    def test_the_last_resort_is_a_backend_server_with_a_single_error(self):
        # All backend servers are suspected. All but one fail every request within a
        # millisecond, so all of their slots are free. Only `far-3` had a single error
        # and is busy. If last resorts were selected by free slots alone, four of five
        # would fail.
        for name in NEAR + FAR:
            failing = name != "far-3"
            self.sender.held_out_servers.record(
                name, HoldOut(1000.0, 9 if failing else 1), 0.0
            )
        self.free.record("far-3", 1, 0.0)
        self.forwarded.is_last_resort = True
        queue_ms = QUEUE_WAIT_FRACTION * DEADLINE_S * 1000
        self.assertEqual(("far-3", queue_ms), self.tries()[-1])
        # After a failed attempt at `far-3`, the own zone's failing servers are tried.
        self.forwarded.failed.add("far-3")
        self.forwarded.search.restart()
        self.assertIn(self.tries()[0][0], NEAR)


class ReservedSlotsTests(TestCase):
    HEAVY, LIGHT = WorkKind(0.5, 1), WorkKind(0.3, 2)
    SLOTS = 6

    def work(self, account, kind, count, each_s, until_s):
        """Run `count` requests of a kind per second, one after the other."""
        now_s = 0.0
        while now_s < until_s:
            for _ in range(count):
                account.acquire(kind)
                account.release(WorkEnd.ANSWERED, each_s, now_s, kind)
            now_s += 1.0

    def test_slots_are_reserved_for_heavier_calls_while_light_requests_run(self):
        # Light requests of 1.3 s fill all slots. Each second, 13 heavier calls arrive,
        # each of 0.13 s. Other requests need the answers to these calls. The calls are
        # first in the queue, but a slot becomes free only when a light request ends.
        # Without reserved slots, the calls would be late.
        account = SlotAccount()
        self.work(account, self.HEAVY, 13, 0.13, 10.0)
        reserved = account.reserved_for_heavier(self.LIGHT.weight, self.SLOTS, 10.0)
        self.assertEqual(2, reserved)
        account.acquire(self.HEAVY)
        self.assertEqual(
            1, account.reserved_for_heavier(self.LIGHT.weight, self.SLOTS, 10.0)
        )
        self.assertEqual(
            0, account.reserved_for_heavier(self.HEAVY.weight, self.SLOTS, 10.0)
        )

    def test_no_slot_is_reserved_for_heavy_work_that_uses_a_fifth_of_one(self):
        # A heavy request of 0.33 s arrives every 1.6 s at a backend server with three
        # slots. A slot reserved for such requests would be idle most of the time, and
        # light requests would have only two slots.
        account = SlotAccount()
        now_s = 0.0
        while now_s < 16.0:
            account.acquire(self.HEAVY)
            account.release(WorkEnd.ANSWERED, 0.33, now_s, self.HEAVY)
            now_s += 1.6
        self.assertEqual(0, account.reserved_for_heavier(self.LIGHT.weight, 3, 16.0))

    def test_at_most_half_of_the_slots_are_reserved_and_none_if_no_heavier_work(self):
        account = SlotAccount()
        self.assertEqual(0, account.reserved_for_heavier(0.3, self.SLOTS, 0.0))
        self.work(account, self.HEAVY, 40, 0.5, 10.0)
        self.assertEqual(3, account.reserved_for_heavier(0.3, self.SLOTS, 10.0))
        self.assertEqual(0, account.reserved_for_heavier(0.3, self.SLOTS, 60.0))

    def test_the_expected_wait_counts_slots_used_by_heavier_requests(self):
        # Heavy requests always use five of six slots, which leaves one slot for light
        # requests. If the gate estimated a light request's wait with six slots, the
        # request would join a queue in which it can't be served in time.
        account = SlotAccount()
        self.work(account, self.HEAVY, 10, 0.5, 10.0)
        light, heavy = self.LIGHT.weight, self.HEAVY.weight
        self.assertAlmostEqual(
            1, account.effective_slots(light, self.SLOTS, 10.0), delta=1
        )
        self.assertEqual(6, account.effective_slots(heavy, self.SLOTS, 10.0))

    def test_each_route_has_its_own_mean_duration(self):
        account = SlotAccount()
        self.work(account, self.HEAVY, 5, 0.1, 5.0)
        self.work(account, self.LIGHT, 5, 1.0, 5.0)
        self.assertAlmostEqual(0.1, account.route_time_s(self.HEAVY), 2)
        self.assertAlmostEqual(1.0, account.route_time_s(self.LIGHT), 2)


class QueueWaitTests(TestCase):
    def request(self, queue, ticket, free, now_s=0.0):
        return queue.request_slot(ticket, free, 2, 1.0, now_s)

    def ticket(self, **changes):
        return Ticket("s", changes.pop("weight", 1.0), 100.0, **changes)

    def test_a_request_that_may_not_wait_is_refused_with_the_expected_wait(self):
        queue = SlotQueue(10)
        no_wait = self.ticket(wait_max_s=0.0)
        self.assertIs(QueueDecision.WAIT_TOO_LONG, self.request(queue, no_wait, 0))
        self.assertEqual(0.5, no_wait.expected_wait_s)
        self.assertIs(
            QueueDecision.START, self.request(queue, self.ticket(wait_max_s=0.0), 1)
        )
        limited = self.ticket(wait_max_s=0.6)
        self.assertIs(QueueDecision.WAIT, self.request(queue, limited, 0))
        # The estimate was too low. When the wait clearly exceeds the maximum of 0.6 s,
        # the request is refused and can try another gate.
        self.assertIs(QueueDecision.WAIT, self.request(queue, limited, 0, 0.7))
        self.assertIs(QueueDecision.WAIT_TOO_LONG, self.request(queue, limited, 0, 0.9))
        self.assertEqual(0, len(queue))

    def test_requests_that_can_be_in_time_go_before_late_ones(self):
        # At a load a third above the capacity, requests that are served in the order of
        # their target times all miss these times narrowly. If requests that can't be in
        # time go last, the others are in time.
        queue = SlotQueue(10)
        late = self.ticket(target_s=1.0, route_time_s=0.5)
        on_time = self.ticket(target_s=3.0, route_time_s=0.5)
        for ticket in (late, on_time):
            self.assertIs(QueueDecision.WAIT, self.request(queue, ticket, 0, 0.0))
        self.assertIs(QueueDecision.WAIT, self.request(queue, late, 1, 0.5))
        self.assertIs(QueueDecision.START, self.request(queue, on_time, 1, 0.5))
        self.assertIs(QueueDecision.START, self.request(queue, late, 1, 0.5))

    def test_a_late_request_whose_run_was_lost_is_not_moved_back(self):
        # The request is late because its run was cut when the gate's node left. Late
        # requests are served after all requests that can be in time. If this rule
        # applied to the cut request, new requests could prevent its service for ever.
        queue = SlotQueue(10)
        cut = self.ticket(target_s=1.0, route_time_s=0.5, run_was_lost=True)
        on_time = self.ticket(target_s=3.0, route_time_s=0.5)
        for ticket in (on_time, cut):
            self.assertIs(QueueDecision.WAIT, self.request(queue, ticket, 0, 2.0))
        self.assertIs(QueueDecision.WAIT, self.request(queue, on_time, 1, 2.0))
        self.assertIs(QueueDecision.START, self.request(queue, cut, 1, 2.0))

    def test_a_heavier_request_that_is_late_still_goes_first(self):
        queue = SlotQueue(10)
        heavy = self.ticket(target_s=0.1, route_time_s=0.5, weight=2.0)
        light = self.ticket(target_s=5.0, route_time_s=0.5)
        for ticket in (light, heavy):
            self.assertIs(QueueDecision.WAIT, self.request(queue, ticket, 0))
        self.assertIs(QueueDecision.WAIT, self.request(queue, light, 1))
        self.assertIs(QueueDecision.START, self.request(queue, heavy, 1))

    def test_a_short_request_is_not_refused_for_the_length_of_others(self):
        # The request takes 0.1 s and has 1 s remaining, while requests take 1 s on
        # average. If the gate used the average, it would refuse the request although it
        # can be served in time.
        queue = SlotQueue(10)
        short = Ticket("s", 1.0, 1.0, route_time_s=0.1)
        self.assertIs(QueueDecision.WAIT, self.request(queue, short, 0))
        self.assertIs(
            QueueDecision.TOO_LATE, self.request(queue, Ticket("s", 1.0, 1.0), 0)
        )

    def test_of_requests_of_one_weight_the_earliest_target_goes_first(self):
        # A signature holds its slot while it waits for its own calls, which have a
        # target time of 0.5 s. If the calls waited behind other signatures, they would
        # be late.
        queue = SlotQueue(10)
        signature = self.ticket(target_s=2.0)
        call = self.ticket(target_s=0.5)
        heavier = self.ticket(target_s=9.0, weight=2.0)
        for ticket in (signature, call, heavier):
            self.assertIs(QueueDecision.WAIT, self.request(queue, ticket, 0))
        self.assertIs(QueueDecision.WAIT, self.request(queue, call, 1))
        self.assertIs(QueueDecision.START, self.request(queue, heavier, 1))
        self.assertIs(QueueDecision.START, self.request(queue, call, 1))
        self.assertIs(QueueDecision.START, self.request(queue, signature, 1))
