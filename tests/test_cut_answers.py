"""Answers whose call is cancelled before the backend server has ended them."""

from concurrent.futures import ThreadPoolExecutor

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from tests.gate_case import GateCase
from tests.raw_server import answer_with_length
from tests.utils import wait_until

# Without a length, the answer ends where its connection ends. The backend server has
# sent a part of it, and keeps the connection open.
HEAD_200 = b"HTTP/1.1 200 OK\r\n"
UNFRAMED_PART = HEAD_200 + b"Connection: close\r\n\r\nfirst half"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNKED = HEAD_200 + b"Transfer-Encoding: chunked\r\n\r\n"
WHOLE = answer_with_length(b"whole")


class CutAnswerTests(GateCase):
    accepts_unframed = True

    def _cut(self, sequence=1, part=UNFRAMED_PART, cause=CancelCause.NODE_LEAVING):
        """Return the reply to an attempt that is cancelled after a part of its answer.

        Its backend server still works on the rest.
        """
        self.server.answer = lambda number: (part, True)
        dispatch = self._dispatch(sequence, remaining_ms=60_000.0)
        with ThreadPoolExecutor(1) as executor:
            running = executor.submit(self._handle, dispatch)
            wait_until(lambda: self.server.sent_count == sequence, "a part is sent")
            self.gate.cancel(dispatch.attempt_id, cause=cause)
            return running.result()

    def test_a_call_that_ends_when_it_is_cancelled_is_logged_with_the_cause(self):
        # Guards against a log in which an answer that this node cut off looks like one
        # that its backend server ended.
        self._cut()
        (ended,) = self._logged("attempt_ended")
        self.assertEqual("node_leaving", ended["cut_by"])

    def test_a_part_of_an_answer_is_no_answer_whatever_cancelled_its_call(self):
        # Guards against the first half of an answer without a length that its caller
        # gets as a complete one, because this node closed the connection itself.
        for sequence, cause in enumerate(CancelCause, 1):
            reply = self._cut(sequence, cause=cause)
            ended = (reply.outcome, reply.reason, reply.body)
            self.assertEqual((Outcome.UNKNOWN, Reason.CANCELLED, b""), ended, cause)
        cuts = self.log.metrics.report().cuts
        self.assertEqual(dict.fromkeys(CancelCause, 1), cuts)

    def test_no_part_of_an_answer_is_an_answer_however_its_end_is_marked(self):
        # Guards against a cut answer that counts as complete by its framing, or because
        # libcurl ends a head where the connection ends.
        parts = {
            "part of a head": HEAD_200 + b"Content-Length: 5\r\n",
            "a status line": HEAD_200,
            "a head after an interim one": INTERIM + HEAD_200 + b"X-Note: 1\r\n",
            "an interim head": INTERIM,
            "no body yet": HEAD_200 + b"\r\n",
            "part of a length": HEAD_200 + b"Content-Length: 5\r\n\r\nhalf",
            "chunks without an end": CHUNKED + b"4\r\nhalf\r\n",
            "half of the trailers": CHUNKED + b"4\r\nhalf\r\n0\r\nX-Late: 1\r\n",
            "an error": b"HTTP/1.1 500 Broken\r\n\r\nhalf",
            "no content": b"HTTP/1.1 204 No Content\r\nX-Note: 1\r\n",
            "HTTP/1.0": b"HTTP/1.0 200 OK\r\n\r\nhalf",
        }
        for sequence, (name, part) in enumerate(parts.items(), 1):
            reply = self._cut(sequence, part)
            ended = (reply.outcome, reply.reason, reply.body)
            self.assertEqual((Outcome.UNKNOWN, Reason.CANCELLED, b""), ended, name)

    def test_a_complete_answer_counts_although_its_call_is_cancelled(self):
        # Guards against the loss of an answer that had arrived completely.
        complete = {
            "a length": (WHOLE, True),
            "chunks": (CHUNKED + b"5\r\nwhole\r\n0\r\n\r\n", True),
            "no length": (HEAD_200 + b"\r\nwhole", False),
        }
        client = BackendServerClient(1000, accepts_unframed=True)
        for name, answer in complete.items():
            self.server.answer = lambda number, answer=answer: answer
            for token in (_CancelledAtTheEnd(answer[1]), _CancelledAtTheEnd(False)):
                arguments = ("GET", "/", [], b"", Execution.IDEMPOTENT, 3000, token)
                result = client.call(self.server.address, *arguments)
                self.assertEqual((200, b"whole"), (result[0], result[2]), name)


class _CancelledAtTheEnd(CancelToken):
    """Is cancelled when the call has ended, before or after its socket is removed."""

    def __init__(self, is_before: bool) -> None:
        super().__init__()
        self._is_before = is_before

    def detach(self) -> bool:
        """Remove the socket; see `CancelToken`."""
        if self._is_before:
            self.cancel(CancelCause.NODE_LEAVING)
        was_cancelled = super().detach()
        self.cancel(CancelCause.NODE_LEAVING)
        return was_cancelled
