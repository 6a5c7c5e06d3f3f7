"""A soak of settings that change while peers end, freeze and lose the store.

``python -m tests.soak_settings --seeds 50`` runs 50 seeds, each a fleet of real
processes in several zones, one of which has nodes that do not read the store. The
operator changes the settings in series. Meanwhile nodes are killed right after they
announced a change, frozen so that what peers send them is not answered, and started
again, so the readers change all the time; the store loses answers, is down, slow or
forgets its history for all, and refuses, resets or ignores single nodes. Checked by
what callers and backend servers see: no probe at a node that was in touch is refused,
or run by a service, as only an older version allows.
"""

import argparse
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from itertools import chain

from balsamspindle.timeline import parse_event
from tests.disturbances import Disturbances
from tests.failed_soaks import kept_on_failure
from tests.platform_fleet import PlatformFleet
from tests.relay import Flow, Relay
from tests.settings_probes import (
    HOST,
    Change,
    Probe,
    Probes,
    configuration,
    find_late,
    start_servers,
)
from tests.utils import call, wait_until

ZONES = ("a",) * 12 + ("b",) * 4
# Zones of the seeds that run as many processes as the limits of the machine allow.
MANY_ZONES = ("a",) * 40 + ("b",) * 30 + ("c",) * 30
LOAD_S = 30.0
SERVERS = 4
# Time after the store's confirmation within which a change is in force everywhere, and
# time for which a node must have been undisturbed for the bound to hold.
IN_FORCE_MAX_S, STABILITY_S = 2.0, 3.0
# A store that answers this slowly stays within the bound's first half.
SLOW_ANSWER_S = 0.6
CHANGE_INTERVAL_S = (0.2, 1.5)
# Every so often no change hides that nodes missed the last one.
QUIET_EACH, QUIET_S = 4, (3.0, 6.0)
FAULT_INTERVAL_S = (0.5, 4.0)
FAULT_S = (0.3, 4.0)
# The store is undisturbed for long enough between its faults that the bound holds.
STORE_FAULT_S, STORE_PAUSE_S = (0.3, 3.0), (5.0, 9.0)
# Share of the nodes that are disturbed in a seed. Where few are, no restarted node
# reads what the others have missed.
DISTURBED_SHARES = (0.0, 0.1, 1.0)
# Routes that each third change adds or removes, so that some changes are large.
ROUTES_MAX = 400
UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"
BUSY = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
# How the store turns away a single node: an answer, a reset, or None for silence.
REFUSALS = (UNAVAILABLE, BUSY, b"", None)
# Events of nodes that are counted.
COUNTED = frozenset(
    {"settings_catch_up", "settings_pull_unanswered", "settings_poll_ended"}
)


class SettingsSoak:
    """One seed: a fleet, changes in series, and random disturbances that overlap.

    Parameters
    ----------
    zones : tuple of str
        Availability zone of each node.

    Attributes
    ----------
    figures : Counter of str
        Numbers of changes, of probes that would show an older version, and of events.
    """

    def __init__(
        self, seed: int, load_s: float, zones: tuple[str, ...] = ZONES
    ) -> None:
        self._seed, self._load_s, self._zones = seed, load_s, zones
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._disturbances = Disturbances(len(zones))
        self._disturbed_count = round(
            self._random.choice(DISTURBED_SHARES) * len(zones)
        )
        # Disturbances of the store for all nodes.
        self._store_disturbances = Disturbances(1)
        self._changes: list[Change] = []
        self.figures: Counter[str] = Counter()
        self.violations: list[str] = []

    def run(self) -> None:
        """Play the seed; raise AssertionError if a promise was broken."""
        with PlatformFleet() as fleet:
            self._fleet = fleet
            self._relays = [Relay(fleet.store.address) for _ in self._zones]
            self._change(routes=50)
            self._nodes = [
                fleet.start_node_at(relay.address, f"n{number}", zone, ())
                for number, (relay, zone) in enumerate(
                    zip(self._relays, self._zones, strict=True)
                )
            ]
            servers = start_servers(self._nodes, SERVERS)
            self._probes = Probes(self._nodes, self._changes, IN_FORCE_MAX_S)
            try:
                with kept_on_failure(
                    f"soak-settings-{self._seed}", fleet.folder, self._facts
                ):
                    self._wait_started()
                    self._run_load()
                    self._check(servers)
            finally:
                for server in chain.from_iterable(servers.values()):
                    server.stop()
                for relay in self._relays:
                    relay.close()

    def _wait_started(self) -> None:
        for node in self._nodes:
            wait_until(
                lambda node=node: (
                    node.known_node_count() == len(self._zones)
                    and node.status_of(HOST, "/moved/1") == 200
                ),
                "the node knows all nodes and serves requests",
                60.0,
            )

    def _run_load(self) -> None:
        tasks = [(self._probe, number) for number in range(len(self._zones))]
        disturbed = self._random.sample(range(len(self._zones)), self._disturbed_count)
        tasks += [(self._disturb, number) for number in disturbed]
        tasks += [(self._slow_store, 0), (self._disturb_store, 0)]
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
            is_quiet = self._changes[-1].version % QUIET_EACH == 0
            time.sleep(rng.uniform(*(QUIET_S if is_quiet else CHANGE_INTERVAL_S)))
        self._stopped.set()
        for thread in threads:
            thread.join()

    def _probe(self, number: int, seed: float) -> None:
        self._probes.run(number, seed, self._stopped)

    def _change(self, routes: int) -> None:
        version = self._changes[-1].version + 1 if self._changes else 1
        written_s = time.monotonic()
        self._fleet.put_configuration(configuration(version, routes))
        self._changes.append(Change(version, written_s, time.monotonic()))
        self.figures["changes"] += 1

    def _disturb(self, number: int, seed: float) -> None:
        """Kill or freeze a node, or have the store turn it away, again and again."""
        rng = random.Random(f"{seed}/{number}")
        # Half of the nodes are mostly left alone, so that the bound holds for them.
        pause = 1.0 if number % 2 else 6.0
        while not self._stopped.wait(pause * rng.uniform(*FAULT_INTERVAL_S)):
            duration_s = rng.uniform(*FAULT_S)
            node = self._nodes[number]
            match rng.choice(("kill_after_notice", "freeze", "freeze", "turn_away")):
                case "kill_after_notice":
                    self._wait_for_change(rng)
                    with self._disturbances.record(number):
                        node.kill()
                        time.sleep(rng.uniform(0.0, duration_s))
                        node.start()
                case "freeze":
                    with self._disturbances.record(number):
                        node.process.send_signal(signal.SIGSTOP)
                        self._stopped.wait(duration_s)
                        node.process.send_signal(signal.SIGCONT)
                case "turn_away":
                    with (
                        self._disturbances.record(number),
                        _turned_away(self._relays[number], rng.choice(REFUSALS)),
                    ):
                        self._stopped.wait(duration_s)

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

    def _disturb_store(self, _: int, seed: float) -> None:
        """Make the store lose answers, fail or forget its history, again and again.

        A store that loses answers does so while the operator changes the settings.
        """
        rng = random.Random(seed)
        while not self._stopped.wait(rng.uniform(*STORE_PAUSE_S)):
            match rng.choice(("lost", "lost", "lost", "down", "compact")):
                case "lost":
                    known = len(self._changes)
                    with self._store_fault("lost_reply", rng.choice((0.35, 1.0, 1.0))):
                        while (
                            len(self._changes) == known and not self._stopped.is_set()
                        ):
                            time.sleep(0.01)
                        self._stopped.wait(rng.uniform(*STORE_FAULT_S))
                case "down":
                    with self._store_fault("down", 1.0):
                        self._stopped.wait(rng.uniform(*STORE_FAULT_S))
                case "compact":
                    call(self._fleet.store.address, "/compact", "POST")

    @contextmanager
    def _store_fault(self, mode: str, probability: float) -> Iterator[None]:
        """Have calls of the store fail for the duration of the block."""
        with self._store_disturbances.record(0):
            self._fleet.store.set_fault(mode=mode, probability=probability)
            yield
            self._fleet.store.set_fault(mode="none")

    def _check(self, servers) -> None:
        runs = {
            service: [run for server in servers[service] for run in server.runs]
            for service in servers
        }
        late, shown = find_late(
            self._probes.sent, self._changes, runs, IN_FORCE_MAX_S, self._is_in_touch
        )
        self.figures["probes"] = len(self._probes.sent)
        self.figures["checks"] = shown
        self.figures["late"] = len(late)
        self.violations = [
            f"{one.probe.request_id} at n{one.probe.node} {one.verb} "
            f"{one.behind_s:.2f} s after version {one.required} was confirmed"
            for one in late
        ]
        for node in self._nodes:
            self._count_events(node.log_path)
        assert shown, "no probe would have shown an older version"
        assert not late, "; ".join(self.violations[:10])

    def _is_in_touch(self, probe: Probe) -> bool:
        """Return whether a probe's node, and the store, were undisturbed for a time."""
        return self._disturbances.is_undisturbed(
            probe.node, probe.sent_s, STABILITY_S
        ) and self._store_disturbances.is_undisturbed(0, probe.sent_s, STABILITY_S)

    def _count_events(self, log_path) -> None:
        for line in log_path.read_text(errors="replace").splitlines():
            event = parse_event(line)
            if event and event.get("event") in COUNTED:
                self.figures[event["event"]] += 1

    def _facts(self) -> dict:
        return {
            "changes": [list(change) for change in self._changes],
            "disturbances": self._disturbances.times_s,
            "store_disturbances": self._store_disturbances.times_s,
            "violations": self.violations,
        }


@contextmanager
def _turned_away(relay: Relay, refusal: bytes | None) -> Iterator[None]:
    """Have the store refuse the calls of one node, or not answer them."""
    if refusal is None:
        relay.forward = relay.backward = Flow.DROP
    else:
        relay.refusal = refusal
        relay.reset_connections()
    yield
    relay.refusal = None
    relay.forward = relay.backward = Flow.PASS


def run_seed(
    seed: int, load_s: float = LOAD_S, zones: tuple[str, ...] = ZONES
) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = SettingsSoak(seed, load_s, zones)
    try:
        soak.run()
    except (AssertionError, OSError) as error:
        return f"seed {seed}: {error!r}"
    finally:
        print(f"seed {seed}:", dict(sorted(soak.figures.items())), flush=True)
    return None


def main() -> int:
    """Run the seeds that the command line selects; return 1 if one failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument(
        "--many", action="store_true", help=f"run {len(MANY_ZONES)} nodes"
    )
    arguments = parser.parse_args()
    zones = MANY_ZONES if arguments.many else ZONES
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    failures = [failure for seed in seeds if (failure := run_seed(seed, zones=zones))]
    print(*failures, f"{len(failures)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
