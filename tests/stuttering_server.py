"""A backend server that answers requests a second time, late."""

import socket
import threading
from collections.abc import Callable

from tests.raw_server import RawServer, answer_with_length, read_request

__all__ = ["StutteringServer", "echoed_answer"]

ID_HEADER = b"x-request-id"


def echoed_answer(
    request: bytes, status: bytes = b"200 OK", signature: bytes = b"X-Signature"
) -> bytes:
    """Return a signed answer with the id of a request and its target as the body."""
    lines = [signature + b": s"]
    for line in request.split(b"\r\n"):
        if line.partition(b":")[0].lower() == ID_HEADER:
            lines.append(line)
    head = b"\r\n".join(lines) + b"\r\n"
    answer = answer_with_length(request.split(b" ")[1], head)
    return answer.replace(b"200 OK", status, 1)


class StutteringServer(RawServer):
    """Sends each answer a second time on its connection.

    Parameters
    ----------
    answer : callable
        Takes a request and its number, from 1; returns the bytes of its answer.
    late_s : float or None
        How long after an answer its copy is sent. If None, the copy is sent when the
        next request on the connection has arrived, before the answer to that request.

    Attributes
    ----------
    sends_copies : bool
        Whether answers are sent a second time.
    copy : bytes or None
        What is sent after `late_s` in place of the copy; None: the copy.
    ends_after_copy : bool
        Whether the server then closes the connection.
    connection_count : int
        Number of connections on which a request arrived.
    """

    def __init__(
        self, answer: Callable[[bytes, int], bytes], late_s: float | None = None
    ) -> None:
        self._late_s = late_s
        self.connection_count = 0
        self.sends_copies = True
        self.copy: bytes | None = None
        self.ends_after_copy = False
        super().__init__(answer)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            previous = copy = b""
            while request := _read_request(connection):
                with self._lock:
                    self.requests.append(request)
                    number = len(self.requests)
                    self.connection_count += not previous
                answer = self.answer(request, number)
                try:
                    connection.sendall(copy + answer)
                except OSError:
                    return
                previous = answer
                if self._late_s is None:
                    copy = answer if self.sends_copies else b""
                elif self.sends_copies:
                    timer = threading.Timer(
                        self._late_s,
                        _send_copy,
                        (connection, self.copy or answer, self.ends_after_copy),
                    )
                    timer.daemon = True
                    timer.start()


def _read_request(connection: socket.socket) -> bytes:
    try:
        return read_request(connection)
    except ConnectionError:
        # The client has closed the connection, and has not read all that was sent.
        return b""


def _send_copy(connection: socket.socket, answer: bytes, ends: bool) -> None:
    try:
        connection.sendall(answer)
        if ends:
            connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The client has closed the connection.
        pass
