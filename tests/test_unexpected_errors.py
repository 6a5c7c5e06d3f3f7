"""Faults of the node itself while it forwards a request."""

import io
import socket
import time

from testtools import TestCase

from balsamspindle.protocol.outcomes import PROBLEMS, Execution, Outcome, Reason
from balsamspindle.requests.caller_requests import CallerRequest
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import HttpConnection, HttpLimits
from balsamspindle.requests.unexpected_errors import forward_or_fail
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.timeline import EventLog, HybridClock

ROUTE = RouteDocument("crew/contracts", Execution.NON_IDEMPOTENT, methods=("POST",))


class UnexpectedErrorTests(TestCase):
    def test_a_request_that_the_node_fails_to_forward_gets_an_answer(self):
        # Guards against a connection that is closed without an answer, although the
        # request may be running at a backend server.
        def fail(forwarded):
            raise ValueError("a fault")

        log = EventLog("own", 1, HybridClock(), io.StringIO())
        near, far = socket.socketpair()
        with near, far:
            forwarded = ForwardedRequest(
                "sign-7",
                HttpConnection(near, HttpLimits()),
                CallerRequest("POST", "/sign"),
                ROUTE,
                time.monotonic() + 5,
            )
            reply = forward_or_fail(fail, forwarded, log)
        ended = (reply.outcome, reply.reason)
        self.assertEqual((Outcome.UNKNOWN, Reason.INTERNAL_ERROR), ended)
        self.assertEqual(500, PROBLEMS[reply.reason].status)
        [event] = log.recent(0, 100).lines
        self.assertIn("request=sign-7", event)
        self.assertIn("a fault", event)
