"""Room for short calls at a backend server that also runs long, lighter requests."""

import heapq
import random

from testtools import TestCase

from balsamspindle.backend_servers.slots import (
    RESERVED_IDLE_MAX_S,
    SlotAccount,
    WorkEnd,
    WorkKind,
)

UPLOAD, CALL = WorkKind(0.3, 1), WorkKind(0.5, 2, is_call=True)
RUN_S = {UPLOAD: 0.6, CALL: 0.12}
SLOTS = 3
DURATION_S, STEP_S = 60.0, 0.01


class Played:
    """One backend server with uploads that always wait, and calls at random times.

    Calls wait, too, and start before the uploads.
    """

    def __init__(self, calls_per_s: float, calls_until_s: float = DURATION_S) -> None:
        rng = random.Random(1)
        self.account = SlotAccount()
        self.waits_s = []
        self.busy_s = 0.0
        self.full_at_s = None
        running: list[tuple[float, WorkKind]] = []
        waiting = []
        for step in range(round(DURATION_S / STEP_S)):
            now_s = step * STEP_S
            while running and running[0][0] <= now_s:
                _, kind = heapq.heappop(running)
                self.account.release(WorkEnd.ANSWERED, RUN_S[kind], now_s, kind)
            if now_s < calls_until_s and rng.random() < calls_per_s * STEP_S:
                waiting.append(now_s)
            while waiting and self._start(running, CALL, now_s):
                self.waits_s.append(now_s - waiting.pop(0))
            while self._start(running, UPLOAD, now_s):
                pass
            self.busy_s += len(running) * STEP_S
            uploads = sum(kind == UPLOAD for _, kind in running)
            if now_s >= calls_until_s and uploads == SLOTS and self.full_at_s is None:
                self.full_at_s = now_s

    def _start(self, running, kind: WorkKind, now_s: float) -> bool:
        free = self.account.free(SLOTS, now_s)
        if free <= self.account.reserved_while_used(kind, SLOTS, now_s):
            return False
        self.account.acquire(kind)
        heapq.heappush(running, (now_s + RUN_S[kind], kind))
        return True

    @property
    def mean_wait_s(self) -> float:
        return sum(self.waits_s) / len(self.waits_s)

    @property
    def utilization(self) -> float:
        return self.busy_s / (SLOTS * DURATION_S)


class ReservedRoomTests(TestCase):
    def test_calls_find_slots_beside_uploads_that_always_wait(self):
        # The calls occupy one of three slots on average.
        played = Played(calls_per_s=8.0)
        self.assertLess(played.mean_wait_s, RUN_S[CALL])
        self.assertGreater(played.utilization, 0.7)

    def test_without_calls_no_slot_is_idle(self):
        self.assertGreater(Played(calls_per_s=0.0).utilization, 0.99)

    def test_rare_calls_keep_no_slot_idle(self):
        self.assertGreater(Played(calls_per_s=1.0).utilization, 0.95)

    def test_a_slot_is_given_up_soon_after_the_last_call(self):
        # Guards against slots that stay idle after the parents' service has failed.
        played = Played(calls_per_s=8.0, calls_until_s=30.0)
        latest_s = 30.0 + RESERVED_IDLE_MAX_S + 2 * RUN_S[CALL]
        self.assertLess(played.full_at_s, latest_s)

    def test_short_calls_leave_no_slot_to_heavier_long_requests(self):
        account = SlotAccount()
        heavier = WorkKind(0.9, 3)
        for kind, ran_s in ((heavier, 0.6), (CALL, 0.12)):
            for _ in range(10):
                account.acquire(kind)
                account.release(WorkEnd.ANSWERED, ran_s, 1.0, kind)
        self.assertEqual(0, account.reserved_while_used(CALL, SLOTS, 1.0))
        self.assertGreater(account.reserved_while_used(UPLOAD, SLOTS, 1.0), 0)

    def test_requests_that_no_run_waits_for_are_left_half_of_the_slots(self):
        # Guards against lookups that get one slot in three because more urgent orders,
        # which nobody else waits for, use a little more than one.
        account = SlotAccount()
        order = WorkKind(0.9, 3)
        for _ in range(100):
            account.acquire(order)
            account.release(WorkEnd.ANSWERED, 0.12, 1.0, order)
        self.assertEqual(SLOTS // 2, account.reserved_while_used(UPLOAD, SLOTS, 1.0))

    def test_one_slot_is_always_left_to_lighter_requests(self):
        account = SlotAccount()
        for _ in range(100):
            account.acquire(CALL)
            account.release(WorkEnd.ANSWERED, 0.12, 1.0, CALL)
        self.assertEqual(SLOTS - 1, account.reserved_while_used(UPLOAD, SLOTS, 1.0))
        self.assertEqual(0, account.reserved_while_used(UPLOAD, 1, 1.0))
