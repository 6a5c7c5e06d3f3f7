"""When a caller disconnects, the run of its request at the backend server is cut."""

import json
import socket

from testtools import TestCase

from tests.leaving_utils import read_events
from tests.raw_server import RawServer, answer_with_length
from tests.utils import call, start_fleet, wait_until

SERVICE = "crew/contracts"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
        # Long enough that no call ends because of its timeout.
        "timeout_ms": 600_000,
    },
}


class CallerDisconnectTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.gate = self.fleet.start_node("gate", "zone-1")
        self.ingress = self.fleet.start_node("ingress", "zone-2")
        self.server = RawServer(self._answer)
        self.addCleanup(self.server.close)
        self.fleet.wait_ready([self.gate, self.ingress], [])
        self._announce()
        self.fleet.wait_ready([self.gate, self.ingress], ["contract"])

    def _answer(self, number):
        """Answer probes; leave signature requests unanswered until they are cut."""
        if self.server.requests[number - 1].startswith(b"GET"):
            return answer_with_length(b"{}"), False
        return None, False

    def _signatures(self) -> int:
        return sum(request.startswith(b"POST") for request in self.server.requests)

    def _announce(self):
        announcement = {
            "service": SERVICE,
            "address": self.server.address,
            "slots": 6,
            "boot_id": "1",
        }
        call(
            self.gate.admin_address,
            "/backend-servers/contract",
            "PUT",
            json.dumps(announcement).encode(),
        )

    def test_the_backend_servers_connection_ends_when_the_caller_disconnects(self):
        # Guards against backend servers that work for a caller that has disconnected.
        # If the caller is connected to the node of the backend server, the task that
        # serves the caller waits for the call, so another thread has to check the
        # caller's connection. If the caller is connected to another node, this node has
        # to send the cancellation over a link.
        for number, node in enumerate((self.gate, self.ingress), 1):
            host, _, port = node.caller_address.partition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(
                    b"POST /sign HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
                )
                wait_until(
                    lambda number=number: self._signatures() == number,
                    "the backend server has the request",
                )
                self._announce()
                self.assertEqual(number - 1, len(self.server.closed_s))
            wait_until(
                lambda number=number: len(self.server.closed_s) == number,
                f"the connection ends, caller at {node.settings['node_id']}",
            )

    def test_the_gate_reports_whether_a_caller_of_its_own_node_left(self):
        # Two runs are cut at one gate. The caller of the first run is connected to the
        # gate's own node, whose `CallerWatch` detects the disconnection. The caller of
        # the second run is connected to another node, which notifies the gate over a
        # link.
        for number, node in enumerate((self.gate, self.ingress), 1):
            self._send_and_disconnect(node, number)
        wait_until(lambda: len(self._cuts()) == 2, "both runs are reported as cut")
        self.assertEqual(["own_caller_left", "caller_left"], self._cuts())
        text = call(self.gate.admin_address, "/metrics").body.decode()
        for cause in self._cuts():
            line = f'balsamspindle_attempts_cut_total{{cause="{cause}"}} 1.0\n'
            self.assertIn(line, text)

    def _cuts(self) -> list[str]:
        events = read_events(self.gate.log_path)
        return [event["cut_by"] for event in events if "cut_by" in event]

    def _send_and_disconnect(self, node, number: int) -> None:
        """Send a request, and close its connection while the request runs."""
        host, _, port = node.caller_address.partition(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(
                b"POST /sign HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
            )
            wait_until(lambda: self._signatures() == number, "the request runs")
            self._announce()
        wait_until(lambda: len(self.server.closed_s) == number, "the run is cut")
