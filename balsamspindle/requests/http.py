"""Callers' HTTP/1.1: requests read whole, answers written whole.

The parser is llhttp (by httptools), which refuses what request smuggling
needs: a length together with a transfer coding, two lengths, bad chunks,
control characters in the head.
"""

import select
import socket
from collections import deque
from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from balsamspindle.requests.outcomes import Reason

__all__ = ["BadRequest", "CallerRequest", "HttpConnection"]

HEAD_MAX_BYTES = 32 * 1024
RECEIVE_BYTES = 64 * 1024
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BadRequest(Exception):
    """A request that can't be taken; the connection ends with its answer."""

    def __init__(self, reason: Reason) -> None:
        super().__init__(reason.value)
        self.reason = reason


@dataclass
class CallerRequest:
    """One whole request of a caller."""

    method: str = ""
    target: str = ""
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    keep_alive: bool = True

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header, by its lower-case name."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None


class HttpConnection:
    """Reads requests from one connection and writes answers to it."""

    def __init__(self, connection: socket.socket, body_max_bytes: int) -> None:
        self._socket = connection
        self._body_max_bytes = body_max_bytes
        self._complete: deque[CallerRequest] = deque()
        self._reading = False
        self._begin()
        self._parser = httptools.HttpRequestParser(self)

    def fileno(self) -> int:
        """Return the socket's descriptor, to be polled."""
        return self._socket.fileno()

    def idle(self) -> bool:
        """Tell whether no part of a request was read."""
        return not self._complete and not self._reading

    def read_request(self) -> CallerRequest | None:
        """Return the next request; None when the caller is done.

        Raises
        ------
        BadRequest
            When the bytes are no request that we take.
        TimeoutError
            When the connection stays idle.
        """
        while not self._complete:
            data = self._socket.recv(RECEIVE_BYTES)
            if not data:
                return None
            self._feed(data)
            if self._expects_continue and not self._complete:
                self._expects_continue = False
                self._socket.sendall(_CONTINUE)
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

    def write_answer(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        keep_alive: bool,
        is_head: bool = False,
    ) -> None:
        """Write one whole answer."""
        self._socket.sendall(_encode_answer(status, headers, body, keep_alive, is_head))

    def _feed(self, data: bytes) -> None:
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise BadRequest(Reason.BAD_REQUEST) from error
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, BadRequest):
                raise cause from None
            raise BadRequest(Reason.BAD_REQUEST) from error
        if not self._head_done and self._head_bytes > HEAD_MAX_BYTES:
            raise BadRequest(Reason.HEAD_TOO_LARGE)

    def _begin(self) -> None:
        self._request = CallerRequest()
        self._target = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._head_done = False
        self._expects_continue = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reading = True
        self._begin()

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        text = name.decode("latin-1")
        self._request.headers.append((text, value.decode("latin-1")))
        if text.lower() == "expect" and value.lower() == b"100-continue":
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        self._head_done = True
        self._request.method = self._parser.get_method().decode("latin-1")
        self._request.target = self._target.decode("latin-1")
        self._request.keep_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self._body_max_bytes:
            raise BadRequest(Reason.BODY_TOO_LARGE)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self._reading = False
        self._request.body = b"".join(self._body)
        self._complete.append(self._request)


def _encode_answer(status, headers, body, keep_alive, is_head) -> bytes:
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if status not in (204, 304) and not is_head:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (b"" if is_head else body)
