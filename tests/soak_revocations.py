"""A soak of keys that are revoked while nodes are out of touch with the store.

``python -m tests.soak_revocations --seeds 50`` runs 50 seeds, each a fleet of real
processes. Keys are revoked and given back one after the other, while the store refuses
nodes, resets their connections, falls silent or can't be heard, and while nodes are
suspended or killed, mostly for longer than a revoked key may be used. Callers keep
their connections open and send at once. Checked from outside, at the backend servers:
no request runs that was sent with a key that had been revoked for longer than the
bound. Checked at the callers: no valid key is refused as unknown.
"""

import argparse
import itertools
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, nullcontext
from enum import StrEnum
from typing import NamedTuple

from tests.crashing_server import CrashingServer
from tests.disturbances import Disturbances
from tests.failed_soaks import kept_on_failure
from tests.persistent_connection import PersistentConnection
from tests.platform_fleet import PlatformFleet, PlatformNode
from tests.relay import Flow, Relay
from tests.utils import wait_until

HOST, TARGET = "crew.example", "/vacancies/1"
NODES, ZONES, CALLERS_PER_NODE, LOAD_S = 5, 2, 8, 20.0
REVOKE_S = 2.0
BOUNDS = ("strict_revocation=true", f"revoke={REVOKE_S:.0f}s")
KEYS = tuple(f"k-{number:02}-5d20c1" for number in range(12))
CHANGE_INTERVAL_S = (0.1, 0.5)
FAULT_INTERVAL_S = (0.3, 2.0)
FAULT_S = (0.5 * REVOKE_S, 2.0 * REVOKE_S)
# Time after a disturbance for which refusals at a node are not counted as refusals of
# an undisturbed node.
SETTLE_S = 1.5
WORK_S, SLOTS = 0.01, 64
UNAVAILABLE = b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"


class Cut(StrEnum):
    """How a node is out of touch with the store."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


class Sent(NamedTuple):
    """A request and its answer; status 0 without an answer."""

    sent_s: float
    ended_s: float
    node: int
    key: str
    status: int


class Span(NamedTuple):
    """A time in which a key was surely valid, or surely revoked."""

    key: str
    is_valid: bool
    from_s: float
    to_s: float


class RevocationSoak:
    """One seed: a fleet, its callers, and random series that overlap.

    Attributes
    ----------
    figures : Counter of str
        Number of requests with a surely valid key by status, and at undisturbed nodes.
    """

    def __init__(self, seed: int, load_s: float) -> None:
        self._seed, self._load_s = seed, load_s
        self._random = random.Random(seed)
        self._stopped = threading.Event()
        self._numbers = itertools.count()
        self._disturbances = Disturbances(NODES)
        # Start and end of each time in which all nodes were cut off from the store.
        self._store_times_s: list[list[float]] = []
        self._cuts: list[list[Cut]] = [[] for _ in range(NODES)]
        self._lock = threading.Lock()
        self._sent: dict[str, Sent] = {}
        self._spans: list[Span] = []
        # For each key, since when it has surely been valid or revoked.
        self._states: dict[str, tuple[bool, float]] = {}
        self._version = 0
        self.figures: Counter[str] = Counter()
        self.violations: list[str] = []

    def run(self) -> None:
        """Play the seed; raise AssertionError if a promise was broken."""
        with PlatformFleet() as fleet:
            self._fleet = fleet
            self._relays = [Relay(fleet.store.address) for _ in range(NODES)]
            for key in KEYS:
                self._change(key)
            self._nodes = [
                fleet.start_node_at(
                    relay.address, f"n{number}", f"z{number % ZONES}", BOUNDS
                )
                for number, relay in enumerate(self._relays)
            ]
            servers = start_servers(self._nodes, WORK_S)
            try:
                with kept_on_failure(
                    f"soak-revocations-{self._seed}", fleet.folder, self._facts
                ):
                    self._wait_served()
                    self._run_load()
                    self._wait_served()
                    self._check([run for server in servers for run in server.runs])
            finally:
                for server in servers:
                    server.stop()
                for relay in self._relays:
                    relay.close()

    def _wait_served(self) -> None:
        """Give all keys back, and wait until each node serves them."""
        for key in KEYS:
            if not self._states[key][0]:
                self._change(key)
        for node in self._nodes:
            connection = PersistentConnection(node.caller_address, HOST)
            for key in KEYS:
                wait_until(
                    lambda connection=connection, key=key: (
                        connection.send(TARGET, self._next_id(), X_Credential=key)[0]
                        == 200
                    ),
                    f"{key} is served",
                    40.0,
                )

    def _run_load(self) -> None:
        tasks = [(self._call, number) for number in range(NODES)] * CALLERS_PER_NODE
        tasks += [(self._disturb_node, number) for number in range(NODES)]
        tasks += [(self._disturb_store, NODES)]
        threads = [
            threading.Thread(target=task, args=(number, self._random.random()))
            for task, number in tasks
        ]
        for thread in threads:
            thread.start()
        rng, ends_s = random.Random(self._random.random()), time.monotonic()
        ends_s += self._load_s
        while time.monotonic() < ends_s:
            self._change(rng.choice(KEYS))
            time.sleep(rng.uniform(*CHANGE_INTERVAL_S))
        self._stopped.set()
        for thread in threads:
            thread.join()

    def _change(self, key: str) -> None:
        """Revoke a valid key, or give a revoked one back.

        The key's state is sure until the operator begins to write the change, and from
        the store's confirmation on.
        """
        was_valid, since_s = self._states.get(key, (False, float("inf")))
        valid = {known for known, (is_valid, _) in self._states.items() if is_valid}
        valid ^= {key}
        self._spans.append(Span(key, was_valid, since_s, time.monotonic()))
        self._version += 1
        self._fleet.put_configuration(configuration(self._version, valid))
        self._states[key] = (not was_valid, time.monotonic())

    def _call(self, number: int, seed: float) -> None:
        rng = random.Random(f"{seed}/{number}")
        connection = PersistentConnection(self._nodes[number].caller_address, HOST)
        while not self._stopped.is_set():
            request_id, key = self._next_id(), rng.choice(KEYS)
            sent_s = time.monotonic()
            status, _ = connection.send(TARGET, request_id, X_Credential=key)
            ended_s = time.monotonic()
            self._sent[request_id] = Sent(sent_s, ended_s, number, key, status)
            time.sleep(rng.uniform(0.0, 0.04))

    def _disturb_node(self, number: int, seed: float) -> None:
        rng = random.Random(f"{seed}/{number}")
        while not self._stopped.wait(rng.uniform(*FAULT_INTERVAL_S) * 2):
            duration_s = rng.uniform(*FAULT_S)
            fault = rng.choice((*Cut, "suspend", "kill"))
            with self._disturbances.record(number):
                match fault:
                    case Cut():
                        with self._cut([number], fault):
                            self._stopped.wait(duration_s)
                    case "suspend":
                        self._nodes[number].process.send_signal(signal.SIGSTOP)
                        self._stopped.wait(duration_s)
                        self._nodes[number].process.send_signal(signal.SIGCONT)
                    case _:
                        self._nodes[number].kill()
                        time.sleep(rng.uniform(0.0, duration_s))
                        self._nodes[number].start()

    def _disturb_store(self, _: int, seed: float) -> None:
        """Cut all nodes off from the store at the same time."""
        rng = random.Random(seed)
        while not self._stopped.wait(rng.uniform(*FAULT_INTERVAL_S)):
            with self._cut(range(NODES), rng.choice(list(Cut))):
                self._stopped.wait(rng.uniform(*FAULT_S))

    @contextmanager
    def _cut(self, numbers, cut: Cut) -> Iterator[None]:
        """Cut nodes off from the store; the latest cut of a node counts."""
        is_whole_store = len(numbers) > 1
        with self._record_store_cut() if is_whole_store else nullcontext():
            for number in numbers:
                self._cuts[number].append(cut)
                self._apply(number)
            yield
            for number in numbers:
                self._cuts[number].remove(cut)
                self._apply(number)

    @contextmanager
    def _record_store_cut(self) -> Iterator[None]:
        """Record that all nodes are cut off for the duration of the block."""
        times_s = [time.monotonic(), float("inf")]
        self._store_times_s.append(times_s)
        yield
        times_s[1] = time.monotonic()

    def _apply(self, number: int) -> None:
        relay, cuts = self._relays[number], self._cuts[number]
        cut = cuts[-1] if cuts else None
        refusals = {Cut.REFUSED: UNAVAILABLE, Cut.RESET: b""}
        relay.refusal = refusals.get(cut)
        relay.forward = Flow.DROP if cut is Cut.SILENT else Flow.PASS
        relay.backward = Flow.DROP if cut in (Cut.SILENT, Cut.ONE_WAY) else Flow.PASS
        relay.reset_connections()

    def _next_id(self) -> str:
        return f"{next(self._numbers):016x}"

    def _check(self, runs) -> None:
        for key, (is_valid, since_s) in self._states.items():
            self._spans.append(Span(key, is_valid, since_s, float("inf")))
        spans: dict[tuple[str, bool], list[Span]] = {}
        for span in self._spans:
            spans.setdefault((span.key, span.is_valid), []).append(span)
        self._check_revoked(runs, spans)
        self._check_valid(spans)
        assert self.figures["valid 200"], "no request with a valid key was served"
        assert not self.violations, "; ".join(self.violations[:10])

    def _check_revoked(self, runs, spans) -> None:
        """Find runs of requests that were sent too late after a revocation."""
        for run in runs:
            sent = self._sent.get(run.request_id)
            for span in spans.get((sent.key, False), []) if sent else []:
                late_s = sent.sent_s - span.from_s - REVOKE_S
                if late_s > 0 and run.began_s < span.to_s:
                    self.violations.append(
                        f"{run.request_id} at n{sent.node} ran {late_s:.3f} s too late"
                    )

    def _check_valid(self, spans) -> None:
        """Count the answers to requests with valid keys; find those of 401."""
        for request_id, sent in self._sent.items():
            if not any(
                span.from_s + REVOKE_S < sent.sent_s and sent.ended_s < span.to_s
                for span in spans.get((sent.key, True), [])
            ):
                continue
            self.figures[f"valid {sent.status}"] += 1
            if self._is_undisturbed(sent):
                self.figures[f"undisturbed {sent.status}"] += 1
            if sent.status in (401, 403, 404):
                self.violations.append(
                    f"{request_id} at n{sent.node}: {sent.status} for a valid key"
                )

    def _is_undisturbed(self, sent: Sent) -> bool:
        is_store_there = not any(
            started_s <= sent.ended_s and sent.sent_s <= ended_s + SETTLE_S
            for started_s, ended_s in self._store_times_s
        )
        return is_store_there and self._disturbances.is_undisturbed(
            sent.node, sent.sent_s, SETTLE_S
        )

    def _facts(self) -> dict:
        return {
            "sent": {key: list(value) for key, value in self._sent.items()},
            "spans": [list(span) for span in self._spans],
            "disturbances": self._disturbances.times_s,
            "violations": self.violations,
        }


def start_servers(nodes: list[PlatformNode], work_s: float) -> list[CrashingServer]:
    """Start a backend server beside each node; none of them crashes."""
    return [
        CrashingServer(
            node.announce_address,
            "crew",
            SLOTS,
            lambda target: work_s,
            lambda run: None,
            down_s=0.0,
        )
        for node in nodes
    ]


def configuration(version: int, valid: set[str]) -> dict:
    """Return a version of the operator's configuration with these valid keys."""
    route = {
        "name": "look",
        "hostname": HOST,
        "prefix": "/vacancies/",
        "kind": "safe",
        "timeout": "5s",
        "target_latency": "2s",
        "retry_attempts": 3,
        "service": "crew",
    }
    tenants = [
        {"name": f"agency-{number}", "api_keys": [key] if key in valid else []}
        for number, key in enumerate(KEYS)
    ]
    return {
        "version": f"{version:08x}",
        "services": [{"name": "crew", "health_path": "/health"}],
        "routes": [route],
        "tenants": tenants,
    }


def run_seed(seed: int, load_s: float = LOAD_S) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = RevocationSoak(seed, load_s)
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
