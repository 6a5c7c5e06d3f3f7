"""Attempts from other nodes' ingresses, over ZeroMQ."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import zmq
from expression import Result

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Cancel, Dispatch, Reply, decode_link, encode

__all__ = ["LinkServer"]

REPLIES_ENDPOINT = "inproc://link-server-replies"
POLL_MS = 200


class LinkServer:
    """Takes attempts from peers, runs them at the gate, sends replies.

    One task owns the ROUTER socket; each attempt is a task of the executor,
    which hands its reply back over an inproc socket of its thread.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        gate: Gate,
        executor: ThreadPoolExecutor,
        events: EventLog,
    ) -> None:
        self._context = context
        self._gate = gate
        self._executor = executor
        self._events = events
        self._stopped = threading.Event()
        self._thread_sockets = threading.local()
        self._router = context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.bind(f"tcp://{address}")
        self._replies = context.socket(zmq.PULL)
        self._replies.setsockopt(zmq.LINGER, 0)
        self._replies.bind(REPLIES_ENDPOINT)

    def run(self) -> None:
        """Take messages until `stop` is called."""
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._replies, zmq.POLLIN)
        while not self._stopped.is_set():
            ready = dict(poller.poll(POLL_MS))
            if self._replies in ready:
                self._router.send_multipart(self._replies.recv_multipart(copy=False))
            if self._router in ready:
                self._take(self._router.recv_multipart())
        self._router.close()
        self._replies.close()

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def _take(self, frames: list[bytes]) -> None:
        peer, frame = frames[0], frames[-1]
        match decode_link(frame):
            case Result(tag="ok", ok=Dispatch() as dispatch):
                self._executor.submit(self._run, peer, dispatch, time.monotonic())
            case Result(tag="ok", ok=Cancel(attempt_id)):
                self._gate.cancel(attempt_id)
            case Result(tag="ok", ok=Reply()):
                self._events.emit("message_dropped", cause="a reply at a gate")
            case Result(error=error):
                self._events.emit("message_dropped", cause=error.message)

    def _run(self, peer: bytes, dispatch: Dispatch, received_s: float) -> None:
        self._events.clock.observe(dispatch.hlc, time.time())
        reply = self._gate.handle(dispatch, received_s)
        self._thread_socket().send_multipart([peer, encode(reply)])

    def _thread_socket(self) -> zmq.Socket:
        socket = getattr(self._thread_sockets, "push", None)
        if socket is None:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.LINGER, 0)
            socket.connect(REPLIES_ENDPOINT)
            self._thread_sockets.push = socket
        return socket
