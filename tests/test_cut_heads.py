"""Answers that are cut within their heads, alone or before another answer."""

import time

import pytest
from testtools import TestCase

from balsamspindle.backend_servers.answers import AnswerReader
from balsamspindle.backend_servers.client import (
    BackendAnswer,
    BackendFailure,
    BackendServerClient,
)
from balsamspindle.backend_servers.evidence import ProbeResult
from balsamspindle.backend_servers.probes import Prober
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution, Reason
from tests.raw_server import RawServer, answer_with_length

REQUEST_ID = "r1"
OWN = b"X-Request-Id: r1\r\nX-Signature: s\r\n"
HEAD_200 = b"HTTP/1.1 200 OK\r\n" + OWN
HEAD_500 = b"HTTP/1.1 500 Broken\r\n" + OWN
LENGTH = b"Content-Length: 0\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
CHUNKED = HEAD_200 + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
WHOLE = answer_with_length(b"whole", OWN)
FAILED = HEAD_500 + b"Content-Length: 6\r\n\r\nfailed"

# Heads, and ends of chunked bodies, after which the connection is closed.
CUT = {
    "a status line without a reason": b"HTTP/1.1 200",
    "a status line without its end": b"HTTP/1.1 200 OK",
    "part of a length's digits": HEAD_200 + b"Content-Length: 1",
    "part of a length's digits and LF": HEAD_200 + b"Content-Length: 1\n",
    "part of a length's digits, LF and a byte": HEAD_200 + b"Content-Length: 1\nx",
    "a length without CRLF": HEAD_200 + b"Content-Length: 0",
    "a length and CR": HEAD_200 + b"Content-Length: 0\r",
    "a length, CRLF and CR": HEAD_200 + b"Content-Length: 0\r\n\r",
    "a body after CR": HEAD_200 + b"Content-Length: 5\r\n\rwhole",
    "a coding, no empty line": HEAD_200 + b"Transfer-Encoding: chunked\r\n",
    "chunks without an empty line": CHUNKED.replace(b"\r\n\r\n", b"\r\n")
    + b"0\r\n\r\n",
    "line ends of one byte": WHOLE.replace(b"\r\n", b"\n")[:-6],
    "an open continuation line": HEAD_200 + b"Content-Length: 0\r\n ",
    "an empty continuation line": HEAD_200 + b"Content-Length: 0\r\n \r\n",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + OWN,
    "204": b"HTTP/1.1 204 No Content\r\n" + OWN,
    "304": b"HTTP/1.1 304 Not Modified\r\n" + OWN,
    "an interim head and a part of a status": INTERIM + b"HTTP/1.1 20",
    "an interim head and a status line": INTERIM + b"HTTP/1.1 200 OK\r\n",
    "an interim head and a length": INTERIM + HEAD_200 + b"Content-Length: 0\r\n",
}
CUT_ENDS_OF_CHUNKS = {
    "a last chunk without CRLF": CHUNKED + b"0",
    "a last chunk and CR": CHUNKED + b"0\r",
    "a last chunk": CHUNKED + b"0\r\n",
    "a last chunk, CRLF and CR": CHUNKED + b"0\r\n\r",
    "part of a trailer": CHUNKED + b"0\r\nX-La",
    "a trailer": CHUNKED + b"0\r\nX-Late: 1\r\n",
    "a trailer and CR": CHUNKED + b"0\r\nX-Late: 1\r\n\r",
}
# Parts of heads that another answer follows on the same connection.
FOLLOWED = {
    "part of a version": b"HTTP/1.",
    "a version": b"HTTP/1.1 ",
    "a status": b"HTTP/1.1 200",
    "a status and a space": b"HTTP/1.1 200 ",
    "part of a reason": b"HTTP/1.1 200 O",
    "a status line": b"HTTP/1.1 200 OK\r\n",
    "part of a name": HEAD_200 + b"X-No",
    "a name": HEAD_200 + b"X-Note:",
    "part of a value": b"HTTP/1.1 200 OK\r\nX-Note: a",
    "part of a value after the ids": HEAD_200 + b"X-Note: a",
    "part of a length": HEAD_200 + b"Content-Length: 1",
    "a length": HEAD_200 + b"Content-Length: 6\r\n",
    "a continuation line": HEAD_200 + b"X-Note: a\r\n b",
    "an interim status line": b"HTTP/1.1 100 Continue\r\n",
    "part of an interim status line": b"HTTP/1.1 103 Ea",
    "part of an interim head": b"HTTP/1.1 103 Early Hints\r\nLink: x",
    "a head after an interim one": INTERIM + HEAD_200 + b"X-Note: a",
}


def answer_to(part: bytes, method: str = "GET", is_kept: bool = False, keeps=False):
    """Return the result of a call that is answered with `part`.

    Parameters
    ----------
    is_kept : bool
        Whether an earlier call has used the connection.
    keeps : bool
        Whether the backend server leaves the connection open.
    """
    earlier = answer_with_length(b"" if method == "HEAD" else b"earlier", OWN)
    server = RawServer(
        lambda number: (earlier, True) if is_kept and number == 1 else (part, keeps)
    )
    names = HeaderNames(echoes_request_id=True, signature="X-Signature")
    client = BackendServerClient(1000, names, accepts_unframed=True)
    try:
        for _ in range(1 + is_kept):
            result = client.call(
                server.address,
                method,
                "/",
                [],
                b"",
                Execution.IDEMPOTENT,
                3000,
                request_id=REQUEST_ID,
            )
        return result
    finally:
        server.close()


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_head_that_ends_with_its_connection_is_no_answer(method, is_kept):
    """Guards against an empty or short success from a head that its server cut."""
    parts = CUT if method == "HEAD" else CUT | CUT_ENDS_OF_CHUNKS
    for name, part in parts.items():
        result = answer_to(part, method, is_kept)
        assert isinstance(result, BackendFailure), name
        assert result[:2] == (Reason.BROKEN_ANSWER, True), name
        assert result.headers == () or name in CUT_ENDS_OF_CHUNKS, name


@pytest.mark.parametrize("is_kept", [False, True])
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_a_cut_head_and_the_answer_after_it_are_not_one_answer(method, is_kept):
    """Guards against the status of one answer with the body of another."""
    followers = {"a failure": FAILED, "a success": WHOLE}
    for kind, follower in followers.items():
        for name, part in FOLLOWED.items():
            result = answer_to(part + follower, method, is_kept)
            assert isinstance(result, BackendFailure), (kind, name)
            assert result[:2] == (Reason.BROKEN_ANSWER, True), (kind, name)
            assert result.headers == (), (kind, name)
            # The connection may deliver more bytes of either answer.
            assert result.is_foreign, (kind, name)


def test_nothing_of_an_answer_after_a_cut_end_of_chunks_is_passed_on():
    """Guards against another answer's head that is read as trailers."""
    whole = answer_to(CHUNKED + b"0\r\n\r\n")
    for name, part in CUT_ENDS_OF_CHUNKS.items():
        for follower in (FAILED, WHOLE):
            result = answer_to(part + follower)
            if isinstance(result, BackendAnswer):
                # The last chunk marks the body's end, whatever follows on its line.
                assert (part.endswith((b"0", b"0\r")), result) == (True, whole), name


def test_headers_that_mention_http_are_no_second_head():
    """Guards against the loss of answers with a version or a status in a header."""
    for value in (b"HTTP/1.1 proxy", b"1.1 cache", b"HTTP/1.1", b"200 OK", b"HTTP/2"):
        part = answer_with_length(b"whole", OWN + b"Via: %b\r\n" % value)
        result = answer_to(part)
        assert isinstance(result, BackendAnswer), value
        assert (result.status, result.body) == (200, b"whole"), value


def test_a_status_line_within_a_head_begins_no_new_head():
    """Guards against a client library that passes such a line on as a header."""
    for lines in (
        (b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 500 Broken\r\n", LENGTH, b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n", LENGTH, b"\r\n", b"HTTP/1.1 500 Broken\r\n"),
    ):
        reader = AnswerReader(1000)
        for line in lines:
            reader.on_header(line)
            if line == b"\r\n":
                reader.on_header(b"Content-Length: 0\r\n")
        assert reader.answer(200, "GET").is_foreign
    reader = AnswerReader(1000)
    interim = (b"HTTP/1.1 100 Continue\r\n", b"\r\n")
    for line in (*interim, *interim, b"HTTP/1.1 200 OK\r\n", LENGTH, b"\r\n"):
        reader.on_header(line)
    assert reader.answer(200, "GET").status == 200


class CutStatusCheckTests(TestCase):
    def test_a_status_check_whose_head_is_cut_has_failed(self):
        # Guards against a backend server that counts as healthy because it closes the
        # connection after its status line.
        results = []
        servers = LocalBackendServers()
        for number, part in enumerate((*CUT.values(), CUT["204"])):
            server = RawServer(lambda number, part=part: (part, False))
            self.addCleanup(server.close)
            announcement = Announcement("crew/contracts", server.address, 6, "1")
            servers.announce(f"i-{number}", announcement, time.monotonic())
            prober = Prober(
                servers,
                self,
                BackendServerClient(1000, accepts_unframed=True),
                lambda service: "/health",
            )
            self.record_probe_result = lambda _, result, now_s: results.append(result)
            prober._probe(f"i-{number}")
        self.assertEqual([ProbeResult.FAILED] * (len(CUT) + 1), results)
