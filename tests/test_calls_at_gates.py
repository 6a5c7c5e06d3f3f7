"""How gates weigh calls by the runs that wait for them."""

import io
import threading
import time

import msgspec
from testtools import TestCase

from balsamspindle.backend_servers.admission import Admission, Admitted
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.backend_servers.slots import WorkEnd, WorkKind
from balsamspindle.protocol.outcomes import Execution, Reason
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    Dispatch,
    Importance,
    checksum,
)
from tests.utils import wait_until

SERVICE, SLOTS = "crew/tables", 3
UPLOAD, CALL = 1, 2
RUN_S = {UPLOAD: 2.0, CALL: 0.1}
LIGHT, HEAVY = 0.2, 0.5


class CallsAtGatesTests(TestCase):
    """A gate whose three slots are occupied by uploads that have just started.

    Heavier requests have occupied all slots lately.
    """

    def setUp(self):
        super().setUp()
        servers = LocalBackendServers()
        servers.announce("s", Announcement(SERVICE, "a", SLOTS, "1"), 0.0)
        self.document = ServiceDocument(calls_inherit_importance=True)
        self.admission = Admission(servers, lambda service: self.document)
        events = EventLog("gate", 1, HybridClock(), io.StringIO())
        self.gate = Gate(
            servers, BackendServerClient(1000), events, admission=self.admission
        )
        account, now_s = servers.get("s").account, time.monotonic()
        for route_id, ran_s in RUN_S.items():
            for _ in range(10):
                kind = WorkKind(HEAVY, route_id)
                account.acquire(kind)
                account.release(WorkEnd.ANSWERED, ran_s, now_s, kind)
        account.service_time_s = RUN_S[UPLOAD]
        self.uploads = [
            self.admission.admit(self.dispatch(n), CancelToken(), now_s + 60)
            for n in range(SLOTS)
        ]

    def dispatch(self, number, **changes) -> Dispatch:
        fields = {
            "attempt_id": AttemptId("ingress", 1, number),
            "request_id": "id",
            "service": SERVICE,
            "backend_server_id": "s",
            "execution": Execution.IDEMPOTENT,
            "remaining_ms": 60_000.0,
            "weight": HEAVY,
            "method": "GET",
            "target": "/",
            "headers": [],
            "body": b"",
            "body_checksum": checksum(b""),
            "route_id": UPLOAD,
            **changes,
        }
        return Dispatch(**fields)

    def refusal(self, importance=None, remaining_s=3.0) -> Reason | None:
        query = AdmissionQuery(
            1, SERVICE, "s", Execution.IDEMPOTENT, remaining_s * 1000, LIGHT
        )
        query = msgspec.structs.replace(query, route_id=CALL, importance=importance)
        return self.gate.preview(query, time.monotonic()).reason

    def test_the_slots_are_occupied(self):
        self.assertTrue(all(isinstance(upload, Admitted) for upload in self.uploads))

    def test_a_call_waits_where_a_request_of_its_routes_weight_is_refused(self):
        self.assertIs(Reason.NO_FREE_SLOT, self.refusal())
        self.assertIsNone(self.refusal(Importance(HEAVY, 700.0)))

    def test_a_call_that_no_slot_takes_in_time_is_refused_at_once(self):
        # The runs have just started and take 2 s. By the mean time over three slots,
        # one would be free in 0.7 s.
        refused = self.refusal(Importance(HEAVY, 700.0), remaining_s=1.5)
        self.assertIs(Reason.NO_FREE_SLOT, refused)

    def test_without_the_setting_importance_changes_nothing(self):
        self.document = ServiceDocument()
        self.assertEqual(self.refusal(), self.refusal(Importance(HEAVY, 700.0)))

    def test_a_call_waits_until_it_is_cancelled(self):
        # Guards against calls of a given-up parent that keep their place in a queue.
        call = self.dispatch(
            9,
            weight=LIGHT,
            route_id=CALL,
            remaining_ms=3000.0,
            importance=Importance(HEAVY),
        )
        replies = []
        thread = threading.Thread(
            target=lambda: replies.append(self.gate.handle(call, time.monotonic()))
        )
        thread.start()
        wait_until(self.admission.waiting, "the call waits")
        self.gate.cancel(call.attempt_id)
        thread.join()
        self.assertEqual([Reason.CANCELLED], [reply.reason for reply in replies])
        self.assertEqual(0, self.admission.waiting())
