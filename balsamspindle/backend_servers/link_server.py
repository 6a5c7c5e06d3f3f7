"""Server for attempts that other nodes' ingresses send over ZeroMQ."""

import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import msgspec
import zmq

from balsamspindle.backend_servers.attempts import ATTEMPT_RETENTION_S
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    Cancel,
    Dispatch,
    GateEnding,
    GreetingReply,
    GreetingRequest,
    IngressEnding,
    LinkMessage,
    Reply,
    ReservationCall,
    ReservationRequest,
    WireError,
    decode_link,
    encode,
)
from balsamspindle.wire.keep_alive import keep_alive
from balsamspindle.wire.security import FleetKeys, protect_listener

__all__ = ["LinkServer"]

REPLIES_ENDPOINT = "inproc://link-server-replies"
POLL_MS = 200
# Maximum number of messages received before the next replies are sent.
MESSAGES_PER_POLL_MAX = 1000
STOP_TIMEOUT_S = 5.0
LINGER_MS = 2000
# How long the connections stay open after the last reply. Otherwise this reply could be
# lost: a peer discards a reply that it reads together with the end of the connection.
LAST_REPLY_DELAY_S = 0.05
# Maximum number of attempts handled at the same time, equal to the number of the
# executor's threads. Further attempts would wait in the executor's queue, which is
# unbounded and ignores deadlines.
PENDING_MAX = 256
# Last frame of a message from a worker thread that is not the attempt's reply.
CALL_MARK = b"call"


class LinkServer:
    """Receives attempts from other nodes, runs them at the gate and sends the replies.

    Only the thread that executes `run` uses the ROUTER socket. Each attempt runs in an
    executor thread, which sends the reply to `run` through an inproc socket of its own.
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
        # Number of attempts whose reply `run` has not received from the executor's
        # threads yet. Only the thread that executes `run` changes this number.
        self._pending = 0
        # The peer that sent each pending attempt. The entry of an attempt is removed
        # when the attempt ends, or when the peer is notified that this node may end
        # before the attempt does.
        self._peers: dict[AttemptId, bytes] = {}
        self._replied_s = 0.0
        # For each attempt that the gate does not know yet: when its ingress ends.
        self._ingress_ends_s: dict[AttemptId, float] = {}
        self._router = context.socket(zmq.ROUTER)
        # After the socket is closed, queued replies are still sent for this long.
        self._router.setsockopt(zmq.LINGER, LINGER_MS)
        protect_listener(self._router, keys)
        keep_alive(self._router)
        self._router.bind(f"tcp://{address}")
        self._replies = context.socket(zmq.PULL)
        self._replies.setsockopt(zmq.LINGER, 0)
        self._replies.bind(REPLIES_ENDPOINT)

    def register(
        self, handlers: dict[type, Callable[[Any], LinkMessage | None]]
    ) -> None:
        """Register handlers of message types that this class does not handle itself.

        This method must be called before `run`.

        Handlers run in the thread that executes `run`, so they must not block. A
        handler returns the answer to send, or None.
        """
        self._handlers.update(handlers)

    def run(self) -> None:
        """Handle messages until `stop` takes effect."""
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._replies, zmq.POLLIN)
        stop_deadline_s = None
        while not self._can_end(stop_deadline_s):
            ready = dict(poller.poll(POLL_MS))
            if self._replies in ready:
                self._send_replies()
            if self._router in ready:
                self._receive_all()
            self._notify_node_ending(time.monotonic())
            self._report_ingress_ends(time.monotonic())
            if self._stopped.is_set() and stop_deadline_s is None:
                stop_deadline_s = time.monotonic() + STOP_TIMEOUT_S
        self._router.close()
        self._replies.close()

    def stop(self) -> None:
        """Make `run` return when all replies are sent, or after `STOP_TIMEOUT_S`."""
        self._stopped.set()

    def pending(self) -> int:
        """Return the number of attempts whose reply was not sent yet."""
        return self._pending

    def _can_end(self, stop_deadline_s: float | None) -> bool:
        if stop_deadline_s is None:
            return False
        now_s = time.monotonic()
        is_done = not self._pending and now_s - self._replied_s >= LAST_REPLY_DELAY_S
        return is_done or now_s >= stop_deadline_s

    def _send_replies(self) -> None:
        for frames in _receive_ready(self._replies):
            if frames[-1] == CALL_MARK:
                self._router.send_multipart(frames[:-1], copy=False)
                continue
            self._pending -= 1
            # A message without a second frame only reports that an attempt has ended
            # without a reply: the attempt was a duplicate, or raised an exception.
            if len(frames) > 1:
                self._router.send_multipart(frames, copy=False)
                self._replied_s = time.monotonic()

    def _notify_node_ending(self, now_s: float) -> None:
        """Notify ingresses of attempts that may not finish before this node ends.

        If an ingress were notified only when this node interrupts the run, most of the
        caller's time would have elapsed before the ingress looks for another backend
        server. By then, the node of the ingress might be about to end as well.
        """
        for attempt_id in self._gate.outlasting_attempts(now_s):
            peer = self._peers.pop(attempt_id, None)
            if peer is not None:
                self._router.send_multipart([peer, encode(GateEnding(attempt_id))])

    def _report_ingress_ends(self, now_s: float) -> None:
        """Report to the gate when the ingresses of its attempts end.

        An `IngressEnding` message can arrive while its attempt still waits for a thread
        and is unknown to the gate. The end is therefore reported again until the gate
        knows the attempt, for up to `ATTEMPT_RETENTION_S` after the end. Otherwise the
        attempt could start just before its ingress ends.
        """
        for attempt_id, ends_s in list(self._ingress_ends_s.items()):
            is_expired = now_s >= ends_s + ATTEMPT_RETENTION_S
            if self._gate.set_ingress_end(attempt_id, ends_s) or is_expired:
                del self._ingress_ends_s[attempt_id]

    def _receive_all(self) -> None:
        """Receive all queued messages and handle cancellations before attempts.

        After the process was suspended, an attempt and its cancellation may both be
        queued, the attempt first. A cancelled attempt must not begin.
        """
        received_s = time.monotonic()
        attempts = []
        for peer, *_, frame in _receive_ready(self._router):
            match decode_link(frame):
                case Dispatch() | ReservationRequest() as attempt:
                    attempts.append((peer, attempt))
                case WireError(message):
                    self._events.emit("message_dropped", cause=message)
                case message:
                    self._handle(peer, message)
        for peer, attempt in attempts:
            self._submit(peer, attempt, received_s)

    def _handle(self, peer: bytes, message: LinkMessage) -> None:
        match message:
            case Cancel(attempt_id, _, gate_deadline_s, cause):
                self._gate.cancel(attempt_id, gate_deadline_s, cause)
            case IngressEnding(attempt_id, remaining_ms):
                self._ingress_ends_s[attempt_id] = (
                    time.monotonic() + remaining_ms / 1000
                )
            case AdmissionQuery() as query:
                answer = self._gate.preview(query, time.monotonic())
                self._router.send_multipart([peer, encode(answer)])
            case GreetingRequest():
                greeting = GreetingReply(
                    self._events.node_id, self._events.incarnation, time.monotonic()
                )
                self._router.send_multipart([peer, encode(greeting)])
            case _:
                self._call_handler(peer, message)

    def _call_handler(self, peer: bytes, message: LinkMessage) -> None:
        """Pass a message to the handler that is registered for its type."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._events.emit(
                "message_dropped", cause="no handler for this type of message"
            )
            return
        answer = handler(message)
        if answer is not None:
            self._router.send_multipart([peer, encode(answer)])

    def _submit(
        self, peer: bytes, attempt: Dispatch | ReservationRequest, received_s: float
    ) -> None:
        if isinstance(attempt, Dispatch) and attempt.is_reserved:
            # The task that holds the slot runs the dispatch and sends the reply.
            self._events.clock.observe(attempt.hlc, time.time())
            if self._gate.take_reserved(attempt, received_s):
                return
        if self._pending >= PENDING_MAX:
            refusal = self._refuse_busy(attempt, received_s)
            if refusal is not None:
                self._router.send_multipart([peer, _encode_now(refusal)])
            return
        self._pending += 1
        self._peers[attempt.attempt_id] = peer
        self._executor.submit(self._run, peer, attempt, received_s)

    def _refuse_busy(
        self, attempt: Dispatch | ReservationRequest, received_s: float
    ) -> Reply | None:
        if isinstance(attempt, ReservationRequest):
            return self._gate.refuse_reservation(attempt)
        return self._gate.refuse_busy(attempt, received_s)

    def _run(
        self, peer: bytes, attempt: Dispatch | ReservationRequest, received_s: float
    ) -> None:
        frames = [peer]
        try:
            match attempt:
                case Dispatch() as dispatch:
                    reply = self._handle_dispatch(dispatch, received_s)
                case ReservationRequest() as request:
                    reply = self._gate.reserve(
                        request, received_s, lambda call: self._send_call(peer, call)
                    )
            if reply is not None:
                frames.append(_encode_now(reply))
        except Exception as error:
            # Without a reply, the ingress reports the outcome 'unknown' to the caller.
            # This outcome is correct because the request may have run.
            self._events.emit("attempt_failed", cause=repr(error))
            raise
        finally:
            self._peers.pop(attempt.attempt_id, None)
            self._thread_socket().send_multipart(frames)

    def _handle_dispatch(self, dispatch: Dispatch, received_s: float) -> Reply | None:
        self._events.clock.observe(dispatch.hlc, time.time())
        ends_s = self._ingress_ends_s.get(dispatch.attempt_id)
        if ends_s is not None:
            remaining_ms = (ends_s - received_s) * 1000
            dispatch = msgspec.structs.replace(
                dispatch, ingress_remaining_ms=remaining_ms
            )
        return self._gate.handle(dispatch, received_s)

    def _send_call(self, peer: bytes, call: ReservationCall) -> None:
        """Send a call from a worker thread, whose attempt stays pending."""
        self._thread_socket().send_multipart([peer, encode(call), CALL_MARK])

    def _thread_socket(self) -> zmq.Socket:
        socket = getattr(self._thread_sockets, "push", None)
        if socket is None:
            socket = self._context.socket(zmq.PUSH)
            socket.setsockopt(zmq.LINGER, 0)
            socket.connect(REPLIES_ENDPOINT)
            self._thread_sockets.push = socket
        return socket


def _encode_now(reply: Reply) -> bytes:
    """Encode a reply with the gate's present time."""
    return encode(msgspec.structs.replace(reply, gate_time_s=time.monotonic()))


def _receive_ready(socket: zmq.Socket) -> Iterator[list[bytes]]:
    """Yield up to `MESSAGES_PER_POLL_MAX` messages that have already arrived."""
    for _ in range(MESSAGES_PER_POLL_MAX):
        try:
            yield socket.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
