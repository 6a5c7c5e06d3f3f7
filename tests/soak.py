"""A randomized soak: real programs, kept connections, faults that overlap.

``python -m tests.soak --seeds 50`` plays that many seeds, `--first` names the first
one. A seed that ever failed is listed in `REGRESSION_SEEDS` with its cause, and is
played again by tests/test_soak.py.

Each seed draws a series of faults for `ScheduleFleet` that start and end at drawn
times, up to `OVERLAP_MAX` at once, never two at one target. Callers send on kept
connections all the while. The promises are checked from what callers were told and
what backend servers ran: nothing runs twice, `not_run` is true, an answer is whole
and its own, and when all faults are healed everybody is answered again.
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
from tests.kept_caller import KeptCaller
from tests.relay import Flow
from tests.utils import try_call, wait_until

__all__ = ["REGRESSION_SEEDS", "Soak", "play"]

# Seeds that failed once, with the cause.
REGRESSION_SEEDS: dict[int, str] = {}

FAULTS = 12
OVERLAP_MAX = 3
GAP_MAX_S = 0.8
HOLD_MIN_S, HOLD_MAX_S = 0.2, 2.5
CALLERS = 6
PACE_S = 0.03
# After the last fault: hold-outs of a few seconds, then a trial without idempotent
# work, which a silence of ten seconds ends.
RECOVERED_WITHIN_S = 45.0
RECOVERED_ANSWERS = 20


class Planned(NamedTuple):
    """A fault, and what must not meet another one meanwhile."""

    name: str
    target: str
    fault: Fault


class Soak:
    """One seed's series of faults against one fleet."""

    def __init__(self, seed: int, faults: int = FAULTS) -> None:
        self._random = random.Random(seed)
        self._faults = faults
        self._done = threading.Event()
        self.played: list[str] = []

    def run(self) -> Counter:
        """Play the series; return what callers were told.

        Raises
        ------
        AssertionError
            When a promise was broken.
        """
        with ScheduleFleet() as fleet:
            ingresses = [fleet.nodes["i"], fleet.nodes["j"]]
            callers = [
                KeptCaller(f"caller-{number}", [ingress.caller_address])
                for number, ingress in enumerate(ingresses * (CALLERS // 2))
            ]
            with ThreadPoolExecutor(CALLERS) as executor:
                sending = [executor.submit(self._send, caller) for caller in callers]
                try:
                    self._strike_all(fleet)
                finally:
                    self._done.set()
                for one in sending:
                    one.result()
            self._check(fleet, callers)
            self._check_recovered(fleet, callers)
            self._check(fleet, callers)
        return Counter(
            exchange.outcome for caller in callers for exchange in caller.told.values()
        )

    def _send(self, caller: KeptCaller) -> None:
        while not self._done.wait(PACE_S):
            caller.send()

    def _strike_all(self, fleet: ScheduleFleet) -> None:
        """Strike one fault after the other; each heals in a task of its own."""
        busy: set[str] = set()
        lock = threading.Lock()
        with ThreadPoolExecutor(OVERLAP_MAX) as executor:
            healing = []
            for _ in range(self._faults):
                time.sleep(self._random.uniform(0, GAP_MAX_S))
                hold_s = self._random.uniform(HOLD_MIN_S, HOLD_MAX_S)
                planned = self._random.choice(_catalogue(fleet))
                with lock:
                    if planned.target in busy or len(busy) >= OVERLAP_MAX:
                        continue
                    busy.add(planned.target)
                self.played.append(planned.name)
                healing.append(
                    executor.submit(_strike, fleet, planned, hold_s, busy, lock)
                )
            for one in healing:
                one.result()

    def _check(self, fleet: ScheduleFleet, callers: list[KeptCaller]) -> None:
        runs = Counter()
        for name in "ab":
            for line in fleet.servers[name].log_path.read_text().splitlines():
                if line.startswith("event=run run_key="):
                    runs[line.partition("run_key=")[2]] += 1
        for caller in callers:
            assert not caller.faults, (caller.faults, self.played)
            for key, (outcome, *_) in caller.told.items():
                assert runs[key] <= 1, (f"{key} ran {runs[key]} times", self.played)
                assert not (outcome == "not_run" and runs[key]), (
                    f"{key} was told not_run and ran",
                    self.played,
                )
                assert not (outcome == "answered" and not runs[key]), (
                    f"{key} was answered and did not run",
                    self.played,
                )

    def _check_recovered(self, fleet: ScheduleFleet, callers: list[KeptCaller]) -> None:
        fleet.wait_all_ready()
        for caller in callers:
            wait_until(
                lambda caller=caller: all(
                    caller.send() == "answered" for _ in range(RECOVERED_ANSWERS)
                ),
                f"all are answered again after {self.played}",
                RECOVERED_WITHIN_S,
            )


def _strike(fleet, planned: Planned, hold_s: float, busy: set[str], lock) -> None:
    planned.fault.inject()
    time.sleep(hold_s)
    planned.fault.recover()
    # The next fault at it is set by a call, which a program that was started
    # just now does not take yet.
    if planned.target == "server-a":
        wait_until(
            lambda: try_call(fleet.servers["a"].address, "/runs"), "server a answers"
        )
    with lock:
        busy.discard(planned.target)


def _catalogue(fleet: ScheduleFleet) -> list[Planned]:
    """Return the faults to draw from, each by its target."""
    modes = ("hang", "shed", "close", "truncate", "error")
    planned = [
        Planned(f"backend-{mode}", "server-a", fleet.backend_fault(mode=mode))
        for mode in modes
    ]
    planned += [
        Planned(f"backend-{number.name}", "server-a", fleet.backend_end(number))
        for number in (signal.SIGKILL, signal.SIGTERM)
    ]
    planned.append(
        Planned("backend-frozen", "server-a", fleet.frozen(lambda: fleet.servers["a"]))
    )
    planned.append(Planned("drained-b", "server-b", fleet.drained("b")))
    for name in "aij":
        for number in (signal.SIGKILL, signal.SIGTERM):
            planned.append(
                Planned(
                    f"node-{name}-{number.name}",
                    f"node-{name}",
                    fleet.node_end(name, number),
                )
            )
        planned.append(
            Planned(
                f"node-{name}-frozen",
                f"node-{name}",
                fleet.frozen(lambda name=name: fleet.nodes[name]),
            )
        )
    for direction in ("forward", "backward"):
        for flow in (Flow.DROP, Flow.HOLD):
            planned.append(
                Planned(
                    f"{direction}-{flow}",
                    "network",
                    fleet.flow_fault(**{direction: flow}),
                )
            )
    planned.append(
        Planned("reset", "network", Fault(fleet.relay.reset_connections, lambda: None))
    )
    planned += [
        Planned(f"platform-{mode}", "platform", fleet.platform_fault(mode))
        for mode in ("down", "slow", "lost_reply")
    ]
    return planned


def play(seed: int, faults: int = FAULTS) -> str | None:
    """Play one seed; return what was broken, or None."""
    soak = Soak(seed, faults)
    started_s = time.monotonic()
    try:
        told = soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    took_s = time.monotonic() - started_s
    print(f"seed {seed}: {took_s:.0f} s", dict(told), *soak.played, flush=True)
    return None


def main() -> int:
    """Play seeds by hand; 1 when one of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--faults", type=int, default=FAULTS)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    broken = [fault for seed in seeds if (fault := play(seed, arguments.faults))]
    print(*broken, f"{len(broken)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
