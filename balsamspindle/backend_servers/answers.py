"""Reads a backend server's answer; incomplete and foreign answers are failures.

An answer is foreign if it belongs to another request.
"""

import re
import time
from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus
from typing import NamedTuple

from balsamspindle.backend_servers.answer_memory import UNRESERVED_BYTES
from balsamspindle.backend_servers.inner_heads import inner_id
from balsamspindle.protocol.connection_headers import (
    HOP_BY_HOP_HEADERS,
    connection_options,
)
from balsamspindle.protocol.field_values import field_value
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import CancelCause, Reason

__all__ = [
    "AnswerReader",
    "BackendAnswer",
    "BackendFailure",
    "ResendCause",
    "end_to_end_headers",
]

# Headers that are not forwarded. Some apply to one connection only; the HTTP client
# that forwards the message sets the others itself.
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "expect"}
_BODILESS_STATUSES = frozenset({204, 304})
# Characters of a foreign answer's request id that are logged.
ID_MAX_LOGGED = 64
# Python does not convert thousands of digits. A longer length, cut to this, is still
# larger than any limit.
LENGTH_MAX_DIGITS = 19
# How long a call may go on after it has to end, to read what has already arrived.
OVERRUN_MAX_S = 0.2
# A header line (RFC 9110, 5.1 and 5.5): a token as its name, and no control characters
# but tabs in its value.
_match_header_line = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*"
).fullmatch
_find_status_line = re.compile(rb"HTTP/1\.[01] +[1-5][0-9][0-9](?![0-9])").search
_match_interim_status_line = re.compile(rb"HTTP/\S+ +1[0-9][0-9](?![0-9])").match


class BackendAnswer(NamedTuple):
    """A complete answer of a backend server."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return a header's value, None if it is missing; `name` may be in any case."""
        wanted = name.lower()
        for known, value in self.headers:
            if known.lower() == wanted:
                return value
        return None


class ResendCause(StrEnum):
    """Why a failed request may be sent again, on a new connection.

    Attributes
    ----------
    STALE_CONNECTION
        A kept connection ended right after the request was sent. Its backend server
        probably closed it while it was idle, so the request has probably not run.
    FOREIGN_ANSWER
        A kept connection contained bytes that do not belong to this request.
    """

    STALE_CONNECTION = "stale_connection"
    FOREIGN_ANSWER = "foreign_answer"


class BackendFailure(NamedTuple):
    """A call that got no complete and valid answer.

    Attributes
    ----------
    sent : bool
        Whether any part of the request may have been written to a connected socket.
    is_foreign : bool
        Whether data arrived that is not an answer to this request.
    cut_by : CancelCause or None
        Why the call was cancelled; None if it was not cancelled.
    headers : tuple of (str, str)
        Headers of the backend server's answer if only its body was incomplete;
        otherwise empty.
    resend_cause : ResendCause or None
        Why the failure says nothing about the backend server's health; None for all
        other failures.
    """

    reason: Reason
    sent: bool
    message: str
    is_foreign: bool = False
    cut_by: CancelCause | None = None
    headers: tuple[tuple[str, str], ...] = ()
    resend_cause: ResendCause | None = None


def end_to_end_headers(
    headers: list[tuple[str, str]], names: HeaderNames = DEFAULT_HEADER_NAMES
) -> list[tuple[str, str]]:
    """Return the headers that may be forwarded beyond this connection."""
    # Only the proxy itself may set the outcome header.
    dropped = {*_DROPPED_HEADERS, names.outcome.lower()}
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(connection_options(value))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class AnswerReader:
    """Builds one answer from libcurl's callbacks.

    Parameters
    ----------
    request_id : str
        Id of the request. The answer must contain the same id if backend servers echo
        request ids.
    accepts_unframed : bool
        Whether an answer that is neither chunked nor has a Content-Length counts as
        complete when the backend server closes the connection. If the backend server
        resets the connection instead, libcurl reports an error.
    reserve : callable, default=always
        Takes the size that the body may have, in bytes. Called once, before the body
        grows beyond `UNRESERVED_BYTES`; if it returns False, the call is aborted.
    is_over : callable, default=never
        Returns whether the call was cancelled or its deadline has passed. libcurl ends
        a call only after it has passed on all bytes that it has read, which may be
        thousands of tiny chunks, so the call is aborted after `OVERRUN_MAX_S`.

    Attributes
    ----------
    too_large : bool
        Whether the body is longer than `body_max_bytes`.
    has_overrun : bool
        Whether the call was aborted because of `is_over`.
    """

    def __init__(
        self,
        body_max_bytes: int,
        request_id: str = "",
        names: HeaderNames = DEFAULT_HEADER_NAMES,
        accepts_unframed: bool = False,
        reserve: Callable[[int], bool] = lambda size_bytes: True,
        is_over: Callable[[], bool] = lambda: False,
    ) -> None:
        self.too_large = self.has_overrun = False
        self._is_over = is_over
        self._over_since_s: float | None = None
        self._reserve = reserve
        self._is_reserved = False
        # The body's length as the head states it; 0 without a length.
        self._declared_bytes = 0
        self._request_id = request_id
        self._names = names
        self._accepts_unframed = accepts_unframed
        self._body_max_bytes = body_max_bytes
        self._body = bytearray()
        self._headers: list[tuple[str, str]] = []
        self._status_line = b""
        self._head_done = False
        self._has_odd_line = False
        self._has_second_head = False

    def on_header(self, line: bytes) -> None:
        """Process one line of a head or of the trailers.

        libcurl bounds their number and size, over interim heads and trailers too.
        """
        # A backend server may send one answer after a part of another. libcurl joins
        # the two heads if the part ends within a line.
        self._has_second_head |= _find_status_line(line, 1) is not None
        if line.startswith(b"HTTP/"):
            # A head starts. An earlier head belonged to an interim answer (1xx):
            # discard the headers of the earlier head.
            self._has_second_head |= not self._may_start_head()
            self._status_line = line
            self._headers = []
            self._head_done = False
            self._declared_bytes = 0
            self._has_odd_line = False
        elif line in (b"\r\n", b"\n"):
            self._head_done = True
            self._declared_bytes = self._declared_bytes or self._read_length()
        elif not self._head_done:
            line = line.removesuffix(b"\n").removesuffix(b"\r")
            name, _, value = line.partition(b":")
            self._headers.append((name.decode("latin-1"), field_value(value)))
            self._has_odd_line |= _match_header_line(line) is None
        # Any other line is a trailer. Ignore it: it is not a header of the answer.

    def on_body(self, chunk: bytes) -> int | None:
        """Add a part of the body.

        If the body is too large, set `too_large` and return 0, so that libcurl aborts
        the call. Also return 0 if there is no memory for it, or if the call has
        overrun. Otherwise return None.
        """
        self.has_overrun = self._has_overrun(time.monotonic())
        if self.has_overrun:
            return 0
        size_bytes = max(len(self._body) + len(chunk), self._declared_bytes)
        if size_bytes > self._body_max_bytes:
            self.too_large = True
            return 0
        if size_bytes > UNRESERVED_BYTES and not self._is_reserved:
            if not self._reserve(self._declared_bytes or self._body_max_bytes):
                return 0
            self._is_reserved = True
        self._body += chunk
        return None

    def ends_with_connection(self, status: int, method: str) -> bool:
        """Return whether only the end of the connection marks the answer's end."""
        if not self._head_done:
            return True
        return not (_is_bodiless(status, method) or self._has_framing())

    def answer(
        self,
        status: int,
        method: str,
        is_first: bool = True,
        was_sent: Callable[[str], bool] = lambda request_id: False,
    ) -> BackendAnswer | BackendFailure:
        """Return the answer once the call has ended, or a failure if it is invalid.

        Parameters
        ----------
        is_first : bool, default=True
            Whether no earlier request was sent on the connection.
        was_sent : callable, default=never
            Returns whether a request with this id was sent on the connection.
        """
        if self._has_second_head:
            error = "the head contains the status line of another answer"
            return BackendFailure(Reason.BROKEN_ANSWER, True, error, is_foreign=True)
        if status < HTTPStatus.OK:
            # This node asks for no other protocol, and libcurl reads on after all
            # other interim heads.
            return BackendFailure(Reason.BROKEN_ANSWER, True, "an interim status only")
        error = self._format_error(_is_bodiless(status, method))
        if error is not None:
            return BackendFailure(Reason.BROKEN_ANSWER, True, error)
        answer = BackendAnswer(
            status,
            end_to_end_headers(self._headers, self._names),
            bytes(self._body),
        )
        error = self._foreign_cause(answer, is_first)
        if error is None:
            error = self._second_answer(was_sent)
        if error is not None:
            return BackendFailure(Reason.BROKEN_ANSWER, True, error, is_foreign=True)
        return answer

    def incomplete_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer whose body is incomplete.

        Empty if the head is incomplete or invalid, or if the answer belongs to another
        request.
        """
        if self._has_second_head:
            return ()
        answer = BackendAnswer(HTTPStatus.OK, self._headers, b"")
        if self._format_error(bodiless=True) is not None:
            return ()
        if self._foreign_cause(answer, is_first=True) is not None:
            return ()
        return tuple(self._headers)

    def _may_start_head(self) -> bool:
        """Return whether no head was read, or only complete interim ones."""
        if not self._status_line:
            return True
        is_interim = _match_interim_status_line(self._status_line) is not None
        return self._head_done and is_interim

    def _has_overrun(self, now_s: float) -> bool:
        """Return whether `is_over` has been true for `OVERRUN_MAX_S`.

        An answer that had arrived before a stall of this process is thus still read.
        """
        if not self._is_over():
            return False
        if self._over_since_s is None:
            self._over_since_s = now_s
        return now_s - self._over_since_s > OVERRUN_MAX_S

    def _read_length(self) -> int:
        """Return the body's length as the head states it; 0 without a length."""
        lengths = [] if self._codings() else self._values("content-length")
        if not lengths or not lengths[0].isdecimal():
            return 0
        return int(lengths[0][:LENGTH_MAX_DIGITS])

    def _foreign_cause(self, answer: BackendAnswer, is_first: bool) -> str | None:
        """Return why an answer does not belong to this request, None if it does.

        A backend server may send an answer twice. The next request on the same
        connection then receives the second copy. If the copy were taken for the answer
        to the next request, a caller would get another caller's data. Where backend
        servers echo request ids, the copy is recognized by its id. An error without an
        id may be about a request without one, but it is certain to belong to this
        request only if it is the first answer on its connection. A status check has no
        id, so its answer has none either.

        If the deployment has a signature header, backend servers add it to each answer
        that they produced by running a request. A successful answer without this header
        was therefore not produced by running this request. Status checks run nothing.
        """
        names, is_success = self._names, 200 <= answer.status < 300
        if names.echoes_request_id:
            echoed = self._values(names.request_id.lower())
            others = [one for one in echoed if one != self._request_id]
            needs_id = self._request_id and (is_success or not is_first)
            if others or (needs_id and not echoed):
                other = others[0] if others else None
                return f"the answer belongs to request {_logged_id(other)}"
        needs_signature = names.signature and is_success and self._request_id
        if needs_signature and answer.header(names.signature) is None:
            return "the answer has no signature header"
        return None

    def _second_answer(self, was_sent: Callable[[str], bool]) -> str | None:
        """Return which answer is a part of the body; None if none is."""
        if not self._names.echoes_request_id:
            return None
        request_id = inner_id(self._body, self._names.request_id, was_sent)
        if request_id is None:
            return None
        return f"the body holds an answer to request {_logged_id(request_id)}"

    def _format_error(self, bodiless: bool) -> str | None:
        if not self._head_done:
            # libcurl reports a head that its connection cut off as a complete one.
            return "the connection ended within the head"
        if self._has_odd_line:
            # libcurl accepts these lines. The caller's client may not, or may read a
            # bare CR as a line end, and then find a header or a complete answer that
            # the backend server did not send.
            return "a line of the head is not a header"
        if len(set(self._values("content-length"))) > 1:
            return "the answer has several Content-Length headers with different values"
        if not (bodiless or self._accepts_unframed or self._has_framing()):
            # Without framing, the body ends where the connection ends. If the backend
            # server crashes while it sends the body, the truncated answer looks
            # complete.
            return "the answer has no valid framing (Content-Length or chunked)"
        return None

    def _has_framing(self) -> bool:
        codings = self._codings()
        if codings:
            return codings.rpartition(",")[2].strip() == "chunked"
        return bool(self._values("content-length"))

    def _codings(self) -> str:
        return ",".join(self._values("transfer-encoding")).lower()

    def _values(self, wanted_name: str) -> list[str]:
        return [value for name, value in self._headers if name.lower() == wanted_name]


def _logged_id(request_id: str | None) -> str:
    return repr((request_id or "")[:ID_MAX_LOGGED])


def _is_bodiless(status: int, method: str) -> bool:
    return method == "HEAD" or status in _BODILESS_STATUSES
