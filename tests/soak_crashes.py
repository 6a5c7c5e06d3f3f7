"""A randomized soak with requests that crash backend servers, and other faults.

``python -m tests.soak_crashes --seeds 50`` runs that many seeds, starting at
`--first`. A seed that found a fault in the code is listed in `REGRESSION_SEEDS` with
the cause.

Each seed draws one to three crashing paths: a request for such a path crashes the
backend server that runs it, after a time drawn for the path. Callers send new requests
for each path to random nodes. Other callers send harmless requests, some of which run
for seconds. Backend servers also crash for other reasons, one or several at once. Nodes
are killed, suspended and restarted, and the store fails. The soak checks that

- a crashing path has at most `LATE_RUNS_MAX` runs that begin more than
  `PROPAGATION_S` after its third crash; runs through a node with a disturbance in the
  last `PROPAGATION_S` don't count;
- no harmless request is refused as the cause of a crash;
- all nodes serve all harmless requests at the end.
"""

import argparse
import itertools
import random
import re
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field

from tests.crashing_server import CrashingServer, Run
from tests.disturbances import Disturbances
from tests.failed_soaks import kept_on_failure
from tests.persistent_connection import PersistentConnection
from tests.platform_fleet import PlatformFleet, PlatformNode
from tests.utils import wait_until

__all__ = ["REGRESSION_SEEDS", "run_seed"]

# Seeds that found a fault in the code, with the cause of that fault.
REGRESSION_SEEDS: dict[int, str] = {
    4: "a request of seconds was quarantined for five crashes with other causes",
    11: "a path lost once in another path's crash had to cause three more crashes",
    19: "a request with runs at nearly all servers was lost in each crash of a wave",
    33: "ended boot ids counted as servers, and a wave as a time without crashes",
}

HOST = "crew.example"
NODES, SLOTS = 6, 4
LOAD_S = 16.0
# Time in which undisturbed nodes learn of a crash and refuse the path that caused it.
PROPAGATION_S, LATE_RUNS_MAX = 3.0, 3
CAUSES_MAX = 3
HARMLESS_COUNT = 8
WORK_TIMES_S = (0.05, 0.3, 1.0, 2.0)
RESEND_MIN_S, RESEND_MAX_S = 0.1, 0.6
GAP_MAX_S, FAULT_MIN_S, FAULT_MAX_S = 1.5, 0.3, 2.0
SERVED_TIMEOUT_S = 30.0
CRASH_EVENTS = re.compile(r"backend_server_crash|request_quarantined|quarantine_lifted")


@dataclass
class Cause:
    """A path whose requests crash backend servers, and the times of these crashes."""

    target: str
    crashes_after_s: float
    crashed_s: list[float] = field(default_factory=list)


class CrashSoak:
    """Sends the requests and injects the faults of one seed in one fleet."""

    def __init__(self, seed: int, load_s: float = LOAD_S) -> None:
        self._seed, self._random = seed, random.Random(seed)
        self._load_s = load_s
        self._done = threading.Event()
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        self._disturbances = Disturbances(NODES)
        self._affected_targets: set[str] = set()
        self.causes = {
            f"/vacancies/broken-{number}": Cause(
                f"/vacancies/broken-{number}", self._random.uniform(0.02, 0.4)
            )
            for number in range(self._random.randint(1, CAUSES_MAX))
        }
        self._work_time_s = {
            f"/vacancies/whole-{number}": self._random.choice(WORK_TIMES_S)
            for number in range(HARMLESS_COUNT)
        }
        self.injected: list[str] = []
        self.answer_counts: Counter[str] = Counter()
        self.violations: list[str] = []

    def run(self) -> None:
        """Run the seed.

        Raises
        ------
        AssertionError
            When a harmless request was refused or not served, or a crashing path
            ran too often after its third crash.
        """
        with PlatformFleet() as fleet:
            fleet.put_configuration(_configuration())
            self._fleet, self._nodes = fleet, fleet.start_nodes(NODES)
            self._servers = [self._start_server(node) for node in self._nodes]
            try:
                with kept_on_failure(
                    f"soak-crashes-{self._seed}", fleet.folder, self._facts
                ):
                    self._wait_served()
                    self._run_load()
                    self._check()
                    self._wait_served()
            except AssertionError:
                self._print_crash_events()
                raise
            finally:
                for server in self._servers:
                    server.stop()

    def _start_server(self, node: PlatformNode) -> CrashingServer:
        return CrashingServer(
            node.announce_address,
            "crew",
            SLOTS,
            lambda target: self._work_time_s.get(target, 0.0),
            self._crashes_after_s,
            down_s=0.8,
        )

    def _crashes_after_s(self, run: Run) -> float | None:
        cause = self.causes.get(run.target)
        if cause is None:
            return None
        with self._lock:
            cause.crashed_s.append(run.began_s + cause.crashes_after_s)
        return cause.crashes_after_s

    def _wait_served(self) -> None:
        """Wait until each node serves each harmless request."""
        with ThreadPoolExecutor(NODES) as executor:
            list(executor.map(self._wait_served_by, self._nodes))

    def _wait_served_by(self, node: PlatformNode) -> None:
        connection = PersistentConnection(node.caller_address, HOST)
        for target in self._work_time_s:
            wait_until(
                lambda target=target: (
                    connection.send(target, self._next_id("w"))[0] == 200
                ),
                f"{target} is served after the faults {self.injected}",
                SERVED_TIMEOUT_S,
            )

    def _next_id(self, prefix: str) -> str:
        return f"{prefix}-{next(self._numbers):08d}"

    def _run_load(self) -> None:
        callers = len(self.causes) + len(self._work_time_s)
        # Drawn before the faults, which use the same generator at varying times.
        seeds = [self._random.random() for _ in range(callers)]
        targets = [*self.causes, *self._work_time_s]
        with ThreadPoolExecutor(callers + 4) as executor:
            sending = [
                executor.submit(self._send_all, target, random.Random(seed))
                for target, seed in zip(targets, seeds, strict=True)
            ]
            try:
                self._inject_all(executor)
            finally:
                self._done.set()
            for future in sending:
                future.result()

    def _send_all(self, target: str, rng: random.Random) -> None:
        """Send requests for one path to random nodes on persistent connections."""
        connections = [
            PersistentConnection(node.caller_address, HOST) for node in self._nodes
        ]
        is_cause = target in self.causes
        while not self._done.wait(rng.uniform(RESEND_MIN_S, RESEND_MAX_S)):
            number = rng.randrange(NODES)
            status, body = connections[number].send(target, self._next_id(str(number)))
            is_refused = b"crashes_servers" in body
            with self._lock:
                kind = "cause" if is_cause else "other"
                self.answer_counts[f"{kind}-{'refused' if is_refused else status}"] += 1
                if is_refused and not is_cause:
                    self.violations.append(f"{target} was refused: {body.decode()}")

    def _inject_all(self, executor: ThreadPoolExecutor) -> None:
        end_s = time.monotonic() + self._load_s
        injecting = []
        while time.monotonic() < end_s:
            time.sleep(self._random.uniform(0.1, GAP_MAX_S))
            name, target, inject = self._random.choice(self._possible_faults())
            fault_s = self._random.uniform(FAULT_MIN_S, FAULT_MAX_S)
            with self._lock:
                if target in self._affected_targets or len(self._affected_targets) >= 2:
                    continue
                self._affected_targets.add(target)
            self.injected.append(name)
            injecting.append(executor.submit(self._inject, target, inject, fault_s))
        for future in injecting:
            future.result()

    def _inject(self, target: str, inject: Callable, fault_s: float) -> None:
        inject(fault_s)
        with self._lock:
            self._affected_targets.discard(target)

    def _possible_faults(self) -> list[tuple[str, str, Callable[[float], None]]]:
        """Return the faults to draw from: name, target and injecting function."""
        faults = [("store-down", "store", self._store_down)]
        for number, server in enumerate(self._servers):
            faults.append(
                (f"crash-{number}", "servers", lambda fault_s, s=server: s.crash())
            )
        faults.append(("crash-wave", "servers", self._crash_wave))
        faults.append(("crash-three", "servers", self._crash_three))
        for number in range(NODES):
            for name, inject in (("kill", self._kill), ("stop", self._pause)):
                faults.append(
                    (
                        f"{name}-{number}",
                        f"node-{number}",
                        lambda fault_s, n=number, s=inject: s(n, fault_s),
                    )
                )
        faults.append(("kill-half", "node-all", self._kill_half))
        return faults

    def _store_down(self, fault_s: float) -> None:
        self._fleet.store.set_fault(mode="down")
        time.sleep(fault_s)
        self._fleet.store.set_fault(mode="none")

    def _crash_wave(self, fault_s: float) -> None:
        """Crash four backend servers one after the other, within `fault_s`."""
        for server in random.Random(fault_s).sample(self._servers, 4):
            server.crash()
            time.sleep(fault_s / 4)

    def _crash_three(self, fault_s: float) -> None:
        """Crash three backend servers at once, like the failure of a rack."""
        for server in random.Random(fault_s).sample(self._servers, 3):
            server.crash()

    def _kill(self, number: int, fault_s: float) -> None:
        with self._disturbances.record(number):
            self._nodes[number].kill()
            time.sleep(fault_s)
            self._nodes[number].start()

    def _kill_half(self, fault_s: float) -> None:
        for number in range(0, NODES, 2):
            self._kill(number, 0.0)

    def _pause(self, number: int, fault_s: float) -> None:
        with self._disturbances.record(number):
            process = self._nodes[number].process
            process.send_signal(signal.SIGSTOP)
            time.sleep(fault_s)
            process.send_signal(signal.SIGCONT)

    def _check(self) -> None:
        assert not self.violations, (self.violations[:3], self.injected)
        for cause in self.causes.values():
            late_runs = self._late_runs(cause)
            assert len(late_runs) <= LATE_RUNS_MAX, (
                f"{cause.target}, which crashes a backend server after "
                f"{cause.crashes_after_s:.2f} s, began {len(late_runs)} runs later "
                f"than {PROPAGATION_S} s after its third crash: {late_runs}",
                self.injected,
            )

    def _facts(self) -> dict:
        """Return what happened, with times on the monotonic clock."""
        with self._lock:
            return {
                "causes": [asdict(cause) for cause in self.causes.values()],
                "work_time_s": self._work_time_s,
                "injected": self.injected,
                "disturbances": self._disturbances.times_s,
                "crashed_s": [server.crashed_s for server in self._servers],
                "runs": [
                    [run._replace(body="") for run in server.runs]
                    for server in self._servers
                ],
                "answer_counts": self.answer_counts,
                "violations": self.violations,
            }

    def _print_crash_events(self) -> None:
        """Print the events on crashes and quarantines from the logs of all nodes."""
        for node in self._nodes:
            lines = node.log_path.read_text(errors="replace").splitlines()
            print(*(line for line in lines if CRASH_EVENTS.search(line)), sep="\n")

    def _late_runs(self, cause: Cause) -> list[str]:
        """Describe runs at undisturbed nodes, `PROPAGATION_S` after the third crash."""
        crashed_s = sorted(cause.crashed_s)
        if len(crashed_s) < 3:
            return []
        counted_from_s = crashed_s[2] + PROPAGATION_S
        return [
            f"{run.request_id} at {number}, {run.began_s - crashed_s[2]:.2f} s"
            for number, server in enumerate(self._servers)
            for run in server.runs
            if run.target == cause.target
            and run.began_s > counted_from_s
            and all(
                self._disturbances.is_undisturbed(node, run.began_s, PROPAGATION_S)
                for node in (number, int(run.request_id.partition("-")[0]))
            )
        ]


def _configuration() -> dict:
    route = {
        "name": "look",
        "hostname": HOST,
        "prefix": "/vacancies/",
        "kind": "safe",
        "timeout": "10s",
        "target_latency": "2s",
        "retry_attempts": 3,
        "service": "crew",
    }
    return {
        "version": "00000004",
        "services": [{"name": "crew", "health_path": "/health"}],
        "routes": [route],
    }


def run_seed(seed: int, load_s: float = LOAD_S) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = CrashSoak(seed, load_s)
    started_s = time.monotonic()
    try:
        soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    took_s = time.monotonic() - started_s
    crashes = [len(cause.crashed_s) for cause in soak.causes.values()]
    print(f"seed {seed}: {took_s:.0f} s", crashes, dict(soak.answer_counts), flush=True)
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
