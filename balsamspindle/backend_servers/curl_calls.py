"""Single calls with libcurl, and a pool of the handles that make them."""

import math
import os
import socket
import threading
import time
from collections import OrderedDict

import pycurl

from balsamspindle.backend_servers.answer_memory import Reservation
from balsamspindle.backend_servers.answers import (
    AnswerReader,
    BackendAnswer,
    BackendFailure,
    ResendCause,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.idle_limits import IdleLimits
from balsamspindle.backend_servers.sent_requests import SentRequests
from balsamspindle.protocol.outcomes import Execution, Reason

__all__ = ["Call", "Handle", "HandlePool"]

CONNECT_TIMEOUT_MS = 1000
IDLE_HANDLES_MAX = 512
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
_FAILURE_REASONS = {pycurl.E_OPERATION_TIMEDOUT: Reason.SILENCE}


class Call:
    """State of a call: its deadline, whether the request was sent, and the answer."""

    def __init__(self, request_id, token, deadline_s, reader, reservation):
        self.request_id: str = request_id
        self.token: CancelToken = token
        self.deadline_s: float = deadline_s
        self.reader: AnswerReader = reader
        self.reservation: Reservation = reservation
        self.sent = False
        self.too_late = False
        self.was_cancelled = False
        self._sent_on_kept_connection = False
        self._sent_s = math.inf
        self._unanswered_after_s: float | None = None

    def may_send(
        self, connection: socket.socket | None, is_kept: bool, now_s: float
    ) -> bool:
        """Return whether the request may be sent now, and record the decision.

        Called when the connection is open. The result is False if the call was
        cancelled or its deadline has passed. The admission has checked the deadline
        already, but the process may have been suspended since then. Without another
        check here, the request could run long after its caller received a timeout.

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
        self, status: int, method: str, is_first: bool
    ) -> BackendAnswer | BackendFailure:
        """Return the result of a call that libcurl reports as successful.

        An answer that ends with its connection is complete only if the backend server
        closed the connection. libcurl can't tell that end from a cancellation, which
        shuts the socket down.
        """
        if self.was_cancelled and self.reader.ends_with_connection(status, method):
            return self.failure(pycurl.E_OK, "cancelled before the answer ended")
        result = self.reader.answer(status, method, is_first)
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
    """

    def __init__(self, execution: Execution) -> None:
        self.curl = pycurl.Curl()
        self._connection: socket.socket | None = None
        self._was_reused = False
        self._sent_requests = SentRequests()
        self.used_s = -math.inf
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
        self._was_reused = self._connection is not None
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
        return call.ended(status, method, not self._was_reused)

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
            self._connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

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
        self._was_reused = False
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
        if self._call.may_send(self._connection, self._was_reused, now_s):
            self._sent_requests.record(self._call.request_id)
            return pycurl.PREREQFUNC_OK
        return pycurl.PREREQFUNC_ABORT


class HandlePool:
    """Idle handles, shared by all threads.

    The pool's lock is also the memory barrier when a handle passes from one thread to
    another. The gate's slots limit the handles in use, and thereby the connections
    to each backend server. If each thread cached its own handles instead, there would
    be a connection for each pair of thread and backend server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: OrderedDict[str, list[Handle]] = OrderedDict()
        self._count = 0
        self._idle_limits = IdleLimits()

    def acquire(
        self, address: str, execution: Execution, request_id: str, now_s: float
    ) -> Handle:
        """Return an idle handle that may send a request to an address, or a new one."""
        key = _pool_key(address, execution)
        with self._lock:
            earliest_s = now_s - self._idle_limits.idle_max_s(key, now_s)
        while (handle := self._pop(key, request_id)) is not None:
            if handle.used_s >= earliest_s and handle.is_clean():
                return handle
            handle.close()
        return Handle(execution)

    def record_stale(self, address: str, idle_s: float, now_s: float) -> None:
        """Record that a connection was closed after it had been idle for some time."""
        with self._lock:
            self._idle_limits.record_stale(address, idle_s, now_s)

    def release(self, address: str, execution: Execution, handle: Handle) -> None:
        """Return a handle to the pool; close one if there are too many."""
        if not handle.may_send(""):
            handle.close()
            return
        key = _pool_key(address, execution)
        with self._lock:
            self._idle.setdefault(key, []).append(handle)
            self._idle.move_to_end(key)
            self._count += 1
            surplus = self._pop_surplus()
        if surplus is not None:
            surplus.close()

    def _pop(self, key: str, request_id: str) -> Handle | None:
        """Remove and return a handle that may send a request; None without one."""
        with self._lock:
            idle = self._idle.get(key, [])
            for index in reversed(range(len(idle))):
                if idle[index].may_send(request_id):
                    self._count -= 1
                    return idle.pop(index)
            return None

    def _pop_surplus(self) -> Handle | None:
        """Remove and return a handle of the least recently used address.

        Return None if the pool contains at most `IDLE_HANDLES_MAX` handles.
        """
        if self._count <= IDLE_HANDLES_MAX:
            return None
        while True:
            key, handles = next(iter(self._idle.items()))
            if handles:
                self._count -= 1
                return handles.pop(0)
            del self._idle[key]


def _pool_key(address: str, execution: Execution) -> str:
    """Return the pool key of a handle.

    A handle for non-idempotent requests closes its connection after each call, so it
    can be used for any address. All such handles have the same key.
    """
    return address if execution is Execution.IDEMPOTENT else ""
