"""A randomized soak of requests that crash backend servers, beside other faults.

``python -m tests.soak_crashes --seeds 50`` plays that many seeds, `--first` names the
first one. A seed that ever failed is listed in `REGRESSION_SEEDS` with its cause.

Each seed draws one to three requests that crash whatever runs them, after a time of
their own, and sends each again and again at random nodes, as a new request. Beside them
others run, some for seconds, again with the same path each time. Meanwhile backend
servers crash for no reason, one or several at once, nodes are killed, stopped and
started again, and the store is away. What must hold:

- later than `KNOWN_S` after its third crash a request reaches at most
  `RUNS_AFTER_MAX` backend servers through nodes that nothing has disturbed for so long;
- nobody who ran beside it is refused as if it were the cause;
- at the end all others are served by all nodes.
"""

import argparse
import http.client
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
from dataclasses import dataclass, field

from tests.crashing_server import CrashingServer, Run
from tests.platform_fleet import PlatformFleet, PlatformNode
from tests.utils import wait_until

__all__ = ["REGRESSION_SEEDS", "play"]

# Seeds that failed once, with the cause.
REGRESSION_SEEDS: dict[int, str] = {
    4: "five crashes of other reasons struck a request of seconds, and were enough",
    11: "a cause that was once lost with another one had to crash three more",
    19: "a request with copies nearly everywhere was there at each crash of a wave",
    33: "ended starts counted as backend servers, and a wave as a calm time",
}

HOST = "crew.example"
NODES, SLOTS = 6, 4
PLAYED_S = 16.0
KNOWN_S, RUNS_AFTER_MAX = 3.0, 3
CAUSES_MAX = 3
INNOCENTS = 8
WORKS_S = (0.05, 0.3, 1.0, 2.0)
RESEND_MIN_S, RESEND_MAX_S = 0.1, 0.6
GAP_MAX_S, HOLD_MIN_S, HOLD_MAX_S = 1.5, 0.3, 2.0
CALL_TIMEOUT_S = 11.0
SERVED_WITHIN_S = 30.0
VERDICT_EVENTS = re.compile(
    r"backend_server_crash|request_quarantined|quarantine_lifted"
)


@dataclass
class Cause:
    """A request that crashes backend servers."""

    target: str
    crashes_after_s: float
    crashed_s: list[float] = field(default_factory=list)


class KeptConnection:
    """A caller's connection to one node, used until it is gone."""

    def __init__(self, node: PlatformNode) -> None:
        self._node = node
        self._connection: http.client.HTTPConnection | None = None

    def send(self, target: str, request_id: str) -> tuple[int, bytes]:
        """Send a request; return its status and body, 0 where nobody answered."""
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._node.caller_address, timeout=CALL_TIMEOUT_S
            )
        headers = {"Host": HOST, "X-Request-Id": request_id}
        try:
            self._connection.request("GET", target, headers=headers)
            response = self._connection.getresponse()
            answer = response.status, response.read()
        except (OSError, http.client.HTTPException):
            self._connection.close()
            self._connection = None
            return 0, b""
        if response.will_close:
            self._connection.close()
            self._connection = None
        return answer


class CrashSoak:
    """One seed's requests and faults against one fleet."""

    def __init__(self, seed: int, played_s: float = PLAYED_S) -> None:
        self._random = random.Random(seed)
        self._played_s = played_s
        self._done = threading.Event()
        self._lock = threading.Lock()
        self._numbers = itertools.count()
        # When each node was disturbed last, by its number.
        self._disturbed: list[list[tuple[float, float]]] = [[] for _ in range(NODES)]
        self._busy: set[str] = set()
        self.causes = {
            f"/vacancies/broken-{number}": Cause(
                f"/vacancies/broken-{number}", self._random.uniform(0.02, 0.4)
            )
            for number in range(self._random.randint(1, CAUSES_MAX))
        }
        self._works_s = {
            f"/vacancies/whole-{number}": self._random.choice(WORKS_S)
            for number in range(INNOCENTS)
        }
        self.played: list[str] = []
        self.told: Counter[str] = Counter()
        self.faults: list[str] = []

    def run(self) -> None:
        """Play the seed.

        Raises
        ------
        AssertionError
            When a promise was broken.
        """
        with PlatformFleet() as fleet:
            fleet.put_configuration(_configuration())
            self._fleet, self._nodes = fleet, fleet.start_nodes(NODES)
            self._servers = [self._start_server(node) for node in self._nodes]
            try:
                self._wait_served()
                self._play()
                self._check()
                self._wait_served()
            except AssertionError:
                self._print_verdicts()
                raise
            finally:
                for server in self._servers:
                    server.stop()

    def _start_server(self, node: PlatformNode) -> CrashingServer:
        return CrashingServer(
            node.announce_address,
            "crew",
            SLOTS,
            lambda target: self._works_s.get(target, 0.0),
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
        """Wait until each node serves each request that crashes nothing."""
        with ThreadPoolExecutor(NODES) as executor:
            list(executor.map(self._wait_served_by, self._nodes))

    def _wait_served_by(self, node: PlatformNode) -> None:
        connection = KeptConnection(node)
        for target in self._works_s:
            wait_until(
                lambda target=target: (
                    connection.send(target, self._next_id("w"))[0] == 200
                ),
                f"{target} is served after {self.played}",
                SERVED_WITHIN_S,
            )

    def _next_id(self, who: str) -> str:
        return f"{who}-{next(self._numbers):08d}"

    def _play(self) -> None:
        callers = len(self.causes) + len(self._works_s)
        # Drawn before the callers start, so that a seed always draws the same.
        seeds = [self._random.random() for _ in range(callers)]
        targets = [*self.causes, *self._works_s]
        with ThreadPoolExecutor(callers + 4) as executor:
            sending = [
                executor.submit(self._send_all, target, random.Random(seed))
                for target, seed in zip(targets, seeds, strict=True)
            ]
            try:
                self._strike_all(executor)
            finally:
                self._done.set()
            for one in sending:
                one.result()

    def _send_all(self, target: str, rng: random.Random) -> None:
        """Send one request again and again, at random nodes, on kept connections."""
        connections = [KeptConnection(node) for node in self._nodes]
        is_cause = target in self.causes
        while not self._done.wait(rng.uniform(RESEND_MIN_S, RESEND_MAX_S)):
            number = rng.randrange(NODES)
            status, body = connections[number].send(target, self._next_id(str(number)))
            is_refused = b"crashes_servers" in body
            with self._lock:
                kind = "cause" if is_cause else "other"
                self.told[f"{kind}-{'refused' if is_refused else status}"] += 1
                if is_refused and not is_cause:
                    self.faults.append(f"{target} was refused: {body.decode()}")

    def _strike_all(self, executor: ThreadPoolExecutor) -> None:
        end_s = time.monotonic() + self._played_s
        striking = []
        while time.monotonic() < end_s:
            time.sleep(self._random.uniform(0.1, GAP_MAX_S))
            name, target, strike = self._random.choice(self._catalogue())
            hold_s = self._random.uniform(HOLD_MIN_S, HOLD_MAX_S)
            with self._lock:
                if target in self._busy or len(self._busy) >= 2:
                    continue
                self._busy.add(target)
            self.played.append(name)
            striking.append(executor.submit(self._strike, target, strike, hold_s))
        for one in striking:
            one.result()

    def _strike(self, target: str, strike: Callable, hold_s: float) -> None:
        strike(hold_s)
        with self._lock:
            self._busy.discard(target)

    def _catalogue(self) -> list[tuple[str, str, Callable[[float], None]]]:
        """Return the faults to draw from: name, what it strikes, and how."""
        faults = [("store-down", "store", self._store_down)]
        for number, server in enumerate(self._servers):
            faults.append(
                (f"crash-{number}", "servers", lambda hold_s, s=server: s.crash())
            )
        faults.append(("crash-wave", "servers", self._crash_wave))
        faults.append(("crash-three", "servers", self._crash_three))
        for number in range(NODES):
            for name, strike in (("kill", self._kill), ("stop", self._stop)):
                faults.append(
                    (
                        f"{name}-{number}",
                        f"node-{number}",
                        lambda hold_s, n=number, s=strike: s(n, hold_s),
                    )
                )
        faults.append(("kill-half", "node-all", self._kill_half))
        return faults

    def _store_down(self, hold_s: float) -> None:
        self._fleet.store.set_fault(mode="down")
        time.sleep(hold_s)
        self._fleet.store.set_fault(mode="none")

    def _crash_wave(self, hold_s: float) -> None:
        """End backend servers for no reason, one after the other, over a time."""
        for server in random.Random(hold_s).sample(self._servers, 4):
            server.crash()
            time.sleep(hold_s / 4)

    def _crash_three(self, hold_s: float) -> None:
        """End three backend servers at one moment, as the loss of a rack does."""
        for server in random.Random(hold_s).sample(self._servers, 3):
            server.crash()

    def _kill(self, number: int, hold_s: float) -> None:
        with self._disturbance(number):
            self._nodes[number].kill()
            time.sleep(hold_s)
            self._nodes[number].start()

    def _kill_half(self, hold_s: float) -> None:
        for number in range(0, NODES, 2):
            self._kill(number, 0.0)

    def _stop(self, number: int, hold_s: float) -> None:
        with self._disturbance(number):
            process = self._nodes[number].process
            process.send_signal(signal.SIGSTOP)
            time.sleep(hold_s)
            process.send_signal(signal.SIGCONT)

    def _disturbance(self, number: int) -> "_Disturbance":
        return _Disturbance(self._disturbed[number])

    def _check(self) -> None:
        assert not self.faults, (self.faults[:3], self.played)
        for cause in self.causes.values():
            after = self._runs_after(cause)
            assert len(after) <= RUNS_AFTER_MAX, (
                f"{cause.target} ({cause.crashes_after_s:.2f} s) ran {len(after)} "
                f"times later than {KNOWN_S} s after its third crash: {after}",
                self.played,
            )

    def _print_verdicts(self) -> None:
        """Print what the nodes' logs tell of crashes and of who was blamed."""
        for node in self._nodes:
            lines = node.log_path.read_text(errors="replace").splitlines()
            print(*(one for one in lines if VERDICT_EVENTS.search(one)), sep="\n")

    def _runs_after(self, cause: Cause) -> list[str]:
        """Return the runs that calm nodes sent on when all had to know."""
        crashed_s = sorted(cause.crashed_s)
        if len(crashed_s) < 3:
            return []
        known_s = crashed_s[2] + KNOWN_S
        return [
            f"{run.request_id} at {number}, {run.began_s - crashed_s[2]:.2f} s"
            for number, server in enumerate(self._servers)
            for run in server.runs
            if run.target == cause.target
            and run.began_s > known_s
            and self._is_calm(number, run.began_s)
            and self._is_calm(int(run.request_id.partition("-")[0]), run.began_s)
        ]

    def _is_calm(self, number: int, at_s: float) -> bool:
        """Tell whether a node had run undisturbed for `KNOWN_S` before a moment."""
        return not any(
            began_s <= at_s <= ended_s + KNOWN_S
            for began_s, ended_s in self._disturbed[number]
        )


class _Disturbance:
    """Notes from when to when a node was disturbed."""

    def __init__(self, times: list[tuple[float, float]]) -> None:
        self._times = times

    def __enter__(self) -> None:
        self._began_s = time.monotonic()
        # Until its end is known.
        self._times.append((self._began_s, float("inf")))

    def __exit__(self, *_) -> None:
        self._times[-1] = (self._began_s, time.monotonic())


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


def play(seed: int, played_s: float = PLAYED_S) -> str | None:
    """Play one seed; return what was broken, or None."""
    soak = CrashSoak(seed, played_s)
    started_s = time.monotonic()
    try:
        soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    took_s = time.monotonic() - started_s
    crashes = [len(cause.crashed_s) for cause in soak.causes.values()]
    print(f"seed {seed}: {took_s:.0f} s", crashes, dict(soak.told), flush=True)
    return None


def main() -> int:
    """Play seeds by hand; 1 when one of them failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    arguments = parser.parse_args()
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    broken = [fault for seed in seeds if (fault := play(seed))]
    print(*broken, f"{len(broken)} of {len(seeds)} seeds failed", sep="\n")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
