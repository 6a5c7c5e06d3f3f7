"""How soon a gate at 150 % of its capacity refuses what it can't serve."""

import random
import statistics
from dataclasses import dataclass

from testtools import TestCase

from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.slots import SlotAccount, WorkEnd, WorkKind
from balsamspindle.requests.placement_selection import QUEUE_WAIT_FRACTION

SLOTS = 3
STEP_S = 0.01
LENGTH_S = 20.0
WORK_S = 0.35
TIME_S, TARGET_S = 5.0, 1.0
FILING, LOOKUP = WorkKind(0.5, 1), WorkKind(0.33, 2)
# Requests per second. All three slots together serve about 8.6 per second.
ARRIVALS = ((FILING, 7.0), (LOOKUP, 6.0))


@dataclass
class _Request:
    """A caller's request and its result."""

    kind: WorkKind
    ticket: Ticket
    arrived_s: float
    ends_s: float = 0.0
    was_served: bool = False
    refused_after_s: float = 0.0


class _Gate:
    """The queue and the slots of one gate, in simulated time."""

    def __init__(self, seed: int, wait_fraction: float | None) -> None:
        self._random = random.Random(seed)
        self._wait_fraction = wait_fraction
        self._queue = SlotQueue(64)
        self._account = SlotAccount()
        self._waiting: list[_Request] = []
        self._running: list[_Request] = []
        self.requests: list[_Request] = []

    def run(self) -> "_Gate":
        """Simulate the whole load."""
        now_s = 0.0
        while now_s < LENGTH_S:
            self._end_work(now_s)
            for kind, per_s in ARRIVALS:
                if self._random.random() < per_s * STEP_S:
                    self._waiting.append(self._new_request(kind, now_s))
            for request in list(self._waiting):
                self._request_slot(request, now_s)
            now_s += STEP_S
        return self

    def refusal_times_s(self) -> list[float]:
        """Return the time until the refusal of each refused request."""
        return [one.refused_after_s for one in self.requests if one.refused_after_s]

    def served(self) -> int:
        return sum(one.was_served for one in self.requests)

    def _new_request(self, kind: WorkKind, now_s: float) -> _Request:
        fraction = self._wait_fraction
        ticket = Ticket(
            "s",
            kind.weight,
            now_s + TIME_S,
            wait_max_s=None if fraction is None else fraction * TIME_S,
            target_s=now_s + TARGET_S,
            route_time_s=WORK_S,
        )
        request = _Request(kind, ticket, now_s)
        self.requests.append(request)
        return request

    def _request_slot(self, request: _Request, now_s: float) -> None:
        account, weight = self._account, request.kind.weight
        effective_slots = account.effective_slots(weight, SLOTS, now_s)
        if self._wait_fraction is None:
            effective_slots = SLOTS
        free = account.free(SLOTS, now_s)
        decision = self._queue.request_slot(
            request.ticket, free, effective_slots, WORK_S, now_s
        )
        if decision is QueueDecision.WAIT:
            return
        self._waiting.remove(request)
        if decision is not QueueDecision.START:
            request.refused_after_s = max(STEP_S, now_s - request.arrived_s)
            return
        account.acquire(request.kind)
        request.ends_s = now_s + WORK_S
        request.was_served = True
        self._running.append(request)

    def _end_work(self, now_s: float) -> None:
        for request in [one for one in self._running if one.ends_s <= now_s]:
            self._running.remove(request)
            self._account.release(WorkEnd.ANSWERED, WORK_S, now_s, request.kind)


class OverloadTests(TestCase):
    def test_unserved_requests_are_refused_in_time_for_a_retry(self):
        # Each request has a deadline of 5 s. Filings are heavier than lookups, so they
        # go first and use about 2.5 of the three slots. More lookups arrive than the
        # remaining half slot can serve. Without a limit of the wait in the queue, the
        # gate refuses lookups after a median of 3.5 s, too late for a retry.
        #
        # The limit is half of the time until the deadline, 2.5 s. With the limit, at
        # least half of the refusals are immediate. An attempt that is already in the
        # queue is refused after 1.3 times the limit (`WAIT_OVERRUN_FACTOR`), so all
        # refusals come within 3.3 s. The limit does not reduce the number of requests
        # served.
        unlimited = [_Gate(seed, None).run() for seed in range(2)]
        limited = [_Gate(seed, QUEUE_WAIT_FRACTION).run() for seed in range(2)]
        unlimited_median_s = statistics.median(
            sum((one.refusal_times_s() for one in unlimited), [])
        )
        self.assertGreater(unlimited_median_s, 0.6 * TIME_S)
        limited_s = sum((one.refusal_times_s() for one in limited), [])
        self.assertLess(statistics.median(limited_s), QUEUE_WAIT_FRACTION * TIME_S)
        self.assertLess(max(limited_s), 0.7 * TIME_S)
        served = [sum(one.served() for one in gates) for gates in (unlimited, limited)]
        self.assertGreater(served[1], 0.98 * served[0])
