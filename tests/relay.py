"""A TCP relay that can cut, delay or freeze one direction: the network's faults."""

import socket
import threading
import time
from enum import StrEnum

from tests.utils import free_port

CHUNK_BYTES = 64 * 1024
IDLE_POLL_S = 0.005


class Flow(StrEnum):
    """What happens to bytes of one direction."""

    PASS = "pass"
    # Bytes wait until the flow passes again: late, in order.
    HOLD = "hold"
    # Bytes vanish; the connection stays open: a one-way partition.
    DROP = "drop"


class Relay:
    """Listens on `address` and forwards to `target`, a byte stream each way."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.forward = Flow.PASS
        self.backward = Flow.PASS
        self.delay_s = 0.0
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self._listener = socket.create_server(("127.0.0.1", port))
        self._sockets: list[socket.socket] = []
        self._closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Reset the open connections; new ones still work."""
        for connection in self._sockets:
            _shut(connection)
        self._sockets.clear()

    def close(self) -> None:
        """End the relay."""
        self._closed = True
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while not self._closed:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            host, _, port = self.target.partition(":")
            try:
                far = socket.create_connection((host, int(port)), timeout=5)
            except OSError:
                _shut(near)
                continue
            far.settimeout(None)
            self._sockets += [near, far]
            for source, sink, name in (
                (near, far, "forward"),
                (far, near, "backward"),
            ):
                threading.Thread(
                    target=self._pump, args=(source, sink, name), daemon=True
                ).start()

    def _pump(self, source, sink, direction) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                if self.delay_s:
                    time.sleep(self.delay_s)
                while getattr(self, direction) is Flow.HOLD and not self._closed:
                    time.sleep(IDLE_POLL_S)
                if getattr(self, direction) is Flow.PASS:
                    sink.sendall(data)
        except OSError:
            pass
        _shut(source)
        _shut(sink)


def _shut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
