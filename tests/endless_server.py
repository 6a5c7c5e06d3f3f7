"""Backend servers whose answers never end."""

import contextlib
import itertools
import socket
import threading
import time
from collections.abc import Iterator

__all__ = ["ENDLESS", "EndlessServer"]

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_FILL = b"x" * 16_000
# The start of each answer, and the part that is repeated after it.
ENDLESS = {
    "status-line": (b"HTTP/1.1 200 ", _FILL),
    "header": (_OK + b"X-Note: ", _FILL),
    "head": (_OK, b"X-Note: " + b"x" * 90 + b"\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "chunks": (_CHUNKED, b"3e80\r\n" + _FILL + b"\r\n"),
    "small-chunks": (_CHUNKED, b"1\r\nx\r\n"),
    "chunk-size": (_CHUNKED, b"0" * 1000),
    "chunk-extension": (_CHUNKED + b"1;", _FILL),
    "no-length": (_OK + b"\r\n", _FILL),
    "too-long": (_OK + b"Content-Length: 1000000000000\r\n\r\n", _FILL),
    "trailers": (_CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Late: " + b"x" * 90 + b"\r\n"),
    "error-body": (b"HTTP/1.1 500 Broken\r\n\r\n", _FILL),
    "no-http": (b"", _FILL),
}
TRICKLE_S = 0.05


class EndlessServer:
    """Answers each request without end, until the client closes the connection.

    Parameters
    ----------
    is_trickling : bool, default=False
        Whether it sends one byte at a time, with pauses.
    is_healthy : bool, default=True
        Whether it answers requests for ``/health`` as it should.
    answer : bytes, default=b""
        A complete answer to send before the endless one.

    Attributes
    ----------
    open_count : int
        Number of connections that the client has not closed.
    check_count : int
        Number of requests for ``/health``.
    """

    def __init__(
        self,
        kind: str,
        is_trickling: bool = False,
        is_healthy: bool = True,
        answer: bytes = b"",
    ) -> None:
        self._start, self._repeated = ENDLESS[kind]
        self._is_trickling = is_trickling
        self._is_healthy = is_healthy
        self._answer = answer
        self._lock = threading.Lock()
        self.open_count = 0
        self.check_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Refuse new connections; can be called more than once."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with self._lock:
            self.open_count += 1
        try:
            with connection:
                self._answer_endlessly(connection)
        except OSError:
            # The client has closed the connection.
            pass
        finally:
            with self._lock:
                self.open_count -= 1

    def _answer_endlessly(self, connection: socket.socket) -> None:
        request = connection.recv(65536)
        is_check = b"/health" in request
        self.check_count += is_check
        if is_check and self._is_healthy:
            connection.sendall(_OK + b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            return
        connection.sendall(self._answer + self._start)
        for part in self._parts():
            connection.sendall(part)

    def _parts(self) -> Iterator[bytes]:
        if not self._is_trickling:
            yield from itertools.repeat(self._repeated)
        for byte in itertools.cycle(self._repeated):
            time.sleep(TRICKLE_S)
            yield bytes([byte])
