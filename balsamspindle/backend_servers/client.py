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
    end_to_end_headers,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.curl_calls import Call, Handle, HandlePool
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Execution

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
    """

    def __init__(
        self,
        answer_body_max_bytes: int,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        accepts_unframed: bool = False,
        memory: AnswerMemory | None = None,
    ) -> None:
        self._answer_body_max_bytes = answer_body_max_bytes
        self._names = names
        self._accepts_unframed = accepts_unframed
        self._memory = memory or AnswerMemory()
        self._pool = HandlePool()

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
        may_resend: Callable[[], bool] = lambda: True,
        body_max_bytes: int | None = None,
        on_resend: Callable[[], None] = lambda: None,
    ) -> BackendAnswer | BackendFailure:
        """Send a request to a backend server and wait for the result.

        If a reused connection returns bytes that do not belong to this request, an
        idempotent request is sent again.

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
        may_resend : callable, default=always
            Called before the request is sent again. If it returns False, the call fails
            instead.
        body_max_bytes : int, optional
            Maximum size of the answer's body, if it is less than that of all answers.
        on_resend : callable
            Called before the request is sent again, by this client or by libcurl.
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
            on_resend,
        )
        handle = self._pool.acquire(address, execution)
        result = self._perform(handle, request, timeout_ms, token)
        if _is_foreign(result):
            # Close the connection. Otherwise the next request on this connection would
            # receive the answer to this request.
            handle.close()
            if execution is not Execution.IDEMPOTENT or not handle.was_reused():
                return result
            if not may_resend():
                return result
            on_resend()
            # The reused connection contained a second copy of an earlier answer, or
            # other stray bytes. This request must not fail because of these bytes. Send
            # it again on a new connection. The backend server may be running it already
            # and run it twice, but the request is idempotent.
            handle = Handle(execution)
            remaining_ms = (deadline_s - time.monotonic()) * 1000
            result = self._perform(handle, request, remaining_ms, token)
        self._pool.release(address, execution, handle)
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
        call = Call(token, deadline_s, reader, reservation, request.on_resend)
        try:
            return handle.perform(call, request.method)
        finally:
            reservation.release()


class _Request(NamedTuple):
    """A request to a backend server."""

    address: str
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    body_max_bytes: int
    on_resend: Callable[[], None]


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
