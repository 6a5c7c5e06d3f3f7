"""Links from this node's ingress to other nodes' gates.

A link is a ZeroMQ DEALER. A task takes one from the pool, is alone in using
it, and gives it back: the pool's lock is the memory barrier that ZeroMQ asks
for when a socket moves between threads.
"""

import threading
import time
from collections.abc import Callable

import zmq
from expression import Result

from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Cancel, Dispatch, Reply, decode_link, encode

__all__ = ["Link", "LinkPool"]

CONNECT_TIMEOUT_MS = 250
LIVENESS_POLL_MS = 100
IDLE_LINKS_PER_PEER_MAX = 8


class Link:
    """One connection to one peer's gate."""

    def __init__(self, context: zmq.Context, address: str) -> None:
        self.address = address
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Without IMMEDIATE a message to an absent peer waits in a queue and
        # is delivered when the peer comes up, long after we called it not
        # run. Without a reconnect no message outlives its connection.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, -1)
        self._socket.connect(f"tcp://{address}")

    def connected(self, timeout_ms: int = 0) -> bool:
        """Tell whether the peer is there, waiting for it a little."""
        return bool(self._socket.poll(timeout_ms, zmq.POLLOUT))

    def send(self, message: Dispatch | Cancel) -> bool:
        """Send, or return False when nothing was handed to a connection."""
        try:
            self._socket.send(encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """End the connection."""
        self._socket.close()

    def wait_reply(
        self,
        attempt_id: AttemptId,
        deadline_s: float,
        caller_fd: int,
        caller_gone: Callable[[], bool],
        on_dropped: Callable[[str], None],
    ) -> Reply | None:
        """Wait for the attempt's own reply.

        Returns
        -------
        Reply or None
            None at the deadline, when the peer went away, or when the caller
            did.
        """
        poller = zmq.Poller()
        poller.register(self._socket, zmq.POLLIN)
        poller.register(caller_fd, zmq.POLLIN)
        while True:
            left_ms = (deadline_s - time.monotonic()) * 1000
            if left_ms <= 0:
                return None
            ready = dict(poller.poll(min(left_ms, LIVENESS_POLL_MS)))
            if self._socket in ready:
                reply = self._matching_reply(attempt_id, on_dropped)
                if reply is not None:
                    return reply
            if caller_fd in ready:
                if caller_gone():
                    return None
                # A pipelined request; it waits for its turn.
                poller.unregister(caller_fd)
            if not ready and not self.connected():
                return None

    def _matching_reply(self, attempt_id, on_dropped) -> Reply | None:
        match decode_link(self._socket.recv()):
            case Result(tag="ok", ok=Reply() as reply):
                if reply.attempt_id == attempt_id:
                    return reply
                # The reply of an attempt that was given up, on a link that
                # serves another one now. Taken for ours it would be a
                # stranger's answer.
                on_dropped("a reply that nobody waits for")
            case Result(tag="ok", ok=_):
                on_dropped("not a reply")
            case Result(error=error):
                on_dropped(error.message)
        return None


class LinkPool:
    """Idle links to all peers."""

    def __init__(self, context: zmq.Context, events: EventLog) -> None:
        self._context = context
        self._events = events
        self._lock = threading.Lock()
        self._idle: dict[str, list[Link]] = {}

    def take(self, address: str) -> Link | None:
        """Return a connected link that is the caller's alone, or None."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                link = idle.pop() if idle else None
            if link is None:
                break
            if link.connected():
                return link
            link.close()
        link = Link(self._context, address)
        if link.connected(CONNECT_TIMEOUT_MS):
            return link
        link.close()
        return None

    def give_back(self, link: Link) -> None:
        """Keep a link for the next attempt."""
        with self._lock:
            idle = self._idle.setdefault(link.address, [])
            if len(idle) < IDLE_LINKS_PER_PEER_MAX:
                idle.append(link)
                return
        link.close()

    def close(self) -> None:
        """Close all idle links."""
        with self._lock:
            links = [link for idle in self._idle.values() for link in idle]
            self._idle.clear()
        for link in links:
            link.close()
