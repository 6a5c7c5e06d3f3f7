"""HTTP client for backend servers; an incomplete answer counts as a failure."""

import time
from collections.abc import Callable
from typing import NamedTuple

import pycurl

from balsamspindle.backend_servers.answer_memory import AnswerMemory, Reservation
from balsamspindle.backend_servers.answers import (
    AnswerReader,
    BackendAnswer,
    BackendFailure,
    ResendCause,
    end_to_end_headers,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.curl_calls import Call, Handle
from balsamspindle.backend_servers.handle_pool import HandlePool, StrayAnswer
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Execution, Reason

__all__ = ["BackendAnswer", "BackendFailure", "BackendServerClient"]


# Headers that libcurl adds if the caller did not send them. For example, libcurl
# declares a body without a content type as a web form. A name without a value in the
# list of headers prevents libcurl from adding the header of this name.
_SUPPRESSED_HEADERS = (
    "Accept:",
    "Accept-Encoding:",
    "Content-Type:",
    "Expect:",
    "User-Agent:",
)

_BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})


class BackendServerClient:
    """Calls backend servers; thread-safe.

    Parameters
    ----------
    accepts_unframed : bool
        See `AnswerReader`.
    memory : AnswerMemory, default=one with the default bound
        Bounds the memory of all answers that are received at the same time.
    on_stray : callable, default=nothing
        Called with each stray answer on a kept connection.
    """

    def __init__(
        self,
        answer_body_max_bytes: int,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        accepts_unframed: bool = False,
        memory: AnswerMemory | None = None,
        on_stray: Callable[[StrayAnswer], None] = lambda stray: None,
    ) -> None:
        self._answer_body_max_bytes = answer_body_max_bytes
        self._names = names
        self._accepts_unframed = accepts_unframed
        self._memory = memory or AnswerMemory()
        self._pool = HandlePool(on_stray)

    def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        execution: Execution,
        timeout_ms: float,
        token: CancelToken | None = None,
        request_id: str = "",
        may_resend: Callable[[ResendCause], bool] = lambda cause: False,
        body_max_bytes: int | None = None,
        accepts_work: Callable[[], bool] = lambda: True,
        on_sent: Callable[[int], None] = lambda earlier_count: None,
    ) -> BackendAnswer | BackendFailure:
        """Send a request to a backend server and wait for the result.

        An idempotent request may be sent twice, if its failure says nothing about the
        backend server; see `ResendCause`.

        Parameters
        ----------
        address : str
            IP:port.
        timeout_ms : float
            Time limit for the whole call.
        token : CancelToken, default=None
            Token by which another thread can cancel the call.
        request_id : str, default=""
            Id that the answer must contain if backend servers echo request ids.
        may_resend : callable, default=never
            Called before the request is sent again. If it returns False, the call fails
            instead.
        body_max_bytes : int, optional
            Maximum size of the answer's body, if it is less than that of all answers.
        accepts_work : callable, default=always
            Returns whether the backend server still accepts work. Called just before
            the request is sent; if it returns False, the call fails instead.
        on_sent : callable, default=nothing
            Called each time the request is sent, with the number of requests that were
            sent on the same connection before.
        """
        deadline_s = time.monotonic() + timeout_ms / 1000
        token = token or CancelToken()
        request = _Request(
            address,
            method,
            target,
            headers,
            body,
            request_id,
            body_max_bytes or self._answer_body_max_bytes,
            accepts_work,
            on_sent,
        )
        now_s = time.monotonic()
        handle = self._pool.acquire(address, execution, self._echoed_id(request), now_s)
        idle_since_s = handle.used_s
        result = self._perform(handle, request, timeout_ms, token)
        cause = _resend_cause(result)
        now_s = time.monotonic()
        if cause is ResendCause.STALE_CONNECTION:
            self._pool.record_stale(address, now_s - idle_since_s, now_s)
        elif cause is ResendCause.FOREIGN_ANSWER:
            self._pool.record_stray(address, request_id, result.message, now_s)
        elif handle.was_reused:
            self._pool.record_clean(address, now_s)
        if cause is None and not _is_foreign(result):
            self._pool.release(address, execution, handle)
            return result
        # Close the connection. Otherwise the next request on this connection would
        # receive the answer to this request.
        handle.close()
        if cause is None or execution is not Execution.IDEMPOTENT:
            return result
        if not may_resend(cause):
            return result
        return self._resend(request, execution, deadline_s, token, result)

    def _resend(
        self,
        request: "_Request",
        execution: Execution,
        deadline_s: float,
        token: CancelToken,
        failure: BackendFailure,
    ) -> BackendAnswer | BackendFailure:
        """Send a request again, on a new connection; return the result.

        The backend server may have run the request before, so a result that would say
        that the request was not sent is replaced by the earlier failure. If the backend
        server refuses the new connection, that failure is its own.
        """
        handle = Handle(execution)
        remaining_ms = (deadline_s - time.monotonic()) * 1000
        result = self._perform(handle, request, remaining_ms, token)
        if _is_foreign(result):
            handle.close()
        else:
            self._pool.release(request.address, execution, handle)
        match result:
            case BackendFailure(Reason.CANCELLED, sent=False):
                return result._replace(sent=True)
            case BackendFailure(Reason.UNREACHABLE, sent=False):
                return failure._replace(resend_cause=None)
            case BackendFailure(sent=False):
                return failure
        return result

    def _perform(
        self, handle: Handle, request: "_Request", timeout_ms: float, token
    ) -> BackendAnswer | BackendFailure:
        """Make one call with a handle, on the handle's open connection or a new one."""
        deadline_s = time.monotonic() + timeout_ms / 1000
        reservation = Reservation(self._memory, deadline_s, lambda: token.cancelled)
        reader = AnswerReader(
            request.body_max_bytes,
            request.request_id,
            self._names,
            self._accepts_unframed,
            reservation.make,
            lambda: token.cancelled or time.monotonic() >= deadline_s,
        )
        remaining_ms = max(1, int(timeout_ms))
        handle.curl.setopt(pycurl.URL, f"http://{request.address}/")
        # Set the target separately: within the URL, an `@` in the target would change
        # the host.
        handle.curl.setopt(pycurl.REQUEST_TARGET, request.target.encode("latin-1"))
        handle.curl.setopt(pycurl.TIMEOUT_MS, remaining_ms)
        handle.curl.setopt(
            pycurl.HTTPHEADER,
            [
                *_header_lines(request.headers, self._names),
                # Send the remaining time, so that the backend server can stop working
                # once the caller has stopped waiting.
                f"{self._names.timeout_ms}: {remaining_ms}",
                *_SUPPRESSED_HEADERS,
            ],
        )
        _set_method(handle.curl, request.method, request.body)
        call = Call(
            self._echoed_id(request),
            token,
            deadline_s,
            reader,
            reservation,
            request.accepts_work,
            request.on_sent,
        )
        try:
            return handle.perform(call, request.method)
        finally:
            reservation.release()

    def _echoed_id(self, request: "_Request") -> str:
        """Return the id that the answer repeats; empty if it repeats none."""
        return request.request_id if self._names.echoes_request_id else ""


class _Request(NamedTuple):
    """A request to a backend server."""

    address: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    body_max_bytes: int
    accepts_work: Callable[[], bool]
    on_sent: Callable[[int], None]


def _resend_cause(result: BackendAnswer | BackendFailure) -> ResendCause | None:
    return result.resend_cause if isinstance(result, BackendFailure) else None


def _is_foreign(result: BackendAnswer | BackendFailure) -> bool:
    return isinstance(result, BackendFailure) and result.is_foreign


def _set_method(curl: pycurl.Curl, method: str, body: bytes) -> None:
    curl.setopt(pycurl.NOBODY, 0)
    if body or method in _BODY_METHODS:
        curl.setopt(pycurl.POST, 1)
        # Not COPYPOSTFIELDS: pycurl rejects bodies with a NUL byte there.
        curl.setopt(pycurl.POSTFIELDS, body)
    else:
        curl.setopt(pycurl.HTTPGET, 1)
    if method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, method)


def _header_lines(headers: list[tuple[str, str]], names: HeaderNames) -> list[bytes]:
    return [
        f"{name}: {value}".encode("latin-1") if value else f"{name};".encode("latin-1")
        for name, value in end_to_end_headers(headers, names)
    ]
