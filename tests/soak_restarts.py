"""A randomized soak of planned work: restarts that overlap in series.

``python -m tests.soak_restarts --seeds 50`` plays that many seeds, `--first` names
the first one. A seed that ever failed is listed in `REGRESSION_SEEDS` with its
cause. Each seed draws two series of node restarts, the second while the first
lasts, replaced backend servers, changes of settings, and now and then one
unplanned fault. What that one's own requests lose is excused, nothing else.

Callers use their connections until these are gone. What they were told is held
against what backend servers ran and what nodes wrote of each request.
"""

import argparse
import math
import random
import subprocess
import sys
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from tests.kept_caller import NO_ANSWER, Exchange, KeptCaller
from tests.leaving_utils import read_events
from tests.restart_fleet import (
    SERVICES,
    SHUTDOWN_TIMEOUT_S,
    SLOTS,
    WORKS,
    Outage,
    RestartFleet,
    Work,
)

__all__ = ["REGRESSION_SEEDS", "Step", "draw", "play"]

# Seeds that failed once, with the cause.
REGRESSION_SEEDS: dict[int, str] = {}

NODES = 6
# Connections of each class of work; more of them in a large fleet.
CALLERS_MIN = 4
NODES_FOR_ONE_CALLER = 5
PACE_S = 0.1
AT_ONCE_MAX = 3
NODES_FOR_ONE_AT_ONCE = 8
FIRST_STEP_S = 2.0
GAP_MIN_S, GAP_MAX_S = 0.3, 3.0
SECOND_SERIES_MIN_S, SECOND_SERIES_MAX_S = 1.0, 5.0
EXTRA_UNTIL_S = 12.0
BURST_MIN_S, BURST_MAX_S = 0.1, 0.5
HOLD_MIN_S, HOLD_MAX_S = 1.0, 5.0
UNPLANNED_SHARE = 0.3
CALL_RESERVE_S = 10.0
RECOVERED_ANSWERS = 2
RECOVERED_TRIES = 10
# A second attempt beside a slow one takes a slot, too.
SLOTS_OF_A_CALLER = 2
# Until an ingress has heard that a gate is leaving.
NEWS_S = 0.5
# Besides the work itself, for one more attempt.
ATTEMPT_RESERVE_S = 0.5
FAULTS_SHOWN = 12
# Why a request is told that it was not run for want of a backend server.
PLACELESS = frozenset({"no_backend_server", "no_free_slot", "would_wait", "draining"})


class Step(NamedTuple):
    """One thing to play, at a time from the start."""

    at_s: float
    kind: str
    target: str
    hold_s: float


def draw(seed: int, names: list[str]) -> list[Step]:
    """Return a seed's steps."""
    chance = random.Random(seed)
    first = list(_series(chance, names, FIRST_STEP_S))
    delay_s = chance.uniform(SECOND_SERIES_MIN_S, SECOND_SERIES_MAX_S)
    some = chance.sample(names, max(1, len(names) // 2))
    steps = first + list(_series(chance, some, FIRST_STEP_S + delay_s))
    extra = ["settings"] * chance.randint(1, 3) + ["replace"] * chance.randint(0, 2)
    if chance.random() < UNPLANNED_SHARE:
        extra.append(chance.choice(("kill", "freeze")))
    for kind in extra:
        is_burst = kind == "settings"
        low_s, high_s = (
            (BURST_MIN_S, BURST_MAX_S) if is_burst else (HOLD_MIN_S, HOLD_MAX_S)
        )
        at_s, hold_s = chance.uniform(0, EXTRA_UNTIL_S), chance.uniform(low_s, high_s)
        target = "" if is_burst else chance.choice(names)
        steps.append(Step(at_s, kind, target, hold_s))
    return sorted(steps)


def _series(chance: random.Random, names: list[str], at_s: float) -> Iterator[Step]:
    """Restart all of these nodes, some at a time."""
    waiting = chance.sample(names, len(names))
    at_once_max = max(AT_ONCE_MAX, len(names) // NODES_FOR_ONE_AT_ONCE)
    while waiting:
        for _ in range(min(len(waiting), chance.randint(1, at_once_max))):
            yield Step(at_s, "restart", waiting.pop(), 0.0)
        at_s += chance.uniform(GAP_MIN_S, GAP_MAX_S)


class Trail:
    """What backend servers ran and what nodes wrote of requests.

    Attributes
    ----------
    runs : Counter
        By run key.
    places : dict of str to set of str
        Nodes beside whose backend servers a request ran or was sent to run.
    starts_s : dict of str to list of float
        When a request's attempts left its ingress.
    """

    def __init__(self, fleet: RestartFleet) -> None:
        self.runs: Counter[str] = Counter()
        self.places: dict[str, set[str]] = defaultdict(set)
        self.starts_s: dict[str, list[float]] = defaultdict(list)
        self.read: set[str] = set()
        for name, server in fleet.servers.items():
            for line in server.log_path.read_text().splitlines():
                if line.startswith("event=run run_key="):
                    key = line.partition("run_key=")[2]
                    self.runs[key] += 1
                    self.places[key].add(name)
        for node in fleet.nodes.values():
            for event in read_events(node.log_path):
                self._take(event)

    def _take(self, event: dict[str, str]) -> None:
        key = event.get("request", "")
        if event["event"] == "request_received":
            self.read.add(key)
        if event["event"] in ("attempt_sent", "attempt_dispatched"):
            self.places[key].add(event["backend_server"].removeprefix("server-"))
        if event["event"] == "attempt_sent":
            self.starts_s[key].append(float(event["wall_s"]))


class Checks:
    """Holds what callers were told against a trail and the outages.

    Attributes
    ----------
    faults : list of str
        Broken promises.
    figures : Counter
        What callers were told, and why.
    """

    def __init__(self, fleet: RestartFleet, callers: dict[KeptCaller, Work]) -> None:
        self._callers = callers
        self._trail = Trail(fleet)
        self._outages = fleet.outages
        self._ingresses = {node.caller_address: n for n, node in fleet.nodes.items()}
        self._services = fleet.services
        self._slots_needed = len(callers) * SLOTS_OF_A_CALLER // len(SERVICES)
        self._answered: dict[tuple[Work, str], list[float]] = defaultdict(list)
        self.faults: list[str] = []
        self.figures: Counter[str] = Counter()

    def run(self) -> None:
        """Check all requests."""
        for caller, work in self._callers.items():
            self.faults += caller.faults
            for told in caller.told.values():
                if told.outcome == "answered":
                    self._answered[work, told.address].append(told.ended_s)
        for caller, work in self._callers.items():
            for key, told in caller.told.items():
                self._check(work, key, told)

    def _check(self, work: Work, key: str, told: Exchange) -> None:
        self.figures[f"{work.name} {told.outcome} {told.reason}".rstrip()] += 1
        runs = self._trail.runs[key]
        if told.reason in PLACELESS and self._is_one_free(work.service, told.ended_s):
            self.figures["refused_with_a_place"] += 1
        if runs > 1 and not work.is_idempotent:
            self._fault("ran_twice", key, told)
        if told.outcome == "not_run" and runs:
            self._fault("not_run_and_ran", key, told)
        if told.outcome == "answered" and not runs:
            self._fault("answered_and_not_run", key, told)
        if told.outcome not in ("unknown", NO_ANSWER):
            return
        if self._is_excused(key, told):
            self.figures["excused"] += 1
        elif told.outcome == NO_ANSWER:
            self._check_unanswered(key, told)
        elif work.is_idempotent:
            self._check_given_up(work, key, told)
        else:
            self._check_cut(work, key, told)

    def _fault(self, name: str, key: str, told: Exchange) -> None:
        self.figures[name] += 1
        ingress = self._ingresses[told.address]
        leaving_s = self._leaving_since_s(ingress, told.ended_s)
        places = sorted(self._trail.places[key])
        out = {
            place: f"{told.ended_s - since_s:.1f}"
            for place in places
            if (since_s := self._leaving_since_s(place, told.ended_s)) is not None
        }
        self.faults.append(
            f"{name}: {key} {told.outcome} {told.reason} after"
            f" {told.ended_s - told.sent_s:.1f} s, ingress {ingress}"
            + (f" told to leave {told.ended_s - leaving_s:.1f} s" if leaving_s else "")
            + f", places {places}, out for s {out}"
        )

    def _check_unanswered(self, key: str, told: Exchange) -> None:
        if self._trail.places[key]:
            self._fault("ended_without_answer", key, told)
        elif key in self._trail.read:
            self.figures["ended_read_and_not_sent_on"] += 1
        else:
            self.figures["ended_unread"] += 1

    def _check_given_up(self, work: Work, key: str, told: Exchange) -> None:
        """Check that there was no time, or no place, for one more attempt.

        A leaving ingress has only the time for its orderly end.
        """
        needs_s = work.work_ms / 1000 + ATTEMPT_RESERVE_S
        leaving_s = self._leaving_since_s(self._ingresses[told.address], told.ended_s)
        life_s = math.inf if leaving_s is None else leaving_s + SHUTDOWN_TIMEOUT_S
        if told.sent_s + work.timeout_ms / 1000 < told.ended_s + needs_s:
            self.figures["given_up_without_time"] += 1
        elif not self._is_one_free(work.service, told.ended_s):
            self.figures["given_up_without_place"] += 1
        elif told.ended_s + needs_s <= life_s:
            self._fault("given_up_with_time_left", key, told)
        elif self._gate_left_s(key, told) + NEWS_S + needs_s <= life_s:
            # Begun anew at another gate right then it would have been answered.
            self.figures["given_up_by_leaving_ingress_and_gate"] += 1
        elif told.sent_s > leaving_s:
            self.figures["read_by_leaving_ingress_and_given_up"] += 1
        else:
            self.figures["given_up_by_leaving_ingress"] += 1

    def _gate_left_s(self, key: str, told: Exchange) -> float:
        """Return when a request's gate began to leave; infinite if none did."""
        places = self._trail.places[key] - {self._ingresses[told.address]}
        left_s = (self._leaving_since_s(name, told.ended_s) for name in places)
        return min((at_s for at_s in left_s if at_s is not None), default=math.inf)

    def _check_cut(self, work: Work, key: str, told: Exchange) -> None:
        """Sort an `unknown` of work that may not be repeated."""
        leaving_s = self._leaving_since_s(self._ingresses[told.address], told.ended_s)
        if leaving_s is None:
            if self._gate_left_s(key, told) < math.inf:
                self.figures["cut_by_leaving_gate"] += 1
            else:
                self._fault("unknown_without_cause", key, told)
        elif max(self._trail.starts_s[key], default=0) <= leaving_s:
            self.figures["cut_by_leaving_ingress"] += 1
        elif self._is_known(work, told.address, leaving_s):
            self._fault("started_to_be_cut", key, told)
        else:
            self.figures["started_unknowing_to_be_cut"] += 1

    def _is_known(self, work: Work, address: str, leaving_s: float) -> bool:
        """Tell whether an ingress had seen before how long such work takes."""
        name = self._ingresses[address]
        began_s = max(
            (
                one.to_s
                for one in self._outages
                if one.target == name and one.to_s < leaving_s
            ),
            default=0.0,
        )
        return any(
            began_s < ended_s < leaving_s for ended_s in self._answered[work, address]
        )

    def _leaving_since_s(self, name: str, at_s: float) -> float | None:
        """Return since when a node was being restarted then, if it was."""
        return next(
            (
                outage.from_s
                for outage in self._outages
                if (outage.target, outage.kind) == (name, "restart")
                and outage.lasts(at_s)
            ),
            None,
        )

    def _is_one_free(self, service: str, at_s: float) -> bool:
        out = {outage.target for outage in self._outages if outage.lasts(at_s)}
        well = {name for name, of in self._services.items() if of == service} - out
        # Right after its start a backend server takes half of its load.
        return len(well) * SLOTS // 2 >= self._slots_needed

    def _is_excused(self, key: str, told: Exchange) -> bool:
        """Tell whether a request met an unplanned fault itself."""
        ingress = self._ingresses[told.address]
        return any(
            outage.from_s <= told.ended_s
            and told.sent_s <= outage.to_s
            and _struck(outage, ingress, self._trail.places[key])
            for outage in self._outages
            if not outage.is_planned
        )


def _struck(outage: Outage, ingress: str, places: set[str]) -> bool:
    is_ingress = outage.kind == "kill" and outage.target == ingress
    return is_ingress or outage.target in places


class _Seed:
    """One seed's steps against a fleet, with callers."""

    def __init__(self, seed: int, nodes: int, steps: int | None) -> None:
        self._seed, self._nodes, self._steps = seed, nodes, steps
        self._done = threading.Event()
        self.played: list[Step] = []

    def run(self) -> Checks:
        """Play the steps; return what became of the requests."""
        with RestartFleet(self._nodes) as fleet:
            callers = self._callers(fleet)
            self.played = draw(self._seed, list(fleet.nodes))[: self._steps]
            with ThreadPoolExecutor(len(callers)) as executor:
                sending = [
                    executor.submit(self._send, work, caller)
                    for caller, work in callers.items()
                ]
                try:
                    self._play(fleet)
                finally:
                    self._done.set()
                for one in sending:
                    one.result()
                checks = Checks(fleet, callers)
                checks.run()
                fleet.wait_whole()
                lost = [*executor.map(_answered_again, callers)]
            checks.faults += [f"not answered again: {name}" for name in lost if name]
            return checks

    def _callers(self, fleet: RestartFleet) -> dict[KeptCaller, Work]:
        addresses = [node.caller_address for node in fleet.nodes.values()]
        count = max(CALLERS_MIN, self._nodes // NODES_FOR_ONE_CALLER)
        chance = random.Random(self._seed)
        # The connections of a class go from node to node together, so that one
        # node's end meets many at once.
        orders = {work: chance.sample(addresses, len(addresses)) for work in WORKS}
        return {
            KeptCaller(
                f"{work.service}-{work.name}-{number}",
                orders[work],
                work.path,
                {"X-Work-Ms": str(work.work_ms)},
                work.timeout_ms / 1000 + CALL_RESERVE_S,
            ): work
            for work in WORKS
            for number in range(count * work.connections)
        }

    def _send(self, work: Work, caller: KeptCaller) -> None:
        # Else all long work would begin and end at the same times.
        self._done.wait(random.uniform(0, work.work_ms / 1000))
        while not self._done.wait(PACE_S):
            caller.send()

    def _play(self, fleet: RestartFleet) -> None:
        start_s = time.monotonic()
        with ThreadPoolExecutor(len(self.played)) as executor:
            playing = []
            for step in self.played:
                time.sleep(max(0.0, start_s + step.at_s - time.monotonic()))
                playing.append(executor.submit(fleet.play, *step[1:]))
            for one in playing:
                one.result()


def _answered_again(caller: KeptCaller) -> str | None:
    """Return who was not answered in a row; each may meet one more old end."""
    in_a_row = 0
    for _ in range(RECOVERED_TRIES):
        in_a_row = in_a_row + 1 if caller.send() == "answered" else 0
        if in_a_row == RECOVERED_ANSWERS:
            return None
    return str(list(caller.told.items())[-1])


def play(seed: int, nodes: int = NODES, steps: int | None = None) -> str | None:
    """Play one seed; print its figures; return what was broken, or None."""
    one = _Seed(seed, nodes, steps)
    started_s = time.monotonic()
    try:
        checks = one.run()
    except (AssertionError, subprocess.TimeoutExpired) as error:
        return f"seed {seed}: {error}"
    took_s = time.monotonic() - started_s
    played = Counter(step.kind for step in one.played)
    print(
        f"seed {seed}: {took_s:.0f} s, {len(checks.faults)} faults",
        dict(played),
        dict(sorted(checks.figures.items())),
        flush=True,
    )
    if not checks.faults:
        return None
    shown = checks.faults[:FAULTS_SHOWN]
    return "\n  ".join([f"seed {seed}: {len(checks.faults)} faults", *shown])


def main() -> int:
    """Play seeds by hand; 1 when one of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--nodes", type=int, default=NODES)
    parser.add_argument("--jobs", type=int, default=1, help="seeds at a time")
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    with ThreadPoolExecutor(arguments.jobs) as executor:
        played = executor.map(lambda seed: play(seed, arguments.nodes), seeds)
        broken = [fault for fault in played if fault]
    print(*broken, f"{len(broken)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
