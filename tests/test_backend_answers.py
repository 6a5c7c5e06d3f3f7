"""Answers of backend servers: only complete and own ones are accepted."""

import socket
import struct
import threading
import time

from testtools import TestCase

from balsamspindle.backend_servers.answers import OVERRUN_MAX_S, AnswerReader
from balsamspindle.backend_servers.client import (
    BackendAnswer,
    BackendFailure,
    BackendServerClient,
)
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution, Reason
from tests.endless_server import EndlessServer
from tests.raw_server import RawServer, answer_with_length

BODY_MAX_BYTES = 1000
WHOLE = answer_with_length(b"whole")
HEAD_200 = b"HTTP/1.1 200 OK\r\n"

# The bytes that a backend server sends before it closes the connection, and the reason
# that the client reports. Each answer is invalid, too large, incomplete, or can't be
# distinguished from an incomplete one.
BROKEN_ANSWERS = {
    "no bytes": (b"", Reason.BROKEN_ANSWER),
    "a head only": (HEAD_200, Reason.BROKEN_ANSWER),
    "half of its length": (WHOLE[:-2], Reason.BROKEN_ANSWER),
    "part of a head with its length": (WHOLE[:-7], Reason.BROKEN_ANSWER),
    "part of a head without a body": (
        b"HTTP/1.1 204 No Content\r\nX-Note: 1\r\n",
        Reason.BROKEN_ANSWER,
    ),
    "no length": (HEAD_200 + b"\r\nfragment?", Reason.BROKEN_ANSWER),
    "a coding without an end": (
        HEAD_200 + b"Transfer-Encoding: identity\r\n\r\nfragment?",
        Reason.BROKEN_ANSWER,
    ),
    "chunks without an end": (
        HEAD_200 + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
        Reason.BROKEN_ANSWER,
    ),
    "a bad chunk": (
        HEAD_200 + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nwhole\r\n0\r\n\r\n",
        Reason.BROKEN_ANSWER,
    ),
    "two lengths": (
        HEAD_200 + b"Content-Length: 5\r\nContent-Length: 3\r\n\r\nwhole",
        Reason.BROKEN_ANSWER,
    ),
    "a second head inside a header": (
        answer_with_length(b"whole", b"X-Note: a\rSet-Cookie: b\r\n"),
        Reason.BROKEN_ANSWER,
    ),
    **{
        f"the line {line}": (
            answer_with_length(b"whole", line + b"\r\n"),
            Reason.BROKEN_ANSWER,
        )
        for line in (
            b": x",
            b"bad name: x",
            b"X-Note : x",
            b"X-Note",
            b"(X): x",
            b"X-\xe9: x",
            b"X-Note: a\x01b",
            b"X-Note: a\x7fb",
            b"X-Note: a\0b",
        )
    },
    "no HTTP": (b"SSH-2.0-server\r\n\r\n", Reason.BROKEN_ANSWER),
    "an interim answer only": (
        b"HTTP/1.1 100 Continue\r\n\r\n",
        Reason.BROKEN_ANSWER,
    ),
    "a switch of protocols": (
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        Reason.BROKEN_ANSWER,
    ),
    "too much": (
        answer_with_length(b"x" * (BODY_MAX_BYTES + 1)),
        Reason.ANSWER_TOO_LARGE,
    ),
}

WHOLE_ANSWERS = {
    "a length": WHOLE,
    "a header without a value": answer_with_length(b"whole", b"Connection:\r\n"),
    "chunks and a trailer": HEAD_200
    + b"Transfer-Encoding: chunked\r\nTrailer: X-Late\r\n\r\n"
    + b"5\r\nwhole\r\n0\r\nX-Late: 1\r\n\r\n",
    "an interim answer first": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + WHOLE,
}


class _ResettingServer:
    """Sends one answer and then resets the connection."""

    def __init__(self, answer: bytes) -> None:
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        connection.recv(65536)
        connection.sendall(self._answer)
        # Let the client read the answer before the reset discards it.
        time.sleep(0.2)
        option = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        connection.close()


class BackendAnswerTests(TestCase):
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

    def test_a_broken_answer_is_never_accepted(self):
        for name, (sent, reason) in BROKEN_ANSWERS.items():
            server = self._server(lambda number, sent=sent: (sent, False))
            for execution in Execution:
                failure = self._call(server.address, execution)
                self.assertIsInstance(failure, BackendFailure, name)
                self.assertEqual((reason, True), failure[:2], name)

    def test_complete_answers_are_accepted(self):
        for name, sent in WHOLE_ANSWERS.items():
            server = self._server(lambda number, sent=sent: (sent, True))
            for execution in Execution:
                answer = self._call(server.address, execution)
                self.assertEqual(BackendAnswer(200, [], b"whole"), answer, name)

    def test_a_second_answer_is_not_accepted_for_the_next_request(self):
        # Guards against an answer for the wrong request. The backend server sends two
        # answers to one request. On a reused connection, the client would accept the
        # second one as the answer to the next request.
        stray = WHOLE + answer_with_length(b"stray")
        server = self._server(
            lambda number: (stray, True) if number == 1 else (WHOLE, True)
        )
        for _ in range(3):
            answer = self._call(server.address, Execution.IDEMPOTENT)
            self.assertEqual(b"whole", answer.body)

    def test_a_head_answer_has_a_length_and_no_body(self):
        head = HEAD_200 + b"Content-Length: 5\r\n\r\n"
        server = self._server(lambda number: (head, True))
        for _ in range(2):
            answer = self._call(
                server.address, Execution.IDEMPOTENT, method="HEAD", body=b""
            )
            self.assertEqual((200, b""), (answer.status, answer.body))

    def test_an_answer_to_another_request_is_not_accepted(self):
        # Guards against a caller that gets the answer to another caller's request. A
        # backend server sends an answer twice, and the second copy is still unread in
        # the connection when the next request is sent on this connection. The echoed
        # request id shows that the copy belongs to another request.
        names = HeaderNames(echoes_request_id=True, signature="X-Signature")
        client = BackendServerClient(BODY_MAX_BYTES, names)
        heads = {
            b"X-Request-Id: mine\r\nX-Signature: s\r\n": 200,
            b"X-Request-Id: theirs\r\nX-Signature: s\r\n": Reason.BROKEN_ANSWER,
            b"X-Signature: s\r\n": Reason.BROKEN_ANSWER,
            b"X-Request-Id: mine\r\n": Reason.BROKEN_ANSWER,
        }
        for head, expected in heads.items():
            server = self._server(
                lambda number, head=head: (answer_with_length(b"whole", head), True)
            )
            result = client.call(
                server.address,
                "GET",
                "/",
                [],
                b"",
                Execution.IDEMPOTENT,
                3000,
                request_id="mine",
            )
            self.assertEqual(expected, result[0], head)

    def test_an_unread_second_answer_does_not_fail_the_next_request(self):
        # Guards against a request that fails because of an earlier one. A backend
        # server answers a request twice, and the second answer is still unread in the
        # connection when the next request is sent on this connection. The client
        # rejects the unread answer and sends the request once more, on a new
        # connection. Requests that must not run twice never reuse a connection.
        names = HeaderNames(echoes_request_id=True)
        one = answer_with_length(b"one", b"X-Request-Id: r1\r\n")
        two = answer_with_length(b"two", b"X-Request-Id: r2\r\n")
        error = b"HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\n?"
        long_line = b"HTTP/1.1 200 OK\r\nX-Note: " + b"x" * 200_000
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 10_000
        for stray in (one, error, b"no answer\r\n\r\n", long_line, interim):
            answers = [one, stray, two]
            client = BackendServerClient(BODY_MAX_BYTES, names)
            server = self._server(
                lambda number, answers=answers: (answers[number - 1], True)
            )
            bodies = [
                client.call(
                    server.address,
                    "GET",
                    "/",
                    [],
                    b"",
                    Execution.IDEMPOTENT,
                    3000,
                    request_id=request_id,
                    may_resend=lambda cause: True,
                )[-1]
                for request_id in ("r1", "r2")
            ]
            self.assertEqual([b"one", b"two"], bodies, stray)
            self.assertEqual(3, len(server.requests))

    def test_an_error_without_an_id_is_accepted_on_a_new_connection(self):
        # Guards against the loss of an error about a request that had no id.
        error = b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n"
        server = self._server(lambda number: (error, False))
        client = BackendServerClient(
            BODY_MAX_BYTES, HeaderNames(echoes_request_id=True)
        )
        arguments = ("GET", "/", [], b"", Execution.IDEMPOTENT, 3000)
        self.assertEqual(400, client.call(server.address, *arguments).status)

    def test_an_answer_without_a_length_is_accepted_only_after_a_clean_close(self):
        # By default, an answer without a length is never accepted. A client can be set
        # to accept it after the backend server has closed the connection. Even then,
        # the client must not accept an answer whose connection is reset, since it may
        # be incomplete.
        answer = b"HTTP/1.1 200 OK\r\n\r\nwhole"
        lenient = BackendServerClient(BODY_MAX_BYTES, accepts_unframed=True)
        ended = self._server(lambda number: (answer, False))
        arguments = ("GET", "/", [], b"", Execution.IDEMPOTENT, 3000)
        self.assertEqual(b"whole", lenient.call(ended.address, *arguments).body)
        strict = self.client.call(ended.address, *arguments)
        self.assertEqual(Reason.BROKEN_ANSWER, strict.reason)
        switched = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nhello"
        upgraded = self._server(lambda number: (switched, False))
        refused = lenient.call(upgraded.address, *arguments)
        self.assertEqual((Reason.BROKEN_ANSWER, True), refused[:2])
        head = self._server(lambda number: (HEAD_200 + b"X-Note: 1\r\n", False))
        cut = lenient.call(head.address, *arguments)
        self.assertEqual((Reason.BROKEN_ANSWER, True), cut[:2])
        reset = _ResettingServer(answer)
        self.addCleanup(reset.close)
        broken = lenient.call(reset.address, *arguments)
        self.assertEqual((Reason.BROKEN_ANSWER, True), broken[:2])

    def test_heads_and_trailers_without_end_do_not_last_until_the_deadline(self):
        # Guards against heads and trailers that no limit of libcurl ends.
        for kind in ("status-line", "header", "head", "interim", "trailers"):
            server = EndlessServer(kind)
            self.addCleanup(server.close)
            failure = self._call(server.address, timeout_ms=10_000)
            self.assertEqual((Reason.BROKEN_ANSWER, True), failure[:2], kind)

    def test_a_call_may_accept_less_than_other_answers(self):
        server = self._server(lambda number: (WHOLE, True))
        self.assertEqual(200, self._call(server.address, body_max_bytes=5).status)
        failure = self._call(server.address, body_max_bytes=4)
        self.assertEqual(Reason.ANSWER_TOO_LARGE, failure.reason)

    def test_a_call_that_is_over_soon_takes_no_more_bytes(self):
        # Guards against a call that outlasts its deadline with thousands of tiny chunks
        # that libcurl has already read.
        reader = AnswerReader(BODY_MAX_BYTES, is_over=lambda: True)
        self.assertIsNone(reader.on_body(b"x"))
        self.assertFalse(reader.has_overrun)
        time.sleep(OVERRUN_MAX_S + 0.01)
        self.assertEqual(0, reader.on_body(b"x"))
        self.assertTrue(reader.has_overrun)
