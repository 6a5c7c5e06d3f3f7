"""A backend server's answer as its bytes come in: whole or refused."""

from typing import NamedTuple

from balsamspindle.requests.heads import (
    HOP_BY_HOP_HEADERS,
    OUTCOME_HEADER,
    named_by_connection,
)
from balsamspindle.requests.outcomes import Reason

__all__ = [
    "AnswerReader",
    "BackendAnswer",
    "BackendFailure",
    "end_to_end_headers",
]

# Headers that belong to one connection, those that the client writes itself,
# and the one that only the fleet may say.
_STOPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    "expect",
    OUTCOME_HEADER.lower(),
}
_BODILESS_STATUSES = frozenset({204, 304})
_CONTROL_CHARACTERS = frozenset("\r\n\0")


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


def end_to_end_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that may pass this hop."""
    stopped = set(_STOPPED_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            stopped.update(named_by_connection(value))
    return [(name, value) for name, value in headers if name.lower() not in stopped]


class AnswerReader:
    """Collects one answer from libcurl's callbacks.

    Attributes
    ----------
    too_large : bool
        The body went over its bound.
    """

    def __init__(self, body_max_bytes: int) -> None:
        self.too_large = False
        self._body_max_bytes = body_max_bytes
        self._chunks: list[bytes] = []
        self._body_bytes = 0
        self._headers: list[tuple[str, str]] = []
        self._head_done = False

    def on_header(self, line: bytes) -> None:
        """Take one line of a head, or of the trailers."""
        if line.startswith(b"HTTP/"):
            # A new head: an interim answer (1xx) ends here.
            self._headers = []
            self._head_done = False
        elif line in (b"\r\n", b"\n"):
            self._head_done = True
        elif not self._head_done:
            name, _, value = line.decode("latin-1").partition(":")
            self._headers.append((name.strip(), value.strip()))
        # Else a trailer: it comes after the body and is no header.

    def on_body(self, chunk: bytes) -> int | None:
        """Take a part of the body; any number returned ends the call."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._body_max_bytes:
            self.too_large = True
            return 0
        self._chunks.append(chunk)
        return None

    def answer(self, status: int, method: str) -> BackendAnswer | BackendFailure:
        """Return the answer, once libcurl has found its end."""
        fault = self._fault(method == "HEAD" or status in _BODILESS_STATUSES)
        if fault is not None:
            return BackendFailure(Reason.BROKEN_ANSWER, True, fault)
        return BackendAnswer(
            status, end_to_end_headers(self._headers), b"".join(self._chunks)
        )

    def _fault(self, bodiless: bool) -> str | None:
        for name, value in self._headers:
            # A bare CR is no line end to libcurl, but it may be one to the
            # caller's client, which would then read a header or a whole
            # answer that the backend server did not mean.
            if not _CONTROL_CHARACTERS.isdisjoint(name + value):
                return "a header has a control character"
        if len(set(self._values("content-length"))) > 1:
            return "the answer has two lengths"
        if not (bodiless or self._has_end()):
            # Without a length the end of the connection ends the body, and a
            # server that dies half way looks just like one that is done.
            return "the answer has no length"
        return None

    def _has_end(self) -> bool:
        codings = ",".join(self._values("transfer-encoding")).lower()
        if codings:
            return codings.rpartition(",")[2].strip() == "chunked"
        return bool(self._values("content-length"))

    def _values(self, wanted: str) -> list[str]:
        return [value for name, value in self._headers if name.lower() == wanted]
