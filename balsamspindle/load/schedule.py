"""When requests arrive and faults change; the same for the same seed."""

import heapq
import random
from collections.abc import Iterator
from itertools import islice
from typing import Any, NamedTuple

from balsamspindle.load.plan import Arrival, FaultPeriod, LoadPlan

__all__ = ["FaultChange", "ScheduledCall", "schedule_calls", "schedule_faults"]

NO_FAULT = {"mode": "none"}


class ScheduledCall(NamedTuple):
    """One request to come.

    Attributes
    ----------
    at_s : float
        After the start of the run.
    run_key : str
        Unique; also the nonce that the answer has to carry.
    """

    at_s: float
    run_key: str
    node: str
    arrival: Arrival


class FaultChange(NamedTuple):
    """One call of a fault switch."""

    at_s: float
    target: str
    switch: dict[str, Any]


def schedule_calls(plan: LoadPlan, run_id: str) -> list[ScheduledCall]:
    """Return all requests of a run in the order of their arrival."""
    rng = random.Random(plan.seed)
    nodes = sorted(plan.nodes)
    streams = [
        _arrival_times(arrival, number, random.Random(rng.random()), plan.duration_s)
        for number, arrival in enumerate(plan.arrivals)
    ]
    times = islice(heapq.merge(*streams), plan.requests_max)
    return [
        ScheduledCall(
            at_s, f"{run_id}-{sequence}", rng.choice(nodes), plan.arrivals[number]
        )
        for sequence, (at_s, number) in enumerate(times)
    ]


def schedule_faults(faults: list[FaultPeriod]) -> list[FaultChange]:
    """Return all switches in the order of time; each period ends its fault."""
    changes = [change for fault in faults for change in _changes(fault)]
    return sorted(changes, key=lambda change: change.at_s)


def _arrival_times(arrival, number, rng, duration_s) -> Iterator[tuple[float, int]]:
    at_s = rng.expovariate(arrival.rate_per_s)
    while at_s < duration_s:
        yield at_s, number
        at_s += rng.expovariate(arrival.rate_per_s)


def _changes(fault: FaultPeriod) -> Iterator[FaultChange]:
    half_s = (fault.flap_period_s or 2 * (fault.end_s - fault.start_s)) / 2
    at_s, sick = fault.start_s, True
    while at_s < fault.end_s:
        yield FaultChange(at_s, fault.target, fault.switch if sick else NO_FAULT)
        at_s, sick = at_s + half_s, not sick
    yield FaultChange(fault.end_s, fault.target, NO_FAULT)
