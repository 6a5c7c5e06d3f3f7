"""A link from this node's ingress to another node's gate: a ZeroMQ DEALER socket.

`balsamspindle.requests.link_pool` lends links to tasks.
"""

import math
import time
from collections import deque
from collections.abc import Callable

import msgspec
import zmq

from balsamspindle.metrics import Hop, Metrics
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests.gate_clock import GateClock
from balsamspindle.requests.peer_timeout import PeerTimeout
from balsamspindle.wire import (
    AdmissionAnswer,
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
    checksum,
    decode_link,
    encode,
)
from balsamspindle.wire.limit_messages import LimitAnswer, LimitQuestion
from balsamspindle.wire.security import FleetKeys, protect_connection

__all__ = ["GateClock", "Link", "poll_timeout_ms"]

# A link over which nothing was received for longer than this is checked before use,
# because one direction of the network may have failed in the meantime. The check costs
# a round trip, so it is made less often for idempotent requests, which can be retried.
CHECK_VALID_S = {Execution.NON_IDEMPOTENT: 1.0, Execution.IDEMPOTENT: 10.0}
CANCEL_LINGER_MS = 1000
# Number of withdrawn reservations whose late answers a link ignores without an event.
WITHDRAWN_MAX = 8


class Link:
    """One connection to a peer's gate, for one attempt at a time.

    Parameters
    ----------
    on_close : callable
        Called once, when the link is closed.

    Raises
    ------
    zmq.ZMQError
        If the context or the process has no more sockets.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        keys: FleetKeys | None,
        metrics: Metrics,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        self.address = address
        self._on_close = on_close
        self._metrics = metrics
        self._sent_s = 0.0
        self.gate_clock = GateClock()
        # Node id and incarnation from the gate's greeting; known after `check_ready`.
        self.gate: tuple[str, int] = ("", 0)
        self._last_received_s = float("-inf")
        self._gate_deadline_s: float | None = None
        self._stop_notice_sent = False
        # The attempt for which the gate sent the last notice; see `has_ending_notice`.
        self._ending_attempt_id: AttemptId | None = None
        # Reservations withdrawn last. Their calls or refusals may still arrive.
        self._withdrawn_ids: deque[AttemptId] = deque(maxlen=WITHDRAWN_MAX)
        self._socket = context.socket(zmq.DEALER)
        self._disconnect_monitor: zmq.Socket | None = None
        try:
            self._connect(keys)
        except zmq.ZMQError:
            self._close_sockets()
            raise

    def _connect(self, keys: FleetKeys | None) -> None:
        self._socket.setsockopt(zmq.LINGER, 0)
        # With IMMEDIATE, sending fails while there is no connection. Otherwise, ZeroMQ
        # would queue the message and deliver it once the peer is up, after the request
        # was reported as not run. Reconnects are disabled, so that no message is
        # delivered over a later connection.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, -1)
        self._disconnect_monitor = self._socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
        )
        protect_connection(self._socket, keys)
        self._socket.connect(f"tcp://{self.address}")

    @property
    def last_received_s(self) -> float:
        """Monotonic time of the gate's last message; -inf before the first message."""
        return self._last_received_s

    def connected(self) -> bool:
        """Return whether ZeroMQ reports the connection as up; sends nothing."""
        return bool(self._socket.poll(0, zmq.POLLOUT))

    def check_ready(
        self, now_s: float, timeout: PeerTimeout, execution: Execution
    ) -> bool:
        """Return whether the link works in both directions.

        Exchanges a greeting with the gate if the gate's last message is older than
        `CHECK_VALID_S`. Without this check, a request could be sent over a broken link
        that still looks open, and the request's outcome would be `unknown`.
        If the check fails, the request is not sent over the link and has not run.
        """
        if now_s - self._last_received_s < CHECK_VALID_S[execution]:
            return self.connected()
        if not self._wait_for_peer(zmq.POLLOUT, timeout) or not self._send(
            GreetingRequest()
        ):
            return False
        while self._wait_for_peer(zmq.POLLIN, timeout):
            match decode_link(self._socket.recv()):
                case GreetingReply(node_id, incarnation, gate_time_s):
                    self.gate = (node_id, incarnation)
                    self._record_received(gate_time_s)
                    return True
        return False

    def _wait(self, event: int, timeout_end_s: float) -> bool:
        """Wait for an event; return False at the timeout or if the connection ended."""
        return self._socket in self._poll(event, poll_timeout_ms(timeout_end_s))

    def _wait_for_peer(self, event: int, timeout: PeerTimeout) -> bool:
        """Wait as `_wait` does, not counting time in which this process was stalled."""
        events: dict = {}

        def poll(step_s: float) -> bool:
            events.update(self._poll(event, math.ceil(step_s * 1000)))
            return bool(events)

        timeout.wait(poll, time.monotonic)
        return self._socket in events

    def _poll(self, event: int, timeout_ms: int) -> dict:
        poller = zmq.Poller()
        poller.register(self._socket, event)
        poller.register(self._disconnect_monitor, zmq.POLLIN)
        return dict(poller.poll(timeout_ms))

    def query(
        self, query: AdmissionQuery | LimitQuestion, timeout_end_s: float
    ) -> AdmissionAnswer | LimitAnswer | None:
        """Send a query and return its answer; None if no answer arrived in time."""
        if not self._send(query):
            return None
        while self._wait(zmq.POLLIN, timeout_end_s):
            match decode_link(self._socket.recv()):
                case AdmissionAnswer() | LimitAnswer() as answer if (
                    answer.number == query.number
                ):
                    self._record_received(answer.gate_time_s)
                    return answer
        return None

    def send(self, message: LinkMessage) -> None:
        """Send a message that needs no answer; discard it if there is no connection."""
        self._send(message)

    def send_dispatch(self, dispatch: Dispatch, deadline_s: float) -> bool:
        """Send an attempt; return False if there was no connection to send it over."""
        now_s = time.monotonic()
        self._sent_s = now_s
        self._gate_deadline_s = self.gate_clock.at(deadline_s)
        self._stop_notice_sent = dispatch.ingress_remaining_ms is not None
        message = msgspec.structs.replace(
            dispatch,
            remaining_ms=(deadline_s - now_s) * 1000,
            gate_deadline_s=self._gate_deadline_s,
        )
        return self._send(message)

    def send_reservation(self, request: ReservationRequest, deadline_s: float) -> bool:
        """Send a reservation; return False if there was no connection."""
        self._gate_deadline_s = self.gate_clock.at(deadline_s)
        return self._send(request)

    def withdraw(self, attempt_id: AttemptId, cause: CancelCause) -> None:
        """Withdraw a reservation; the link can then be used for other attempts."""
        self._withdrawn_ids.append(attempt_id)
        self._send(Cancel(attempt_id, 0, self._gate_deadline_s, cause))

    def receive_call(
        self, ready, attempt_id, on_dropped
    ) -> ReservationCall | Reply | None:
        """Read one message if there is any; return it if it answers the reservation."""
        if self._socket not in ready:
            return None
        match decode_link(self._socket.recv()):
            case ReservationCall() | Reply() as answer:
                if answer.attempt_id == attempt_id:
                    self._record_received(answer.gate_time_s)
                    return answer
                if answer.attempt_id not in self._withdrawn_ids:
                    on_dropped("answer to another reservation")
            case WireError(message):
                on_dropped(message)
            case _:
                on_dropped("message does not answer a reservation")
        return None

    def has_ending_notice(self, attempt_id: AttemptId) -> bool:
        """Return whether the gate reported that it may stop before the attempt ends."""
        return self._ending_attempt_id == attempt_id

    def notify_node_stop(self, attempt_id: AttemptId, remaining_s: float) -> None:
        """Notify the gate, once per attempt, that this node stops in `remaining_s`."""
        if self._stop_notice_sent:
            return
        self._stop_notice_sent = True
        self._send(IngressEnding(attempt_id, remaining_s * 1000))

    def cancel(self, attempt_id: AttemptId, hlc: int, cause: CancelCause) -> None:
        """Cancel the attempt and close the link once the cancellation is sent."""
        self._send(Cancel(attempt_id, hlc, self._gate_deadline_s, cause))
        self._socket.setsockopt(zmq.LINGER, CANCEL_LINGER_MS)
        self.close()

    def close(self) -> None:
        """Close the link's sockets."""
        self._close_sockets()
        self._on_close()

    def _close_sockets(self) -> None:
        if self._disconnect_monitor is not None:
            self._socket.disable_monitor()
            self._disconnect_monitor.close(0)
        self._socket.close()

    def register(self, poller: zmq.Poller) -> None:
        """Register with a poller, which then reports replies and disconnection."""
        poller.register(self._socket, zmq.POLLIN)
        poller.register(self._disconnect_monitor, zmq.POLLIN)

    def unregister(self, poller: zmq.Poller) -> None:
        """Remove the link from a poller."""
        poller.unregister(self._socket)
        poller.unregister(self._disconnect_monitor)

    def receive_reply(self, ready, attempt_id, on_dropped) -> Reply | None:
        """Read one message if there is any; return it if it is the attempt's reply."""
        if self._socket not in ready:
            return None
        return self._read_reply(attempt_id, on_dropped)

    def is_disconnected(self, ready) -> bool:
        """Return whether the connection ended and all replies were read."""
        if self._disconnect_monitor not in ready or self._socket in ready:
            return False
        # A reply may have arrived after the poller checked the socket.
        return not self._socket.poll(0)

    def _send(self, message: LinkMessage) -> bool:
        try:
            self._socket.send(encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _record_received(self, gate_time_s: float) -> None:
        self._last_received_s = time.monotonic()
        self.gate_clock.update(gate_time_s, self._last_received_s)

    def _read_reply(self, attempt_id, on_dropped) -> Reply | None:
        match decode_link(self._socket.recv()):
            case Reply() as reply:
                if reply.attempt_id == attempt_id:
                    self._record_received(reply.gate_time_s)
                    self._metrics.record(Hop.LINK, self._last_received_s - self._sent_s)
                    return _verify_checksum(reply)
                # This is a late reply to an earlier attempt over this link. The caller
                # of the present attempt must not receive it as an answer.
                if reply.attempt_id not in self._withdrawn_ids:
                    on_dropped("reply to another attempt")
            case ReservationCall(called_id) if called_id in self._withdrawn_ids:
                pass
            case GateEnding(ending_id):
                self._ending_attempt_id = ending_id
            case WireError(message):
                on_dropped(message)
            case _:
                on_dropped("message is not a reply")
        return None


def _verify_checksum(reply: Reply) -> Reply:
    """Return the reply, or an `unknown` reply if the body was damaged in transit.

    The checksum is verified before any use of the reply: a damaged answer would
    otherwise count as a success and end another attempt that is still running.
    """
    if reply.outcome is not Outcome.ANSWERED:
        return reply
    if reply.body_checksum == checksum(reply.body):
        return reply
    return Reply(reply.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER, hlc=reply.hlc)


def poll_timeout_ms(deadline_s: float) -> int:
    """Return the ms until a deadline, rounded up so that no poll ends too early."""
    return max(0, int((deadline_s - time.monotonic()) * 1000) + 1)
