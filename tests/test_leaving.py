"""Backend servers and nodes that leave under load."""

import http.client
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from tests.leaving_utils import SteadyCaller, read_events
from tests.utils import Fleet, call, start_fleet, wait_until

SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/read": {
        "service": "crew/contracts",
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "methods": ["GET"],
        "timeout_ms": 8000,
    },
    "crew/routes/sign": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
        "timeout_ms": 8000,
    },
}
SLOW_SETTINGS = {
    "crew/routes/slow": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/slow",
        "methods": ["POST"],
        "timeout_ms": 60000,
    },
}
LONG_SETTINGS = {
    "crew/routes/long": {
        "service": "crew/contracts",
        "execution": "idempotent",
        "path_prefix": "/long",
        "methods": ["GET"],
        "timeout_ms": 60000,
    },
}
LONG_MS = 40_000
WORK_MS = 60


def count_events(node, name: str) -> int:
    return sum(event["event"] == name for event in read_events(node.log_path))


class RollingRestartTests(TestCase):
    # Guards against connections that are reset, and answers that never arrive, when a
    # node stops. The node gets SIGTERM while requests arrive on kept-alive connections,
    # connections wait in the listener's backlog, and attempts of peers run at its gate.
    # Closing the listener resets the connections in its backlog. A request can be in
    # transit when its idle connection is closed. A reply that is still queued is lost
    # when its link closes.

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number}")
            for number in range(3)
        ]
        self.servers = [
            self.fleet.start_backend(
                f"contract-{number}",
                "crew/contracts",
                self.nodes[number % 3],
                work_ms=WORK_MS,
            )
            for number in range(6)
        ]
        self.server_ids = [server.name for server in self.servers]
        self.fleet.wait_ready(self.nodes, self.server_ids)
        addresses = [node.caller_address for node in self.nodes]
        self.callers = [
            SteadyCaller(
                f"caller-{number}",
                addresses[number % 3 :] + addresses[: number % 3],
                "POST" if number % 2 else "GET",
                pause_s=1.3 if number >= 12 else 0.01,
                reconnects=6 <= number < 12,
            )
            for number in range(15)
        ]
        for caller in self.callers:
            caller.start()
            self.addCleanup(caller.stop)

    def _restart(self, node):
        self.assertEqual(0, node.stop(timeout_s=20))
        settings = dict(node.settings)
        return self.fleet.start_node(
            settings.pop("node_id"), settings.pop("availability_zone"), **settings
        )

    def _end_callers(self) -> list:
        for caller in self.callers:
            caller.stop()
        return [call for caller in self.callers for call in caller.calls]

    def test_each_node_is_replaced_in_turn_and_no_request_is_cut(self):
        for number in range(3):
            time.sleep(0.5)
            self.nodes[number] = self._restart(self.nodes[number])
            self.fleet.wait_ready(self.nodes, self.server_ids)
        time.sleep(0.5)
        calls = self._end_callers()
        faults = [fault for caller in self.callers for fault in caller.faults]
        self.assertEqual([], faults)
        self.assertGreater(len(calls), 300)
        # The node closes an idle connection with 408. If a caller sent a request on the
        # connection just before the close, the request gets this 408 and is not run.
        others = [
            call
            for call in calls
            if call.outcome != "answered"
            and (call.outcome, call.status) != ("not_run", 408)
        ]
        self.assertEqual([], others)
        runs = Counter()
        for server in self.servers:
            runs.update(server.runs())
        for sent in calls:
            expected = 1 if sent.outcome == "answered" else 0
            if sent.method == "POST" or not expected:
                self.assertEqual(expected, runs[sent.run_key], sent)

    def test_the_whole_fleet_leaves_at_once_and_no_request_is_cut(self):
        time.sleep(0.5)
        for node in self.nodes:
            node.signal(signal.SIGTERM)
        statuses = [node.process.wait(20) for node in self.nodes]
        self.assertEqual([0] * 3, statuses)
        calls = self._end_callers()
        faults = [fault for caller in self.callers for fault in caller.faults]
        self.assertEqual([], faults)
        self.assertEqual(
            set(), {sent.outcome for sent in calls} - {"answered", "not_run"}
        )
        runs = Counter()
        for server in self.servers:
            runs.update(server.runs())
        self.assertEqual(
            [],
            [
                sent
                for sent in calls
                if sent.outcome == "not_run" and runs[sent.run_key]
            ],
        )

    def test_a_backend_server_that_gets_sigterm_finishes_its_work_and_leaves(self):
        time.sleep(0.5)
        for server in self.servers[:2]:
            self.assertEqual(0, server.stop(timeout_s=10))
        gone = set(self.server_ids[:2])
        wait_until(
            lambda: (
                not any(node.knows_server(name) for node in self.nodes for name in gone)
            ),
            "the nodes removed the backend servers that left",
        )
        calls = self._end_callers()
        faults = [fault for caller in self.callers for fault in caller.faults]
        self.assertEqual([], faults)
        self.assertEqual({"answered"}, {call.outcome for call in calls})


class LeavingTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.start_platform()
        self.fleet.put_settings(SETTINGS | SLOW_SETTINGS)

    def _start(self, work_ms: float, slots: int):
        self.nodes = [
            self.fleet.start_node(f"node-{number}", "zone-0", shutdown_timeout_s=3.0)
            for number in range(2)
        ]
        self.servers = [
            self.fleet.start_backend(
                f"contract-{number}",
                "crew/contracts",
                node,
                work_ms=work_ms,
                slots=slots,
            )
            for number, node in enumerate(self.nodes)
        ]
        self.fleet.wait_ready(self.nodes, ["contract-0", "contract-1"])

    def _in_flight(self, server_id: str) -> int:
        names = [
            event["event"]
            for event in read_events(self.nodes[0].log_path)
            if event.get("backend_server") == server_id
        ]
        return names.count("attempt_sent") - names.count("attempt_ended")

    def test_queued_requests_are_sent_elsewhere_at_a_drain(self):
        # Requests wait at one gate for the only slot when its backend server is
        # drained. If they still ran there, the VM could not be stopped. If they were
        # refused, callers would get errors although another backend server is free.
        self._start(work_ms=400, slots=1)
        callers = [
            SteadyCaller(f"caller-{number}", [self.nodes[0].caller_address], "POST")
            for number in range(10)
        ]
        for caller in callers:
            caller.start()
        wait_until(lambda: self._in_flight("contract-0") >= 3, "two requests wait")
        call(self.nodes[0].admin_address, "/backend-servers/contract-0/drain", "POST")
        time.sleep(1.5)
        for caller in callers:
            caller.stop()
        calls = [call for caller in callers for call in caller.calls]
        self.assertEqual([], [fault for caller in callers for fault in caller.faults])
        self.assertEqual({"answered"}, {call.outcome for call in calls})
        events = read_events(self.nodes[0].log_path)
        names = [
            event["event"]
            for event in events
            if event.get("backend_server") == "contract-0"
        ]
        after = names[names.index("backend_server_draining") :]
        self.assertIn("attempt_refused", after)
        self.assertEqual(0, after.count("attempt_dispatched"))

    def test_a_suspended_backend_server_does_not_delay_the_shutdown(self):
        # The backend server is suspended while it runs two requests that may take a
        # minute. The node must wait no longer than its shutdown timeout. It then sends
        # the callers the outcome `unknown` and ends.
        self._start(work_ms=100, slots=4)
        answers = []
        callers = [
            threading.Thread(
                target=lambda node=node: answers.append(
                    call(node.caller_address, "/slow/1", "POST", b"x", timeout_s=50)
                )
            )
            for node in self.nodes
        ]
        self.servers[1].kill()
        wait_until(
            lambda: not self.nodes[1].knows_server("contract-1"),
            "contract-1 is removed",
        )
        self.servers[0].signal(signal.SIGSTOP)
        self.addCleanup(self.servers[0].signal, signal.SIGCONT)
        for caller in callers:
            caller.start()
        wait_until(
            lambda: count_events(self.nodes[0], "attempt_dispatched") == 2,
            "both requests are at the backend server",
        )
        self.assertEqual(0, self.nodes[0].stop(timeout_s=20))
        for caller in callers:
            caller.join()
        self.assertEqual(["unknown"] * 2, [answer.outcome for answer in answers])

    def test_events_show_which_leaving_nodes_cut_the_runs_of_a_request(self):
        # The caller gets 'unknown' after two cuts. Its request runs at another node's
        # backend server when that node gets SIGTERM, so the ingress also starts it at
        # its own backend server. The first node cuts its run after its shutdown
        # timeout; then the ingress gets SIGTERM and cuts the other run.
        ingress, gate = self._start_nodes(["contract-1"])
        with ThreadPoolExecutor(1) as executor:
            answer = executor.submit(
                call, ingress.caller_address, "/long/1", timeout_s=50
            )
            self._wait_for_run(gate)
            self._start_backend(ingress, "contract-0")
            self.assertEqual(0, gate.stop(timeout_s=20))
            self._wait_for_run(ingress)
            self.assertEqual(0, ingress.stop(timeout_s=20))
            self.assertEqual("unknown", answer.result().outcome)
        self._check_leaving(gate, callers="0")
        self._check_leaving(ingress, callers="1")
        [ended] = self._events(ingress, "request_ended")
        leaving_ms, after_cut_ms = int(ended["leaving_ms"]), int(ended["after_cut_ms"])
        self.assertTrue(0 < leaving_ms <= after_cut_ms, ended)
        self.assertEqual("node_leaving", ended["stopped_by"])
        steps = [
            self._events(gate, "node_leaving"),
            self._events(ingress, "attempt_left_open"),
            self._events(ingress, "attempt_dispatched"),
            self._events(gate, "attempt_ended"),
            self._events(ingress, "node_leaving"),
            self._events(ingress, "attempt_ended"),
        ]
        self.assertEqual([1] * len(steps), list(map(len, steps)))
        times = [int(step[0]["hlc"]) for step in steps]
        self.assertEqual(sorted(times), times)

    def test_the_gate_logs_that_a_leaving_ingress_cut_a_run(self):
        # The ingress leaves and stops waiting for the reply. The gate's node stays in
        # the fleet. The gate cuts the run and logs that the ingress is the reason.
        ingress, gate = self._start_nodes(["contract-1"])
        with ThreadPoolExecutor(1) as executor:
            answer = executor.submit(
                call, ingress.caller_address, "/long/1", timeout_s=50
            )
            self._wait_for_run(gate)
            self.assertEqual(0, ingress.stop(timeout_s=20))
            self.assertEqual("unknown", answer.result().outcome)
        wait_until(lambda: self._events(gate, "attempt_ended"), "the run is cut")
        [cut] = self._events(gate, "attempt_ended")
        self.assertEqual("ingress_leaving", cut["cut_by"])
        [unanswered] = self._events(ingress, "attempt_unanswered")
        self.assertEqual("this node is leaving", unanswered["cause"])

    def _start_nodes(self, server_ids: list[str]) -> list:
        self.fleet.put_settings(LONG_SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", "zone-0", shutdown_timeout_s=3.0)
            for number in range(2)
        ]
        for server_id in server_ids:
            self._start_backend(self.nodes[1], server_id)
        return self.nodes

    def _start_backend(self, node, server_id: str) -> None:
        self.fleet.start_backend(server_id, "crew/contracts", node, work_ms=LONG_MS)
        self.fleet.wait_ready(self.nodes, [server_id], revision=4)

    def _events(self, node, name: str) -> list[dict[str, str]]:
        return [event for event in read_events(node.log_path) if event["event"] == name]

    def _wait_for_run(self, node) -> None:
        wait_until(lambda: self._events(node, "attempt_dispatched"), "the request runs")

    def _check_leaving(self, node, callers: str) -> None:
        """Check that a leaving node logged its open requests and the run it cut."""
        [leaving] = self._events(node, "node_leaving")
        self.assertEqual(
            ("3000", "1", "0", callers),
            tuple(
                leaving[name]
                for name in ("ends_in_ms", "running", "waiting", "callers")
            ),
        )
        self.assertEqual(1, len(self._events(node, "shutdown_timeout")))
        [cut] = self._events(node, "attempt_ended")
        self.assertEqual("node_leaving", cut["cut_by"])
        [dispatched] = self._events(node, "attempt_dispatched")
        self.assertEqual(dispatched["request"], cut["request"])

    def test_an_idle_connection_ends_with_408_and_does_not_delay_the_shutdown(self):
        # The caller keeps a connection open and sends nothing. When the node closes the
        # connection, it must report `not_run` for a request that the caller may have
        # just sent. The node must not wait for the idle timeout of one minute.
        self._start(work_ms=0, slots=4)
        host, _, port = self.nodes[0].caller_address.partition(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(caller.close)
        caller.request("GET", "/contracts/1")
        self.assertEqual(200, caller.getresponse().read() and 200)
        self.assertEqual(0, self.nodes[0].stop(timeout_s=20))
        last = b"".join(iter(lambda: caller.sock.recv(4096), b""))
        self.assertTrue(last.startswith(b"HTTP/1.1 408 "), last)
        self.assertIn(b"\r\nX-Balsamspindle-Outcome: not_run\r\n", last)
        self.assertIn(b"\r\nConnection: close\r\n", last)
