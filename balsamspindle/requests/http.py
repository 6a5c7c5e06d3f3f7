"""Callers' HTTP/1.1: requests read whole, answers written whole.

The parser is llhttp (by httptools). A connection is read and written by one
task. Its socket blocks and the kernel keeps its time limits (SO_RCVTIMEO,
SO_SNDTIMEO): Python's own would cost a poll before each call.
"""

import select
import socket
import struct
import time
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

import httptools

from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.heads import (
    HEADERS_MAX,
    BadRequest,
    RequestHead,
    read_head,
)

__all__ = ["CallerRequest", "HttpConnection", "HttpLimits"]

RECEIVE_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_FRAMING_HEAD = b"POST / HTTP/1.1\r\n"


class HttpLimits(NamedTuple):
    """What one caller may take of this node."""

    head_max_bytes: int = 32 * 1024
    body_max_bytes: int = 8 * 1024 * 1024
    idle_timeout_s: float = 60.0
    head_timeout_s: float = 10.0
    body_timeout_s: float = 60.0
    answer_timeout_s: float = 60.0


@dataclass
class CallerRequest:
    """One request of a caller; fields as in `RequestHead`.

    Attributes
    ----------
    is_whole : bool
        Whether its body has been read, too.
    """

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True
    host: str = ""
    noted: dict[str, str] = field(default_factory=dict)
    key_digest: str | None = None
    is_whole: bool = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return a header's value, by its lower-case name."""
        if name in self.noted:
            return self.noted[name]
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None


class HttpConnection:
    """Reads requests from one connection and writes answers to it."""

    def __init__(
        self,
        connection: socket.socket,
        limits: HttpLimits,
        names: HeaderNames = DEFAULT_HEADER_NAMES,
    ) -> None:
        self._socket = connection
        self._limits = limits
        self._names = names
        self._complete: deque[CallerRequest] = deque()
        # A request may be whole and the bytes after it wrong: it is answered
        # before the connection ends.
        self._failure: BadRequest | None = None
        self._head_without_body: RequestHead | None = None
        self._started = False
        self._head_done = False
        self._set_timeout(socket.SO_RCVTIMEO, limits.idle_timeout_s)
        self._set_timeout(socket.SO_SNDTIMEO, limits.answer_timeout_s)
        self._parser = httptools.HttpRequestParser(self)

    def fileno(self) -> int:
        """Return the socket's descriptor, to be polled."""
        return self._socket.fileno()

    def wait_for_start(self) -> bool:
        """Wait for a request's first byte; False when none comes.

        Nothing is lost when the connection is closed while this waits.
        """
        if self._complete or self._failure or self._started:
            return True
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        if data:
            self._feed(data)
        return bool(data)

    def read_request(self) -> CallerRequest | None:
        """Return the request that has started, whole; None when it is cut off.

        Raises
        ------
        BadRequest
            When the bytes are no request that we take, or come too slowly.
        """
        request = self.read_head()
        return request if request is None or request.is_whole else self.read_body()

    def read_head(self) -> CallerRequest | None:
        """Return the request that has started, once its head is read.

        Its body is there as well where it came with the head.

        Raises
        ------
        BadRequest
        """
        give_up_s = time.monotonic() + self._limits.head_timeout_s
        while not (self._complete or self._is_in_body()):
            if not self._read_more(give_up_s):
                return None
        return self._complete.popleft() if self._complete else self._current

    def read_body(self) -> CallerRequest | None:
        """Return the request whose head was read, with its body.

        Raises
        ------
        BadRequest
        """
        give_up_s = time.monotonic() + self._limits.body_timeout_s
        if not self._complete:
            self._continue_if_expected()
        while not self._complete:
            if not self._read_more(give_up_s):
                return None
        return self._complete.popleft()

    def caller_gone(self) -> bool:
        """Tell whether the caller closed the connection; never waits."""
        # A socket with a timeout waits in recv for data to come, whatever the
        # flags say: whoever asks would stand still for the idle timeout and
        # then take a caller that waits for its answer for gone.
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if not poller.poll(0):
            return False
        try:
            return not self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write(self, data: bytes) -> None:
        """Write one whole answer.

        Raises
        ------
        OSError
            When the caller is gone or takes the answer too slowly.
        """
        sent = self._socket.send(data)
        if sent == len(data):
            return
        # A caller that takes a byte now and then would hold its task for
        # ever: each send makes some progress, so the whole has a bound too.
        give_up_s = time.monotonic() + self._limits.answer_timeout_s
        rest = memoryview(data)[sent:]
        while rest:
            if time.monotonic() >= give_up_s:
                raise TimeoutError
            rest = rest[self._socket.send(rest) :]

    def _is_in_body(self) -> bool:
        return self._started and self._head_done

    def _read_more(self, give_up_s: float) -> bool:
        """Read and parse what comes next; False when the caller ended."""
        if self._failure is not None:
            raise self._failure
        try:
            data = self._receive(give_up_s - time.monotonic())
        finally:
            self._set_timeout(socket.SO_RCVTIMEO, self._limits.idle_timeout_s)
        if data:
            self._feed(data)
        return bool(data)

    def _receive(self, timeout_s: float) -> bytes:
        # Each receive gets only what is left of the whole time: a caller that
        # sends a byte now and then would else hold a task for ever.
        try:
            if timeout_s > 0:
                self._set_timeout(socket.SO_RCVTIMEO, timeout_s)
                return self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            pass
        raise BadRequest(
            Reason.REQUEST_TIMEOUT,
            "The request's head or body was still not whole after "
            f"{self._limits.head_timeout_s:g} or {self._limits.body_timeout_s:g} s.",
        )

    def _set_timeout(self, option: int, timeout_s: float) -> None:
        micros = max(1, int(timeout_s * 1_000_000))
        value = struct.pack("ll", *divmod(micros, 1_000_000))
        self._socket.setsockopt(socket.SOL_SOCKET, option, value)

    def _continue_if_expected(self) -> None:
        if self._failure is None and self._head.noted.pop("expect", None) is not None:
            self._socket.send(_CONTINUE)

    def _feed(self, data: bytes) -> None:
        """Parse what came; what is wrong with it is kept in `_failure`."""
        if self._started and not self._head_done:
            # llhttp keeps an unfinished header itself, without a bound.
            self._unfinished_bytes += len(data)
        while data and self._failure is None:
            data = self._parse(data)
        if self._started and not self._head_done:
            self._failure = self._failure or self._head_fault(self._unfinished_bytes)

    def _parse(self, data: bytes) -> bytes:
        """Parse and return what is left, which another parser has to read."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # The offer of another protocol, which a server may pass by.
            # llhttp stops behind the head that makes it.
            self._parser = httptools.HttpRequestParser(self)
            return self._body_framing() + data[error.args[0] :]
        except httptools.HttpParserError as error:
            self._failure = _bad_request(error)
        return b""

    def _body_framing(self) -> bytes:
        """Return a head for the body that llhttp has not read.

        Without it the body would be read as the next request.
        """
        if self._head_without_body is None:
            return b""
        noted = self._head.noted
        if "transfer-encoding" in noted:
            return _FRAMING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        length = noted["content-length"].encode()
        return _FRAMING_HEAD + b"Content-Length: " + length + b"\r\n\r\n"

    def _head_fault(self, count: int) -> BadRequest | None:
        if count <= self._limits.head_max_bytes:
            return None
        return BadRequest(
            Reason.HEAD_TOO_LARGE,
            f"The request's head is over {self._limits.head_max_bytes} bytes.",
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._started = True
        self._head_done = False
        self._target = b""
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._unfinished_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._head_bytes += len(name) + len(value) + 4
        self._raw_headers.append((name, value))
        if len(self._raw_headers) > HEADERS_MAX:
            raise BadRequest(
                Reason.HEAD_TOO_LARGE,
                f"The request has more than {HEADERS_MAX} headers.",
            )

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        if self._head_without_body is not None:
            self._head_without_body = None
            self._head_done = True
            return
        fault = self._head_fault(self._head_bytes + len(self._target))
        if fault is not None:
            raise fault
        parser = self._parser
        method = parser.get_method().decode("latin-1")
        if method == "CONNECT":
            raise BadRequest(Reason.BAD_REQUEST, "CONNECT is not taken here.")
        self._head: RequestHead = read_head(
            method,
            self._target.decode("latin-1"),
            parser.get_http_version(),
            self._raw_headers,
            self._names,
        )
        # What comes after the body (trailers) is no part of the head: a
        # "Host" there would be believed by some readers and not by others.
        self._raw_headers = []
        self._keep_alive = (
            parser.should_keep_alive() and parser.get_http_version() == "1.1"
        )
        self._check_body_bytes(int(self._head.noted.get("content-length", 0)))
        method, target, host, headers, noted, key_digest = self._head
        self._current = CallerRequest(
            method, target, headers, b"", self._keep_alive, host, noted, key_digest
        )
        self._head_done = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        self._check_body_bytes(self._body_bytes)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End a request."""
        noted = self._head.noted
        has_body = "content-length" in noted or "transfer-encoding" in noted
        if has_body and self._parser.should_upgrade():
            self._head_without_body = self._head
            return
        self._current.body = b"".join(self._body)
        self._current.is_whole = True
        self._complete.append(self._current)
        self._body = []
        self._started = False

    def _check_body_bytes(self, count: int) -> None:
        if count > self._limits.body_max_bytes:
            raise BadRequest(
                Reason.BODY_TOO_LARGE,
                f"The request's body is over {self._limits.body_max_bytes} bytes.",
            )


def _bad_request(error: httptools.HttpParserError) -> BadRequest:
    if isinstance(error.__context__, BadRequest):
        return error.__context__
    return BadRequest(Reason.BAD_REQUEST, f"The request is not valid HTTP: {error}.")
