"""Tracks the callers' connections of one node and limits their number."""

import socket
import threading

__all__ = ["OpenConnections"]


class OpenConnections:
    """Limits the number of connections; at the limit, a new one replaces an idle one.

    A connection is idle while it waits for the first byte of its next request. To end
    an idle connection, this class shuts down only its reading side. The task that waits
    for the next request then wakes up at once and closes the connection. A request that
    arrives at the same moment is still read and answered.
    """

    def __init__(self, connections_max: int) -> None:
        self._connections_max = connections_max
        self._changed = threading.Condition()
        self._open: set[socket.socket] = set()
        # Connections that have not received a request yet.
        self._without_request: set[socket.socket] = set()
        # Idle connections, in the order in which they became idle.
        self._idle: dict[socket.socket, None] = {}
        self._closing = False

    def admit(self, connection: socket.socket) -> bool:
        """Add a connection; return whether it was added.

        At the limit, the connection that has been idle for the longest time is shut
        down to make room. If no connection is idle, the new one is not added.
        """
        with self._changed:
            if (
                len(self._open) >= self._connections_max
                and not self._shut_longest_idle()
            ):
                return False
            self._open.add(connection)
            self._without_request.add(connection)
            return True

    def set_idle(self, connection: socket.socket) -> None:
        """Record that a connection waits for its next request."""
        with self._changed:
            self._idle[connection] = None
            if self._closing:
                self._shut_idle(connection)

    def set_busy(self, connection: socket.socket) -> bool:
        """Record that a connection no longer waits for its next request.

        Returns
        -------
        bool
            True if the connection was shut down by this object while it was idle.
        """
        with self._changed:
            if connection in self._without_request:
                self._without_request.discard(connection)
                self._changed.notify_all()
            return self._idle.pop(connection, self) is self

    def remove(self, connection: socket.socket) -> None:
        """Stop tracking a connection that is closed."""
        with self._changed:
            self._open.discard(connection)
            self._without_request.discard(connection)
            self._idle.pop(connection, None)

    def open_count(self) -> int:
        """Return the number of admitted connections that have not been removed."""
        with self._changed:
            return len(self._open)

    def busy_count(self) -> int:
        """Return the number of connections that are not waiting for a request."""
        with self._changed:
            return len(self._open) - len(self._idle)

    def close_idle(self, include_new: bool = False) -> None:
        """Shut down idle connections.

        Parameters
        ----------
        include_new : bool, default=False
            Whether to also shut down connections that wait for their first request,
            and from now on each connection as soon as it becomes idle.
        """
        with self._changed:
            self._closing = include_new
            for connection in list(self._idle):
                if include_new or connection not in self._without_request:
                    self._shut_idle(connection)

    def wait_for_first_requests(self, timeout_s: float) -> None:
        """Wait until every connection has received a request, at most `timeout_s`."""
        with self._changed:
            self._changed.wait_for(lambda: not self._without_request, timeout_s)

    def shut_down_all(self) -> None:
        """Shut down all connections immediately, including busy ones."""
        with self._changed:
            for connection in self._open:
                _shut_down(connection, socket.SHUT_RDWR)

    def _shut_longest_idle(self) -> bool:
        connection = next(iter(self._idle), None)
        if connection is None:
            return False
        self._shut_idle(connection)
        return True

    def _shut_idle(self, connection: socket.socket) -> None:
        del self._idle[connection]
        _shut_down(connection, socket.SHUT_RD)


def _shut_down(connection: socket.socket, how: int) -> None:
    try:
        connection.shutdown(how)
    except OSError:
        # The task that serves the connection, or the caller, has already closed it.
        pass
