"""Calls to a backend server: what is sent, once, and what stays open after it."""

import gc
import os
import socket
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from testtools import TestCase

from balsamspindle.backend_servers.answers import AnswerReader
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import (
    BackendServerClient,
)
from balsamspindle.protocol.outcomes import CancelCause, Execution, Reason
from tests.raw_server import RawServer, answer_with_length
from tests.utils import free_address, wait_until

BODY_MAX_BYTES = 1000
WHOLE = answer_with_length(b"whole")
HEAD_200 = b"HTTP/1.1 200 OK\r\n"


class BackendClientTests(TestCase):
    def setUp(self):
        super().setUp()
        self.client = BackendServerClient(BODY_MAX_BYTES)

    def _server(self, answer):
        server = RawServer(answer)
        self.addCleanup(server.close)
        return server

    def _call(self, address, execution=Execution.NON_IDEMPOTENT, **changes):
        arguments = {
            "method": "POST",
            "target": "/sign",
            "headers": [],
            "body": b"signature",
            "timeout_ms": 3000,
            **changes,
        }
        return self.client.call(address, execution=execution, **arguments)

    def test_a_reused_connection_that_dies_never_repeats_a_non_idempotent_post(self):
        # Guards against a second run of which no error is reported. The backend server
        # answers one POST, reads the next one on the same connection, runs it and dies
        # before it answers. libcurl assumes that the connection was stale and sends the
        # POST again by itself. One signature would be made twice.
        server = self._server(
            lambda number: (WHOLE, True) if number == 1 else (b"", False)
        )
        self.assertEqual(200, self._call(server.address).status)
        failure = self._call(server.address)
        self.assertEqual((Reason.BROKEN_ANSWER, True), failure[:2])
        self.assertEqual(2, len(server.requests))

    def test_an_idempotent_request_that_was_resent_is_not_reported_as_unsent(self):
        # Guards against an outcome of not_run for a request that may have run. A reused
        # connection dies after the request was sent on it, and the backend server stops
        # listening. libcurl then reports the error "could not connect" for its own
        # second try, although the first one may have run.
        server = self._server(lambda number: (WHOLE, True))
        self.assertEqual(200, self._call(server.address, Execution.IDEMPOTENT).status)

        def die(number):
            server.close()
            return b"", False

        server.answer = die
        failure = self._call(server.address, Execution.IDEMPOTENT)
        self.assertEqual(2, len(server.requests))
        self.assertTrue(failure.sent, failure)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        answer = answer_with_length(
            b"whole",
            b"Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n"
            b"X-Balsamspindle-Outcome: not_run\r\n",
        )
        server = self._server(lambda number: (answer, True))
        headers = [("Connection", "close, X-Mine"), ("X-Mine", "1"), ("X-Too", "2")]
        got = self._call(server.address, headers=headers)
        self.assertEqual([("X-Kept", "2")], got.headers)
        self.assertNotIn(b"X-Mine", server.requests[0])
        self.assertIn(b"X-Too: 2", server.requests[0])

    def test_a_target_is_sent_unchanged_and_never_changes_the_host(self):
        # Guards against a target that is parsed as part of a URL. There, an `@` in the
        # target would turn the backend server's address into a user name and the text
        # after the `@` into the host. Dot segments would be removed, and the text from
        # a `#` on would be cut off.
        server = self._server(lambda number: (WHOLE, True))
        other = self._server(lambda number: (WHOLE, True))
        targets = [f"@{other.address}/", "/a/../b/./c?x=1#y", "//a", "*", "/\xe9"]
        for target in targets:
            for execution in Execution:
                self._call(server.address, execution, target=target)
        self.assertEqual([], other.requests)
        sent = [request.split(b" ")[1].decode("latin-1") for request in server.requests]
        self.assertEqual([target for target in targets for _ in Execution], sent)

    def test_a_request_is_reported_as_unsent_only_without_a_connection(self):
        refused = self._call(free_address())
        self.assertEqual((Reason.UNREACHABLE, False), refused[:2])
        server = self._server(lambda number: (None, False))
        late = self._call(server.address, timeout_ms=-1)
        self.assertEqual((Reason.DEADLINE, False), late[:2])
        self.assertEqual([], server.requests)
        silent = self._call(server.address, timeout_ms=100)
        self.assertEqual((Reason.SILENCE, True), silent[:2])

    def test_a_timeout_during_the_connect_is_not_reported_as_unreachable(self):
        # The listen backlog of the backend server is full and the request has little
        # time remaining, so the request times out before it is sent. If the client
        # reported this as unreachable, it would count against the backend server's
        # health.
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            address = listener.getsockname()
            clients = [socket.socket() for _ in range(4)]
            for client in clients:
                self.addCleanup(client.close)
                client.setblocking(False)
                client.connect_ex(address)
            failure = self._call(f"127.0.0.1:{address[1]}", timeout_ms=150)
        self.assertEqual((Reason.DEADLINE, False), failure[:2])

    def test_a_cancelled_call_ends_the_backend_servers_connection_at_once(self):
        # Guards against a cancellation that takes effect late. libcurl calls its
        # progress callback only about once a second. If the client waited for the
        # callback and did not shut down the socket, the backend server would keep
        # working for that time.
        server = self._server(lambda number: (None, False))
        for number, execution in enumerate(Execution, 1):
            token = CancelToken()
            with ThreadPoolExecutor(1) as executor:
                call = executor.submit(
                    self._call, server.address, execution, token=token
                )
                wait_until(
                    partial(_has_requests, server, number), "the request is sent"
                )
                token.cancel(CancelCause.NODE_LEAVING)
                # A second cancellation does not change the cause.
                token.cancel(CancelCause.CALLER_LEFT)
                self.assertEqual((Reason.CANCELLED, True), call.result()[:2])
                self.assertIs(CancelCause.NODE_LEAVING, call.result().cut_by)
        wait_until(lambda: len(server.closed_s) == 2, "both connections ended")

    def test_a_call_cancelled_before_its_connection_sends_nothing(self):
        server = self._server(lambda number: (WHOLE, True))
        token = CancelToken()
        token.cancel(CancelCause.DEADLINE)
        failure = self._call(server.address, token=token)
        self.assertEqual((Reason.CANCELLED, False), failure[:2])
        self.assertEqual([], server.requests)

    def test_the_remaining_time_is_sent_to_the_backend_server(self):
        server = self._server(lambda number: (WHOLE, True))
        self._call(server.address, timeout_ms=1234.9)
        self.assertIn(b"X-Request-Timeout-Ms: 1234\r\n", server.requests[0])

    def test_a_request_is_sent_with_the_callers_headers_and_no_others(self):
        # If a request has no content type, libcurl declares its body as a web form by
        # itself, and a backend server would parse a signature as a form.
        server = self._server(lambda number: (WHOLE, True))
        self._call(server.address, headers=[("X-A", "1")])
        self._call(server.address, headers=[("Content-Type", "text/x")])
        names = [
            {line.partition(b":")[0] for line in request.split(b"\r\n")[1:-2]}
            for request in server.requests
        ]
        own = {b"Host", b"Content-Length", b"X-Request-Timeout-Ms"}
        self.assertEqual([own | {b"X-A"}, own | {b"Content-Type"}], names)
        self.assertIn(b"Content-Type: text/x\r\n", server.requests[1])

    def test_a_body_with_all_byte_values_arrives_unchanged(self):
        # Guards against a caller that waits for an answer in vain. libcurl has two
        # options for the body, and one of them rejects a NUL byte in the Python
        # binding. If the client used this option, the attempt would fail with an
        # exception.
        body = bytes(range(256))
        for execution in Execution:
            server = self._server(lambda number: (WHOLE, True))
            self.assertEqual(
                200, self._call(server.address, execution, body=body).status
            )
            self.assertTrue(server.requests[0].endswith(body))

    def test_idle_handles_keep_no_bodies(self):
        # Guards against a process that holds the last body of each idle handle, up to
        # the maximum size of a body for each of hundreds of handles.
        body = b"b" * BODY_MAX_BYTES
        answers = (answer_with_length(body), answer_with_length(body + body))
        for sent in answers:
            for execution in Execution:
                server = self._server(lambda number, sent=sent: (sent, True))
                self._call(server.address, execution)
        gc.collect()
        readers = [
            found for found in gc.get_objects() if isinstance(found, AnswerReader)
        ]
        self.assertEqual([], readers)

    def test_ended_calls_leave_no_descriptors_open(self):
        server = self._server(lambda number: (WHOLE, True))
        self._call(server.address)
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(50):
            self._call(server.address)
        wait_until(
            lambda: len(os.listdir("/proc/self/fd")) <= before + 2,
            "connections of ended calls are closed",
        )


def _has_requests(server: RawServer, number: int) -> bool:
    return len(server.requests) >= number
