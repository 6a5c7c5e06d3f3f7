"""Attempts from other nodes' ingresses, over ZeroMQ."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import zmq

from balsamspindle.backend_servers.attempts import MEMORY_S
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Cancel,
    Dispatch,
    GateEnding,
    Greet,
    Greeting,
    IngressEnding,
    LinkMessage,
    Question,
    Reply,
    WireError,
    decode_link,
    encode,
)
from balsamspindle.wire.security import FleetKeys, protect_listener

__all__ = ["LinkServer"]

REPLIES_ENDPOINT = "inproc://link-server-replies"
POLL_MS = 200
# Messages taken before replies get their turn.
DRAIN_MAX = 1000
STOP_TIMEOUT_S = 5.0
LINGER_MS = 2000
# From the last reply to the end of its connection. A peer that reads both at once
# drops the reply with the connection.
REPLY_TAIL_S = 0.05
# As many as the executor has threads: one more would wait in the executor's
# queue, which has no end and knows no deadline.
WAITING_MAX = 256


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
        keys: FleetKeys | None = None,
    ) -> None:
        self._context = context
        self._gate = gate
        self._executor = executor
        self._events = events
        self._handlers: dict[type, Callable[[Any], LinkMessage | None]] = {}
        self._stopped = threading.Event()
        self._thread_sockets = threading.local()
        # Attempts whose replies have not reached the ROUTER; the owning
        # task's alone.
        self._waiting = 0
        # Who made the attempts that are here; told once when this node may end
        # before they do.
        self._peers: dict[AttemptId, bytes] = {}
        self._replied_s = 0.0
        # When the ingresses of attempts end, until the gate has heard.
        self._ends_s: dict[AttemptId, float] = {}
        self._router = context.socket(zmq.ROUTER)
        # Replies that were handed over still go out when the node stops.
        self._router.setsockopt(zmq.LINGER, LINGER_MS)
        protect_listener(self._router, keys)
        self._router.bind(f"tcp://{address}")
        self._replies = context.socket(zmq.PULL)
        self._replies.setsockopt(zmq.LINGER, 0)
        self._replies.bind(REPLIES_ENDPOINT)

    def register(
        self, handlers: dict[type, Callable[[Any], LinkMessage | None]]
    ) -> None:
        """Hand messages of other types on; call it before `run`.

        The callables run in the task that owns the sockets and must return at once,
        with the answer where there is one.
        """
        self._handlers.update(handlers)

    def run(self) -> None:
        """Take messages until `stop` is called and all replies are out."""
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._replies, zmq.POLLIN)
        stop_s = None
        while not self._may_end(stop_s):
            ready = dict(poller.poll(POLL_MS))
            if self._replies in ready:
                self._send_replies()
            if self._router in ready:
                self._take_all()
            self._tell_of_end(time.monotonic())
            self._pass_ends(time.monotonic())
            if self._stopped.is_set() and stop_s is None:
                stop_s = time.monotonic() + STOP_TIMEOUT_S
        self._router.close()
        self._replies.close()

    def stop(self) -> None:
        """End `run` soon, once each attempt has its reply."""
        self._stopped.set()

    def pending(self) -> int:
        """Return the attempts whose reply was not sent yet."""
        return self._waiting

    def _may_end(self, stop_s: float | None) -> bool:
        if stop_s is None:
            return False
        now_s = time.monotonic()
        is_done = not self._waiting and now_s - self._replied_s >= REPLY_TAIL_S
        return is_done or now_s >= stop_s

    def _send_replies(self) -> None:
        for frames in _drain(self._replies):
            self._waiting -= 1
            # An attempt that came twice has no second reply.
            if len(frames) > 1:
                self._router.send_multipart(frames, copy=False)
                self._replied_s = time.monotonic()

    def _tell_of_end(self, now_s: float) -> None:
        """Tell ingresses of attempts that this node may not live to answer.

        Told only when such a run is cut, an ingress would begin to look for
        another place when most of a caller's time is gone, and its own node may
        be about to leave as well.
        """
        for attempt_id in self._gate.outlasting_attempts(now_s):
            peer = self._peers.pop(attempt_id, None)
            if peer is not None:
                self._router.send_multipart([peer, encode(GateEnding(attempt_id))])

    def _pass_ends(self, now_s: float) -> None:
        """Tell the gate when ingresses end, also of attempts that begin late.

        The word comes right behind its attempt, which waits for a thread. Lost, the
        attempt would be started in the last moments of its ingress.
        """
        for attempt_id, ends_s in list(self._ends_s.items()):
            is_over = now_s >= ends_s + MEMORY_S
            if self._gate.set_ingress_end(attempt_id, ends_s) or is_over:
                del self._ends_s[attempt_id]

    def _take_all(self) -> None:
        """Take all messages that are there, cancellations first.

        A gate that was stopped for a while finds attempts and, behind them,
        their cancellations: what was given up meanwhile does not begin.
        """
        received_s = time.monotonic()
        dispatches = []
        for peer, *_, frame in _drain(self._router):
            match decode_link(frame):
                case Dispatch() as dispatch:
                    dispatches.append((peer, dispatch))
                case WireError(message):
                    self._events.emit("message_dropped", cause=message)
                case message:
                    self._take(peer, message)
        for peer, dispatch in dispatches:
            self._start(peer, dispatch, received_s)

    def _take(self, peer: bytes, message: LinkMessage) -> None:
        match message:
            case Cancel(attempt_id, _, gate_deadline_s, cause):
                self._gate.cancel(attempt_id, gate_deadline_s, cause)
            case IngressEnding(attempt_id, left_ms):
                self._ends_s[attempt_id] = time.monotonic() + left_ms / 1000
            case Question() as question:
                told = self._gate.preview(question, time.monotonic())
                self._router.send_multipart([peer, encode(told)])
            case Greet():
                greeting = Greeting(
                    self._events.node_id, self._events.incarnation, time.monotonic()
                )
                self._router.send_multipart([peer, encode(greeting)])
            case _:
                self._hand_on(peer, message)

    def _hand_on(self, peer: bytes, message: LinkMessage) -> None:
        """Hand a message over to the part of the node that takes it."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._events.emit("message_dropped", cause="not for a gate")
            return
        told = handler(message)
        if told is not None:
            self._router.send_multipart([peer, encode(told)])

    def _start(self, peer: bytes, dispatch: Dispatch, received_s: float) -> None:
        if self._waiting >= WAITING_MAX:
            refusal = self._gate.refuse_busy(dispatch, received_s)
            if refusal is not None:
                self._router.send_multipart([peer, _encode_now(refusal)])
            return
        self._waiting += 1
        self._peers[dispatch.attempt_id] = peer
        self._executor.submit(self._run, peer, dispatch, received_s)

    def _run(self, peer: bytes, dispatch: Dispatch, received_s: float) -> None:
        frames = [peer]
        try:
            self._events.clock.observe(dispatch.hlc, time.time())
            ends_s = self._ends_s.get(dispatch.attempt_id)
            if ends_s is not None:
                left_ms = (ends_s - received_s) * 1000
                dispatch = msgspec.structs.replace(dispatch, ingress_left_ms=left_ms)
            reply = self._gate.handle(dispatch, received_s)
            if reply is not None:
                frames.append(_encode_now(reply))
        except Exception as error:
            # The ingress hears nothing and says 'unknown', which is true.
            self._events.emit("attempt_failed", cause=repr(error))
            raise
        finally:
            self._peers.pop(dispatch.attempt_id, None)
            self._thread_socket().send_multipart(frames)

    def _thread_socket(self) -> zmq.Socket:
        socket = getattr(self._thread_sockets, "push", None)
        if socket is None:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.LINGER, 0)
            socket.connect(REPLIES_ENDPOINT)
            self._thread_sockets.push = socket
        return socket


def _encode_now(reply: Reply) -> bytes:
    """Return a reply with the gate's present time."""
    return encode(msgspec.structs.replace(reply, gate_time_s=time.monotonic()))


def _drain(socket: zmq.Socket) -> Iterator[list[bytes]]:
    """Yield the messages that are there now."""
    for _ in range(DRAIN_MAX):
        try:
            yield socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
