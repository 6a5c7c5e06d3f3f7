"""A randomized soak of a fleet of real processes with overlapping faults.

``python -m tests.soak --seeds 50`` runs that many seeds, starting at `--first`. A
seed that found a fault in the code is listed in `REGRESSION_SEEDS` with the cause, and
tests/test_soak.py runs it again.

Each seed draws a series of faults for `ScheduleFleet`, which start and end at random
times. Up to `OVERLAP_MAX` faults overlap, but never two at one target. Meanwhile
callers send requests on persistent connections. The soak compares the outcomes that
callers received with the runs at backend servers. It checks that

- no request runs twice;
- no request with the outcome `not_run` has run;
- each answer is complete and belongs to its request;
- all callers are answered again after the last fault has ended.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.at_most_once_utils import Fault, ScheduleFleet
from tests.persistent_caller import PersistentCaller
from tests.relay import Flow
from tests.utils import try_call, wait_until

__all__ = ["REGRESSION_SEEDS", "Soak", "run_seed"]

# Seeds that found a fault in the code, with the cause of that fault.
REGRESSION_SEEDS: dict[int, str] = {}

FAULT_COUNT = 12
OVERLAP_MAX = 3
GAP_MAX_S = 0.8
FAULT_MIN_S, FAULT_MAX_S = 0.2, 2.5
CALLERS = 6
REQUEST_INTERVAL_S = 0.03
# After the last fault, a backend server can be held out for a few seconds, and then be
# on trial. Only probes end that trial, after ten seconds, since the soak sends no
# idempotent requests.
RECOVERY_TIMEOUT_S = 45.0
RECOVERY_ANSWERS = 20


class PlannedFault(NamedTuple):
    """A fault and its target, which has no other fault at the same time."""

    name: str
    target: str
    fault: Fault


class Soak:
    """Injects the faults of one seed into a fleet that serves callers."""

    def __init__(self, seed: int, faults: int = FAULT_COUNT) -> None:
        self._random = random.Random(seed)
        self._fault_count = faults
        self._done = threading.Event()
        self.injected: list[str] = []

    def run(self) -> Counter:
        """Run the series; return how often callers received each outcome.

        Raises
        ------
        AssertionError
            When an outcome or an answer was wrong, or a caller was not answered
            after the last fault.
        """
        with ScheduleFleet() as fleet:
            ingresses = [fleet.nodes["i"], fleet.nodes["j"]]
            callers = [
                PersistentCaller(f"caller-{number}", [ingress.caller_address])
                for number, ingress in enumerate(ingresses * (CALLERS // 2))
            ]
            with ThreadPoolExecutor(CALLERS) as executor:
                sending = [executor.submit(self._send, caller) for caller in callers]
                try:
                    self._inject_all(fleet)
                finally:
                    self._done.set()
                for future in sending:
                    future.result()
            self._check(fleet, callers)
            self._check_recovered(fleet, callers)
            self._check(fleet, callers)
        return Counter(
            exchange.outcome
            for caller in callers
            for exchange in caller.exchanges.values()
        )

    def _send(self, caller: PersistentCaller) -> None:
        while not self._done.wait(REQUEST_INTERVAL_S):
            caller.send()

    def _inject_all(self, fleet: ScheduleFleet) -> None:
        """Start faults one after the other, each in a task that also ends the fault."""
        affected_targets: set[str] = set()
        lock = threading.Lock()
        with ThreadPoolExecutor(OVERLAP_MAX) as executor:
            recovering = []
            for _ in range(self._fault_count):
                time.sleep(self._random.uniform(0, GAP_MAX_S))
                fault_s = self._random.uniform(FAULT_MIN_S, FAULT_MAX_S)
                planned = self._random.choice(_possible_faults(fleet))
                with lock:
                    if (
                        planned.target in affected_targets
                        or len(affected_targets) >= OVERLAP_MAX
                    ):
                        continue
                    affected_targets.add(planned.target)
                self.injected.append(planned.name)
                recovering.append(
                    executor.submit(
                        _inject, fleet, planned, fault_s, affected_targets, lock
                    )
                )
            for future in recovering:
                future.result()

    def _check(self, fleet: ScheduleFleet, callers: list[PersistentCaller]) -> None:
        runs = Counter()
        for name in "ab":
            for line in fleet.servers[name].log_path.read_text().splitlines():
                if line.startswith("event=run run_key="):
                    runs[line.partition("run_key=")[2]] += 1
        for caller in callers:
            assert not caller.violations, (caller.violations, self.injected)
            for key, (outcome, *_) in caller.exchanges.items():
                assert runs[key] <= 1, (f"{key} ran {runs[key]} times", self.injected)
                assert not (outcome == "not_run" and runs[key]), (
                    f"{key} had the outcome not_run but ran",
                    self.injected,
                )
                assert not (outcome == "answered" and not runs[key]), (
                    f"{key} was answered but did not run",
                    self.injected,
                )

    def _check_recovered(
        self, fleet: ScheduleFleet, callers: list[PersistentCaller]
    ) -> None:
        fleet.wait_all_ready()
        for caller in callers:
            wait_until(
                lambda caller=caller: all(
                    caller.send() == "answered" for _ in range(RECOVERY_ANSWERS)
                ),
                f"all callers are answered again after {self.injected}",
                RECOVERY_TIMEOUT_S,
            )


def _inject(
    fleet, planned: PlannedFault, fault_s: float, affected_targets: set[str], lock
) -> None:
    planned.fault.inject()
    time.sleep(fault_s)
    planned.fault.recover()
    # The next fault of this backend server may be injected by an HTTP call. The call
    # would fail before the restarted process listens.
    if planned.target == "server-a":
        wait_until(
            lambda: try_call(fleet.servers["a"].address, "/runs"),
            "the backend server of gate a answers",
        )
    with lock:
        affected_targets.discard(planned.target)


def _possible_faults(fleet: ScheduleFleet) -> list[PlannedFault]:
    """Return all faults from which the soak draws."""
    modes = ("hang", "shed", "close", "truncate", "error")
    planned = [
        PlannedFault(f"backend-{mode}", "server-a", fleet.backend_fault(mode=mode))
        for mode in modes
    ]
    planned += [
        PlannedFault(
            f"backend-{number.name}", "server-a", fleet.backend_signal_fault(number)
        )
        for number in (signal.SIGKILL, signal.SIGTERM)
    ]
    planned.append(
        PlannedFault(
            "backend-frozen", "server-a", fleet.freeze_fault(lambda: fleet.servers["a"])
        )
    )
    planned.append(PlannedFault("drained-b", "server-b", fleet.drain_fault("b")))
    for name in "aij":
        for number in (signal.SIGKILL, signal.SIGTERM):
            planned.append(
                PlannedFault(
                    f"node-{name}-{number.name}",
                    f"node-{name}",
                    fleet.node_signal_fault(name, number),
                )
            )
        planned.append(
            PlannedFault(
                f"node-{name}-frozen",
                f"node-{name}",
                fleet.freeze_fault(lambda name=name: fleet.nodes[name]),
            )
        )
    for direction in ("forward", "backward"):
        for flow in (Flow.DROP, Flow.HOLD):
            planned.append(
                PlannedFault(
                    f"{direction}-{flow}",
                    "network",
                    fleet.flow_fault(**{direction: flow}),
                )
            )
    planned.append(
        PlannedFault(
            "reset", "network", Fault(fleet.relay.reset_connections, lambda: None)
        )
    )
    planned += [
        PlannedFault(f"platform-{mode}", "platform", fleet.platform_fault(mode))
        for mode in ("down", "slow", "lost_reply")
    ]
    return planned


def run_seed(seed: int, faults: int = FAULT_COUNT) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = Soak(seed, faults)
    started_s = time.monotonic()
    try:
        outcomes = soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    took_s = time.monotonic() - started_s
    print(f"seed {seed}: {took_s:.0f} s", dict(outcomes), *soak.injected, flush=True)
    return None


def main() -> int:
    """Run the seeds that the command line selects; return 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--faults", type=int, default=FAULT_COUNT)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    failures = [
        failure for seed in seeds if (failure := run_seed(seed, arguments.faults))
    ]
    print(*failures, f"{len(failures)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
