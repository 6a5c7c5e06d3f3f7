"""Limits through series of faults, without sockets: ``python -m tests.soak_limits 50``.

Nodes are killed, restarted, cut off and taken for dead late; customers send many times
their usual and their limits change. Nobody may run more than is allowed.
"""

import random
import sys
from typing import NamedTuple

from tests.limit_fleet import LimitFleet, Load

NODES, CUSTOMERS, PER_S = 30, 12, 90.0
ROUNDS, ROUND_S = 24, 0.5
# How long a node takes others for alive that it can't reach.
NOTICED_AFTER_ROUNDS = 3
HOT = (1.0, 3.0, 7.5)


class SoakResult(NamedTuple):
    """What one seed showed.

    Attributes
    ----------
    largest_window_fraction : float
        The largest window as a part of what is allowed.
    refused_fraction : float
    """

    largest_window_fraction: float
    refused_fraction: float


def run(seed: int) -> SoakResult:
    """Play one seed."""
    rng = random.Random(seed)
    fleet = LimitFleet(NODES, zones=rng.choice((1, 3, 5)), seed=seed)
    load = Load(fleet, PER_S, CUSTOMERS)
    cut: set[str] = set()
    fleet.unreachable = lambda one, other: (
        (one.node_id in cut) != (other.node_id in cut)
    )
    heals_at = notices_at = -1
    for number in range(ROUNDS):
        if not cut and rng.random() < 0.2:
            count = rng.randint(1, NODES // 2)
            cut |= {one.node_id for one in rng.sample(fleet.records, count)}
            notices_at = number + NOTICED_AFTER_ROUNDS
            heals_at = notices_at + rng.randint(0, 6)
        if number == notices_at:
            _notice(fleet, cut)
        if number == heals_at:
            cut.clear()
            for view in fleet.views.values():
                view.mark_all_alive()
        for record in rng.sample(fleet.records, rng.choice((0, 0, 1, 5))):
            fleet.start(record)
        name = rng.choice(list(load.usual_rates))
        load.rate_factors[name] = rng.choice(HOT)
        for limiter in fleet.limiters.values():
            limiter.refresh(fleet.now_s)
        load.run(ROUND_S)
    return SoakResult(load.largest_window_fraction(), load.refused_fraction())


def _notice(fleet: LimitFleet, cut: set[str]) -> None:
    others = {record.node_id for record in fleet.records} - cut
    for node_id, view in fleet.views.items():
        view.mark_dead(others if node_id in cut else cut, fleet.now_s)


def main(count: int) -> int:
    """Play seeds; 1 when a customer ran more than is allowed."""
    results = {seed: run(seed) for seed in range(count)}
    over = [
        seed for seed, result in results.items() if result.largest_window_fraction > 1
    ]
    most = max(result.largest_window_fraction for result in results.values())
    print(f"{count} seeds, largest window {most:.2f} of what is allowed, over: {over}")
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
