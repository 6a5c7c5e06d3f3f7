"""Transport of member frames: the interface and its ZeroMQ implementation."""

import os
from collections import OrderedDict
from typing import NamedTuple

import zmq

from balsamspindle.wire.codec import MEMBER_MESSAGE_MAX_BYTES
from balsamspindle.wire.keep_alive import keep_alive
from balsamspindle.wire.security import (
    FleetKeys,
    protect_connection,
    protect_listener,
)

__all__ = ["ReceivedFrame", "Route", "Transport", "ZmqTransport"]

OPEN_CONNECTIONS_MAX = 64
SEND_QUEUE_MAX = 64
RECEIVE_QUEUE_MAX = 2000
RECEIVE_BATCH_MAX = 200
HANDSHAKE_TIMEOUT_MS = 2000
# A connection may die without a reset, and its messages are then lost without an error.
# It is closed when data has not been acknowledged for this long, and a connection that
# is not established by then is opened anew. Without the limits, the kernel would
# retransmit at doubling intervals, and messages would be lost for seconds after the
# network has recovered.
UNACKNOWLEDGED_MAX_MS = 1000
CONNECT_TIMEOUT_MS = 1000
RECONNECT_INTERVAL_MAX_MS = 1000
# Bytes on the network for each message besides its payload: ZMTP framing, and the TCP
# and IP headers of the message and of its ACK.
MESSAGE_OVERHEAD_BYTES = 80
# Bytes that this node sends in the TCP and ZMTP handshakes of a new connection.
CONNECT_OVERHEAD_BYTES = 400
# Bytes that this node sends in the CURVE handshake of an encrypted connection.
CURVE_OVERHEAD_BYTES = 500


class Route(NamedTuple):
    """Connection on which a frame was received and on which to send the answer.

    Attributes
    ----------
    address : str
        Address of the peer if this node opened the connection; otherwise empty.
    routing_id : bytes
        ROUTER id of the peer if the peer opened the connection; otherwise empty.
    """

    address: str = ""
    routing_id: bytes = b""


class ReceivedFrame(NamedTuple):
    """A frame and the connection on which the frame was received."""

    route: Route
    frame: bytes


class Transport:
    """Sends frames to members and receives theirs; any frame may be lost."""

    def cost_bytes(self, address: str, size_bytes: int) -> int:
        """Return how many bytes on the network it takes to send a frame.

        Includes headers, and the handshakes if there is no open connection.
        """
        raise NotImplementedError

    def send(self, address: str, frame: bytes) -> bool:
        """Send a frame to a member address; return False if the frame was refused."""
        raise NotImplementedError

    def answer(self, route: Route, frame: bytes) -> bool:
        """Send a frame on the connection on which a peer's frame was received.

        Returns False if the frame was refused.
        """
        raise NotImplementedError

    def receive(self, wait_s: float) -> list[ReceivedFrame]:
        """Wait up to `wait_s` for frames or a call of `wake`; return the frames."""
        raise NotImplementedError

    def disconnect(self, address: str) -> None:
        """Close the connection to an address; the next send opens a new one."""
        raise NotImplementedError

    def wake(self) -> None:
        """Make a running `receive` return; callable from any thread."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all connections."""
        raise NotImplementedError


class ZmqTransport(Transport):
    """Listens on one ROUTER socket and connects with a DEALER socket per peer.

    A node may send to any of thousands of peers. When `OPEN_CONNECTIONS_MAX`
    connections are open, the least recently used one is closed before a new one is
    opened. Without this bound, the number of sockets and the memory of the I/O
    threads would grow with the fleet.

    All methods but `wake` must be called from the same thread.
    """

    def __init__(
        self, context: zmq.Context, address: str, keys: FleetKeys | None = None
    ) -> None:
        self._context = context
        self._keys = keys
        self._connect_bytes = CONNECT_OVERHEAD_BYTES
        if keys is not None:
            self._connect_bytes += CURVE_OVERHEAD_BYTES
        self._connections: OrderedDict[str, zmq.Socket] = OrderedDict()
        self._addresses: dict[zmq.Socket, str] = {}
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._router = self._create_socket(zmq.ROUTER)
        protect_listener(self._router, keys)
        keep_alive(self._router)
        self._router.bind(f"tcp://{address}")
        self._poller = zmq.Poller()
        self._poller.register(self._router, zmq.POLLIN)
        self._poller.register(self._wake_fd, zmq.POLLIN)
        self.connects = 0

    def open_connections(self) -> int:
        """Return the number of connections that this node opened."""
        return len(self._connections)

    def cost_bytes(self, address, size_bytes):
        """See `Transport.cost_bytes`."""
        known = not address or address in self._connections
        connect_bytes = 0 if known else self._connect_bytes
        return size_bytes + MESSAGE_OVERHEAD_BYTES + connect_bytes

    def send(self, address, frame):
        """See `Transport.send`."""
        try:
            socket = self._connections.get(address) or self._connect(address)
            self._connections.move_to_end(address)
            socket.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def answer(self, route, frame):
        """See `Transport.answer`."""
        if route.address:
            return self.send(route.address, frame)
        try:
            self._router.send_multipart([route.routing_id, frame], zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        return True

    def receive(self, wait_s):
        """See `Transport.receive`."""
        received: list[ReceivedFrame] = []
        for source, _ in self._poller.poll(max(0, int(wait_s * 1000))):
            if source == self._wake_fd:
                os.eventfd_read(self._wake_fd)
            else:
                self._receive_frames(source, received)
        return received

    def disconnect(self, address):
        """See `Transport.disconnect`."""
        socket = self._connections.pop(address, None)
        if socket is not None:
            self._close_socket(socket)

    def wake(self):
        """See `Transport.wake`."""
        try:
            os.eventfd_write(self._wake_fd, 1)
        except OSError:
            # The transport is closed, so no `receive` is waiting.
            pass

    def close(self):
        """See `Transport.close`."""
        for address in list(self._connections):
            self.disconnect(address)
        self._router.close()
        wake_fd, self._wake_fd = self._wake_fd, -1
        os.close(wake_fd)

    def _connect(self, address) -> zmq.Socket:
        while len(self._connections) >= OPEN_CONNECTIONS_MAX:
            self.disconnect(next(iter(self._connections)))
        socket = self._create_socket(zmq.DEALER)
        protect_connection(socket, self._keys)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        self._connections[address] = socket
        self._addresses[socket] = address
        self._poller.register(socket, zmq.POLLIN)
        self.connects += 1
        return socket

    def _create_socket(self, kind) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MAX)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MAX)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, UNACKNOWLEDGED_MAX_MS)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_INTERVAL_MAX_MS)
        # ZeroMQ closes a connection on which a message above `MEMBER_MESSAGE_MAX_BYTES`
        # arrives, before the message takes memory in this process.
        socket.setsockopt(zmq.MAXMSGSIZE, MEMBER_MESSAGE_MAX_BYTES)
        return socket

    def _close_socket(self, socket) -> None:
        self._poller.unregister(socket)
        del self._addresses[socket]
        socket.close()

    def _receive_frames(self, socket, received: list[ReceivedFrame]) -> None:
        address = self._addresses.get(socket, "")
        for _ in range(RECEIVE_BATCH_MAX):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            if address:
                received.append(ReceivedFrame(Route(address=address), frames[-1]))
            else:
                received.append(ReceivedFrame(Route(routing_id=frames[0]), frames[-1]))
