"""A randomized soak of planned restarts in two overlapping series.

``python -m tests.soak_restarts --seeds 50`` runs that many seeds, starting at
`--first`. A seed that found a fault in the code is listed in `REGRESSION_SEEDS` with
the cause; `--again` runs all of these seeds.

Each seed draws two series of node restarts. The second series starts while the first
may still be running. A seed also draws replacements of backend servers, changes of
settings, and sometimes one unplanned fault. A request may be lost only if the unplanned
fault could have affected it.

Callers reuse their connections until these close. The soak compares the outcomes that
callers received with the runs at backend servers and the events in the logs of nodes.
"""

import argparse
import random
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.persistent_caller import PersistentCaller
from tests.restart_checks import UNPLANNED, OutcomeChecks
from tests.restart_fleet import (
    WORK_CLASSES,
    RestartFleet,
    WorkClass,
)

__all__ = ["REGRESSION_SEEDS", "run_seed"]

# Causes of the faults that the seeds below found.
_NO_RETRIES = (
    "a leaving gate ended several queries at once; their ingress ran out of retries"
)
_TOO_LONG = "a leaving ingress sent out work that lasts longer than its own shutdown"
# Seeds that found a fault in the code, with the cause of that fault. A seed determines
# the steps, but not which requests are running at each step. A fault may therefore
# appear only in some runs of a seed.
REGRESSION_SEEDS: dict[int, str] = {
    4: f"{_NO_RETRIES}; {_TOO_LONG}",
    5: _TOO_LONG,
    8: f"{_NO_RETRIES}; {_TOO_LONG}",
    12: _NO_RETRIES,
    15: _TOO_LONG,
    17: _NO_RETRIES,
    18: _NO_RETRIES,
    21: _NO_RETRIES,
    24: f"{_NO_RETRIES}; {_TOO_LONG}",
    27: _NO_RETRIES,
    28: _NO_RETRIES,
    29: _NO_RETRIES,
    31: f"{_NO_RETRIES}; {_TOO_LONG}",
    32: _TOO_LONG,
    36: f"{_NO_RETRIES}; {_TOO_LONG}",
    43: _NO_RETRIES,
    45: _TOO_LONG,
    47: f"{_NO_RETRIES}; {_TOO_LONG}",
}

NODES = 6
# Minimum number of connections for each class of work. In a large fleet it is the
# number of nodes divided by `NODES_PER_CALLER`.
CALLERS_MIN = 4
NODES_PER_CALLER = 5
REQUEST_INTERVAL_S = 0.1
CALL_TIMEOUT_MARGIN_S = 10.0
# Maximum number of restarts that begin at the same time. In a large fleet it is the
# number of nodes divided by `NODES_PER_SIMULTANEOUS`.
SIMULTANEOUS_MAX = 3
NODES_PER_SIMULTANEOUS = 8
FIRST_STEP_S = 2.0
GAP_MIN_S, GAP_MAX_S = 0.3, 3.0
SECOND_SERIES_MIN_S, SECOND_SERIES_MAX_S = 1.0, 5.0
EXTRA_STEPS_END_S = 12.0
# Bounds of the length of a burst of settings changes or a freeze, and of the time from
# a kill to the restart.
DURATIONS_S = {"settings": (0.1, 0.5), "freeze": (1.0, 5.0), "kill": (1.0, 5.0)}
UNPLANNED_PROBABILITY = 0.3
RECOVERY_ATTEMPTS = 10
VIOLATIONS_SHOWN = 12


class Step(NamedTuple):
    """An outage or a burst of settings changes; see `RestartFleet.run_step`.

    Attributes
    ----------
    at_s : float
        Time from the start of the seed's steps.
    """

    at_s: float
    kind: str
    target: str
    duration_s: float


def _draw_steps(seed: int, names: list[str]) -> list[Step]:
    rng = random.Random(seed)
    steps = list(_restart_series(rng, names, FIRST_STEP_S))
    delay_s = rng.uniform(SECOND_SERIES_MIN_S, SECOND_SERIES_MAX_S)
    second_names = rng.sample(names, max(1, len(names) // 2))
    steps += _restart_series(rng, second_names, FIRST_STEP_S + delay_s)
    kinds = ["settings"] * rng.randint(1, 3) + ["replace"] * rng.randint(0, 2)
    if rng.random() < UNPLANNED_PROBABILITY:
        kinds.append(rng.choice(UNPLANNED))
    for kind in kinds:
        at_s = rng.uniform(0, EXTRA_STEPS_END_S)
        duration_s = rng.uniform(*DURATIONS_S.get(kind, (0, 0)))
        steps.append(Step(at_s, kind, rng.choice(names), duration_s))
    return sorted(steps)


def _restart_series(
    rng: random.Random, names: list[str], at_s: float
) -> Iterator[Step]:
    """Generate steps from `at_s` on that restart the nodes, a few at a time."""
    waiting = rng.sample(names, len(names))
    simultaneous_max = max(SIMULTANEOUS_MAX, len(names) // NODES_PER_SIMULTANEOUS)
    while waiting:
        for _ in range(min(len(waiting), rng.randint(1, simultaneous_max))):
            yield Step(at_s, "restart", waiting.pop(), 0.0)
        at_s += rng.uniform(GAP_MIN_S, GAP_MAX_S)


class _SeedRun:
    """Runs the steps of one seed in a fleet while callers send requests."""

    def __init__(self, seed: int, nodes: int, steps: int | None, works) -> None:
        self._seed, self._works = seed, works
        self._fleet = RestartFleet(nodes)
        self._steps = _draw_steps(seed, list(self._fleet.services))[:steps]
        self._done = threading.Event()

    def run(self) -> OutcomeChecks:
        """Run the steps; return the checks with violations of all requests.

        A caller that is not answered after the last step is a violation, too.
        """
        with self._fleet as fleet:
            fleet.start()
            callers = self._callers()
            rng = random.Random(self._seed)
            with ThreadPoolExecutor(len(callers)) as executor:
                sending = [
                    executor.submit(self._send, caller, rng.uniform(0, work.work_ms))
                    for caller, work in callers.items()
                ]
                try:
                    self._run_steps()
                finally:
                    self._done.set()
                for future in sending:
                    future.result()
                checks = OutcomeChecks(fleet, callers)
                checks.run()
                fleet.wait_all_ready()
                unanswered = [*executor.map(_retry_until_answered, callers)]
            checks.violations += [
                f"not answered after the last step: {exchange}"
                for exchange in unanswered
                if exchange
            ]
            return checks

    def _callers(self) -> dict[PersistentCaller, WorkClass]:
        addresses = [node.caller_address for node in self._fleet.nodes.values()]
        count = max(CALLERS_MIN, len(addresses) // NODES_PER_CALLER)
        rng = random.Random(self._seed)
        # All connections of a class use the nodes in the same order. The shutdown of
        # one node therefore affects many requests at once.
        orders = {work: rng.sample(addresses, len(addresses)) for work in self._works}
        return {
            PersistentCaller(
                f"{work.name}-{number}",
                orders[work],
                f"/{work.name}",
                {"X-Work-Ms": str(work.work_ms)},
                work.timeout_ms / 1000 + CALL_TIMEOUT_MARGIN_S,
            ): work
            for work in self._works
            for number in range(count * work.connections)
        }

    def _send(self, caller: PersistentCaller, delay_ms: float) -> None:
        # Without this delay all long requests would begin and end at the same time.
        self._done.wait(delay_ms / 1000)
        while not self._done.wait(REQUEST_INTERVAL_S):
            caller.send()

    def _run_steps(self) -> None:
        start_s = time.monotonic()
        with ThreadPoolExecutor(len(self._steps)) as executor:
            running = []
            for at_s, *step in self._steps:
                time.sleep(max(0.0, start_s + at_s - time.monotonic()))
                running.append(executor.submit(self._fleet.run_step, *step))
            for future in running:
                future.result()


def _retry_until_answered(caller: PersistentCaller) -> str | None:
    """Send requests until one is answered; return the last exchange if none is.

    The first requests may fail, since the caller's connection may be to a process that
    has ended.
    """
    if any(caller.send() == "answered" for _ in range(RECOVERY_ATTEMPTS)):
        return None
    return str(list(caller.exchanges.items())[-1])


def run_seed(
    seed: int, nodes=NODES, steps: int | None = None, works=WORK_CLASSES
) -> str | None:
    """Run one seed and print its counts; return how it failed, or None.

    Parameters
    ----------
    steps : int, default=all
        How many of the seed's steps are run, from the first one.
    works : sequence of WorkClass
        Classes of the requests that callers send.
    """
    started_s = time.monotonic()
    try:
        checks = _SeedRun(seed, nodes, steps, works).run()
    except (AssertionError, subprocess.TimeoutExpired) as error:
        return f"seed {seed}: {error}"
    print(
        f"seed {seed}: {time.monotonic() - started_s:.0f} s,",
        f"{len(checks.violations)} violations",
        dict(sorted(checks.counts.items())),
        flush=True,
    )
    if not checks.violations:
        return None
    return "\n  ".join([f"seed {seed}:", *checks.violations[:VIOLATIONS_SHOWN]])


def main() -> int:
    """Run the seeds that the command line selects; return 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of seeds run in parallel"
    )
    parser.add_argument("--again", action="store_true", help="run the regression seeds")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    seeds = list(REGRESSION_SEEDS) if arguments.again else seeds
    with ThreadPoolExecutor(arguments.jobs) as executor:
        results = executor.map(lambda seed: run_seed(seed, arguments.nodes), seeds)
        failures = [failure for failure in results if failure]
    print(*failures, f"{len(failures)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
