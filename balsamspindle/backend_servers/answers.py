"""A backend server's answer as its bytes come in: whole or refused."""

from typing import NamedTuple

from balsamspindle.protocol.connection_headers import (
    HOP_BY_HOP_HEADERS,
    named_by_connection,
)
from balsamspindle.protocol.field_values import field_value
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Reason

__all__ = [
    "AnswerReader",
    "BackendAnswer",
    "BackendFailure",
    "end_to_end_headers",
]

# Headers that belong to one connection, and those that the client writes itself.
_STOPPED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "expect"}
_BODILESS_STATUSES = frozenset({204, 304})
_CONTROL_CHARACTERS = frozenset("\r\n\0")


class BackendAnswer(NamedTuple):
    """A whole answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header's value, whatever the case of its name."""
        wanted = name.lower()
        for known, value in self.headers:
            if known.lower() == wanted:
                return value
        return None


class BackendFailure(NamedTuple):
    """No whole answer.

    Attributes
    ----------
    sent : bool
        False only when nothing was handed to a connected socket.
    is_foreign : bool
        An answer came that is not this request's.
    cut_by : CancelCause or None
        Why it was taken back, when that ended it.
    """

    reason: Reason
    sent: bool
    message: str
    is_foreign: bool = False
    cut_by: CancelCause | None = None


def end_to_end_headers(
    headers: list[tuple[str, str]], names: HeaderNames = DEFAULT_HEADER_NAMES
) -> list[tuple[str, str]]:
    """Return the headers that may pass this hop."""
    # What the fleet alone may say of a request stops here, too.
    stopped = {*_STOPPED_HEADERS, names.outcome.lower()}
    for name, value in headers:
        if name.lower() == "connection":
            stopped.update(named_by_connection(value))
    return [(name, value) for name, value in headers if name.lower() not in stopped]


class AnswerReader:
    """Collects one answer from libcurl's callbacks.

    Parameters
    ----------
    request_id : str
        Of the request that the answer is to belong to.
    takes_unframed : bool
        Whether an answer without a length is whole once its connection ended
        in order. libcurl reports one that was reset as an error.

    Attributes
    ----------
    too_large : bool
        The body went over its bound.
    """

    def __init__(
        self,
        body_max_bytes: int,
        request_id: str = "",
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        takes_unframed: bool = False,
    ) -> None:
        self.too_large = False
        self._request_id = request_id
        self._names = names
        self._takes_unframed = takes_unframed
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
            line = line.removesuffix(b"\n").removesuffix(b"\r")
            name, _, value = line.partition(b":")
            self._headers.append((field_value(name), field_value(value)))
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
        answer = BackendAnswer(
            status,
            end_to_end_headers(self._headers, self._names),
            b"".join(self._chunks),
        )
        fault = self._foreign(answer)
        if fault is not None:
            return BackendFailure(Reason.BROKEN_ANSWER, True, fault, is_foreign=True)
        return answer

    def _foreign(self, answer: BackendAnswer) -> str | None:
        """Return why an answer is not this request's, None where it is.

        A backend server may send an answer twice. The second one lies in the
        connection when the next request goes out and looks like its answer:
        a caller would read somebody else's data.
        """
        names, is_success = self._names, 200 <= answer.status < 300
        if names.echoes_request_id:
            echoed = answer.header(names.request_id)
            if echoed != self._request_id and (is_success or echoed is not None):
                return "the answer belongs to another request"
        if names.signature and is_success and answer.header(names.signature) is None:
            return "the answer is not signed"
        return None

    def _fault(self, bodiless: bool) -> str | None:
        for name, value in self._headers:
            # A bare CR is no line end to libcurl, but it may be one to the
            # caller's client, which would then read a header or a whole
            # answer that the backend server did not mean.
            if not _CONTROL_CHARACTERS.isdisjoint(name + value):
                return "a header has a control character"
        if len(set(self._values("content-length"))) > 1:
            return "the answer has two lengths"
        if not (bodiless or self._takes_unframed or self._has_end()):
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
