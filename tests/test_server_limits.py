"""Terms that a backend server announces, at the gate beside it."""

import io
import itertools
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.evidence import NullHealthObserver
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.lifetimes import AnnouncedStatus, Lifetimes
from balsamspindle.backend_servers.servers import (
    Announcement,
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.backend_servers.tickets import Ticket
from balsamspindle.platform.headers import HEADER_NAMES
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.timeline import EventLog, HybridClock, parse_event
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    Dispatch,
    ServerTerms,
    checksum,
)
from tests.raw_server import RawServer, answer_with_length
from tests.utils import wait_until

SERVICE, SERVER = "crew/contracts", "i-1"
SLOTS = 6
REQUEST_ID = "id"
OWN = b"X-Request-Id: id\r\nX-Response-Signature: s\r\n"
LIMIT, LEAVING = b"Server-Limit: %b\r\n", b"Server-Leaving: 1\r\n"
NOT_RUN = b"HTTP/1.1 503 Busy\r\n%bX-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Other\r\n%bContent-Length: 0\r\n\r\n"
TRUNCATED = b"HTTP/1.1 200 OK\r\n%bContent-Length: 9\r\n\r\nhalf"


class ServerLimitTests(TestCase):
    def setUp(self):
        super().setUp()
        self.numbers = itertools.count(1)
        self.head = OWN
        self.server = RawServer(
            lambda number: (answer_with_length(b"signed", self.head), True)
        )
        self.addCleanup(self.server.close)
        self._start_gate()

    def _start_gate(self):
        """Start a gate as a node does, without any knowledge of earlier answers."""
        self.events = EventLog("gate", 1, HybridClock(), io.StringIO())
        self.servers = LocalBackendServers()
        self.lifetimes = Lifetimes(self.servers, self.events)
        self._announce()
        self.admission = Admission(
            self.servers,
            lambda service: ServiceDocument(queue_max=100),
            TermsTable(self.lifetimes.record_announced_leaving),
        )
        self.client = BackendServerClient(1000, HEADER_NAMES)
        self.gate = Gate(
            self.servers,
            self.client,
            self.events,
            NullHealthObserver(),
            self.admission,
            HEADER_NAMES,
        )

    def _announce(self, boot=0, sequence=1):
        announcement = Announcement(SERVICE, self.server.address, SLOTS, "")
        status = AnnouncedStatus(sequence, start_unix_ms=boot)
        self.lifetimes.announce(SERVER, announcement, status, time.monotonic())

    def _dispatch(self, **changes):
        fields = {
            "attempt_id": AttemptId("ingress", 1, next(self.numbers)),
            "request_id": REQUEST_ID,
            "service": SERVICE,
            "backend_server_id": SERVER,
            "execution": Execution.IDEMPOTENT,
            "remaining_ms": 5000.0,
            "weight": 1.0,
            "method": "GET",
            "target": "/contracts/7",
            "headers": [("X-Request-Id", REQUEST_ID)],
            "body": b"",
            "body_checksum": checksum(b""),
            "wait_max_ms": 0.0,
            **changes,
        }
        return Dispatch(**fields)

    def _handle(self, **changes):
        return self.gate.handle(self._dispatch(**changes), time.monotonic())

    def _limit(self, boot_id=SERVER):
        return self.admission.terms.limit_per_s(SERVER, boot_id)

    def _name_limit(self, limit: bytes):
        self.head = OWN + LIMIT % limit
        reply = self._handle()
        self.assertEqual(Outcome.ANSWERED, reply.outcome)
        return reply

    def _logged(self, name):
        events = map(parse_event, self.events.recent(0, 1000).lines)
        return [event for event in events if event["event"] == name]

    def test_attempts_of_all_kinds_count_towards_the_limit(self):
        # Guards against trials, repeats and last resorts that are sent past the count.
        self._name_limit(b"4")
        sent = len(self.server.requests)
        started_s = time.monotonic()
        kinds = itertools.cycle(
            ({}, {"is_repeat": True}, {"is_last_resort": True}, {"run_was_lost": True})
        )
        replies = []
        while time.monotonic() < started_s + 1.0:
            replies.append(self._handle(**next(kinds)))
            time.sleep(0.005)
        arrived = len(self.server.requests) - sent
        self.assertLessEqual(arrived, 4)
        self.assertGreaterEqual(arrived, 3)
        refused = [reply for reply in replies if reply.outcome is Outcome.NOT_RUN]
        self.assertEqual({Reason.WOULD_WAIT}, {reply.reason for reply in refused})

    def test_a_refusal_states_when_the_limit_allows_the_next_request(self):
        self._name_limit(b"0.2")
        reply = self._handle()
        self.assertEqual(Reason.WOULD_WAIT, reply.reason)
        self.assertTrue(4500 < reply.retry_after_ms <= 5000, reply.retry_after_ms)
        query = AdmissionQuery(
            1, SERVICE, SERVER, Execution.IDEMPOTENT, 5000.0, 1.0, wait_max_ms=0.0
        )
        answer = self.gate.preview(query, time.monotonic())
        self.assertEqual(Reason.WOULD_WAIT, answer.reason)
        self.assertTrue(4500 < answer.wait_ms <= 5000, answer.wait_ms)

    def test_an_attempt_waits_for_the_limit_if_it_may(self):
        self._name_limit(b"4")
        started_s = time.monotonic()
        reply = self._handle(wait_max_ms=2000.0)
        self.assertEqual(Outcome.ANSWERED, reply.outcome)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_a_limit_that_is_not_used_up_shortens_no_wait_for_a_slot(self):
        self._name_limit(b"100")
        time.sleep(0.1)
        ticket = Ticket(
            SERVER,
            1.0,
            deadline_s=10.0,
            wait_max_s=5.0,
            target_s=2.0,
            allowance=self._allowance(),
        )
        ticket.limit_wait(0.0)
        self.assertEqual(5.0, ticket.wait_max_s)
        ticket.allowance = ticket.allowance._replace(tokens=0.5)
        ticket.limit_wait(0.0)
        self.assertEqual(2.0, ticket.wait_max_s)

    def test_an_attempt_without_a_maximum_wait_is_refused_at_once(self):
        # Guards against a request that waits at one gate until its deadline although
        # other backend servers are idle.
        self._name_limit(b"0.2")
        started_s = time.monotonic()
        reply = self._handle(wait_max_ms=None)
        self.assertEqual(Reason.WOULD_WAIT, reply.reason)
        self.assertLess(time.monotonic() - started_s, 1.0)

    def test_an_attempt_that_the_limit_allows_too_late_is_refused_at_once(self):
        self._name_limit(b"0.2")
        reply = self._handle(wait_max_ms=9000.0, remaining_ms=2000.0)
        self.assertEqual(Reason.WOULD_WAIT, reply.reason)
        self.assertGreater(reply.retry_after_ms, 4000)

    def test_a_new_gate_keeps_to_the_limit_that_ingresses_know(self):
        # Guards against a limit that ends with the restart of the gate's node.
        terms = self._name_limit(b"2").terms
        self.assertEqual(ServerTerms(SERVER, 2.0), terms)
        self._start_gate()
        replies = [self._handle(terms=terms) for _ in range(50)]
        self.assertEqual({Reason.WOULD_WAIT}, {reply.reason for reply in replies})
        self.assertEqual("ingress", self._logged("backend_server_terms")[0]["source"])

    def test_terms_of_another_lifetime_are_not_adopted(self):
        for terms in (ServerTerms("i-0", 2.0), ServerTerms("i-1@5", None, True)):
            self.assertEqual(Outcome.ANSWERED, self._handle(terms=terms).outcome)

    def test_a_new_lifetime_has_no_limit(self):
        self._name_limit(b"0.2")
        self.head = OWN
        self._announce(boot=5)
        for _ in range(5):
            self.assertEqual(Outcome.ANSWERED, self._handle().outcome)

    def test_an_answer_without_a_limit_ends_it(self):
        self._name_limit(b"20")
        self.head = OWN
        reply = self._handle(wait_max_ms=1000.0)
        self.assertEqual(ServerTerms(SERVER), reply.terms)
        for _ in range(30):
            self.assertEqual(Outcome.ANSWERED, self._handle().outcome)

    def test_refusals_and_errors_of_the_backend_server_do_not_end_the_limit(self):
        self._name_limit(b"20")
        for bytes_ in (NOT_RUN % OWN, b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"):
            self.server.answer = lambda number, data=bytes_: (data, True)
            self._handle(wait_max_ms=1000.0)
            self.assertEqual(20.0, self._limit())

    def test_refusals_and_incomplete_answers_announce_terms_too(self):
        # Guards against terms that are dropped with an answer that callers do not get.
        for template, limit in ((NOT_RUN, b"3"), (TRUNCATED, b"4")):
            data = template % (OWN + LIMIT % limit)
            self.server.answer = lambda number, data=data: (data, False)
            self._handle(wait_max_ms=1000.0)
            self.assertEqual(float(limit), self._limit())

    def test_another_backend_server_at_the_address_announces_nothing(self):
        data = MISDIRECTED % (OWN + LIMIT % b"1" + LEAVING)
        self.server.answer = lambda number: (data, False)
        self._handle()
        self.assertIsNone(self._limit())
        with self.servers.changed:
            self.assertIs(BackendServerState.READY, self.servers.get(SERVER).state)

    def test_nonsense_is_logged_and_changes_nothing(self):
        self._name_limit(b"20")
        for value in (b"-1", b"nan", b"", b"many"):
            self.head = OWN + LIMIT % value
            self._handle(wait_max_ms=1000.0)
            self.assertEqual(20.0, self._limit())
        self.assertEqual(4, len(self._logged("backend_server_terms_unreadable")))

    def test_of_two_limits_the_lower_one_counts(self):
        self.head = OWN + LIMIT % b"5" + LIMIT % b"3"
        self._handle()
        self.assertEqual(3.0, self._limit())

    def test_a_request_that_was_not_sent_leaves_the_allowance_as_it_was(self):
        self._name_limit(b"20")
        self.server.close()
        time.sleep(0.2)
        before = self._allowance().tokens
        reply = self._handle(execution=Execution.NON_IDEMPOTENT, method="POST")
        self.assertEqual(Reason.UNREACHABLE, reply.reason)
        self.assertGreaterEqual(self._allowance().tokens, before)

    def _allowance(self):
        return self.admission.terms.allowance(SERVER, SERVER, time.monotonic())

    def test_a_leaving_backend_server_gets_nothing_more_and_its_queue_is_refused(self):
        # Guards against work for a backend server that leaves without announcing it to
        # its node. What waits for a slot there can still be served elsewhere.
        with self._slots_occupied():
            with ThreadPoolExecutor(3) as executor:
                waiting = [
                    executor.submit(self._handle, wait_max_ms=4000.0) for _ in range(3)
                ]
                wait_until(lambda: self.admission.waiting() == 3, "attempts wait")
                self.lifetimes.record_announced_leaving(SERVER, SERVER)
                reasons = {future.result().reason for future in waiting}
        self.assertEqual({Reason.DRAINING}, reasons)

    @contextmanager
    def _slots_occupied(self):
        server = self.servers.get(SERVER)
        for _ in range(SLOTS):
            server.account.acquire()
        yield

    def test_an_answer_that_says_so_drains_the_backend_server(self):
        self.head = OWN + LEAVING
        reply = self._handle()
        self.assertEqual(ServerTerms(SERVER, is_leaving=True), reply.terms)
        self.assertEqual(Reason.DRAINING, self._handle().reason)
        # An announcement that is still "ready" does not take it back.
        self._announce(sequence=2)
        self.assertEqual(Reason.DRAINING, self._handle(is_last_resort=True).reason)

    def test_a_new_gate_sends_nothing_to_a_backend_server_known_to_leave(self):
        reply = self._handle(terms=ServerTerms(SERVER, is_leaving=True))
        self.assertEqual(Reason.DRAINING, reply.reason)
        self.assertEqual([], self.server.requests)

    def test_the_capacity_sent_to_the_fleet_follows_the_limit(self):
        # Guards against a floor that counts slots which a limit leaves unused.
        server = self.servers.get(SERVER)
        server.account.service_time_s = 0.5
        self.assertEqual(1.0, self.admission.capacity(server, time.monotonic()))
        self._name_limit(b"6.1")
        server.account.service_time_s = 0.5
        self.assertEqual(0.5, self.admission.capacity(server, time.monotonic()))
        server.account.service_time_s = 5.0
        self.assertEqual(0.5, self.admission.capacity(server, time.monotonic()))
