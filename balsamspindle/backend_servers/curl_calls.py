"""Single calls with libcurl, and the handles that make them."""

import math
import os
import socket
import time
from collections.abc import Callable

import pycurl

from balsamspindle.backend_servers.answer_memory import Reservation
from balsamspindle.backend_servers.answers import (
    AnswerReader,
    BackendAnswer,
    BackendFailure,
    ResendCause,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.sent_requests import SentRequests
from balsamspindle.protocol.outcomes import Execution, Reason

__all__ = ["Call", "Handle"]

CONNECT_TIMEOUT_MS = 1000
# CURLE_TOO_LARGE, for which pycurl has no name: a line or the number of heads exceeds
# libcurl's limits.
_E_TOO_LARGE = 100
# libcurl's error codes for received bytes that are not an HTTP answer, such as stray
# data in a reused connection.
_NOT_HTTP_CODES = {
    pycurl.E_UNSUPPORTED_PROTOCOL,
    pycurl.E_FTP_WEIRD_SERVER_REPLY,
    _E_TOO_LARGE,
}
# A kept connection that ends this soon after a request was sent counts as closed while
# it was idle. A longer time would take lost answers of short requests for such ends, a
# shorter one would count against the health of a backend server beside a busy node.
STALE_END_MAX_S = 0.1
UNREAD_BYTES = 65536
_FAILURE_REASONS = {pycurl.E_OPERATION_TIMEDOUT: Reason.SILENCE}


class Call:
    """State of a call: its deadline, whether the request was sent, and the answer."""

    def __init__(
        self, request_id, token, deadline_s, reader, reservation, accepts_work, on_sent
    ):
        self.request_id: str = request_id
        self.token: CancelToken = token
        self.deadline_s: float = deadline_s
        self.reader: AnswerReader = reader
        self.reservation: Reservation = reservation
        self.accepts_work: Callable[[], bool] = accepts_work
        self.on_sent: Callable[[int], None] = on_sent
        self.sent = False
        self.too_late = False
        self.is_draining = False
        self.was_cancelled = False
        self._sent_on_kept_connection = False
        self._sent_s = math.inf
        self._unanswered_after_s: float | None = None

    def may_send(
        self, connection: socket.socket | None, is_kept: bool, now_s: float
    ) -> bool:
        """Return whether the request may be sent now, and record the decision.

        Called when the connection is open. The result is False if the call was
        cancelled, its deadline has passed, or its backend server drains. The admission
        has checked all of them, but the connection may have taken a second since then,
        and the process may have been suspended. Without another check here, the request
        could run long after its caller received a timeout, or after a confirmed drain.

        The result is also False if the request was sent before: libcurl sends a request
        again by itself if a kept connection ends without an answer. It does not know
        whether the backend server still takes requests, and repeats the old headers.
        """
        if not self.token.attach(connection):
            return False
        if self.sent:
            self.record_unanswered(now_s)
            return False
        if now_s >= self.deadline_s:
            self.too_late = True
            return False
        if not self.accepts_work():
            self.is_draining = True
            return False
        self.sent, self._sent_s = True, now_s
        self._sent_on_kept_connection = is_kept
        return True

    def record_unanswered(self, now_s: float) -> None:
        """Record that the connection ended before the first byte of an answer."""
        if self._unanswered_after_s is None:
            self._unanswered_after_s = now_s - self._sent_s

    def _timed_out_before_sending(self) -> bool:
        """Return whether the deadline passed before the request was sent.

        Such a timeout is no evidence about the backend server. If the timeout were
        reported as `Reason.UNREACHABLE`, each request that arrives shortly before its
        deadline would count against the backend server's health.
        """
        return not self.sent and time.monotonic() >= self.deadline_s

    def ended(
        self, status: int, method: str, is_first: bool, sent_requests: SentRequests
    ) -> BackendAnswer | BackendFailure:
        """Return the result of a call that libcurl reports as successful.

        An answer that ends with its connection is complete only if the backend server
        closed the connection. libcurl can't tell that end from a cancellation, which
        shuts the socket down.
        """
        if self.was_cancelled and self.reader.ends_with_connection(status, method):
            return self.failure(pycurl.E_OK, "cancelled before the answer ended")
        result = self.reader.answer(status, method, is_first, sent_requests.has_sent)
        if isinstance(result, BackendFailure):
            return result._replace(resend_cause=self._resend_cause(result))
        return result

    def failure(self, code: int, message: str) -> BackendFailure:
        """Return the result of a call that failed with an error of libcurl."""
        if self.token.cancelled:
            reason = Reason.CANCELLED
        elif self.reader.too_large:
            reason = Reason.ANSWER_TOO_LARGE
        elif (
            self.reservation.is_denied
            or self.too_late
            or self._timed_out_before_sending()
        ):
            reason = Reason.DEADLINE
        elif self.is_draining:
            reason = Reason.DRAINING
        elif not self.sent:
            reason = Reason.UNREACHABLE
        elif self.reader.has_overrun:
            reason = Reason.SILENCE
        else:
            reason = _FAILURE_REASONS.get(code, Reason.BROKEN_ANSWER)
        is_foreign = reason is Reason.BROKEN_ANSWER and code in _NOT_HTTP_CODES
        cut_by = self.token.cause if reason is Reason.CANCELLED else None
        headers = () if is_foreign else self.reader.incomplete_headers()
        result = BackendFailure(reason, self.sent, message, is_foreign, cut_by, headers)
        return result._replace(resend_cause=self._resend_cause(result))

    def _resend_cause(self, failure: BackendFailure) -> ResendCause | None:
        if not self._sent_on_kept_connection:
            return None
        if failure.is_foreign:
            return ResendCause.FOREIGN_ANSWER
        is_stale = (
            failure.reason is Reason.BROKEN_ANSWER
            and self._unanswered_after_s is not None
            and self._unanswered_after_s <= STALE_END_MAX_S
        )
        return ResendCause.STALE_CONNECTION if is_stale else None


class Handle:
    """A curl handle with at most one connection; stores that connection's socket.

    Attributes
    ----------
    used_s : float
        When the last call ended.
    was_reused : bool
        Whether the last call used a kept connection.
    has_stray_bytes : bool
        Whether `is_clean` found bytes on a connection that is still open.
    """

    def __init__(self, execution: Execution) -> None:
        self.curl = pycurl.Curl()
        self._connection: socket.socket | None = None
        self.was_reused = False
        self._sent_requests = SentRequests()
        self.used_s = -math.inf
        self.has_stray_bytes = False
        self._is_cut = False
        self._call: Call | None = None
        self._set_options()
        if execution is Execution.NON_IDEMPOTENT:
            # When a reused connection turns out to be closed, it is unknown whether the
            # backend server has run the request. Such a request would fail, so use a
            # new connection for each non-idempotent request.
            self.curl.setopt(pycurl.FRESH_CONNECT, 1)
            self.curl.setopt(pycurl.FORBID_REUSE, 1)

    def perform(self, call: Call, method: str) -> BackendAnswer | BackendFailure:
        """Send the request that the handle's options describe; return the result."""
        self._call = call
        self.curl.setopt(pycurl.WRITEFUNCTION, call.reader.on_body)
        self.curl.setopt(pycurl.HEADERFUNCTION, call.reader.on_header)
        self.was_reused = self._connection is not None
        try:
            self.curl.perform()
        except pycurl.error as error:
            return call.failure(*error.args)
        finally:
            self.used_s = time.monotonic()
            call.was_cancelled = self._is_cut = call.token.detach()
            self._release_bodies()
            self._call = None
        status = self.curl.getinfo(pycurl.RESPONSE_CODE)
        return call.ended(status, method, not self.was_reused, self._sent_requests)

    def is_clean(self) -> bool:
        """Return whether the kept connection, if any, is open and has no unread bytes.

        libcurl may send a request on a connection that has been closed, or read earlier
        bytes as its answer.
        """
        if self._is_cut:
            return False
        if self._connection is None:
            return True
        try:
            has_bytes = bool(self._connection.recv(UNREAD_BYTES, socket.MSG_DONTWAIT))
            # A backend server may say why it closes an idle connection. Such bytes are
            # not stray.
            self.has_stray_bytes = has_bytes and self._is_open()
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _is_open(self) -> bool:
        try:
            return bool(self._connection.recv(1, socket.MSG_DONTWAIT))
        except BlockingIOError:
            return True

    def may_send(self, request_id: str) -> bool:
        """Return whether a request may use the connection; see `SentRequests`."""
        return self._connection is None or self._sent_requests.may_send(request_id)

    def close(self) -> None:
        """Close the handle and its connection."""
        self.curl.close()

    def _release_bodies(self) -> None:
        """Drop the references to both bodies, which an idle handle would keep."""
        # `len` accepts all bytes and keeps none.
        self.curl.setopt(pycurl.WRITEFUNCTION, len)
        self.curl.setopt(pycurl.HEADERFUNCTION, len)
        self.curl.setopt(pycurl.POSTFIELDS, b"")

    def _set_options(self) -> None:
        curl = self.curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        curl.setopt(pycurl.FOLLOWLOCATION, 0)
        curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        curl.setopt(pycurl.HTTP09_ALLOWED, 0)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.MAXCONNECTS, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._on_open)
        curl.setopt(pycurl.CLOSESOCKETFUNCTION, self._on_close)
        curl.setopt(pycurl.PREREQFUNCTION, self._on_connected)

    def _on_open(self, _purpose, address) -> socket.socket | int:
        if self._call.sent:
            # libcurl wants to send the request again; see `Call.may_send`.
            self._call.record_unanswered(time.monotonic())
            return pycurl.SOCKET_BAD
        connection = socket.socket(address.family, address.socktype, address.protocol)
        if not self._call.token.attach(connection):
            connection.close()
            return pycurl.SOCKET_BAD
        self.was_reused = False
        self._sent_requests = SentRequests()
        self._connection = connection
        return connection

    def _on_close(self, descriptor: int) -> int:
        # libcurl uses a duplicate of the descriptor in `_connection`. The backend
        # server sees the end of the connection only after both descriptors are closed.
        os.close(descriptor)
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        return 0

    def _on_connected(self, *_) -> int:
        now_s = time.monotonic()
        if self._call.may_send(self._connection, self.was_reused, now_s):
            self._call.on_sent(len(self._sent_requests))
            self._sent_requests.record(self._call.request_id)
            return pycurl.PREREQFUNC_OK
        return pycurl.PREREQFUNC_ABORT
