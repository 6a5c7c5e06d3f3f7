"""Queries that an ingress sends to a gate before it dispatches a request.

An ingress sends a query before a large request and before a request to another zone.
"""

import io
import socket
import time

import msgspec
import zmq
from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.open_runs import OpenRun
from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.membership import Directory
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    BackendServerRecord,
    Dispatch,
    NodeRecord,
    Reply,
    checksum,
    encode,
)
from tests.fake_gate import SILENT, FakeGate
from tests.test_two_gates import answer
from tests.utils import free_address

SERVICE = "crew/vacancies"
OWN = NodeRecord("own", 1, 1, "r", "here", "-", "-", "alive")


class AdmissionQueryTests(TestCase):
    """One ingress, a gate in its own zone and a gate in another zone."""

    def setUp(self):
        super().setUp()
        self.gates, directory = {}, Directory()
        for zone in ("here", "there"):
            address = free_address()
            self.gates[zone] = gate = FakeGate(address, answer)
            self.addCleanup(gate.close)
            server = BackendServerRecord(f"server-{zone}", SERVICE, "1", 4, "ready")
            node = NodeRecord(
                f"gate-{zone}", 1, 1, "r", zone, address, "-", "alive", (server,)
            )
            directory.update(node, 0.0)
        self.log = io.StringIO()
        self.events = EventLog("own", 1, HybridClock(), self.log)
        links = LinkPool(zmq.Context.instance(), self.events)
        self.addCleanup(links.close)
        self.forwarder = Forwarder(
            OWN,
            Picker(OWN, directory, CurrentConfiguration()),
            Gate(LocalBackendServers(), BackendServerClient(1000), self.events),
            links,
            self.events,
        )

    def _request(self, timeout_s=5.0, body=b"") -> Reply:
        route = RouteDocument(SERVICE, Execution.NON_IDEMPOTENT, target_ms=2000.0)
        near, far = socket.socketpair()
        with near, far:
            return self.forwarder.forward(
                ForwardedRequest(
                    "id",
                    HttpConnection(near, HttpLimits()),
                    CallerRequest("POST", "/", body=body),
                    route,
                    time.monotonic() + timeout_s,
                )
            )

    def _refuse_in_own_zone(self):
        def would_wait(dispatch):
            reply = Reply(
                dispatch.attempt_id,
                Outcome.NOT_RUN,
                Reason.WOULD_WAIT,
                retry_after_ms=9000.0,
            )
            return [(0.0, encode(reply))]

        self.gates["here"]._answer = would_wait

    def test_a_gate_in_the_own_zone_gets_the_request_without_a_query(self):
        self.assertIs(Outcome.ANSWERED, self._request().outcome)
        self.assertEqual([], self.gates["here"].queries)

    def test_a_busy_gate_in_the_own_zone_is_not_sent_a_large_body(self):
        # Guards against large bodies that delay other callers' requests. Without a
        # query, a body of 60 KB is sent to three or four busy gates, and each of them
        # refuses the request. On links of 10 Mbit/s, these bodies delay short requests
        # so much that the gates seem unreachable and the short requests are refused.
        self.gates["here"].declines = Reason.WOULD_WAIT
        reply = self._request(body=b"x" * 60_000)
        self.assertIs(Outcome.ANSWERED, reply.outcome)
        self.assertEqual([], self.gates["here"].dispatches)
        [dispatch] = self.gates["there"].dispatches
        self.assertEqual(60_000, len(dispatch.body))

    def test_a_free_gate_in_the_own_zone_gets_a_large_body(self):
        self.assertIs(Outcome.ANSWERED, self._request(body=b"x" * 60_000).outcome)
        self.assertEqual(1, len(self.gates["here"].queries))
        self.assertEqual(1, len(self.gates["here"].dispatches))

    def test_a_gate_in_another_zone_gets_a_request_that_it_admits(self):
        self._refuse_in_own_zone()
        self.assertIs(Outcome.ANSWERED, self._request().outcome)
        [query] = self.gates["there"].queries
        self.assertEqual("server-there", query.backend_server_id)
        self.assertEqual(1, len(self.gates["there"].dispatches))

    def test_query_and_attempt_tell_which_run_waits_for_the_answer(self):
        runs, now_s = self.forwarder._open_runs, time.monotonic()
        runs.inherits = lambda service: True
        parent = OpenRun(AttemptId("x", 1, 1), "parent", 0.5, now_s - 1, now_s + 60)
        runs.begin(parent)
        self._refuse_in_own_zone()
        self._request()
        there = self.gates["there"]
        for [message] in (there.queries, there.dispatches):
            self.assertEqual(0.5, message.importance.weight)
            self.assertGreaterEqual(message.importance.spent_ms, 1000.0)

    def test_a_gate_in_another_zone_is_not_sent_a_request_that_it_declines(self):
        # Guards against requests that are sent to another zone only to be refused
        # there. Without a query, this happens to two of three such attempts. The
        # ingress uses the answer to its query again when it finally sends the request
        # to the gate with the shortest wait, so it sends only one query.
        self._refuse_in_own_zone()
        self.gates["there"].declines = Reason.WOULD_WAIT
        self.assertIs(Outcome.ANSWERED, self._request().outcome)
        self.assertEqual(1, len(self.gates["there"].queries))
        [dispatch] = self.gates["there"].dispatches
        # The request may wait in the gate's queue for half of the request's remaining
        # time.
        half_ms = dispatch.remaining_ms / 2
        self.assertAlmostEqual(half_ms, dispatch.wait_max_ms, delta=0.02 * half_ms)
        self.events.flush()
        self.assertIn("event=attempt_declined", self.log.getvalue())

    def test_a_gate_in_another_zone_is_sent_nothing_if_it_does_not_reply(self):
        # Guards against an unknown outcome when a gate does not answer a query. The
        # link is up, but the gate is suspended, or one direction of the link is cut.
        # Since no request was sent, the outcome is not_run, and even a non-idempotent
        # request can be sent elsewhere. The link to the gate is held out.
        self._refuse_in_own_zone()
        self.gates["there"].declines = SILENT
        reply = self._request(timeout_s=1.0)
        self.assertIs(Outcome.NOT_RUN, reply.outcome)
        self.assertEqual([], self.gates["there"].dispatches)
        held = self.forwarder._sender.link_hold_outs
        self.assertTrue(held.is_held_out("gate-there", time.monotonic()))


class AdmissionAnswerTests(TestCase):
    """Tests a gate's answers to queries; a query reserves no slot."""

    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.servers.announce("s", Announcement(SERVICE, "a", 1, "1"), 0.0)
        self.admission = Admission(self.servers)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        self.gate = Gate(
            self.servers, BackendServerClient(1000), events, admission=self.admission
        )

    def _query_gate(self, **changes):
        query = AdmissionQuery(7, SERVICE, "s", Execution.IDEMPOTENT, 5000.0, 1.0)
        query = msgspec.structs.replace(query, **changes)
        return self.gate.preview(query, time.monotonic())

    def test_a_query_reports_a_free_slot_without_acquiring_it(self):
        for _ in range(3):
            reply = self._query_gate(wait_max_ms=0.0)
            self.assertEqual((7, None), (reply.number, reply.reason))
        self.assertEqual(0, self.admission.in_flight())

    def test_a_query_reports_the_wait_in_the_queue(self):
        dispatch = Dispatch(
            AttemptId("own", 1, 1),
            "id",
            SERVICE,
            "s",
            Execution.IDEMPOTENT,
            5000.0,
            1.0,
            "GET",
            "/",
            [],
            b"",
            checksum(b""),
        )
        self.admission.admit(dispatch, CancelToken(), time.monotonic() + 5.0)
        reply = self._query_gate(wait_max_ms=0.0)
        self.assertIs(Reason.WOULD_WAIT, reply.reason)
        self.assertGreater(reply.wait_ms, 0)
        self.assertIsNone(self._query_gate(wait_max_ms=60_000.0).reason)
        self.assertEqual(0, self.admission.waiting())

    def test_a_query_reports_an_unknown_backend_server(self):
        reply = self._query_gate(backend_server_id="gone")
        self.assertIs(Reason.NO_BACKEND_SERVER, reply.reason)

    def test_a_query_sheds_no_waiting_request(self):
        queue = SlotQueue(1)
        waits = Ticket("s", 0.3, 100.0)
        self.assertIs(QueueDecision.WAIT, queue.request_slot(waits, 0, 1, 1.0, 0.0))
        heavier = Ticket("s", 0.5, 100.0)
        self.assertIs(QueueDecision.SHED, queue.preview(heavier, 0, 1, 1.0, 0.0))
        self.assertIs(QueueDecision.WAIT, queue.request_slot(waits, 0, 1, 1.0, 0.1))
