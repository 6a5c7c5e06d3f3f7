"""How member frames travel: an interface, and ZeroMQ behind it."""

import os
from collections import OrderedDict
from typing import NamedTuple

import zmq

from balsamspindle.wire.codec import MEMBER_MESSAGE_MAX_BYTES
from balsamspindle.wire.security import (
    FleetKeys,
    protect_connection,
    protect_listener,
)

__all__ = ["Received", "Route", "Transport", "ZmqTransport"]

OPEN_PEERS_MAX = 64
SEND_QUEUE_MAX = 64
RECEIVE_QUEUE_MAX = 2000
RECEIVE_BATCH_MAX = 200
HANDSHAKE_TIMEOUT_MS = 2000
# Payload aside: ZMTP framing, TCP and IP headers of the message and its ACK.
MESSAGE_OVERHEAD_BYTES = 80
# TCP and ZMTP handshakes of one new connection, our half.
CONNECT_OVERHEAD_BYTES = 400
# CURVE's further handshake messages, our half.
CURVE_OVERHEAD_BYTES = 500


class Route(NamedTuple):
    """Where an answer to a received frame goes.

    Attributes
    ----------
    address : str
        Set for frames that came on a connection that this node opened.
    routing_id : bytes
        Set for frames that came on a connection that the peer opened.
    """

    address: str = ""
    routing_id: bytes = b""


class Received(NamedTuple):
    """One frame and the route back."""

    route: Route
    frame: bytes


class Transport:
    """Carries frames between members; not reliable, may lose any of them."""

    def cost_bytes(self, address: str, size_bytes: int) -> int:
        """Return what sending a frame costs on the network."""
        raise NotImplementedError

    def send(self, address: str, frame: bytes) -> bool:
        """Send to a member address; False when it was not taken."""
        raise NotImplementedError

    def answer(self, route: Route, frame: bytes) -> bool:
        """Send on the connection that a frame came on."""
        raise NotImplementedError

    def receive(self, wait_s: float) -> list[Received]:
        """Return frames, waiting for the first or a `wake`."""
        raise NotImplementedError

    def forget(self, address: str) -> None:
        """Close the connection to an address; the next send opens one."""
        raise NotImplementedError

    def wake(self) -> None:
        """End a `receive` that waits; callable from any thread."""
        raise NotImplementedError

    def close(self) -> None:
        """Close all connections."""
        raise NotImplementedError


class ZmqTransport(Transport):
    """One ROUTER to listen, and a bounded number of DEALERs to ask.

    A node may ask any of thousands of peers. Connections beyond
    `OPEN_PEERS_MAX` are closed, the longest unused first: without the bound
    the open sockets, and their threads' memory, grow with the fleet.

    All but `wake` is called from one thread.
    """

    def __init__(
        self, context: zmq.Context, address: str, keys: FleetKeys | None = None
    ) -> None:
        self._context = context
        self._keys = keys
        self._connect_bytes = CONNECT_OVERHEAD_BYTES
        if keys is not None:
            self._connect_bytes += CURVE_OVERHEAD_BYTES
        self._peers: OrderedDict[str, zmq.Socket] = OrderedDict()
        self._addresses: dict[zmq.Socket, str] = {}
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK)
        self._router = self._socket(zmq.ROUTER)
        protect_listener(self._router, keys)
        self._router.bind(f"tcp://{address}")
        self._poller = zmq.Poller()
        self._poller.register(self._router, zmq.POLLIN)
        self._poller.register(self._wake_fd, zmq.POLLIN)
        self.connects = 0

    def open_peers(self) -> int:
        """Return the number of connections that this node opened."""
        return len(self._peers)

    def cost_bytes(self, address, size_bytes):
        """See `Transport.cost_bytes`."""
        known = not address or address in self._peers
        connect_bytes = 0 if known else self._connect_bytes
        return size_bytes + MESSAGE_OVERHEAD_BYTES + connect_bytes

    def send(self, address, frame):
        """See `Transport.send`."""
        try:
            socket = self._peers.get(address) or self._open(address)
            self._peers.move_to_end(address)
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
        received: list[Received] = []
        for source, _ in self._poller.poll(max(0, int(wait_s * 1000))):
            if source == self._wake_fd:
                os.eventfd_read(self._wake_fd)
            else:
                self._read(source, received)
        return received

    def forget(self, address):
        """See `Transport.forget`."""
        socket = self._peers.pop(address, None)
        if socket is not None:
            self._close(socket)

    def wake(self):
        """See `Transport.wake`."""
        try:
            os.eventfd_write(self._wake_fd, 1)
        except OSError:
            # Closed: nobody waits any more.
            pass

    def close(self):
        """See `Transport.close`."""
        for address in list(self._peers):
            self.forget(address)
        self._router.close()
        wake_fd, self._wake_fd = self._wake_fd, -1
        os.close(wake_fd)

    def _open(self, address) -> zmq.Socket:
        while len(self._peers) >= OPEN_PEERS_MAX:
            self.forget(next(iter(self._peers)))
        socket = self._socket(zmq.DEALER)
        protect_connection(socket, self._keys)
        try:
            socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            socket.close()
            raise
        self._peers[address] = socket
        self._addresses[socket] = address
        self._poller.register(socket, zmq.POLLIN)
        self.connects += 1
        return socket

    def _socket(self, kind) -> zmq.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MAX)
        socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MAX)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        # The library drops a connection that sends more, before the bytes
        # take memory here.
        socket.setsockopt(zmq.MAXMSGSIZE, MEMBER_MESSAGE_MAX_BYTES)
        return socket

    def _close(self, socket) -> None:
        self._poller.unregister(socket)
        del self._addresses[socket]
        socket.close()

    def _read(self, socket, received: list[Received]) -> None:
        address = self._addresses.get(socket, "")
        for _ in range(RECEIVE_BATCH_MAX):
            try:
                frames = socket.recv_multipart(zmq.NOBLOCK)
            except zmq.ZMQError:
                return
            if address:
                received.append(Received(Route(address=address), frames[-1]))
            else:
                received.append(Received(Route(routing_id=frames[0]), frames[-1]))
