"""Schedule of requests and fault changes, reproducible by the seed of the plan."""

import heapq
import random
from collections.abc import Iterator
from itertools import islice
from typing import Any, NamedTuple

from balsamspindle.load.plan import Arrival, FaultPeriod, LoadPlan

__all__ = ["FaultChange", "ScheduledCall", "schedule_calls", "schedule_faults"]

NO_FAULT = {"mode": "none"}


class ScheduledCall(NamedTuple):
    """A request, its arrival time and the node that receives it.

    Attributes
    ----------
    at_s : float
        Arrival time, relative to the start of the experiment.
    run_key : str
        Unique key of the request; a correct answer contains it.
    """

    at_s: float
    run_key: str
    node: str
    arrival: Arrival


class FaultChange(NamedTuple):
    """A request that sets or ends a fault of a stand-in."""

    at_s: float
    target: str
    switch: dict[str, Any]


def schedule_calls(plan: LoadPlan, run_id: str) -> list[ScheduledCall]:
    """Return all requests of an experiment in the order of their arrival times."""
    rng = random.Random(plan.seed)
    nodes = sorted(plan.nodes)
    streams = [
        _arrival_times(
            arrival, arrival_index, random.Random(rng.random()), plan.duration_s
        )
        for arrival_index, arrival in enumerate(plan.arrivals)
    ]
    times = islice(heapq.merge(*streams), plan.requests_max)
    return [
        ScheduledCall(
            at_s,
            f"{run_id}-{sequence}",
            rng.choice(nodes),
            plan.arrivals[arrival_index],
        )
        for sequence, (at_s, arrival_index) in enumerate(times)
    ]


def schedule_faults(faults: list[FaultPeriod]) -> list[FaultChange]:
    """Return the starts and ends of all faults in the order of their times."""
    changes = [change for fault in faults for change in _fault_changes(fault)]
    return sorted(changes, key=lambda change: change.at_s)


def _arrival_times(
    arrival, arrival_index, rng, duration_s
) -> Iterator[tuple[float, int]]:
    at_s = rng.expovariate(arrival.rate_per_s)
    while at_s < duration_s:
        yield at_s, arrival_index
        at_s += rng.expovariate(arrival.rate_per_s)


def _fault_changes(fault: FaultPeriod) -> Iterator[FaultChange]:
    half_s = (fault.flap_period_s or 2 * (fault.end_s - fault.start_s)) / 2
    at_s, is_faulty = fault.start_s, True
    while at_s < fault.end_s:
        yield FaultChange(at_s, fault.target, fault.switch if is_faulty else NO_FAULT)
        at_s, is_faulty = at_s + half_s, not is_faulty
    yield FaultChange(fault.end_s, fault.target, NO_FAULT)
