"""Calls that a backend server makes while it runs a request, with real processes."""

import json
import socket
import threading
import time

from testtools import TestCase

from tests.leaving_utils import read_events
from tests.raw_server import RawServer, answer_with_length
from tests.utils import call, start_fleet, wait_until

PARENTS, TABLES = "crew/contracts", "crew/tables"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/services/tables": {"calls_inherit_importance": True},
    "crew/routes/sign": {
        "service": PARENTS,
        "execution": "non_idempotent",
        "methods": ["POST"],
        "timeout_ms": 600_000,
        "weight": 3,
    },
    "crew/routes/read": {
        "service": TABLES,
        "execution": "idempotent",
        "path_prefix": "/tables",
        # Long enough that no call ends because of its timeout.
        "timeout_ms": 300_000,
    },
}

RELEASE_TIMEOUT_S = 30.0
# Enough for a route to be known as one of calls; see `open_runs`.
EARLIER_CALLS = 20


class CallsOfRunsTests(TestCase):
    """One node beside a parent's and a called backend server, which has one slot.

    The test itself makes the calls, as the parent's backend server would.
    """

    def setUp(self):
        super().setUp()
        self.release = threading.Event()
        self.addCleanup(self.release.set)
        self.fleet = start_fleet(self, SETTINGS)
        self.node = self.fleet.start_node("node", "zone-1")
        self.parent = RawServer(lambda number: self._answer(self.parent, number))
        self.called = RawServer(lambda number: self._answer(self.called, number))
        self.addCleanup(self.parent.close)
        self.addCleanup(self.called.close)
        self.fleet.wait_ready([self.node], [])
        self._announce()
        self.fleet.wait_ready([self.node], ["contract", "table"])

    def _answer(self, server: RawServer, number: int):
        """Answer probes and earlier calls at once, other calls after `release`."""
        if server.requests[number - 1].startswith((b"GET /health", b"GET /tables/0")):
            return answer_with_length(b"{}"), False
        if server is self.called:
            self.release.wait(RELEASE_TIMEOUT_S)
            return answer_with_length(b"{}"), False
        return None, False

    def _announce(self):
        servers = (("contract", PARENTS, self.parent), ("table", TABLES, self.called))
        for name, service, server in servers:
            announcement = {
                "service": service,
                "address": server.address,
                "slots": 1,
                "boot_id": "1",
            }
            call(
                self.node.admin_address,
                f"/backend-servers/{name}",
                "PUT",
                json.dumps(announcement).encode(),
            )

    def _send(self, head: bytes) -> socket.socket:
        host, _, port = self.node.caller_address.partition(":")
        caller = socket.create_connection((host, int(port)))
        self.addCleanup(caller.close)
        caller.sendall(head + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
        return caller

    def _events(self, name: str) -> list[dict[str, str]]:
        events = read_events(self.node.log_path)
        return [event for event in events if event["event"] == name]

    def _start_parent_and_calls(
        self, earlier: int = 0
    ) -> tuple[socket.socket, list[socket.socket]]:
        """Return the parent's caller, and a call that runs and one that waits.

        Before these two, the parent makes a number of `earlier` calls.
        """
        parent = self._send(b"POST /sign")
        wait_until(lambda: self._events("attempt_dispatched"), "the parent runs")
        for _ in range(earlier):
            self._send(b"GET /tables/0").recv(1000)
        calls = [self._send(b"GET /tables/1")]
        wait_until(
            lambda: len(self._events("attempt_dispatched")) == 2 + earlier,
            "a call runs",
        )
        self._announce()
        calls.append(self._send(b"GET /tables/2"))
        wait_until(
            lambda: len(self._events("attempt_sent")) == 3 + earlier, "a call waits"
        )
        self._announce()
        return parent, calls

    def test_a_call_is_sent_with_the_importance_of_the_run_that_waits(self):
        self._start_parent_and_calls()
        parent, *calls = self._events("attempt_sent")
        self.assertNotIn("importance", parent)
        for sent in calls:
            self.assertEqual("3.0", sent["importance"])
            self.assertEqual(parent["request"], sent["parent"])

    def test_a_request_that_looks_like_a_call_outlives_the_run_beside_it(self):
        # Guards against a caller's request that ends without its answer because
        # another caller left: all requests of its route so far looked like calls of a
        # run that was open at the node.
        parent, (running, waiting) = self._start_parent_and_calls(EARLIER_CALLS)
        parent.close()
        wait_until(lambda: self._events("request_ended"), "the parent ends")
        time.sleep(0.5)
        self.assertEqual(1 + EARLIER_CALLS, len(self._events("request_ended")))
        self.assertEqual([], self._events("attempt_unanswered"))
        self.release.set()
        for caller in (running, waiting):
            self.assertIn(b"200 OK", caller.recv(1000))

    def test_a_call_ends_at_once_when_its_own_connection_ends(self):
        # Guards against calls that run or wait for a backend server that has given
        # them up.
        parent, calls = self._start_parent_and_calls(EARLIER_CALLS)
        for caller in calls:
            caller.close()
        wait_until(
            lambda: len(self._events("request_ended")) == 2 + EARLIER_CALLS,
            "the calls end",
            timeout_s=1.0,
        )
        ends = {event.get("cut_by") for event in self._events("attempt_ended")}
        self.assertEqual({None, "own_caller_left"}, ends)
        sent = self.called.requests
        self.assertEqual(0, sum(b"/tables/2" in request for request in sent))
        self.assertEqual(1, sum(b"/tables/1" in request for request in sent))
