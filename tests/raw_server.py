"""A backend server that sends given bytes, which need not be valid HTTP."""

import socket
import threading
import time
from collections.abc import Callable

__all__ = ["RawServer", "answer_with_length", "read_request"]

HEAD_END = b"\r\n\r\n"


def answer_with_length(body: bytes, head: bytes = b"") -> bytes:
    """Return an answer with status 200, the header lines `head` and Content-Length."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (
        head,
        len(body),
        body,
    )


class RawServer:
    """Reads each request completely and answers it with given bytes.

    Parameters
    ----------
    answer : callable
        Takes the number of the request, from 1; returns the bytes of the answer, and
        whether the connection stays open. If the bytes are None, the server sends
        nothing and waits until the client closes the connection.

    Attributes
    ----------
    sent_count : int
        Number of answers that were sent completely.
    closed_s : list of float
        When the client closed a connection without an answer, on the monotonic clock.
    """

    def __init__(self, answer: Callable[[int], tuple[bytes | None, bool]]) -> None:
        self.answer = answer
        self._lock = threading.Lock()
        self.requests: list[bytes] = []
        self.sent_count = 0
        self.closed_s: list[float] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Refuse new connections; can be called more than once."""
        try:
            # Without a shutdown the thread would stay in `accept`, and the kernel would
            # accept connections until that call returns.
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
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
        with connection:
            keep_open = True
            while keep_open and (request := read_request(connection)):
                with self._lock:
                    self.requests.append(request)
                    number = len(self.requests)
                answer, keep_open = self.answer(number)
                if answer is None:
                    connection.recv(1)
                    self.closed_s.append(time.monotonic())
                    return
                connection.sendall(answer)
                with self._lock:
                    self.sent_count += 1


def read_request(connection: socket.socket) -> bytes:
    """Return a whole request, or no bytes if the client closed the connection."""
    data = b""
    while HEAD_END not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(HEAD_END)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += connection.recv(65536)
    return head + HEAD_END + body
