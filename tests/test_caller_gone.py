"""When a caller leaves, the connection to its backend server is closed."""

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
        # So long that only the caller's leaving can end the call.
        "timeout_ms": 600_000,
    },
}


class CallerGoneTests(TestCase):
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
        """Answer probes; let a signature request wait until its connection ends."""
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

    def test_the_backend_servers_connection_ends_when_the_caller_leaves(self):
        # The caller closes while the backend server works on its request. On the node
        # of that backend server the task of the caller is busy with the call, so
        # another thread has to check the caller. From another node, the cancellation
        # has to go over a link.
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

    def test_the_gate_reports_whether_its_own_caller_left(self):
        # Two runs are cut at one gate. The caller of the first is connected to the
        # gate's own node, whose `CallerWatch` detects that it left. The caller of the
        # second is connected to another node, which notifies the gate over a link.
        for number, node in enumerate((self.gate, self.ingress), 1):
            self._leave_a_signature(node, number)
        wait_until(lambda: len(self._cuts()) == 2, "both runs are reported as cut")
        self.assertEqual(["own_caller_left", "caller_left"], self._cuts())
        text = call(self.gate.admin_address, "/metrics").body.decode()
        for cause in self._cuts():
            line = f'balsamspindle_attempts_cut_total{{cause="{cause}"}} 1.0\n'
            self.assertIn(line, text)

    def _cuts(self) -> list[str]:
        events = read_events(self.gate.log_path)
        return [event["cut_by"] for event in events if "cut_by" in event]

    def _leave_a_signature(self, node, number: int) -> None:
        """Send a request and close its connection while it runs."""
        host, _, port = node.caller_address.partition(":")
        with socket.create_connection((host, int(port))) as caller:
            caller.sendall(
                b"POST /sign HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
            )
            wait_until(lambda: self._signatures() == number, "the request runs")
            self._announce()
        wait_until(lambda: len(self.server.closed_s) == number, "the run is cut")
