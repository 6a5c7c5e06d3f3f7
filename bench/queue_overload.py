"""Compares configurations of the gate's queue under overload.

The configurations are two orders of the queue, a queue without weights, and an
unbounded queue. Seeded requests arrive in simulated time at twice the capacity of one
backend server. There are two kinds of requests: contracts (weight 5) and vacancy
look-ups (weight 1).

    python -m bench.queue_overload
"""

import heapq
import random
from collections import Counter
from typing import NamedTuple

from balsamspindle.backend_servers.queue import Order, QueueDecision, SlotQueue, Ticket

__all__ = ["OverloadResult", "Plan", "run_overload"]

SLOTS = 6
SERVICE_TIME_S = 0.1
REQUEST_TIMEOUT_S = 1.0
HEAVY_WEIGHT, LIGHT_WEIGHT = 5.0, 1.0
HEAVY_FRACTION = 0.3
OVERLOAD_FACTOR = 2.0
DURATION_S = 30.0
QUEUE_MAX = 32
UNBOUNDED = 10_000_000
SEEDS = range(3)


class Plan(NamedTuple):
    """Configuration of the queue in a run.

    Attributes
    ----------
    queue_max : int
        Maximum number of requests in the queue.
    knows_service_time : bool
        Whether the queue knows the mean service time. If not, it can't predict
        that a request will miss its deadline, and so can't refuse the request early.
    knows_weight : bool
        Whether the queue knows the weights of the requests. If not, all have the same.
    """

    order: Order
    queue_max: int = QUEUE_MAX
    knows_service_time: bool = True
    knows_weight: bool = True


PLANS = {
    "fifo": Plan(Order.FIFO),
    "lifo": Plan(Order.LIFO),
    "fifo, no weights": Plan(Order.FIFO, knows_weight=False),
    "plain queue": Plan(Order.FIFO, UNBOUNDED, False, False),
}


class OverloadResult(NamedTuple):
    """Figures of one run.

    Attributes
    ----------
    heavy, light : float
        Fraction of the requests of this weight that were answered before their
        deadline.
    weighted : float
        Fraction of all requests, by weight, that were answered before their deadline.
    wasted : float
        Fraction of the backend server's runs that ended after the deadline.
    refusal_delay_s : float
        Mean time from the arrival of a refused request to its refusal.
    """

    heavy: float
    light: float
    weighted: float
    wasted: float
    refusal_delay_s: float


class _Request(Ticket):
    arrival_s = 0.0
    kind_weight = 0.0


class _Simulation:
    def __init__(self, plan: Plan, seed: int) -> None:
        self._plan = plan
        self._rng = random.Random(seed)
        self._queue = SlotQueue(plan.queue_max, plan.order)
        self._waiting: list[_Request] = []
        self._free_slots = SLOTS
        self._running: list[tuple[float, int, _Request]] = []
        self._number = 0
        self._counts: Counter = Counter()
        self._refusal_delays_s: list[float] = []

    def run(self) -> OverloadResult:
        rate = OVERLOAD_FACTOR * SLOTS / SERVICE_TIME_S
        now_s = 0.0
        while now_s < DURATION_S:
            now_s += self._rng.expovariate(rate)
            self._finish_requests(now_s)
            self._add_arrival(now_s)
        self._finish_requests(float("inf"))
        return self._summary()

    def _add_arrival(self, now_s: float) -> None:
        weight = HEAVY_WEIGHT if self._rng.random() < HEAVY_FRACTION else LIGHT_WEIGHT
        queued_weight = weight if self._plan.knows_weight else LIGHT_WEIGHT
        request = _Request("a", queued_weight, now_s + REQUEST_TIMEOUT_S)
        request.arrival_s, request.kind_weight = now_s, weight
        self._counts["arrived", weight] += 1
        self._request_slot(request, now_s)
        if any(other.is_shed for other in self._waiting):
            self._retry_waiting(now_s)

    def _finish_requests(self, until_s: float) -> None:
        while self._running and self._running[0][0] <= until_s:
            now_s, _, request = heapq.heappop(self._running)
            self._free_slots += 1
            in_time = now_s <= request.deadline_s
            self._counts["in time" if in_time else "late", request.kind_weight] += 1
            self._retry_waiting(now_s)

    def _retry_waiting(self, now_s: float) -> None:
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._request_slot(request, now_s)

    def _request_slot(self, request: _Request, now_s: float) -> None:
        service_time_s = SERVICE_TIME_S if self._plan.knows_service_time else 0.0
        decision = self._queue.request_slot(
            request, self._free_slots, SLOTS, service_time_s, now_s
        )
        if decision is QueueDecision.WAIT:
            self._waiting.append(request)
        elif decision is QueueDecision.START:
            self._start(request, now_s)
        else:
            self._refusal_delays_s.append(now_s - request.arrival_s)

    def _start(self, request: _Request, now_s: float) -> None:
        self._free_slots -= 1
        self._number += 1
        end_s = now_s + self._rng.expovariate(1 / SERVICE_TIME_S)
        heapq.heappush(self._running, (end_s, self._number, request))

    def _summary(self) -> OverloadResult:
        counts, kinds = self._counts, (HEAVY_WEIGHT, LIGHT_WEIGHT)
        heavy, light = (
            counts["in time", kind] / counts["arrived", kind] for kind in kinds
        )
        answered = sum(counts["in time", kind] * kind for kind in kinds)
        arrived = sum(counts["arrived", kind] * kind for kind in kinds)
        late = sum(counts["late", kind] for kind in kinds)
        done = late + sum(counts["in time", kind] for kind in kinds)
        refusal_delay_s = sum(self._refusal_delays_s) / max(
            1, len(self._refusal_delays_s)
        )
        return OverloadResult(
            heavy, light, answered / arrived, late / done, refusal_delay_s
        )


def run_overload(plan: Plan, seed: int) -> OverloadResult:
    """Return the figures of one seeded run."""
    return _Simulation(plan, seed).run()


def main() -> None:
    """Print the mean figures of all seeds for each plan."""
    print(f"{'queue':18} heavy light weighted wasted refused after")
    for name, plan in PLANS.items():
        results = [run_overload(plan, seed) for seed in SEEDS]
        means = [sum(column) / len(results) for column in zip(*results, strict=True)]
        print(
            f"{name:18} {means[0]:5.1%} {means[1]:5.1%} {means[2]:8.1%} "
            f"{means[3]:6.1%} {means[4] * 1000:7.0f} ms"
        )


if __name__ == "__main__":
    main()
