"""A fleet for fault schedules: requests with keys, and what became of them.

Ingress ``i`` prefers gate ``a``, behind a relay; resends come through ingress
``j``, which prefers gate ``b``. Each of the gates has one backend server.
"""

import itertools
import json
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from testtools import TestCase

from tests.relay import Flow, Relay
from tests.utils import (
    BackendProgram,
    Fleet,
    HttpAnswer,
    NodeProgram,
    Program,
    call,
    free_address,
    try_call,
    wait_until,
)

__all__ = ["BURST", "Fault", "FaultScheduleCase", "Requests", "ScheduleFleet"]

SERVICE = "crew/contracts"
TIMEOUT_MS = 500
WORK_MS = 150
# Requests of each moment: half of them carry an Idempotency-Key.
BURST = 4
# How long a fault lasts after its strike: longer than each deadline.
HOLD_S = 0.6
MOMENTS = ("after", "during", "before")
NO_ANSWER = "no answer"

SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
        "timeout_ms": TIMEOUT_MS,
    },
}


class Fault(NamedTuple):
    """A fault: how it strikes, and how it ends."""

    strike: Callable[[], object]
    heal: Callable[[], object]

    def __add__(self, other: "Fault") -> "Fault":
        """Return both faults as one."""

        def strike():
            self.strike()
            other.strike()

        def heal():
            other.heal()
            self.heal()

        return Fault(strike, heal)


class ScheduleFleet(Fleet):
    """Platform, nodes a, b, i, j, a relay before gate a, backend servers."""

    def __init__(self) -> None:
        super().__init__()
        self.start_platform()
        self.put_settings(SETTINGS)
        link_address = free_address()
        self.relay = Relay(link_address)
        self.nodes: dict[str, NodeProgram] = {
            "a": self.start_node(
                "a",
                "zone-a",
                link_address=link_address,
                link_advertised_address=self.relay.address,
            )
        }
        for name, zone in (("b", "zone-b"), ("i", "zone-a"), ("j", "zone-b")):
            self.nodes[name] = self.start_node(name, zone)
        self.servers: dict[str, BackendProgram] = {}
        for name in ("a", "b"):
            self.start_server(name, free_address())
        self.wait_whole()

    def __exit__(self, *_):
        self.relay.close()
        super().__exit__()

    def start_server(self, name: str, address: str) -> None:
        """Start the backend server beside a gate, or start it again."""
        self.servers[name] = self.start_backend(
            f"contract-{name}",
            SERVICE,
            self.nodes[name],
            address=address,
            work_ms=WORK_MS,
        )

    def restart_node(self, name: str) -> None:
        """Put a replacement of a node at the same addresses."""
        self.nodes[name].kill()
        self.nodes[name] = self._add(
            NodeProgram(self.nodes[name].settings, self.folder)
        )

    def restart_server(self, name: str) -> None:
        """Start a backend server that ended again."""
        self.servers[name].kill()
        self.start_server(name, self.servers[name].address)

    def wait_whole(self) -> None:
        """Wait until each node sees both backend servers."""
        self.wait_ready(list(self.nodes.values()), ["contract-a", "contract-b"])
        for name, server in self.servers.items():
            wait_until(
                lambda name=name, server=server: self._is_ready(name, server),
                f"backend server {name} is announced",
            )

    def _is_ready(self, name: str, server: BackendProgram) -> bool:
        status = self.nodes[name].status() or {"backend_servers": []}
        return any(
            record[0] == server.name and record[4] == "ready"
            for record in status["backend_servers"]
        )

    def runs(self, key: str, names: str = "ab") -> int:
        """Return how often a request ran, also at killed backend servers."""
        line = f"event=run run_key={key}"
        return sum(
            self.servers[name].log_path.read_text().splitlines().count(line)
            for name in names
        )

    def set_platform(self, mode: str, **more) -> None:
        """Set the platform's fault."""
        body = json.dumps({"mode": mode, **more}).encode()
        call(self.platform_address, "/faults", "POST", body)

    def drain(self, name: str, verb: str = "drain") -> None:
        """Drain the backend server beside a gate, or `undrain` it."""
        address = self.nodes[name].admin_address
        call(address, f"/backend-servers/contract-{name}/{verb}", "POST", b"")

    def flow(self, **directions: Flow) -> None:
        """Set the relay's directions before gate a."""
        for direction, flow in directions.items():
            setattr(self.relay, direction, flow)

    def backend_fault(self, **switch) -> Fault:
        """Return a fault of real work at the backend server of gate a."""
        return Fault(
            lambda: self.servers["a"].set_fault(**switch),
            lambda: self.servers["a"].set_fault(mode="none"),
        )

    def backend_end(self, number: int) -> Fault:
        """Return a signal that ends the backend server of gate a."""
        return Fault(
            lambda: self.servers["a"].signal(number),
            lambda: self.restart_server("a"),
        )

    def node_end(self, name: str, number: int) -> Fault:
        """Return a signal that ends a node, which is then replaced."""
        return Fault(
            lambda: self.nodes[name].signal(number), lambda: self.restart_node(name)
        )

    def drained(self, name: str) -> Fault:
        """Return the drain of one backend server."""
        return Fault(lambda: self.drain(name), lambda: self.drain(name, verb="undrain"))

    def flow_fault(self, **directions: Flow) -> Fault:
        """Return a cut or a delay of the network before gate a."""
        return Fault(
            lambda: self.flow(**directions),
            lambda: self.flow(forward=Flow.PASS, backward=Flow.PASS),
        )

    def platform_fault(self, mode: str) -> Fault:
        """Return a fault of the platform."""
        return Fault(lambda: self.set_platform(mode), lambda: self.set_platform("none"))

    def frozen(self, find: Callable) -> Fault:
        """Return a process that is stopped for a while and does not know."""
        return Fault(
            lambda: find().signal(signal.SIGSTOP),
            lambda: find().signal(signal.SIGCONT),
        )

    def replaced_while_frozen(self) -> Fault:
        """Return a gate's replacement while its predecessor is frozen.

        Both have the same name, and new connections to the one address lead
        to the replacement. The predecessor thaws and is ended only then.
        """
        old: list[Program] = []

        def strike():
            node = self.nodes["a"]
            old.extend([node, self.servers["a"]])
            node.signal(signal.SIGSTOP)
            settings = dict(node.settings)
            for name in ("caller", "link", "member", "admin"):
                settings[f"{name}_address"] = free_address()
            settings["seed_addresses"] = [self.nodes["b"].settings["member_address"]]
            self.relay.target = settings["link_address"]
            self.nodes["a"] = self._add(NodeProgram(settings, self.folder))
            self.start_server("a", free_address())

        def heal():
            old[0].signal(signal.SIGCONT)
            time.sleep(HOLD_S)
            for program in old:
                program.kill()

        return Fault(strike, heal)


class Requests:
    """Requests of callers, and the checks of what they were told."""

    def __init__(self, fleet: ScheduleFleet) -> None:
        self._fleet = fleet
        self._lock = threading.Lock()
        self._bursts: dict[str, list[str]] = {}
        self._told: dict[str, str] = {}
        self._answers: dict[str, bytes] = {}
        self.executor = ThreadPoolExecutor(8 * BURST)
        self.outcomes: dict[str, Counter] = {}

    def begin(self, name: str, size: int = BURST) -> list:
        """Send a burst through ingress i; return the pending answers."""
        self._bursts[name] = [f"{name}/{number}" for number in range(size)]
        return [
            self.executor.submit(self._send, key, "i") for key in self._bursts[name]
        ]

    def resend(self, name: str, ingress: str) -> list:
        """Send those with an Idempotency-Key again; return what is pending."""
        keys = self._bursts[name][::2]
        return [self.executor.submit(self._send, key, ingress) for key in keys]

    def reach_gate_a(self) -> bool:
        """Tell whether a request through ingress i runs beside gate a."""
        address = self._fleet.nodes["i"].caller_address
        answer = try_call(address, "/sign", "POST", b"")
        return bool(
            answer
            and answer.status == 200
            and answer.json()["server"] == self._fleet.servers["a"].name
        )

    def wait_running(self, name: str) -> None:
        """Wait until one of a burst runs at a backend server."""
        wait_until(
            lambda: any(map(self._fleet.runs, self._bursts[name])),
            f"{name} runs",
        )

    def told(self, key: str) -> str:
        """Return the last that the caller of a request was told."""
        return self._told[key]

    def check(self, name: str) -> None:
        """Check all that was told of a burst against what ran."""
        for key in self._bursts[name]:
            runs = self._fleet.runs(key)
            assert runs <= 1, f"{key} ran {runs} times"
            assert not (runs and self._told.get(key) == "not_run"), (
                f"{key} was told not_run and ran"
            )

    def _send(self, key: str, ingress: str) -> str:
        self._check_told(key)
        headers = {"X-Run-Key": key}
        if int(key.rpartition("/")[2]) % 2 == 0:
            headers["Idempotency-Key"] = key
        address = self._fleet.nodes[ingress].caller_address
        answer = try_call(address, f"/sign/{key}", "POST", key.encode(), headers)
        outcome = answer.outcome if answer else NO_ANSWER
        with self._lock:
            self._told[key] = outcome
            name = key.rpartition("/")[0]
            self.outcomes.setdefault(name, Counter())[outcome] += 1
        self._check_told(key)
        if outcome == "answered":
            self._check_answer(key, answer)
        return outcome

    def _check_told(self, key: str) -> None:
        """Check that a request that was told not run has not run (yet)."""
        if self._told.get(key) == "not_run":
            assert not self._fleet.runs(key), f"{key} was told not_run and ran"

    def _check_answer(self, key: str, answer: HttpAnswer) -> None:
        """Check that the answer is whole and this request's own."""
        if answer.status == 200:
            body = answer.json()
            assert (body["run_key"], body["body"]) == (key, key), body
        with self._lock:
            first = self._answers.setdefault(key, answer.body)
        assert first == answer.body, f"{key} was answered in two ways"


class FaultScheduleCase(TestCase):
    """Strikes faults against one fleet that the whole class shares."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = ScheduleFleet()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.requests = Requests(cls.fleet)
        cls.addClassCleanup(cls.requests.executor.shutdown)

    def strike(self, name: str, fault: Fault, hold_s: float = HOLD_S) -> Counter:
        """Meet a fault at its three moments; return what callers were told.

        One burst is answered, a second one runs, the fault strikes, a third
        burst comes; then resends, while the fault lasts and after it.
        """
        requests = self.requests
        bursts = {moment: f"{name}/{moment}" for moment in MOMENTS}
        wait_until(requests.reach_gate_a, "ingress i turns to gate a")
        # Twice the others, so that the burst before dispatch finds idle links
        # that were heard just now and sends into whatever became of them.
        _results(requests.begin(bursts["after"], 2 * BURST))
        pending = requests.begin(bursts["during"])
        requests.wait_running(bursts["during"])
        fault.strike()
        pending += requests.begin(bursts["before"])
        for moment in ("after", "during"):
            pending += requests.resend(bursts[moment], "j")
        time.sleep(hold_s)
        _results(pending)
        _results(requests.resend(bursts["before"], "j"))
        fault.heal()
        self.fleet.wait_whole()
        for ingress in ("i", "j"):
            pending = [requests.resend(burst, ingress) for burst in bursts.values()]
            _results(itertools.chain(*pending))
        for burst in bursts.values():
            requests.check(burst)
        told = {moment: requests.outcomes[bursts[moment]] for moment in MOMENTS}
        print(name, {moment: dict(counts) for moment, counts in told.items()})
        return sum(told.values(), Counter())


def _results(pending) -> list[str]:
    """Return the outcomes; raise the first failed check."""
    return [future.result() for future in pending]
