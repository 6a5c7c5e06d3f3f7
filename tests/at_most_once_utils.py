"""A fleet in which faults are injected while callers send non-idempotent requests.

Ingress ``i`` prefers gate ``a``, to which it connects through a relay. Callers send
requests through ingress ``i``, and repeat them through ingress ``j``, which prefers
gate ``b``, or ``i``. Each of the two gates has one backend server.
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

__all__ = ["BURST", "Fault", "FaultScheduleCase", "RequestBursts", "ScheduleFleet"]

SERVICE = "crew/contracts"
TIMEOUT_MS = 500
WORK_MS = 150
# Requests per burst; every second one has an Idempotency-Key.
BURST = 4
# How long a fault lasts: longer than `TIMEOUT_MS`, so that each request that is
# running at its start reaches its deadline.
FAULT_S = 0.6
# When the fault is injected, relative to a burst: after its answers, while its requests
# run, or before it is sent.
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
    """A function that injects a fault, and one that ends it."""

    inject: Callable[[], object]
    recover: Callable[[], object]

    def __add__(self, other: "Fault") -> "Fault":
        """Return a fault that injects this one, then `other`; recovers in reverse."""

        def inject():
            self.inject()
            other.inject()

        def recover():
            other.recover()
            self.recover()

        return Fault(inject, recover)


class ScheduleFleet(Fleet):
    """The platform, nodes a, b, i and j, a relay to gate a, two backend servers."""

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
        self.wait_all_ready()

    def __exit__(self, *_):
        self.relay.close()
        super().__exit__()

    def start_server(self, name: str, address: str) -> None:
        """Start the backend server of a gate at the given address."""
        self.servers[name] = self.start_backend(
            f"contract-{name}",
            SERVICE,
            self.nodes[name],
            address=address,
            work_ms=WORK_MS,
        )

    def restart_node(self, name: str) -> None:
        """Kill a node, and start a new process at the same addresses."""
        self.nodes[name].kill()
        self.nodes[name] = self._add(
            NodeProgram(self.nodes[name].settings, self.folder)
        )

    def restart_server(self, name: str) -> None:
        """Kill a gate's backend server, and start it again at the same address."""
        self.servers[name].kill()
        self.start_server(name, self.servers[name].address)

    def wait_all_ready(self) -> None:
        """Wait until all nodes know both backend servers, and these are ready."""
        self.wait_ready(list(self.nodes.values()), ["contract-a", "contract-b"])
        for name, server in self.servers.items():
            wait_until(
                lambda name=name, server=server: self._is_ready(name, server),
                f"the backend server of gate {name} is ready",
            )

    def _is_ready(self, name: str, server: BackendProgram) -> bool:
        status = self.nodes[name].status() or {"backend_servers": []}
        return any(
            record[0] == server.name and record[4] == "ready"
            for record in status["backend_servers"]
        )

    def runs(self, key: str, gates: str = "ab") -> int:
        """Return how often a request ran at the backend servers of `gates`.

        Runs before a backend server was killed and restarted count, too.
        """
        line = f"event=run run_key={key}"
        return sum(
            self.servers[name].log_path.read_text().splitlines().count(line)
            for name in gates
        )

    def set_platform(self, mode: str, **fields) -> None:
        """Set the fault mode of the platform."""
        body = json.dumps({"mode": mode, **fields}).encode()
        call(self.platform_address, "/faults", "POST", body)

    def drain(self, name: str, verb: str = "drain") -> None:
        """Drain the backend server of a gate; the verb ``undrain`` ends the drain."""
        address = self.nodes[name].admin_address
        call(address, f"/backend-servers/contract-{name}/{verb}", "POST", b"")

    def set_flow(self, **directions: Flow) -> None:
        """Set the flow of the given directions at the relay to gate a."""
        for direction, flow in directions.items():
            setattr(self.relay, direction, flow)

    def backend_fault(self, **fields) -> Fault:
        """Return a fault that makes the backend server of gate a fail requests."""
        return Fault(
            lambda: self.servers["a"].set_fault(**fields),
            lambda: self.servers["a"].set_fault(mode="none"),
        )

    def backend_signal_fault(self, number: int) -> Fault:
        """Return a fault that sends a signal to the backend server of gate a.

        The fault ends when the backend server is restarted.
        """
        return Fault(
            lambda: self.servers["a"].signal(number),
            lambda: self.restart_server("a"),
        )

    def node_signal_fault(self, name: str, number: int) -> Fault:
        """Return a fault that sends a signal to a node, and ends with its restart."""
        return Fault(
            lambda: self.nodes[name].signal(number), lambda: self.restart_node(name)
        )

    def drain_fault(self, name: str) -> Fault:
        """Return a fault that drains the backend server of a gate."""
        return Fault(lambda: self.drain(name), lambda: self.drain(name, verb="undrain"))

    def flow_fault(self, **directions: Flow) -> Fault:
        """Return a fault that loses or delays data on the network to gate a."""
        return Fault(
            lambda: self.set_flow(**directions),
            lambda: self.set_flow(forward=Flow.PASS, backward=Flow.PASS),
        )

    def platform_fault(self, mode: str) -> Fault:
        """Return a fault of the platform."""
        return Fault(lambda: self.set_platform(mode), lambda: self.set_platform("none"))

    def freeze_fault(self, find: Callable) -> Fault:
        """Return a fault that suspends a process, which `find` returns."""
        return Fault(
            lambda: find().signal(signal.SIGSTOP),
            lambda: find().signal(signal.SIGCONT),
        )

    def replacement_fault(self) -> Fault:
        """Return a fault that replaces gate a while its predecessor is suspended.

        Both processes have the same node id, and the relay forwards new connections to
        the replacement. The fault ends when the predecessor is resumed; after
        `FAULT_S` the predecessor and its backend server are killed.
        """
        old: list[Program] = []

        def inject():
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

        def recover():
            old[0].signal(signal.SIGCONT)
            time.sleep(FAULT_S)
            for program in old:
                program.kill()

        return Fault(inject, recover)


class RequestBursts:
    """Sends requests in bursts and checks the outcomes that callers receive."""

    def __init__(self, fleet: ScheduleFleet) -> None:
        self._fleet = fleet
        self._lock = threading.Lock()
        self._bursts: dict[str, list[str]] = {}
        self._last_outcomes: dict[str, str] = {}
        self._answers: dict[str, bytes] = {}
        self.executor = ThreadPoolExecutor(8 * BURST)
        self.outcomes: dict[str, Counter] = {}

    def send_burst(self, name: str, size: int = BURST) -> list:
        """Send a new burst through ingress i; return futures of the outcomes."""
        self._bursts[name] = [f"{name}/{number}" for number in range(size)]
        return [
            self.executor.submit(self._send, key, "i") for key in self._bursts[name]
        ]

    def resend_keyed(self, name: str, ingress: str) -> list:
        """Send those requests of a burst again that have an idempotency key.

        Returns futures of the outcomes.
        """
        keys = self._bursts[name][::2]
        return [self.executor.submit(self._send, key, ingress) for key in keys]

    def reaches_gate_a(self) -> bool:
        """Send a request through ingress i; return whether it ran at gate a."""
        address = self._fleet.nodes["i"].caller_address
        answer = try_call(address, "/sign", "POST", b"")
        return bool(
            answer
            and answer.status == 200
            and answer.json()["server"] == self._fleet.servers["a"].name
        )

    def wait_running(self, name: str) -> None:
        """Wait until a request of a burst runs at a backend server."""
        wait_until(
            lambda: any(map(self._fleet.runs, self._bursts[name])),
            f"{name} runs",
        )

    def last_outcome(self, key: str) -> str:
        """Return the outcome that the last sending of a request had."""
        return self._last_outcomes[key]

    def check(self, name: str) -> None:
        """Check that no request of a burst ran twice, or ran with outcome not_run."""
        for key in self._bursts[name]:
            runs = self._fleet.runs(key)
            assert runs <= 1, f"{key} ran {runs} times"
            assert not (runs and self._last_outcomes.get(key) == "not_run"), (
                f"{key} had the outcome not_run but ran"
            )

    def _send(self, key: str, ingress: str) -> str:
        self._check_not_run(key)
        headers = {"X-Run-Key": key}
        if int(key.rpartition("/")[2]) % 2 == 0:
            headers["Idempotency-Key"] = key
        address = self._fleet.nodes[ingress].caller_address
        answer = try_call(address, f"/sign/{key}", "POST", key.encode(), headers)
        outcome = answer.outcome if answer else NO_ANSWER
        with self._lock:
            self._last_outcomes[key] = outcome
            name = key.rpartition("/")[0]
            self.outcomes.setdefault(name, Counter())[outcome] += 1
        self._check_not_run(key)
        if outcome == "answered":
            self._check_answer(key, answer)
        return outcome

    def _check_not_run(self, key: str) -> None:
        """Check that a request has not run if its last outcome is not_run."""
        if self._last_outcomes.get(key) == "not_run":
            assert not self._fleet.runs(key), f"{key} had the outcome not_run but ran"

    def _check_answer(self, key: str, answer: HttpAnswer) -> None:
        """Check that an answer belongs to its request and equals earlier answers."""
        if answer.status == 200:
            body = answer.json()
            assert (body["run_key"], body["body"]) == (key, key), body
        with self._lock:
            first = self._answers.setdefault(key, answer.body)
        assert first == answer.body, f"{key} was answered in two different ways"


class FaultScheduleCase(TestCase):
    """Injects faults into one fleet that all tests of the class use."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = ScheduleFleet()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.requests = RequestBursts(cls.fleet)
        cls.addClassCleanup(cls.requests.executor.shutdown)

    def check_fault(self, name: str, fault: Fault, fault_s: float = FAULT_S) -> Counter:
        """Send bursts before and during a fault; return how often each outcome came.

        The first burst is answered before the fault is injected. The second burst is
        running at that time, and the third burst is sent right after it. Requests with
        an idempotency key are sent again during the fault and after its end. Fails if a
        request ran twice, ran although its outcome was not_run, or had a wrong answer.
        """
        requests = self.requests
        bursts = {moment: f"{name}/{moment}" for moment in MOMENTS}
        wait_until(requests.reaches_gate_a, "ingress i sends requests to gate a")
        # Twice as many requests as in the other bursts leave enough idle links for the
        # last burst. It then uses links that were opened before the fault, and that
        # the fault may have broken.
        _wait_for_outcomes(requests.send_burst(bursts["after"], 2 * BURST))
        pending = requests.send_burst(bursts["during"])
        requests.wait_running(bursts["during"])
        fault.inject()
        pending += requests.send_burst(bursts["before"])
        for moment in ("after", "during"):
            pending += requests.resend_keyed(bursts[moment], "j")
        time.sleep(fault_s)
        _wait_for_outcomes(pending)
        _wait_for_outcomes(requests.resend_keyed(bursts["before"], "j"))
        fault.recover()
        self.fleet.wait_all_ready()
        for ingress in ("i", "j"):
            pending = [
                requests.resend_keyed(burst, ingress) for burst in bursts.values()
            ]
            _wait_for_outcomes(itertools.chain(*pending))
        for burst in bursts.values():
            requests.check(burst)
        by_moment = {moment: requests.outcomes[bursts[moment]] for moment in MOMENTS}
        print(name, {moment: dict(counts) for moment, counts in by_moment.items()})
        return sum(by_moment.values(), Counter())


def _wait_for_outcomes(pending) -> list[str]:
    """Wait for all futures; return their outcomes or raise the first failed check."""
    return [future.result() for future in pending]
