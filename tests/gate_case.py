"""A gate with one backend server that has one slot, for tests."""

import io
import time

from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.evidence import Judgement, NullHealthObserver
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.timeline import EventLog, HybridClock, parse_event
from balsamspindle.wire import AttemptId, Claim, Dispatch, checksum
from tests.raw_server import RawServer, answer_with_length
from tests.utils import wait_until

__all__ = ["BODY", "INCARNATION", "NODE", "RAN_MS_MIN", "SERVICE", "GateCase"]

SERVICE = "crew/contracts"
BODY = b"signature"
NODE, INCARNATION = "gate", 7
RAN_MS_MIN = 20


class Observer(NullHealthObserver):
    """Records the evidence that the gate reports."""

    def __init__(self):
        self.started_ids, self.results = [], []

    def record_start(self, backend_server_id, attempt_id, now_s):
        self.started_ids.append(attempt_id)

    def record_end(self, backend_server_id, attempt_id, result, now_s):
        self.results.append(result)
        return Judgement()


class GateCase(TestCase):
    """The gate, its backend server, and makers of dispatches.

    Attributes
    ----------
    accepts_unframed : bool
        See `BackendServerClient`.
    """

    accepts_unframed = False

    def setUp(self):
        super().setUp()
        self.server = RawServer(
            lambda number: (answer_with_length(b"%d" % number), True)
        )
        self.addCleanup(self.server.close)
        self.servers = LocalBackendServers()
        self._announce("1")
        self.observer = Observer()
        self.log = EventLog(NODE, INCARNATION, HybridClock(), io.StringIO())
        client = BackendServerClient(1000, accepts_unframed=self.accepts_unframed)
        self.gate = Gate(self.servers, client, self.log, self.observer)

    def _announce(self, boot_id):
        announcement = Announcement(SERVICE, self.server.address, 1, boot_id)
        self.servers.announce("server", announcement, 0.0)

    def _logged(self, name):
        events = map(parse_event, self.log.recent(0, 1000).lines)
        return [event for event in events if event["event"] == name]

    def _dispatch(self, sequence=1, **changes):
        fields = {
            "attempt_id": AttemptId("ingress", 1, sequence),
            "request_id": "id",
            "service": SERVICE,
            "backend_server_id": "server",
            "execution": Execution.NON_IDEMPOTENT,
            "remaining_ms": 5000.0,
            "weight": 1.0,
            "method": "POST",
            "target": "/sign",
            "headers": [],
            "body": BODY,
            "body_checksum": checksum(BODY),
            **changes,
        }
        return Dispatch(**fields)

    def _keyed(self, sequence, key="key", version=1, age_s=0.0, **changes):
        claim = Claim(NODE, INCARNATION, version, time.monotonic() - age_s)
        fields = {"idempotency_key": key, "claim": claim, **changes}
        return self._dispatch(sequence, **fields)

    def _handle(self, dispatch):
        return self.gate.handle(dispatch, time.monotonic())

    def _ended(self, dispatch):
        reply = self._handle(dispatch)
        return reply.outcome, reply.reason

    def _hang(self):
        self.server.answer = lambda number: (None, False)

    def _wait_until_sent(self, number):
        wait_until(lambda: len(self.server.requests) >= number, "the attempt is sent")
