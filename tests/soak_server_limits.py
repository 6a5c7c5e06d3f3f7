"""A soak of backend servers that name limits or leave, with faults of nodes.

``python -m tests.soak_server_limits --seeds 50`` runs 50 seeds, each a fleet of real
processes. Backend servers name limits, change them, and say that they leave, while
nodes are killed, stopped and paused in overlapping series. Callers keep their
connections open until the node closes them. Checked from outside: no backend server
gets more than its limit allows from nodes that passed on an answer with the limit, and
none gets requests from a node that passed on an answer with its leaving.
"""

import argparse
import http.client
import json
import random
import signal
import sys
import threading
import time
from typing import NamedTuple

from balsamspindle.standins.backend_server import StandinHandler
from tests.announcing_server import (
    LEAVING_HEADER,
    LIMIT_HEADER,
    AnnouncingServer,
    most_in_window,
)
from tests.utils import Fleet

SERVICE = "crew/contracts"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "target_ms": 1000,
        "timeout_ms": 4000,
    },
}
NODES, CALLERS_PER_NODE, LOAD_S = 4, 3, 14.0
STABILITY_S, WINDOW_S, DRAIN_S, TOLD_S = 3.0, 4.0, 2.0, 0.5
ORIGIN_HEADER = "X-Origin"
LIMITS = ("0.2", "0.7", "1.7", "2.8", "6")


class Arrival(NamedTuple):
    """A request at a backend server: when it came, and from which node and when."""

    arrived_s: float
    node: str
    sent_s: float


class RecordingServer(AnnouncingServer):
    """Records where each request began, and when which terms were in force."""

    def __init__(self, *arguments, **options):
        self.arrivals: list[Arrival] = []
        # Times at which the limit changed, with the limit from then on.
        self.limits: list[tuple[float, str | None]] = []
        super().__init__(*arguments, **options)

    def finish_request(self, request, client_address):
        """Handle a connection with a handler that records each request."""
        _RecordingHandler(request, client_address, self)

    def set_limit(self, limit: str | None) -> None:
        """Name another limit from now on, or none."""
        self.limits.append((self.set_terms(limit), limit))


class _RecordingHandler(StandinHandler):
    def _work(self, body):
        origin = self.headers.get(ORIGIN_HEADER, ":0")
        node, _, sent_s = origin.partition(":")
        arrival = Arrival(time.monotonic(), node, float(sent_s))
        self.server.arrivals.append(arrival)
        super()._work(body)


class ServerLimitSoak:
    """One seed: a fleet, its callers, and a random series of overlapping faults."""

    def __init__(self, seed: int, load_s: float) -> None:
        self._random = random.Random(seed)
        self._load_s = load_s
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        # When a node first passed on an answer of a server with a header.
        self._told_s: dict[tuple[str, str, str], float] = {}
        # When the latest fault of a node ended; infinity while it lasts.
        self._excused_s: dict[str, float] = {}
        self.answered = 0

    def run(self) -> None:
        """Play the seed; raise AssertionError if a promise was broken."""
        with Fleet() as fleet:
            self._fleet = fleet
            fleet.start_platform()
            fleet.put_settings(SETTINGS)
            self._nodes = {
                f"node-{number}": fleet.start_node(f"node-{number}", f"z{number % 2}")
                for number in range(NODES)
            }
            self._servers = {
                f"contracts-{number}": RecordingServer(
                    f"contracts-{number}",
                    SERVICE,
                    node,
                    work_s=self._random.uniform(0.02, 0.4),
                )
                for number, node in enumerate(self._nodes.values())
            }
            fleet.wait_ready(self._nodes.values(), self._servers)
            threads = [
                threading.Thread(target=task, args=(name,))
                for name in self._nodes
                for task in (*[self._call] * CALLERS_PER_NODE, self._disturb)
            ]
            for thread in threads:
                thread.start()
            self._change_terms()
            self._stopped.set()
            for thread in threads:
                thread.join()
            for server in self._servers.values():
                server.shutdown()
                server.server_close()
        self._check()

    def _change_terms(self) -> None:
        rng, ends_s = random.Random(self._random.random()), self._load_s
        events = []
        for name in self._servers:
            if rng.random() < 0.75:
                events.append((rng.uniform(0.0, 2.0), name, rng.choice(LIMITS)))
            if rng.random() < 0.3:
                limit = rng.choice((None, *LIMITS))
                events.append((rng.uniform(2.5, ends_s / 2), name, limit))
        leaving = rng.choice(list(self._servers))
        events.append((rng.uniform(1.0, ends_s / 2), leaving, "leaving"))
        started_s = time.monotonic()
        for at_s, name, limit in sorted(events, key=lambda event: event[0]):
            time.sleep(max(0.0, started_s + at_s - time.monotonic()))
            server = self._servers[name]
            if limit == "leaving":
                server.set_terms(is_leaving=True)
                server.limits.append((time.monotonic(), None))
            elif LEAVING_HEADER not in server.fault.headers:
                server.set_limit(limit)
        time.sleep(max(0.0, started_s + ends_s - time.monotonic()))

    def _disturb(self, name: str) -> None:
        """Kill, stop or pause one node now and then."""
        rng = random.Random(f"{name}/{self._random.random()}")
        while not self._stopped.wait(rng.uniform(1.0, 8.0)):
            node = self._nodes[name]
            self._excused_s[name] = float("inf")
            match rng.choice(("kill", "stop", "pause")):
                case "kill":
                    node.kill()
                    self._nodes[name] = self._fleet.restart(node)
                case "stop":
                    node.stop()
                    self._nodes[name] = self._fleet.restart(node)
                case "pause":
                    node.signal(signal.SIGSTOP)
                    time.sleep(rng.uniform(0.2, 1.5))
                    node.signal(signal.SIGCONT)
            for server in self._servers.values():
                if server.node_name == name:
                    server.announce_to(self._nodes[name])
            with self._lock:
                for key in [key for key in self._told_s if key[0] == name]:
                    del self._told_s[key]
            self._excused_s[name] = time.monotonic()

    def _call(self, name: str) -> None:
        connection = None
        while not self._stopped.wait(0.1):
            address = self._nodes[name].caller_address
            connection = connection or http.client.HTTPConnection(address, timeout=5)
            sent_s = time.monotonic()
            try:
                headers = {ORIGIN_HEADER: f"{name}:{sent_s}"}
                connection.request("GET", "/contracts/7", headers=headers)
                answer = connection.getresponse()
                body = answer.read()
            except (OSError, http.client.HTTPException):
                connection.close()
                connection = None
                continue
            if answer.status == 200:
                self.answered += 1
                self._record_told(name, sent_s, json.loads(body)["server"], answer)

    def _record_told(self, name, sent_s, server_name, answer) -> None:
        with self._lock:
            if sent_s <= self._excused_s.get(name, 0.0):
                return
            for header in (LIMIT_HEADER, LEAVING_HEADER):
                if answer.getheader(header) is not None:
                    key = (name, server_name, header)
                    self._told_s.setdefault(key, time.monotonic())

    def _check(self) -> None:
        assert self.answered, "no request was answered"
        for name, server in self._servers.items():
            self._check_limit(name, server)
            self._check_leaving(name, server)

    def _check_limit(self, name: str, server: RecordingServer) -> None:
        changes = [*server.limits, (float("inf"), None)]
        for (from_s, limit), (to_s, _) in zip(changes, changes[1:], strict=False):
            if limit is None:
                continue
            arrivals_s = [
                arrival.arrived_s
                for arrival in server.arrivals
                if arrival.arrived_s < to_s
                and self._is_told(arrival, name, LIMIT_HEADER, TOLD_S)
            ]
            count = most_in_window(arrivals_s, WINDOW_S, from_s + STABILITY_S)
            allowed = 1.5 * float(limit) * WINDOW_S + 5
            assert count <= allowed, f"{name}: {count} requests, limit {limit}"

    def _check_leaving(self, name: str, server: RecordingServer) -> None:
        late = [
            arrival
            for arrival in server.arrivals
            if self._is_told(arrival, name, LEAVING_HEADER, DRAIN_S)
        ]
        assert not late, f"{name}: {len(late)} requests after it said that it leaves"

    def _is_told(self, arrival, server_name, header, after_s) -> bool:
        told_s = self._told_s.get((arrival.node, server_name, header))
        return told_s is not None and arrival.sent_s >= told_s + after_s


def run_seed(seed: int, load_s: float = LOAD_S) -> str | None:
    """Run one seed; return a description of its failure, or None."""
    soak = ServerLimitSoak(seed, load_s)
    try:
        soak.run()
    except AssertionError as error:
        return f"seed {seed}: {error}"
    print(f"seed {seed}: {soak.answered} answered", flush=True)
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
