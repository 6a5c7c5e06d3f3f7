"""Ranks for the calls of one request, at an overloaded service."""

import heapq
import itertools
import random

from testtools import TestCase

from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.siblings import SiblingRanks
from balsamspindle.settings.documents import RouteDocument

GATES, SLOTS = 9, 2
WORK_S, TARGET_S, TIME_S = 0.1, 0.46, 0.96
# The longest time that a call may wait at one gate: half of its time limit.
WAIT_MAX_S = 0.48
GATES_PER_CALL = 4
CALLS_PER_PARENT = 2
OVERLOAD = 1.4
END_S = 60.0
ROUTE = RouteDocument(
    "crew/feeds", Execution.IDEMPOTENT, target_ms=TARGET_S * 1000, timeout_ms=960.0
)


class _Call:
    """A call in progress, its ticket, and the gates that it may still try."""

    def __init__(
        self, parent: int, untried_gates: list[int], deadline_s: float
    ) -> None:
        self.parent, self.untried_gates, self.deadline_s = (
            parent,
            untried_gates,
            deadline_s,
        )
        self.rank_s = 0.0
        self.gate = -1
        self.ticket: Ticket | None = None


class Simulation:
    """Simulates parent requests that each make two calls to an overloaded service."""

    def __init__(self, seed: int, is_ranked: bool) -> None:
        self._random = random.Random(seed)
        self._is_ranked = is_ranked
        self._siblings = SiblingRanks(random.Random(seed))
        self._queues = [SlotQueue(64) for _ in range(GATES)]
        self._busy = [0] * GATES
        self._waiting: list[list[_Call]] = [[] for _ in range(GATES)]
        self._events: list = []
        self._ids = itertools.count()
        self._failed_parents: set[int] = set()
        self._served: dict[int, int] = {}
        self.runs = 0

    def count_complete_parents(self) -> int:
        """Run the simulation; return the number of parents with all calls served."""
        rate = OVERLOAD * GATES * SLOTS / WORK_S / CALLS_PER_PARENT
        now_s, parents = 0.0, itertools.count()
        while now_s < END_S:
            now_s += self._random.expovariate(rate)
            self._schedule(now_s, self._begin, next(parents))
        while self._events:
            now_s, _, action, argument = heapq.heappop(self._events)
            action(now_s, argument)
        return sum(served == CALLS_PER_PARENT for served in self._served.values())

    def _schedule(self, at_s: float, action, argument) -> None:
        heapq.heappush(self._events, (at_s, next(self._ids), action, argument))

    def _begin(self, now_s: float, parent: int) -> None:
        for _ in range(CALLS_PER_PARENT):
            untried_gates = self._random.sample(range(GATES), GATES_PER_CALL)
            call = _Call(parent, untried_gates, now_s + TIME_S)
            if self._is_ranked:
                rank_ms = self._siblings.rank_ms(ROUTE, now_s + TIME_S, now_s)
                call.rank_s = rank_ms / 1000
            self._try_next_gate(now_s, call)

    def _try_next_gate(self, now_s: float, call: _Call) -> None:
        """Try the next gate; the parent fails if no gate is left."""
        if call.parent in self._failed_parents:
            return
        if not call.untried_gates:
            self._failed_parents.add(call.parent)
            return
        call.gate = call.untried_gates.pop()
        target_s = call.deadline_s - TIME_S + TARGET_S
        call.ticket = Ticket(
            str(call.gate),
            1.0,
            call.deadline_s,
            wait_max_s=WAIT_MAX_S,
            target_s=target_s,
            route_time_s=WORK_S,
            rank_s=call.rank_s,
        )
        self._request_slot(now_s, call)

    def _request_slot(self, now_s: float, call: _Call) -> None:
        gate = call.gate
        if call.parent in self._failed_parents:
            # The parent has failed, so the connection of the call is closed.
            self._queues[gate].withdraw(call.ticket)
            return
        free = SLOTS - self._busy[gate]
        match self._queues[gate].request_slot(call.ticket, free, SLOTS, WORK_S, now_s):
            case QueueDecision.START:
                self._busy[gate] += 1
                self.runs += 1
                self._schedule(
                    now_s + self._random.uniform(0.5, 1.5) * WORK_S, self._end, call
                )
            case QueueDecision.WAIT:
                self._waiting[gate].append(call)
            case _:
                self._try_next_gate(now_s, call)

    def _end(self, now_s: float, call: _Call) -> None:
        gate = call.gate
        self._busy[gate] -= 1
        self._served[call.parent] = self._served.get(call.parent, 0) + 1
        waiting, self._waiting[gate] = self._waiting[gate], []
        for other in waiting:
            self._request_slot(now_s, other)


class SiblingsTests(TestCase):
    def test_an_overloaded_service_serves_all_calls_of_more_parents(self):
        # The service gets 1.4 times the load that it can serve. Each parent makes two
        # calls and fails if one of them fails. If each gate decided by its own queue
        # alone, many parents would have one call served and the other refused.
        for seed in range(3):
            unranked, ranked = Simulation(seed, False), Simulation(seed, True)
            self.assertGreater(
                ranked.count_complete_parents(),
                1.2 * unranked.count_complete_parents(),
                f"seed {seed}",
            )
            # The gain must not come from more runs.
            self.assertLess(ranked.runs, 1.02 * unranked.runs)

    def test_calls_of_one_parent_have_one_rank(self):
        siblings = SiblingRanks(random.Random(1))
        ranks = []
        for number in range(40):
            now_s = float(number)
            first = siblings.rank_ms(ROUTE, now_s + 0.9, now_s)
            second = siblings.rank_ms(ROUTE, now_s + 0.9, now_s + 0.001)
            ranks.append((first, second))
        for first, second in ranks[20:]:
            self.assertEqual(first, second)
        self.assertGreater(len({first for first, _ in ranks[20:]}), 10)

    def test_requests_that_arrive_alone_are_not_ranked(self):
        # Two callers' requests per second arrive at one node, all with the same time
        # limit. If such requests are served by deadline, the fewest of them are late,
        # so they must get no rank.
        siblings, draw, now_s = SiblingRanks(random.Random(1)), random.Random(2), 0.0
        ranks = []
        for _ in range(500):
            now_s += draw.expovariate(2.0)
            ranks.append(siblings.rank_ms(ROUTE, now_s + 5.0, now_s))
        self.assertEqual(0.0, max(ranks))
