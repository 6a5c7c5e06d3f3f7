"""A backend server that answers requests a second time, late."""

import socket
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
    """Sends each answer again when the next request on its connection has arrived.

    The copy precedes the answer to that request.

    Parameters
    ----------
    answer : callable
        Takes a request and its number, from 1; returns the bytes of its answer.
    sends_copies : bool
        Whether answers are sent again.

    Attributes
    ----------
    connection_count : int
        Number of connections on which a request arrived.
    """

    def __init__(
        self, answer: Callable[[bytes, int], bytes], sends_copies: bool = True
    ) -> None:
        self._sends_copies = sends_copies
        self._latest: socket.socket | None = None
        self.connection_count = 0
        super().__init__(answer)

    def send_stray(self, data: bytes, ends_connection: bool = False) -> None:
        """Send bytes on the connection of the latest request."""
        self._latest.sendall(data)
        if ends_connection:
            self._latest.shutdown(socket.SHUT_RDWR)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            previous = b""
            while request := _read_request(connection):
                with self._lock:
                    self.requests.append(request)
                    number = len(self.requests)
                    self.connection_count += not previous
                    self._latest = connection
                answer = self.answer(request, number)
                copy = previous if self._sends_copies else b""
                try:
                    connection.sendall(copy + answer)
                except OSError:
                    return
                previous = answer


def _read_request(connection: socket.socket) -> bytes:
    try:
        return read_request(connection)
    except ConnectionError:
        # The client has closed the connection, and has not read all that was sent.
        return b""
