"""Answers whose call is cancelled before the backend server has ended them."""

from concurrent.futures import ThreadPoolExecutor

from balsamspindle.protocol.outcomes import CancelCause
from tests.gate_case import GateCase
from tests.utils import wait_until

# Without a length, the answer ends where its connection ends. The backend server has
# sent a part of it, and keeps the connection open.
UNFRAMED_PART = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfirst half"


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
