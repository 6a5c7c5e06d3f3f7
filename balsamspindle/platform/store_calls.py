"""Single HTTP calls to the platform's store, each on a connection of its own."""

import io
import socket
import threading
from collections.abc import Callable
from typing import Any, NamedTuple

import pycurl
from expression import Error, Ok, Result

from balsamspindle.protocol.answer_heads import CUT_HEAD, AnswerHead
from balsamspindle.tables import Unknown, Unreachable

__all__ = [
    "UNAWAITED_TIMEOUT_MS",
    "LongPollConnections",
    "StoreAnswer",
    "call_store",
    "classify_failure",
]

CONNECT_TIMEOUT_MS = 500
# The store answers in a few milliseconds, so this suffices even if it becomes 60 times
# slower.
CALL_TIMEOUT_MS = 2000
# Timeout of a call that nothing waits for. Its answer may have several versions of all
# settings, which a slow store needs longer to send.
UNAWAITED_TIMEOUT_MS = 4000
# TCP keep-alive detects a connection that was lost without a reset: probes start after
# 1 s of silence, and the connection fails after two probes without an answer.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
_KEEP_ALIVE = {
    socket.TCP_KEEPIDLE: KEEP_ALIVE_IDLE_S,
    socket.TCP_KEEPINTVL: KEEP_ALIVE_INTERVAL_S,
    socket.TCP_KEEPCNT: KEEP_ALIVE_PROBES,
}
ERA_HEADER = "store-era"

# Errors of libcurl after which nothing can have reached the store.
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)


# Statuses after which nothing was written: invalid call (other 4xx), rate limit (429),
# unavailable (503), storage full (507).
_REFUSALS = frozenset({400, 403, 404, 413, 429, 503, 507})


class StoreAnswer(NamedTuple):
    """The store's answer to a call.

    Attributes
    ----------
    era : str or None
        Text of the era header, not validated; None without this header.
    is_framed : bool
        Whether the body has a length or a last chunk. Otherwise it ends with the
        connection, and may be incomplete.
    """

    status: int
    body: bytes
    era: str | None = None
    is_framed: bool = True


class LongPollConnections:
    """Sockets of the call that waits for changes; shuts them down to end the call."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._ended = False

    def open_socket(self, _purpose, address) -> socket.socket | int:
        """Open the socket of a call; refuse it after `shut_down_all`."""
        with self._lock:
            if self._ended:
                return pycurl.SOCKET_BAD
            opened = _open_socket(_purpose, address)
            # Store a duplicate, because libcurl closes its own descriptor. The number
            # of that descriptor may then be reused for another file, which
            # `shut_down_all` must not shut down.
            self._open.add(opened.dup())
            return opened

    def close_finished(self) -> None:
        """Close the duplicate descriptors that `open_socket` stored for an ended call.

        `open_socket` explains why it stores duplicates. Only one call waits for changes
        at a time, so all stored duplicates belong to the call that has ended.
        """
        with self._lock:
            while self._open:
                self._open.pop().close()

    def shut_down_all(self) -> None:
        """Shut down the connection of the waiting call, if any; refuse new ones."""
        with self._lock:
            self._ended = True
        self.shut_down_open()

    def shut_down_open(self) -> None:
        """Shut down the connection of the waiting call, if any."""
        with self._lock:
            for opened in self._open:
                try:
                    opened.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # The socket is not connected. Its call fails without a shutdown, at
                    # the latest after `CONNECT_TIMEOUT_MS`.
                    pass


def call_store(
    method: str,
    url: str,
    body: bytes | None = None,
    wait_ms: int = 0,
    timeout_ms: int = CALL_TIMEOUT_MS,
    open_socket: Callable = lambda *arguments: _open_socket(*arguments),
) -> Result[StoreAnswer, Unreachable | Unknown]:
    """Make one call on a new connection.

    Parameters
    ----------
    wait_ms : int
        Time that the store may wait for changes before it answers. It is added to
        `timeout_ms`.
    open_socket : callable
        Callback for libcurl's ``OPENSOCKETFUNCTION``.
    """
    handle = pycurl.Curl()
    answer, head = io.BytesIO(), AnswerHead()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, timeout_ms + wait_ms)
    handle.setopt(pycurl.OPENSOCKETFUNCTION, open_socket)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.WRITEDATA, answer)
    handle.setopt(pycurl.HEADERFUNCTION, head.on_line)
    handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json", "Expect:"])
    if body is not None:
        handle.setopt(pycurl.POSTFIELDS, body)
    try:
        handle.perform()
        if not head.is_complete:
            return Error(Unknown(CUT_HEAD))
        return Ok(
            StoreAnswer(
                handle.getinfo(pycurl.RESPONSE_CODE),
                answer.getvalue(),
                head.value(ERA_HEADER),
                head.has_framing(),
            )
        )
    except pycurl.error as error:
        code, message = error.args
        connected = handle.getinfo(pycurl.CONNECT_TIME) > 0
        if code in _NOT_SENT or not connected:
            return Error(Unreachable(message))
        return Error(Unknown(message))
    finally:
        handle.close()


def classify_failure(result: Result) -> Result[Any, Unreachable | Unknown]:
    """Return `Unreachable` if the call wrote nothing, `Unknown` if it may have."""
    match result:
        case Result(tag="ok", ok=StoreAnswer(status)) if status in _REFUSALS:
            return Error(Unreachable(f"the store refused the call ({status})"))
        case Result(tag="ok", ok=StoreAnswer(status)):
            return Error(Unknown(f"the store answered {status}"))
        case Result(error=error):
            return Error(error)


def _open_socket(_purpose, address) -> socket.socket:
    """Return a socket whose connection fails when keep-alive probes go unanswered."""
    opened = socket.socket(address.family, address.socktype, address.protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in _KEEP_ALIVE.items():
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened
