"""A soak of settings that change while peers end, freeze and lose the store.

``python -m tests.soak_settings --seeds 50`` runs 50 seeds, each a fleet of real
processes in two zones, one of which has nodes that do not read the store. The operator
changes the settings in series. Meanwhile nodes are killed right after they announced a
change, frozen so that what peers send them is not answered, and started again, so the
readers change all the time; the store becomes slow for all, and unreachable for single
nodes. Checked in the nodes' logs: each node that was undisturbed, and in touch with the
store, has each confirmed change or a later one in force within the bound.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from typing import NamedTuple

from balsamspindle.timeline import parse_event
from tests.disturbances import Disturbances
from tests.failed_soaks import kept_on_failure
from tests.platform_fleet import PlatformFleet
from tests.relay import Relay
from tests.utils import wait_until

ZONES = ("a",) * 12 + ("b",) * 4
LOAD_S = 20.0
# Time after the store's confirmation within which a change is in force everywhere, and
# time for which a node must have been undisturbed for the bound to hold.
IN_FORCE_MAX_S, STABILITY_S = 2.5, 3.0
# A store that answers this slowly stays within the bound's first half.
SLOW_ANSWER_S = 0.6
CHANGE_INTERVAL_S = (0.2, 1.5)
FAULT_INTERVAL_S = (0.5, 4.0)
FAULT_S = (0.3, 4.0)
# Routes that each third change adds or removes, so that some changes are large.
ROUTES_MAX = 400
UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"


class Change(NamedTuple):
    """A change and when the store confirmed it, on both clocks."""

    version: int
    confirmed_s: float
    confirmed_wall_s: float


class SettingsSoak:
    """One seed: a fleet, changes in series, and random disturbances that overlap.

    Attributes
    ----------
    figures : Counter of str
        Numbers of changes, of checks, and of events of the nodes.
    """

    def __init__(self, seed: int, load_s: float) -> None:
        self._seed, self._load_s = seed, load_s
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._disturbances = Disturbances(len(ZONES))
        self._changes: list[Change] = []
        self.figures: Counter[str] = Counter()
        self.violations: list[str] = []

    def run(self) -> None:
        """Play the seed; raise AssertionError if a promise was broken."""
        with PlatformFleet() as fleet:
            self._fleet = fleet
            self._relays = [Relay(fleet.store.address) for _ in ZONES]
            self._change(routes=50)
            self._nodes = [
                fleet.start_node_at(relay.address, f"n{number}", zone, ())
                for number, (relay, zone) in enumerate(
                    zip(self._relays, ZONES, strict=True)
                )
            ]
            try:
                with kept_on_failure(
                    f"soak-settings-{self._seed}", fleet.folder, self._facts
                ):
                    self._wait_started()
                    self._run_load()
                    time.sleep(IN_FORCE_MAX_S)
                    self._check()
            finally:
                for relay in self._relays:
                    relay.close()

    def _wait_started(self) -> None:
        for node in self._nodes:
            wait_until(
                lambda node=node: (
                    node.known_node_count() == len(ZONES) and node.revision() >= 1
                ),
                "the node knows all nodes and has settings",
                60.0,
            )
        self._changes.clear()

    def _run_load(self) -> None:
        tasks = [(self._disturb, number) for number in range(len(ZONES))]
        tasks += [(self._slow_store, 0)]
        threads = [
            threading.Thread(target=task, args=(number, self._random.random()))
            for task, number in tasks
        ]
        for thread in threads:
            thread.start()
        rng, ends_s = random.Random(self._random.random()), time.monotonic()
        ends_s += self._load_s
        while time.monotonic() < ends_s:
            self._change(routes=rng.choice((50, 50, ROUTES_MAX)))
            time.sleep(rng.uniform(*CHANGE_INTERVAL_S))
        self._stopped.set()
        for thread in threads:
            thread.join()

    def _change(self, routes: int) -> None:
        version = self._changes[-1].version + 1 if self._changes else 1
        self._fleet.put_configuration(configuration(version, routes))
        self._changes.append(Change(version, time.monotonic(), time.time()))
        self.figures["changes"] += 1

    def _disturb(self, number: int, seed: float) -> None:
        """Kill or freeze a node, or cut it off from the store, again and again."""
        rng = random.Random(f"{seed}/{number}")
        # Half of the nodes are mostly left alone, so that the bound holds for them.
        pause = 1.0 if number % 2 else 6.0
        while not self._stopped.wait(pause * rng.uniform(*FAULT_INTERVAL_S)):
            duration_s = rng.uniform(*FAULT_S)
            node = self._nodes[number]
            match rng.choice(("kill_after_notice", "freeze", "freeze", "cut")):
                case "kill_after_notice":
                    self._wait_for_change(rng)
                    with self._disturbances.record(number):
                        node.kill()
                        time.sleep(rng.uniform(0.0, duration_s))
                        node.start()
                        time.sleep(STABILITY_S)
                case "freeze":
                    with self._disturbances.record(number):
                        node.process.send_signal(signal.SIGSTOP)
                        self._stopped.wait(duration_s)
                        node.process.send_signal(signal.SIGCONT)
                case "cut":
                    with self._disturbances.record(number):
                        self._relays[number].refusal = UNAVAILABLE
                        self._relays[number].reset_connections()
                        self._stopped.wait(duration_s)
                        self._relays[number].refusal = None

    def _wait_for_change(self, rng: random.Random) -> None:
        """Wait for the next change, and until its first notices have been sent."""
        known = len(self._changes)
        while len(self._changes) == known and not self._stopped.wait(0.005):
            pass
        time.sleep(rng.uniform(0.0, 0.1))

    def _slow_store(self, _: int, seed: float) -> None:
        """Make the store slow for all nodes, again and again."""
        rng = random.Random(seed)
        while not self._stopped.wait(rng.uniform(*FAULT_INTERVAL_S)):
            for relay in self._relays:
                relay.delay_s = SLOW_ANSWER_S / 2
            self._stopped.wait(rng.uniform(*FAULT_S))
            for relay in self._relays:
                relay.delay_s = 0.0

    def _check(self) -> None:
        for number, node in enumerate(self._nodes):
            in_force = self._in_force_times(node.log_path)
            for change in self._changes:
                due_s = change.confirmed_s + IN_FORCE_MAX_S
                if not self._disturbances.is_undisturbed(
                    number, due_s, STABILITY_S + IN_FORCE_MAX_S
                ):
                    continue
                self.figures["checks"] += 1
                late_s = _late_s(in_force, change)
                if late_s > 0:
                    self.violations.append(
                        f"n{number}: version {change.version} {late_s:.2f} s late"
                    )
        assert self.figures["checks"], "no node was undisturbed"
        assert not self.violations, "; ".join(self.violations[:10])

    def _in_force_times(self, log_path) -> list[tuple[int, float]]:
        """Return the revisions that came in force at a node, with the wall time."""
        times: list[tuple[int, float]] = []
        for line in log_path.read_text(errors="replace").splitlines():
            event = parse_event(line)
            match event and event.get("event"):
                case "settings_in_force":
                    times.append((int(event["revision"]), float(event["wall_s"])))
                case "settings_catch_up" | "settings_pull_unanswered" as name:
                    self.figures[name] += 1
        return times

    def _facts(self) -> dict:
        return {
            "changes": [list(change) for change in self._changes],
            "disturbances": self._disturbances.times_s,
            "violations": self.violations,
        }


def _late_s(in_force: list[tuple[int, float]], change: Change) -> float:
    """Return by how much a change, or a later one, missed the bound."""
    times_s = [wall_s for revision, wall_s in in_force if revision >= change.version]
    due_s = change.confirmed_wall_s + IN_FORCE_MAX_S
    return min(times_s, default=float("inf")) - due_s


def configuration(version: int, routes: int) -> dict:
    """Return a version of the operator's configuration."""
    return {
        "version": f"{version:08x}",
        "services": [{"name": "crew", "health_path": "/health"}],
        "routes": [
            {
                "name": f"r{number}-{version if not number else 0}",
                "hostname": "crew.example",
                "prefix": f"/{number:x}/",
                "kind": "safe",
                "timeout": "5s",
                "target_latency": "2s",
                "retry_attempts": 3,
                "service": "crew",
            }
            for number in range(routes)
        ],
    }


def run_seed(seed: int, load_s: float = LOAD_S) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = SettingsSoak(seed, load_s)
    try:
        soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    finally:
        print(f"seed {seed}:", dict(sorted(soak.figures.items())), flush=True)
    return None


def main() -> int:
    """Run the seeds that the command line selects; return 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    failures = [failure for seed in seeds if (failure := run_seed(seed))]
    print(*failures, f"{len(failures)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
