"""Placement of attempts at busy gates: own zone, short queues, then other zones."""

import random
from typing import NamedTuple

import msgspec
from testtools import TestCase

from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.slots import SlotAccount, WorkEnd, WorkKind
from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest, Step
from balsamspindle.requests.http import CallerRequest
from balsamspindle.requests.placement_selection import (
    FAR_TRIES_MAX,
    NEAR_TRIES_MAX,
    QUEUE_WAIT_FRACTION,
    PlacementSelector,
    near_wait_ms,
)
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import BackendServerRecord, HoldOut, NodeRecord

TARGET_MS = 2000.0
DEADLINE_S = 100.0
ANSWER_BYTES = 2500
SERVICE = "t/a"
NEAR, FAR = ("near-0", "near-1"), ("far-0", "far-1", "far-2", "far-3", "far-4")


def place(name: str) -> Placement:
    node = NodeRecord(f"node-{name}", 1, 0, "r", name.partition("-")[0], "", "", "")
    return Placement(node, BackendServerRecord(name, SERVICE, "1", 6, "ready"))


class _Picker:
    def __init__(self, near=NEAR) -> None:
        self._near = near

    def split_by_zone(self, service, execution):
        return [place(name) for name in self._near], [place(name) for name in FAR]

    def view(self, service):
        return NamedTuple("View", [("placements", list)])([])


class _Sender:
    def __init__(self) -> None:
        self.held_out_servers = HeldOutServers()
        self.queue_hints = QueueHints()
        self.link_hold_outs = HoldOuts(1.0, 1.0)


class PlacingTests(TestCase):
    def setUp(self):
        super().setUp()
        self.sender = _Sender()
        self.free = FreeSlotEstimates()
        self.sizes = AnswerSizes()
        self.selector = PlacementSelector(
            _Picker(), self.sender, self.free, self.sizes, random.Random(1)
        )
        route = RouteDocument(SERVICE, Execution.IDEMPOTENT, target_ms=TARGET_MS)
        self.sizes.record(route, ANSWER_BYTES)
        self.forwarded = ForwardedRequest("r", None, CallerRequest(), route, DEADLINE_S)

    def asked(self, waits_ms=None):
        """Refuse each attempt that would wait too long; return all that were made."""
        asked = []
        while selected := self.selector.select(self.forwarded, 0.0):
            name = selected.placement.backend_server.backend_server_id
            wait_ms = (waits_ms or {}).get(name, 10_000.0)
            asked.append((name, selected.wait_max_ms))
            if selected.wait_max_ms is None or wait_ms <= selected.wait_max_ms:
                return asked
            self.forwarded.tried.add(name)
            self.forwarded.search.queue_wait_ms[name] = wait_ms
        return asked

    def test_the_own_zone_is_asked_first_and_a_free_slot_there_ends_the_search(self):
        [(name, wait_max_ms)] = self.asked(dict.fromkeys(NEAR, 0.0))
        self.assertIn(name, NEAR)
        self.assertEqual(0.0, wait_max_ms)

    def test_a_short_queue_in_the_own_zone_goes_before_a_free_slot_elsewhere(self):
        # An answer from another zone costs as much as a late one loses, while a
        # wait of a fraction of the target time costs nothing.
        waits_ms = {"near-0": 600.0, "near-1": 300.0, **dict.fromkeys(FAR, 0.0)}
        asked = self.asked(waits_ms)
        self.assertEqual({*NEAR}, {name for name, _ in asked[:2]})
        self.assertEqual("near-1", asked[2][0])
        self.assertEqual(3, len(asked))

    def test_a_request_asks_a_limited_number_of_gates_before_it_queues(self):
        # Without a limit, a request in a zone with sixteen busy gates asks all of
        # them before it joins a queue, and the gates use their CPU for refusals.
        near = tuple(f"near-{number}" for number in range(16))
        self.selector = PlacementSelector(
            _Picker(near), self.sender, self.free, self.sizes, random.Random(1)
        )
        waits_ms = dict.fromkeys((*near, *FAR), 300.0)
        asked = self.asked(waits_ms)
        self.assertEqual(NEAR_TRIES_MAX, [wait_ms for _, wait_ms in asked].count(0.0))
        self.assertIn(asked[-1][0], near)
        self.assertEqual(NEAR_TRIES_MAX + 1, len(asked))

    def test_a_request_with_a_large_answer_waits_longer_in_its_own_zone(self):
        # Traffic between zones is paid by the byte: a request with an answer of
        # 400 bytes goes to a free slot in another zone where one with a larger
        # answer waits in its own.
        waits_ms = {**dict.fromkeys(NEAR, 700.0), **dict.fromkeys(FAR, 0.0)}
        self.assertIn(self.asked(waits_ms)[-1][0], NEAR)
        for _ in range(100):
            self.sizes.record(self.forwarded.route, 400)
        self.forwarded.tried.clear()
        self.forwarded.search.restart()
        self.assertIn(self.asked(waits_ms)[-1][0], FAR)

    def test_a_gate_that_reported_a_long_queue_is_not_asked_again_at_once(self):
        hints = self.sender.queue_hints
        for name in FAR[:-1]:
            hints.record(name, 2500.0, 0.0)
        waits_ms = {**dict.fromkeys(NEAR, 1500.0), **dict.fromkeys(FAR, 0.0)}
        self.assertEqual(FAR[-1], self.asked(waits_ms)[-1][0])
        self.assertEqual(set(FAR[:-1]), hints.longer_than(2000.0, 0.4))
        self.assertEqual(set(), hints.longer_than(3000.0, 0.4))
        self.assertEqual(set(), hints.longer_than(2000.0, 0.6))

    def test_a_free_slot_elsewhere_goes_before_a_long_queue_in_the_own_zone(self):
        waits_ms = {**dict.fromkeys(NEAR, 1500.0), **dict.fromkeys(FAR, 0.0)}
        asked = self.asked(waits_ms)
        self.assertEqual(3, len(asked))
        self.assertIn(asked[2][0], FAR)
        self.assertEqual(near_wait_ms(TARGET_MS, ANSWER_BYTES), asked[2][1])

    def test_where_all_gates_are_busy_the_shortest_queue_is_joined(self):
        # Without a limit, a request would ask every gate of a large service when
        # all of them are busy.
        waits_ms = {name: 3000.0 + number for number, name in enumerate(NEAR + FAR)}
        asked = self.asked(waits_ms)
        self.assertEqual(len(NEAR) + FAR_TRIES_MAX + 1, len(asked))
        self.assertEqual(("near-0", QUEUE_WAIT_FRACTION * DEADLINE_S * 1000), asked[-1])

    def test_where_all_queues_are_too_long_the_request_is_refused_at_once(self):
        # In an overload each gate reports a queue longer than half of the request's
        # remaining time. A request that joined one would be refused at its deadline,
        # with no time left for its caller to retry.
        waits_ms = dict.fromkeys(NEAR + FAR, 3000.0)
        self.forwarded.deadline_s = 5.0
        asked = self.asked(waits_ms)
        self.assertEqual(len(NEAR) + FAR_TRIES_MAX, len(asked))

    def test_a_request_waits_for_half_of_its_time_in_all_queues_together(self):
        # A queue may be longer than its gate reported. A request refused there after
        # a wait may wait in another queue, but only for the rest of the half.
        self.forwarded.deadline_s = 10.0
        self.forwarded.search.step = Step.QUEUE
        self.forwarded.search.queue_wait_ms = dict.fromkeys(NEAR, 100.0)
        first = self.selector.select(self.forwarded, 0.0)
        second = self.selector.select(self.forwarded, 4.0)
        self.assertEqual((5000.0, 1000.0), (first.wait_max_ms, second.wait_max_ms))
        self.forwarded.search.queue_wait_ms = dict.fromkeys(NEAR, 100.0)
        self.assertIsNone(self.selector.select(self.forwarded, 5.0))

    def test_the_wait_in_queues_of_the_own_zone_is_limited(self):
        # The gate reports 300 ms again and again, while the request has no slot
        # after 900 ms. Without a limit the request would wait there until its
        # deadline, although a gate of another zone has free slots.
        waits_ms = dict.fromkeys(NEAR, 300.0)
        self.assertEqual(3, len(self.asked(waits_ms)))
        self.forwarded.search.queue_wait_ms["near-0"] = 300.0
        selected = self.selector.select(self.forwarded, 0.9)
        self.assertIn(selected.placement.backend_server.backend_server_id, FAR)

    def test_a_queue_elsewhere_must_be_shorter_by_the_cost_of_its_traffic(self):
        # All gates are busy. An answer of 2.5 KB from another zone costs as much as
        # a wait of 700 ms, so that a queue there which is hardly shorter is not
        # joined.
        self.forwarded.search.step = Step.QUEUE
        self.forwarded.search.queue_wait_ms = {"near-0": 3000.0, "far-0": 2500.0}
        selected = self.selector.select(self.forwarded, 0.0)
        self.assertEqual("near-0", selected.placement.backend_server.backend_server_id)
        self.forwarded.search.queue_wait_ms = {"near-0": 3000.0, "far-0": 2000.0}
        selected = self.selector.select(self.forwarded, 0.0)
        self.assertEqual("far-0", selected.placement.backend_server.backend_server_id)

    def test_short_queues_reported_to_other_requests_go_before_suspected_servers(self):
        # Only one backend server is not suspected. Its gate has reported a queue of
        # 200 ms to other requests. A call that has not asked this gate yet must join
        # the queue: at a suspected backend server the call would fail, and its parent
        # request with it, although 800 ms are left.
        for name in NEAR + FAR[1:]:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 9), 0.0)
        self.sender.queue_hints.record(FAR[0], 200.0, 0.0)
        self.forwarded.route = msgspec.structs.replace(
            self.forwarded.route, target_ms=250.0
        )
        self.forwarded.deadline_s = 0.8
        [(name, wait_max_ms)] = self.asked({FAR[0]: 200.0})
        self.assertEqual((FAR[0], 400.0), (name, wait_max_ms))

    def test_long_queues_reported_to_other_requests_are_not_joined(self):
        for name in NEAR + FAR[1:]:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 9), 0.0)
        self.sender.queue_hints.record(FAR[0], 300.0, 0.0)
        self.forwarded.route = msgspec.structs.replace(
            self.forwarded.route, target_ms=250.0
        )
        self.forwarded.deadline_s = 0.8
        self.assertEqual([], self.asked())

    def test_suspected_backend_servers_are_not_asked_while_others_are_left(self):
        for name in NEAR:
            self.sender.held_out_servers.record(name, HoldOut(1000.0, 1), 0.0)
        [(name, _)] = self.asked(dict.fromkeys(FAR, 0.0))
        self.assertIn(name, FAR)

    def test_the_last_resort_is_a_backend_server_with_a_single_error(self):
        # All backend servers are suspected. One that fails all requests does so
        # within a millisecond and has all slots free; one with a single error is
        # busy. Selected by free slots alone, four of five last resorts fail.
        for name in NEAR + FAR:
            failing = name != "far-3"
            self.sender.held_out_servers.record(
                name, HoldOut(1000.0, 9 if failing else 1), 0.0
            )
        self.free.record("far-3", 1, 0.0)
        self.forwarded.is_last_resort = True
        queue_ms = QUEUE_WAIT_FRACTION * DEADLINE_S * 1000
        self.assertEqual(("far-3", queue_ms), self.asked()[-1])
        # After that one has failed as well, the others are tried.
        self.forwarded.failed.add("far-3")
        self.forwarded.search.restart()
        self.assertIn(self.asked()[0][0], NEAR)


class KeptSlotsTests(TestCase):
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

    def test_slots_are_kept_for_heavier_calls_while_long_light_requests_run(self):
        # Light requests of 1.3 s fill all slots. Heavier calls of 0.13 s, 13 per
        # second, which other requests wait for, would be late although they are first
        # in the queue: a slot becomes free only when a light request ends.
        account = SlotAccount()
        self.work(account, self.HEAVY, 13, 0.13, 10.0)
        kept = account.reserved_for_heavier(self.LIGHT.weight, self.SLOTS, 10.0)
        self.assertEqual(2, kept)
        account.acquire(self.HEAVY)
        self.assertEqual(
            1, account.reserved_for_heavier(self.LIGHT.weight, self.SLOTS, 10.0)
        )
        self.assertEqual(
            0, account.reserved_for_heavier(self.HEAVY.weight, self.SLOTS, 10.0)
        )

    def test_no_slot_is_kept_for_heavy_work_that_uses_a_fifth_of_it(self):
        # A heavy request of 0.33 s arrives every 1.6 s at a backend server with three
        # slots. A slot kept for it would be idle most of the time, and light requests
        # would have only two.
        account = SlotAccount()
        now_s = 0.0
        while now_s < 16.0:
            account.acquire(self.HEAVY)
            account.release(WorkEnd.ANSWERED, 0.33, now_s, self.HEAVY)
            now_s += 1.6
        self.assertEqual(0, account.reserved_for_heavier(self.LIGHT.weight, 3, 16.0))

    def test_at_most_half_of_the_slots_are_kept_and_none_without_heavier_work(self):
        account = SlotAccount()
        self.assertEqual(0, account.reserved_for_heavier(0.3, self.SLOTS, 0.0))
        self.work(account, self.HEAVY, 40, 0.5, 10.0)
        self.assertEqual(3, account.reserved_for_heavier(0.3, self.SLOTS, 10.0))
        self.assertEqual(0, account.reserved_for_heavier(0.3, self.SLOTS, 60.0))

    def test_the_expected_wait_counts_slots_used_by_heavier_requests(self):
        # Heavy requests always use five of six slots, which leaves one for the light
        # ones. If a light request were told the wait for six slots, it would join a
        # queue in which it is not served in time.
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
    def ask(self, queue, ticket, free, now_s=0.0):
        return queue.request_slot(ticket, free, 2, 1.0, now_s)

    def ticket(self, **changes):
        return Ticket("s", changes.pop("weight", 1.0), 100.0, **changes)

    def test_a_request_that_may_not_wait_is_refused_with_the_expected_wait(self):
        queue = SlotQueue(10)
        hasty = self.ticket(wait_max_s=0.0)
        self.assertIs(QueueDecision.WAIT_TOO_LONG, self.ask(queue, hasty, 0))
        self.assertEqual(0.5, hasty.expected_wait_s)
        self.assertIs(
            QueueDecision.START, self.ask(queue, self.ticket(wait_max_s=0.0), 1)
        )
        patient = self.ticket(wait_max_s=0.6)
        self.assertIs(QueueDecision.WAIT, self.ask(queue, patient, 0))
        # The wait is longer than estimated: the request is refused, to try elsewhere.
        self.assertIs(QueueDecision.WAIT, self.ask(queue, patient, 0, 0.7))
        self.assertIs(QueueDecision.WAIT_TOO_LONG, self.ask(queue, patient, 0, 0.9))
        self.assertEqual(0, len(queue))

    def test_requests_that_can_be_in_time_go_before_late_ones(self):
        # At an overload of a third, requests served in the order of their target
        # times are all just too late. If one that is late in any case goes last, the
        # others are in time.
        queue = SlotQueue(10)
        late = self.ticket(target_s=1.0, route_time_s=0.5)
        fresh = self.ticket(target_s=3.0, route_time_s=0.5)
        for ticket in (late, fresh):
            self.assertIs(QueueDecision.WAIT, self.ask(queue, ticket, 0, 0.0))
        self.assertIs(QueueDecision.WAIT, self.ask(queue, late, 1, 0.5))
        self.assertIs(QueueDecision.START, self.ask(queue, fresh, 1, 0.5))
        self.assertIs(QueueDecision.START, self.ask(queue, late, 1, 0.5))

    def test_a_request_whose_run_was_lost_is_not_put_back_for_being_late(self):
        # A request is late because its run was cut when the gate's node left. Late
        # requests wait behind all others that can be in time; if this rule applied to
        # the request, new requests would keep it from being served at all.
        queue = SlotQueue(10)
        cut = self.ticket(target_s=1.0, route_time_s=0.5, run_was_lost=True)
        fresh = self.ticket(target_s=3.0, route_time_s=0.5)
        for ticket in (fresh, cut):
            self.assertIs(QueueDecision.WAIT, self.ask(queue, ticket, 0, 2.0))
        self.assertIs(QueueDecision.WAIT, self.ask(queue, fresh, 1, 2.0))
        self.assertIs(QueueDecision.START, self.ask(queue, cut, 1, 2.0))

    def test_a_heavier_request_that_is_late_still_goes_first(self):
        queue = SlotQueue(10)
        heavy = self.ticket(target_s=0.1, route_time_s=0.5, weight=2.0)
        light = self.ticket(target_s=5.0, route_time_s=0.5)
        for ticket in (light, heavy):
            self.assertIs(QueueDecision.WAIT, self.ask(queue, ticket, 0))
        self.assertIs(QueueDecision.WAIT, self.ask(queue, light, 1))
        self.assertIs(QueueDecision.START, self.ask(queue, heavy, 1))

    def test_a_short_request_is_not_refused_for_the_length_of_others(self):
        # The request takes 0.1 s and has 1 s left; others take 1 s each. By the mean
        # duration it would be refused although it can be served in time.
        queue = SlotQueue(10)
        short = Ticket("s", 1.0, 1.0, route_time_s=0.1)
        self.assertIs(QueueDecision.WAIT, self.ask(queue, short, 0))
        self.assertIs(QueueDecision.TOO_LATE, self.ask(queue, Ticket("s", 1.0, 1.0), 0))

    def test_a_short_request_goes_before_a_long_one_of_the_same_weight(self):
        # A long request holds its slot while it waits for its own calls, which are
        # due in 0.5 s; behind a queue of long requests they would be late.
        queue = SlotQueue(10)
        signature = self.ticket(target_s=2.0)
        call = self.ticket(target_s=0.5)
        heavier = self.ticket(target_s=9.0, weight=2.0)
        for ticket in (signature, call, heavier):
            self.assertIs(QueueDecision.WAIT, self.ask(queue, ticket, 0))
        self.assertIs(QueueDecision.WAIT, self.ask(queue, call, 1))
        self.assertIs(QueueDecision.START, self.ask(queue, heavier, 1))
        self.assertIs(QueueDecision.START, self.ask(queue, call, 1))
        self.assertIs(QueueDecision.START, self.ask(queue, signature, 1))
