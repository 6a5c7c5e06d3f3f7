"""Reads HTTP/1.1 requests from callers' connections and writes answers to them.

The parser is llhttp, through httptools. Each connection is read and written by one
task. The connection's socket is in blocking mode, with timeouts set in the kernel
(SO_RCVTIMEO and SO_SNDTIMEO). Python's own socket timeouts are not used, because with
them Python polls the socket before each call.
"""

import select
import socket
import struct
import time
from collections import deque

import httptools

from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.caller_requests import CallerRequest, HttpLimits
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
        # Error in the received bytes; complete requests before it are still answered.
        self._parse_error: BadRequest | None = None
        # Head of a request that has a body and offers a protocol upgrade. The parser
        # stops after this head, so a new parser has to read the body. The new parser
        # first gets a minimal head from `_body_framing`. This attribute is None again
        # when the new parser has read that minimal head.
        self._upgrade_head: RequestHead | None = None
        self._in_request = False
        self._head_complete = False
        self._set_timeout(socket.SO_RCVTIMEO, limits.idle_timeout_s)
        self._set_timeout(socket.SO_SNDTIMEO, limits.answer_timeout_s)
        self._parser = httptools.HttpRequestParser(self)

    def fileno(self) -> int:
        """Return the socket's file descriptor, for polling."""
        return self._socket.fileno()

    def wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if none arrives.

        The wait ends after the idle timeout, or when the connection is closed. This
        node may close the connection during the wait, as no request has been read.
        """
        if self._complete or self._parse_error or self._in_request:
            return True
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        if data:
            self._parse_received(data)
        return bool(data)

    def read_request(self) -> CallerRequest | None:
        """Return the current request with its body.

        Returns None if the caller closes the connection before the end of the request.

        Raises
        ------
        BadRequest
            If the request is invalid, exceeds a limit or arrives too slowly.
        """
        request = self.read_head()
        return request if request is None or request.is_complete else self.read_body()

    def read_head(self) -> CallerRequest | None:
        """Return the current request as soon as its head has been read.

        The body is included if it arrived together with the head. Returns None if the
        caller closes the connection before the end of the head.

        Raises
        ------
        BadRequest
        """
        deadline_s = time.monotonic() + self._limits.head_timeout_s
        while not (self._complete or self._is_in_body()):
            if not self._read_more(deadline_s):
                return None
        return self._complete.popleft() if self._complete else self._current

    def read_body(self) -> CallerRequest | None:
        """Return the request whose head `read_head` returned, with its body.

        Returns None if the caller closes the connection before the end of the body.

        Raises
        ------
        BadRequest
        """
        deadline_s = time.monotonic() + self._limits.body_timeout_s
        if not self._complete:
            self._send_continue_if_expected()
        while not self._complete:
            if not self._read_more(deadline_s):
                return None
        return self._complete.popleft()

    def caller_left(self) -> bool:
        """Return whether the caller has closed the connection; does not block."""
        # Poll first: if the socket has a Python timeout, recv waits for data even with
        # MSG_DONTWAIT and then raises TimeoutError. TimeoutError is an OSError, so a
        # caller that waits for its answer would count as disconnected.
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
        """Write one complete answer.

        Raises
        ------
        OSError
            If the caller has disconnected or reads the answer too slowly.
        """
        sent = self._socket.send(data)
        if sent == len(data):
            return
        # The timeout of the socket restarts with each send. Without a limit for the
        # complete answer, a caller that reads a byte from time to time would forever
        # occupy the task that serves it.
        deadline_s = time.monotonic() + self._limits.answer_timeout_s
        rest = memoryview(data)[sent:]
        while rest:
            if time.monotonic() >= deadline_s:
                raise TimeoutError
            rest = rest[self._socket.send(rest) :]

    def _is_in_body(self) -> bool:
        return self._in_request and self._head_complete

    def _read_more(self, deadline_s: float) -> bool:
        """Receive and parse more bytes; return False if the connection is closed."""
        if self._parse_error is not None:
            raise self._parse_error
        try:
            data = self._receive(deadline_s - time.monotonic())
        finally:
            self._set_timeout(socket.SO_RCVTIMEO, self._limits.idle_timeout_s)
        if data:
            self._parse_received(data)
        return bool(data)

    def _receive(self, timeout_s: float) -> bytes:
        # Each receive may take only the time that remains for the complete head or
        # body. Otherwise a caller that sends a byte from time to time would forever
        # occupy the task that serves it.
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

    def _send_continue_if_expected(self) -> None:
        if (
            self._parse_error is None
            and self._head.control_headers.pop("expect", None) is not None
        ):
            self._socket.send(_CONTINUE)

    def _parse_received(self, data: bytes) -> None:
        """Parse received bytes; an error is stored in `_parse_error`, not raised."""
        if self._in_request and not self._head_complete:
            # llhttp buffers an incomplete header without a limit, so count its bytes.
            self._incomplete_head_bytes += len(data)
        while data and self._parse_error is None:
            data = self._parse_until_upgrade(data)
        if self._in_request and not self._head_complete:
            self._parse_error = self._parse_error or self._head_size_error(
                self._incomplete_head_bytes
            )

    def _parse_until_upgrade(self, data: bytes) -> bytes:
        """Parse bytes; return the bytes that a new parser has to read, if any."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            # The request offers an upgrade to another protocol. This node ignores the
            # offer, but llhttp stops after the head, so a new parser reads the body.
            self._parser = httptools.HttpRequestParser(self)
            return self._body_framing() + data[error.args[0] :]
        except httptools.HttpParserError as error:
            self._parse_error = _bad_request(error)
        return b""

    def _body_framing(self) -> bytes:
        """Return a minimal request head that a new parser reads before an unread body.

        Without this head the new parser would read the body as the next request.
        The result is empty if there is no unread body.
        """
        if self._upgrade_head is None:
            return b""
        control_headers = self._head.control_headers
        if "transfer-encoding" in control_headers:
            return _FRAMING_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        length = control_headers["content-length"].encode()
        return _FRAMING_HEAD + b"Content-Length: " + length + b"\r\n\r\n"

    def _head_size_error(self, count: int) -> BadRequest | None:
        if count <= self._limits.head_max_bytes:
            return None
        return BadRequest(
            Reason.HEAD_TOO_LARGE,
            f"The request's head is over {self._limits.head_max_bytes} bytes.",
        )

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Reset the state for the next request."""
        self._in_request = True
        self._head_complete = False
        self._target = b""
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._incomplete_head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header; raise `BadRequest` if there are more than `HEADERS_MAX`."""
        self._head_bytes += len(name) + len(value) + 4
        self._raw_headers.append((name, value))
        if len(self._raw_headers) > HEADERS_MAX:
            raise BadRequest(
                Reason.HEAD_TOO_LARGE,
                f"The request has more than {HEADERS_MAX} headers.",
            )

    def on_headers_complete(self) -> None:
        """Check the head and create the request; raise `BadRequest` if invalid."""
        if self._upgrade_head is not None:
            self._upgrade_head = None
            self._head_complete = True
            return
        error = self._head_size_error(self._head_bytes + len(self._target))
        if error is not None:
            raise error
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
        # Trailers, the headers after a body, are not added to the request's headers:
        # some implementations would use a "Host" trailer, and others would not.
        self._raw_headers = []
        self._keep_alive = (
            parser.should_keep_alive() and parser.get_http_version() == "1.1"
        )
        self._check_body_bytes(int(self._head.control_headers.get("content-length", 0)))
        method, target, host, headers, control_headers, key_digest = self._head
        self._current = CallerRequest(
            method,
            target,
            headers,
            b"",
            self._keep_alive,
            host,
            control_headers,
            key_digest,
        )
        self._head_complete = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; raise `BadRequest` if the body is too large."""
        self._body_bytes += len(body)
        self._check_body_bytes(self._body_bytes)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the request, unless the parser stopped before the body (upgrade)."""
        control_headers = self._head.control_headers
        has_body = (
            "content-length" in control_headers
            or "transfer-encoding" in control_headers
        )
        if has_body and self._parser.should_upgrade():
            self._upgrade_head = self._head
            return
        self._current.body = b"".join(self._body)
        self._current.is_complete = True
        self._complete.append(self._current)
        self._body = []
        self._in_request = False

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
