"""A soak of customers' limits with faults of nodes, simulated without sockets.

``python -m tests.soak_limits 50`` runs 50 seeds. Nodes are restarted, and some nodes
are isolated from the others. The two groups mark each other's nodes dead only after a
delay. Customers send up to several times their usual rate. No customer may run more
requests than its limit and the permitted excess allow.
"""

import random
import sys
from typing import NamedTuple

from tests.limit_fleet import LimitFleet, Load

NODES, CUSTOMERS, REQUESTS_PER_S = 30, 12, 90.0
ROUNDS, ROUND_S = 24, 0.5
# Number of rounds after which nodes mark the nodes dead that they can't reach.
DETECTED_AFTER_ROUNDS = 3
RATE_FACTORS = (1.0, 3.0, 7.5)


class SoakResult(NamedTuple):
    """How many requests customers ran in one seed, and how many were refused.

    Attributes
    ----------
    largest_window_fraction : float
        Highest ratio of the requests that a customer ran in a window to the requests
        that it was allowed. A value over 1 is a violation.
    refused_fraction : float
        Ratio of refused requests to all requests.
    """

    largest_window_fraction: float
    refused_fraction: float


def run_seed(seed: int) -> SoakResult:
    rng = random.Random(seed)
    fleet = LimitFleet(NODES, zones=rng.choice((1, 3, 5)), seed=seed)
    load = Load(fleet, REQUESTS_PER_S, CUSTOMERS)
    isolated: set[str] = set()
    fleet.unreachable = lambda one, other: (
        (one.node_id in isolated) != (other.node_id in isolated)
    )
    reconnected_at = detected_at = -1
    for number in range(ROUNDS):
        if not isolated and rng.random() < 0.2:
            count = rng.randint(1, NODES // 2)
            isolated |= {one.node_id for one in rng.sample(fleet.records, count)}
            detected_at = number + DETECTED_AFTER_ROUNDS
            reconnected_at = detected_at + rng.randint(0, 6)
        if number == detected_at:
            _mark_unreachable_dead(fleet, isolated)
        if number == reconnected_at:
            isolated.clear()
            for view in fleet.views.values():
                view.mark_all_alive()
        for record in rng.sample(fleet.records, rng.choice((0, 0, 1, 5))):
            fleet.start(record)
        name = rng.choice(list(load.usual_rates))
        load.rate_factors[name] = rng.choice(RATE_FACTORS)
        for limiter in fleet.limiters.values():
            limiter.refresh(fleet.now_s)
        load.run(ROUND_S)
    return SoakResult(load.largest_window_fraction(), load.refused_fraction())


def _mark_unreachable_dead(fleet: LimitFleet, isolated: set[str]) -> None:
    others = {record.node_id for record in fleet.records} - isolated
    for node_id, view in fleet.views.items():
        view.mark_dead(others if node_id in isolated else isolated, fleet.now_s)


def main(count: int) -> int:
    """Run seeds 0 to `count - 1`; return 1 if a customer ran too much, else 0."""
    results = {seed: run_seed(seed) for seed in range(count)}
    over = [
        seed for seed, result in results.items() if result.largest_window_fraction > 1
    ]
    most = max(result.largest_window_fraction for result in results.values())
    print(
        f"{count} seeds, highest ratio of granted to allowed requests: {most:.2f}, "
        f"seeds with a ratio above 1: {over}"
    )
    return 1 if over else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
