"""Heads that backend servers cut, as callers of real processes see their ends."""

import json
import socket
import time

from testtools import TestCase

from tests.raw_server import RawServer, answer_with_length
from tests.utils import call, start_fleet

PARENTS, TABLES = "crew/contracts", "crew/tables"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/services/tables": {},
    "crew/routes/sign": {
        "service": TABLES,
        "execution": "non_idempotent",
        "path_prefix": "/once",
        "methods": ["GET", "HEAD", "POST"],
    },
    "crew/routes/read": {
        "service": TABLES,
        "execution": "idempotent",
        "path_prefix": "/tables",
        "timeout_ms": 15_000,
    },
    "crew/routes/parent": {
        "service": PARENTS,
        "execution": "idempotent",
        "path_prefix": "/parent",
    },
}
HEAD = b"HTTP/1.1 200 OK\r\nX-From: cut\r\n"
FAILED = b"HTTP/1.1 500 Broken\r\nX-From: cut\r\nContent-Length: 6\r\n\r\nfailed"
WHOLE = answer_with_length(b"whole", b"X-From: whole\r\n")
CUT = {
    "a status line": HEAD[:17],
    "part of a length": HEAD + b"Content-Length: 0",
    "a length": HEAD + b"Content-Length: 0\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n",
    "an interim head first": b"HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD,
    "a failure within a status line": b"HTTP/1.1 200" + FAILED,
    "a failure within a header": HEAD + b"X-Note: " + FAILED,
}


def read_all(address: str, request: bytes) -> bytes:
    """Send a request that closes its connection; return all bytes of the answer."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), 15.0) as caller:
        caller.sendall(request + b" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        data = b""
        while chunk := caller.recv(65536):
            data += chunk
    return data


class CutHeadTests(TestCase):
    """Two nodes; the raw backend servers are beside the first one."""

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number}")
            for number in range(2)
        ]
        self.fleet.wait_ready(self.nodes, [])
        self.part = HEAD
        self.tables = self._server(lambda number: (self.part, False))
        self._announce("table", TABLES, self.tables, self.nodes[0])
        self.fleet.wait_ready(self.nodes, ["table"])

    def _server(self, answer) -> RawServer:
        server = RawServer(answer)
        self.addCleanup(server.close)
        return server

    def _announce(self, name, service, server, node):
        announcement = {
            "service": service,
            "address": server.address,
            "slots": 8,
            "boot_id": "1",
        }
        body = json.dumps(announcement).encode()
        call(node.admin_address, f"/backend-servers/{name}", "PUT", body)

    def _sent(self) -> int:
        """Return the number of requests, without status checks."""
        return sum(b"/health" not in request for request in self.tables.requests)

    def test_no_cut_head_reaches_a_caller_as_a_success(self):
        # Guards against a success from a cut head, at its gate's node or another.
        for node in self.nodes:
            for method in (b"GET", b"HEAD", b"POST"):
                for name, self.part in CUT.items():
                    before = self._sent()
                    answer = read_all(node.caller_address, method + b" /once/1")
                    head, _, body = answer.partition(b"\r\n\r\n")
                    described = (node.settings["node_id"], method, name, answer)
                    self.assertTrue(head.startswith(b"HTTP/1.1 502 "), described)
                    self.assertEqual(before + 1, self._sent(), described)
                    self.assertNotIn(b"X-From", answer, described)
                    self.assertNotIn(b"failed", answer, described)
                    if method != b"HEAD":
                        problem = json.loads(body)
                        self.assertEqual("unknown", problem["outcome"], described)
                        length = b"Content-Length: %d" % len(body)
                        self.assertIn(length, head.split(b"\r\n"), described)

    def test_a_retry_after_a_cut_head_gives_its_own_answer_only(self):
        # Guards against an answer that mixes a cut head with that of the retry.
        whole = self._server(lambda number: (WHOLE, True))
        self._announce("whole", TABLES, whole, self.nodes[1])
        self.fleet.wait_ready(self.nodes, ["whole"])
        expected = read_all(self.nodes[1].caller_address, b"GET /tables/1")
        self.assertTrue(expected.endswith(b"\r\n\r\nwhole"), expected)
        # The last parts come first: later, the backend server may be held out.
        for name, self.part in reversed(CUT.items()):
            for node in self.nodes:
                answer = read_all(node.caller_address, b"GET /tables/1")
                described = (node.settings["node_id"], name, answer)
                self.assertEqual(_without_id(expected), _without_id(answer), described)
        self.assertGreater(self._sent(), 0)

    def test_a_head_cut_while_a_hedge_runs_gives_the_hedges_answer_only(self):
        # Guards against a cut head that ends a request whose second attempt still runs.
        self._check_hedge(cut_after_s=1.5, whole_after_s=1.5)

    def test_a_head_cut_after_a_hedges_answer_is_not_passed_on(self):
        # Guards against an answer that a later cut head of the first attempt changes.
        self._check_hedge(cut_after_s=3.0, whole_after_s=0.0)

    def _check_hedge(self, cut_after_s: float, whole_after_s: float):
        self.part = CUT["a failure within a header"]

        def cut(number):
            if b"/tables" in self.tables.requests[number - 1]:
                time.sleep(cut_after_s)
            return self.part, False

        def answer(number):
            if b"/tables" in whole.requests[number - 1]:
                time.sleep(whole_after_s)
            return WHOLE, False

        self.tables.answer = cut
        whole = self._server(answer)
        self._announce("whole", TABLES, whole, self.nodes[1])
        self.fleet.wait_ready(self.nodes, ["whole"])
        answered = read_all(self.nodes[0].caller_address, b"GET /tables/1")
        self.assertEqual(1, self._sent())
        lines = answered.split(b"\r\n")
        self.assertEqual(b"HTTP/1.1 200 OK", lines[0], answered)
        self.assertIn(b"X-From: whole", lines)
        self.assertNotIn(b"X-From: cut", lines)
        self.assertEqual(b"whole", lines[-1])

    def test_a_run_sees_no_cut_head_of_its_call_as_a_success(self):
        # Guards against a run that goes on with an empty answer to its call.
        seen = []

        def run(number):
            if b"/parent" in self.parent.requests[number - 1]:
                address = self.nodes[1].caller_address
                seen.append(read_all(address, b"GET /once/1"))
            return answer_with_length(b"{}"), False

        self.parent = self._server(run)
        self._announce("parent", PARENTS, self.parent, self.nodes[1])
        self.fleet.wait_ready(self.nodes, ["parent"])
        for self.part in CUT.values():
            answer = call(self.nodes[0].caller_address, "/parent/1")
            self.assertEqual(200, answer.status)
        self.assertEqual(len(CUT), len(seen))
        for answer in seen:
            self.assertTrue(answer.startswith(b"HTTP/1.1 502 "), answer)


def _without_id(answer: bytes) -> list[bytes]:
    return [
        line
        for line in answer.split(b"\r\n")
        if not line.lower().startswith(b"x-request-id")
    ]
