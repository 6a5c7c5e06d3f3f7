"""An ingress whose gates have no room refuses requests before any attempt."""

import socket
import time

from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import CallerRequest, HttpConnection, HttpLimits
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import GateLoad, Reply, encode
from tests.two_gates import SERVICE, TwoGateCase

WAIT_MS = 6000.0
TIMEOUT_S = 4.0
REQUESTS = 30


def refuse(dispatch):
    reply = Reply(
        dispatch.attempt_id,
        Outcome.NOT_RUN,
        Reason.WOULD_WAIT,
        retry_after_ms=WAIT_MS,
        load=GateLoad(0, 8, WAIT_MS, weight_min=1.0),
    )
    return [(0.0, encode(reply))]


class LevelRefusalTests(TwoGateCase):
    """All gates refuse, as their queues are longer than the request may wait."""

    NAMES = ("a", "b", "c")

    def setUp(self):
        super().setUp()
        self.answers = dict.fromkeys(self.NAMES, refuse)

    def test_a_request_without_room_is_refused_before_any_attempt(self):
        # Guards against callers that hear of a full service only after all gates
        # refused one after another.
        self.make_forwarder(admits_by_level=True)
        replies = [self._send(f"r{number}") for number in range(REQUESTS)]
        self.assertEqual({Outcome.NOT_RUN}, {reply.outcome for reply in replies})
        # Gates refuse with `would_wait`.
        at_once = sum(reply.reason is Reason.NO_FREE_SLOT for reply in replies)
        self.assertGreater(at_once, REQUESTS // 2)
        # Only the other requests reached gates, three each at most.
        self.assertLessEqual(self._dispatches(), (REQUESTS - at_once) * len(self.NAMES))
        # All are told the wait of the gates, also those that were refused by them.
        waits_ms = [
            reply.retry_after_ms
            for reply in replies
            if reply.reason in (Reason.NO_FREE_SLOT, Reason.WOULD_WAIT)
        ]
        self.assertGreaterEqual(min(waits_ms), WAIT_MS)
        self.assertLessEqual(max(waits_ms), 2 * WAIT_MS)

    def test_a_service_without_the_setting_refuses_nothing_at_once(self):
        self.make_forwarder()
        replies = [self._send(f"r{number}") for number in range(REQUESTS)]
        self.assertEqual({Reason.WOULD_WAIT}, {reply.reason for reply in replies})

    def test_a_request_with_a_key_is_not_refused_at_once(self):
        # Guards against a `not_run` for a key whose earlier send may have run.
        self.make_forwarder(admits_by_level=True)
        for number in range(REQUESTS):
            self._send(f"r{number}")
        replies = [
            self._send(f"k{number}", idempotency_key=f"key-{number}")
            for number in range(REQUESTS)
        ]
        self.assertNotIn(Reason.NO_FREE_SLOT, {reply.reason for reply in replies})

    def _send(self, request_id, **fields):
        near, far = socket.socketpair()
        with near, far:
            forwarded = ForwardedRequest(
                request_id,
                HttpConnection(near, HttpLimits()),
                CallerRequest("POST", "/"),
                RouteDocument(SERVICE, Execution.NON_IDEMPOTENT, target_ms=2000),
                time.monotonic() + TIMEOUT_S,
                **fields,
            )
            return self.forwarder.forward(forwarded)
