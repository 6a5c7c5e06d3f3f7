"""What answers to status checks say of the backend server that was meant."""

import io
import time

from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.evidence import ProbeResult
from balsamspindle.backend_servers.probes import Prober, StatusChecks
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.backend_servers.terms_table import AnswerTiming
from balsamspindle.platform.headers import HEADER_NAMES
from balsamspindle.protocol.announced_terms import AnnouncedTerms
from balsamspindle.timeline import EventLog, HybridClock
from tests.raw_server import RawServer, answer_with_length

SERVER = "i-1"


class Monitor:
    """Records the results of status checks."""

    def __init__(self):
        self.results = []

    def record_probe_result(self, server_id, result, now_s):
        self.results.append(result)


class ProbeAnswerTests(TestCase):
    def setUp(self):
        super().setUp()
        self.head = b""
        self.server = RawServer(
            lambda number: (answer_with_length(b"{}", self.head), True)
        )
        self.addCleanup(self.server.close)
        self.servers = LocalBackendServers()
        announcement = Announcement("crew/contracts", self.server.address, 6, "1")
        self.servers.announce(SERVER, announcement, time.monotonic())
        self.admission = Admission(self.servers)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        self.monitor, self.misdirected = Monitor(), []
        checks = StatusChecks(
            HEADER_NAMES,
            AnswerTerms(self.servers, self.admission.terms, events, HEADER_NAMES),
            self.misdirected.append,
            self.admission.try_spend_allowance,
        )
        self.prober = Prober(
            self.servers,
            self.monitor,
            BackendServerClient(1000, HEADER_NAMES),
            lambda service: "/health",
            checks,
        )

    def _probe(self, head: bytes):
        self.head = head
        self.prober._probe(SERVER)

    def _limit(self):
        return self.admission.terms.limit_per_s(SERVER, "1")

    def test_the_answer_of_another_backend_server_is_no_evidence(self):
        # Guards against a backend server that counts as healthy because the next one at
        # its address answers its status checks.
        self._probe(b"X-Instance-Id: i-2\r\nServer-Limit: 1\r\n")
        self.assertEqual([], self.monitor.results)
        self.assertEqual([SERVER], self.misdirected)
        self.assertIsNone(self._limit())

    def test_an_answer_with_its_own_id_or_none_is_evidence(self):
        for head in (b"X-Instance-Id: i-1\r\n", b""):
            self._probe(head)
        self.assertEqual([ProbeResult.PASSED] * 2, self.monitor.results)
        self.assertEqual([], self.misdirected)

    def test_the_answer_to_a_request_is_no_evidence(self):
        # Guards against a status check that is answered by the late copy of an answer.
        self._probe(b"X-Request-Id: r1\r\n")
        self.assertEqual([ProbeResult.FAILED], self.monitor.results)

    def test_terms_in_the_answer_to_a_status_check_are_heard(self):
        # Guards against a backend server without requests whose terms nobody hears.
        self._probe(b"X-Instance-Id: i-1\r\nServer-Limit: 30\r\n")
        self.assertEqual(30.0, self._limit())

    def test_a_status_endpoint_that_named_a_limit_also_ends_it(self):
        # Guards against a limit that lasts for ever where no request gets through.
        self._probe(b"Server-Limit: 30\r\n")
        time.sleep(0.1)
        self._probe(b"")
        self.assertIsNone(self._limit())

    def test_a_status_endpoint_that_named_no_limit_ends_none(self):
        # Guards against the end of a limit by an endpoint that lacks the header.
        self.admission.terms.record_answer(
            SERVER, "1", AnnouncedTerms(30.0), AnswerTiming(0.0, 0.0)
        )
        for _ in range(2):
            time.sleep(0.1)
            self._probe(b"X-Instance-Id: i-1\r\n")
            self.assertEqual(30.0, self._limit())

    def test_a_status_check_that_a_limit_does_not_allow_is_left_out(self):
        self._probe(b"Server-Limit: 0.1\r\n")
        self._probe(b"Server-Limit: 0.1\r\n")
        self.assertEqual(1, len(self.server.requests))
