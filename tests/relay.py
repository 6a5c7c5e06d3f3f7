"""A TCP relay that simulates network faults by losing or delaying data."""

import socket
import struct
import threading
import time
from enum import StrEnum

from tests.utils import free_port

CHUNK_BYTES = 64 * 1024
IDLE_POLL_S = 0.005
# Data that follows after a shorter pause belongs to the same message.
MESSAGE_PAUSE_S = 0.05


class Flow(StrEnum):
    """How the relay handles the data that is sent in one direction."""

    PASS = "pass"
    # Data is delayed until the flow is `PASS` again, and then forwarded in order.
    HOLD = "hold"
    # Data is discarded. A connection that has lost data stays open, but delivers
    # nothing further in either direction, not even its end.
    DROP = "drop"


class Relay:
    """Listens on `address` and relays each connection to `target`.

    Attributes
    ----------
    forward, backward : Flow
        How data to the target and data from the target is handled.
    delay_s : float
        Delay of each message in either direction, whatever its size.
    refusal : bytes or None
        If not None, each new connection gets these bytes in answer to the first data
        that it sends, and is then closed. If empty, it is reset at once.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.forward = Flow.PASS
        self.backward = Flow.PASS
        self.delay_s = 0.0
        self.refusal: bytes | None = None
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self._listener = socket.create_server(("127.0.0.1", port))
        self._sockets: list[socket.socket] = []
        # Sockets of connections that have lost data.
        self._lossy: set[socket.socket] = set()
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_connections(self) -> None:
        """Close the open connections; new ones are still accepted."""
        for connection in self._sockets:
            _close(connection)
        self._sockets.clear()
        self._lossy.clear()

    def close(self) -> None:
        """Close the relay and all its connections."""
        self._closed = True
        self._listener.close()
        self.reset_connections()

    def _accept(self) -> None:
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            if self.refusal is not None:
                _refuse(near, self.refusal)
                continue
            host, _, port = self.target.partition(":")
            try:
                far = socket.create_connection((host, int(port)), timeout=5)
            except OSError:
                _close(near)
                continue
            far.settimeout(None)
            self._sockets += [near, far]
            for source, sink, name in (
                (near, far, "forward"),
                (far, near, "backward"),
            ):
                threading.Thread(
                    target=self._forward, args=(source, sink, name), daemon=True
                ).start()

    def _forward(self, source, sink, direction) -> None:
        forwarded_s = float("-inf")
        try:
            while data := source.recv(CHUNK_BYTES):
                if time.monotonic() > forwarded_s + MESSAGE_PAUSE_S:
                    time.sleep(self.delay_s)
                while getattr(self, direction) is Flow.HOLD and not self._closed:
                    time.sleep(IDLE_POLL_S)
                if getattr(self, direction) is Flow.DROP:
                    self._lossy |= {source, sink}
                if source not in self._lossy:
                    sink.sendall(data)
                forwarded_s = time.monotonic()
        except OSError:
            pass
        _close(source)
        if direction == "forward" or source not in self._lossy:
            _close(sink)


def _refuse(connection: socket.socket, refusal: bytes) -> None:
    """Answer one request with `refusal`, or reset the connection if that is empty."""
    try:
        if refusal:
            connection.settimeout(1.0)
            connection.recv(CHUNK_BYTES)
            connection.sendall(refusal)
        else:
            no_linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            connection.close()
            return
    except OSError:
        pass
    _close(connection)


def _close(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
