"""The callers' connections of one node: how many, and which are idle."""

import socket
import threading

__all__ = ["OpenConnections"]


class OpenConnections:
    """Holds connections to their bound; idle ones give way to new ones.

    A connection is idle while no byte of its next request has come. Only the
    reading side of an idle one is shut: its task wakes up at once, and a
    request that came in the same moment is still read and answered.
    """

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._changed = threading.Condition()
        self._open: set[socket.socket] = set()
        # Those that have had no request yet.
        self._first: set[socket.socket] = set()
        # Kept in the order in which they fell idle.
        self._idle: dict[socket.socket, None] = {}
        self._closing = False

    def admit(self, connection: socket.socket) -> bool:
        """Take one more connection; False when all are busy.

        At the bound the connection that has been idle longest gives way.
        """
        with self._changed:
            if len(self._open) >= self._connections_max and not self._shut_one_idle():
                return False
            self._open.add(connection)
            self._first.add(connection)
            return True

    def set_idle(self, connection: socket.socket) -> None:
        """Note that a connection waits for its next request."""
        with self._changed:
            self._idle[connection] = None
            if self._closing:
                self._shut(connection)

    def set_busy(self, connection: socket.socket) -> bool:
        """Note that the wait has ended; True when it was ended from here."""
        with self._changed:
            if connection in self._first:
                self._first.discard(connection)
                self._changed.notify_all()
            return self._idle.pop(connection, self) is self

    def left(self, connection: socket.socket) -> None:
        """Note that an admitted connection has ended."""
        with self._changed:
            self._open.discard(connection)
            self._first.discard(connection)
            self._idle.pop(connection, None)

    def open(self) -> int:
        """Return the number of connections."""
        with self._changed:
            return len(self._open)

    def busy(self) -> int:
        """Return the number of connections that do not wait for a request."""
        with self._changed:
            return len(self._open) - len(self._idle)

    def close_idle(self, first_too: bool = False) -> None:
        """Shut idle connections.

        Parameters
        ----------
        first_too : bool, default=False
            Also those that wait for their first request, and all that fall
            idle from now on.
        """
        with self._changed:
            self._closing = first_too
            for connection in list(self._idle):
                if first_too or connection not in self._first:
                    self._shut(connection)

    def wait_for_first_requests(self, timeout_s: float) -> None:
        """Wait until no connection waits for its first request, or in vain."""
        with self._changed:
            self._changed.wait_for(lambda: not self._first, timeout_s)

    def cut(self) -> None:
        """End all connections at once."""
        with self._changed:
            for connection in self._open:
                _shut_down(connection, socket.SHUT_RDWR)

    def _shut_one_idle(self) -> bool:
        connection = next(iter(self._idle), None)
        if connection is None:
            return False
        self._shut(connection)
        return True

    def _shut(self, connection: socket.socket) -> None:
        del self._idle[connection]
        _shut_down(connection, socket.SHUT_RD)


def _shut_down(connection: socket.socket, how: int) -> None:
    try:
        connection.shutdown(how)
    except OSError:
        # Closed by its own task or by the caller.
        pass
