"""Cancellation of a call to a backend server from another thread."""

import math
import socket
import threading

from balsamspindle.protocol.outcomes import CancelCause

__all__ = ["CancelToken"]


class CancelToken:
    """Cancels one call from another thread.

    libcurl checks only about once a second whether it should abort a call. Shutting
    down the call's socket wakes libcurl immediately, and also closes the connection to
    the backend server.

    Attributes
    ----------
    cause : CancelCause or None
        Cause of the first cancellation; None if the call is not cancelled.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.cause: CancelCause | None = None
        self._ingress_ends_s = math.inf
        self._socket: socket.socket | None = None

    @property
    def cancelled(self) -> bool:
        """Whether `cancel` has been called."""
        return self.cause is not None

    @property
    def ingress_ends_s(self) -> float:
        """When the call's ingress ends (monotonic); infinity unless it is leaving."""
        return self._ingress_ends_s

    def set_ingress_end(self, ends_s: float) -> None:
        """Set when the call's ingress ends; infinity unless the ingress is leaving."""
        self._ingress_ends_s = ends_s

    def cancel(self, cause: CancelCause) -> None:
        """Abort the call; a call without a connection is aborted when it gets one."""
        with self._lock:
            self.cause = self.cause or cause
            if self._socket is not None:
                _shut_down(self._socket)

    def attach(self, connection: socket.socket | None) -> bool:
        """Set the socket that the call uses now; return False for a cancelled call.

        No cancellation is lost between this method and `cancel`, which uses the same
        lock. If `cancel` runs after this method, it shuts this socket down. If `cancel`
        ran before this method, this method returns False.
        """
        with self._lock:
            self._socket = connection
            return not self.cancelled

    def detach(self) -> bool:
        """Remove the socket after the call has ended.

        Returns
        -------
        bool
            Whether the call was cancelled before, so that `cancel` may have ended it.
        """
        with self._lock:
            self._socket = None
            return self.cancelled


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is not connected yet, or the backend server has closed it.
        pass
