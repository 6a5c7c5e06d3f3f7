"""One HTTP call to a backend server, whole or not at all."""

import threading
from collections.abc import Callable
from typing import NamedTuple

import pycurl

from balsamspindle.requests.outcomes import Execution, Reason

__all__ = ["BackendAnswer", "BackendFailure", "BackendServerClient"]

CONNECT_TIMEOUT_MS = 1000

# Headers that belong to one connection (RFC 9110, 7.6.1), and those that this
# client writes itself.
_STOPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_BODILESS_STATUSES = frozenset({204, 304})


class BackendAnswer(NamedTuple):
    """A whole answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class BackendFailure(NamedTuple):
    """No whole answer.

    Attributes
    ----------
    sent : bool
        False only when nothing was handed to a connected socket.
    """

    reason: Reason
    sent: bool
    message: str


class BackendServerClient:
    """Calls backend servers; each thread has curl handles of its own."""

    def __init__(self, answer_body_max_bytes: int) -> None:
        self._answer_body_max_bytes = answer_body_max_bytes
        self._handles = threading.local()

    def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        execution: Execution,
        timeout_ms: float,
        should_abort: Callable[[], bool] = lambda: False,
    ) -> BackendAnswer | BackendFailure:
        """Make one call and wait for its end.

        Parameters
        ----------
        address : str
            IP:port.
        timeout_ms : float
            For the whole call.
        should_abort : callable, default=never
            Asked now and then; True ends the call.
        """
        exchange = _Exchange(self._answer_body_max_bytes, should_abort)
        handle = self._handle(execution)
        handle.setopt(pycurl.URL, f"http://{address}{target}")
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
        handle.setopt(
            pycurl.HTTPHEADER, [*_header_lines(headers), "Expect:", "Accept-Encoding:"]
        )
        _set_method(handle, method, body)
        exchange.attach(handle)
        try:
            handle.perform()
        except pycurl.error as error:
            code, message = error.args
            return exchange.failure(code, message)
        return exchange.answer(handle, method)

    def _handle(self, execution: Execution) -> pycurl.Curl:
        name = execution.value
        handle = getattr(self._handles, name, None)
        if handle is None:
            handle = _new_handle()
            if execution is Execution.NON_IDEMPOTENT:
                # When a reused connection turns out dead, libcurl sends the
                # request again on a fresh one by itself: the backend server
                # would run it twice. It does so for reused connections only.
                handle.setopt(pycurl.FRESH_CONNECT, 1)
                handle.setopt(pycurl.FORBID_REUSE, 1)
            setattr(self._handles, name, handle)
        return handle


def _new_handle() -> pycurl.Curl:
    handle = pycurl.Curl()
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.FOLLOWLOCATION, 0)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.HTTP09_ALLOWED, 0)
    handle.setopt(pycurl.PATH_AS_IS, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.MAXCONNECTS, 16)
    return handle


def _set_method(handle: pycurl.Curl, method: str, body: bytes) -> None:
    handle.setopt(pycurl.NOBODY, 0)
    if body or method in ("POST", "PUT", "PATCH"):
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDSIZE, len(body))
        handle.setopt(pycurl.COPYPOSTFIELDS, body)
    else:
        handle.setopt(pycurl.HTTPGET, 1)
    if method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, method)


def _header_lines(headers: list[tuple[str, str]]) -> list[bytes]:
    return [
        f"{name}: {value}".encode("latin-1") if value else f"{name};".encode("latin-1")
        for name, value in headers
        if name.lower() not in _STOPPED_HEADERS
    ]


class _Exchange:
    """What one call sent and received."""

    def __init__(self, body_max_bytes, should_abort):
        self._body_max_bytes = body_max_bytes
        self._should_abort = should_abort
        self._chunks: list[bytes] = []
        self._length = 0
        self._headers: list[tuple[str, str]] = []
        self._too_large = False

    def attach(self, handle: pycurl.Curl) -> None:
        handle.setopt(pycurl.WRITEFUNCTION, self._on_body)
        handle.setopt(pycurl.HEADERFUNCTION, self._on_header)
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def _on_header(self, line: bytes) -> None:
        if line.startswith(b"HTTP/"):
            # A new head: an interim answer (1xx) ends here.
            self._headers = []
            return
        name, separator, value = line.decode("latin-1").partition(":")
        if separator:
            self._headers.append((name.strip(), value.strip()))

    def _on_body(self, chunk: bytes) -> int | None:
        self._length += len(chunk)
        if self._length > self._body_max_bytes:
            self._too_large = True
            return 0
        self._chunks.append(chunk)
        return None

    def _on_progress(self, *_) -> int:
        return 1 if self._should_abort() else 0

    def failure(self, code: int, message: str) -> BackendFailure:
        if code == pycurl.E_COULDNT_CONNECT:
            return BackendFailure(Reason.UNREACHABLE, False, message)
        if self._too_large:
            return BackendFailure(Reason.ANSWER_TOO_LARGE, True, message)
        reason = _FAILURE_REASONS.get(code, Reason.BROKEN_ANSWER)
        return BackendFailure(reason, True, message)

    def answer(self, handle, method) -> BackendAnswer | BackendFailure:
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        names = {name.lower() for name, _ in self._headers}
        bounded = bool(names & {"content-length", "transfer-encoding"})
        if not (bounded or method == "HEAD" or status in _BODILESS_STATUSES):
            # Without a length the end of the connection ends the body, and a
            # server that dies half way looks just like one that is done.
            return BackendFailure(
                Reason.BROKEN_ANSWER, True, "the answer has no length"
            )
        headers = [
            (name, value)
            for name, value in self._headers
            if name.lower() not in _STOPPED_HEADERS
        ]
        return BackendAnswer(status, headers, b"".join(self._chunks))


_FAILURE_REASONS = {
    pycurl.E_OPERATION_TIMEDOUT: Reason.SILENCE,
    pycurl.E_ABORTED_BY_CALLBACK: Reason.CANCELLED,
}
