"""Links from this node's ingress to other nodes' gates.

A link is a ZeroMQ DEALER. A task takes one from the pool, is alone in using
it, and gives it back: the pool's lock is the memory barrier that ZeroMQ asks
for when a socket moves between threads.
"""

import math
import threading
import time

import msgspec
import zmq

from balsamspindle.metrics import Hop, Metrics
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests.peer_timeout import PeerTimeout
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
    Told,
    WireError,
    checksum,
    decode_link,
    encode,
)
from balsamspindle.wire.limit_messages import LimitQuestion, LimitTold
from balsamspindle.wire.security import FleetKeys, protect_connection

__all__ = ["GateClock", "Link", "LinkPool", "left_ms"]

CONNECT_TIMEOUT_S = 0.25
# A link that was silent for longer is asked again before it is used: one way
# of the network may have been cut meanwhile. That costs a round trip, which a
# request that may be tried again elsewhere does not need.
HEARD_FRESH_S = {Execution.NON_IDEMPOTENT: 1.0, Execution.IDEMPOTENT: 10.0}
IDLE_LINKS_PER_PEER_MAX = 8
CANCEL_LINGER_MS = 1000
# Two clocks of quartz differ by less than this part of the time.
CLOCK_DRIFT_MAX = 0.0005


class GateClock:
    """A gate's monotonic clock, as the other end of a link knows it.

    What a gate said of its clock is old by the time that it arrives, so the
    clock is never guessed ahead of the gate's own: a deadline given on it is
    at most the way back of one message too early, and never too late.
    """

    def __init__(self) -> None:
        self._offset_s = float("-inf")
        self._noted_s = 0.0

    def note(self, gate_time_s: float, now_s: float) -> None:
        """Take the gate's time from a message that has just come."""
        drift_s = (now_s - self._noted_s) * CLOCK_DRIFT_MAX
        self._offset_s = max(gate_time_s - now_s, self._offset_s - drift_s)
        self._noted_s = now_s

    def at(self, local_s: float) -> float:
        """Return the gate's time at a time of ours, or a little less."""
        drift_s = max(0.0, local_s - self._noted_s) * CLOCK_DRIFT_MAX
        return local_s + self._offset_s - drift_s


class Link:
    """One connection to one peer's gate."""

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        keys: FleetKeys | None,
        metrics: Metrics,
    ) -> None:
        self.address = address
        self._metrics = metrics
        self._sent_s = 0.0
        self.gate_clock = GateClock()
        # Who answers here, by its own word; known once the link was `ready`.
        self.gate: tuple[str, int] = ("", 0)
        self._heard_s = float("-inf")
        self._gate_deadline_s: float | None = None
        self._knows_end = False
        # The attempt that the gate's node may not live to answer.
        self._ending: AttemptId | None = None
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        # Without IMMEDIATE a message to an absent peer waits in a queue and
        # is delivered when the peer comes up, long after we called it not
        # run. Without a reconnect no message outlives its connection.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, -1)
        self._closed = self._socket.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED
        )
        protect_connection(self._socket, keys)
        self._socket.connect(f"tcp://{address}")

    @property
    def heard_s(self) -> float:
        """When the gate was last heard, on the monotonic clock."""
        return self._heard_s

    def connected(self) -> bool:
        """Tell whether the connection is up, as far as this end knows."""
        return bool(self._socket.poll(0, zmq.POLLOUT))

    def ready(self, now_s: float, patience: PeerTimeout, execution: Execution) -> bool:
        """Tell whether both directions work; ask the gate unless it spoke lately.

        A request sent into a link that only looks open would end as
        'unknown'; found here, it is proven not run.
        """
        if now_s - self._heard_s < HEARD_FRESH_S[execution]:
            return self.connected()
        if not self._wait_patiently(zmq.POLLOUT, patience) or not self._send(Greet()):
            return False
        while self._wait_patiently(zmq.POLLIN, patience):
            match decode_link(self._socket.recv()):
                case Greeting(node_id, incarnation, gate_time_s):
                    self.gate = (node_id, incarnation)
                    self._hear(gate_time_s)
                    return True
        return False

    def _wait(self, event: int, give_up_s: float) -> bool:
        """Wait until the link is readable or writable; False when it can't be."""
        return self._socket in self._poll(event, left_ms(give_up_s))

    def _wait_patiently(self, event: int, patience: PeerTimeout) -> bool:
        """Wait as `_wait` does, for time in which this process runs."""
        found: dict = {}

        def poll(step_s: float) -> bool:
            found.update(self._poll(event, math.ceil(step_s * 1000)))
            return bool(found)

        patience.wait(poll, time.monotonic)
        return self._socket in found

    def _poll(self, event: int, timeout_ms: int) -> dict:
        poller = zmq.Poller()
        poller.register(self._socket, event)
        poller.register(self._closed, zmq.POLLIN)
        return dict(poller.poll(timeout_ms))

    def ask(
        self, question: Question | LimitQuestion, give_up_s: float
    ) -> Told | LimitTold | None:
        """Ask the node something; None when no answer came."""
        if not self._send(question):
            return None
        while self._wait(zmq.POLLIN, give_up_s):
            match decode_link(self._socket.recv()):
                case Told() | LimitTold() as told if told.number == question.number:
                    self._hear(told.gate_time_s)
                    return told
        return None

    def tell(self, message: LinkMessage) -> None:
        """Send what needs no answer."""
        self._send(message)

    def send_dispatch(self, dispatch: Dispatch, deadline_s: float) -> bool:
        """Send an attempt; False when nothing was handed to a connection."""
        now_s = time.monotonic()
        self._sent_s = now_s
        self._gate_deadline_s = self.gate_clock.at(deadline_s)
        self._knows_end = dispatch.ingress_left_ms is not None
        message = msgspec.structs.replace(
            dispatch,
            remaining_ms=(deadline_s - now_s) * 1000,
            gate_deadline_s=self._gate_deadline_s,
        )
        return self._send(message)

    def is_ending(self, attempt_id: AttemptId) -> bool:
        """Tell whether the gate's node may end before an attempt there does."""
        return self._ending == attempt_id

    def tell_ending(self, attempt_id: AttemptId, left_s: float) -> None:
        """Tell the gate that this node ends after a time, unless it knows."""
        if self._knows_end:
            return
        self._knows_end = True
        self._send(IngressEnding(attempt_id, left_s * 1000))

    def give_up(self, attempt_id: AttemptId, hlc: int, cause: CancelCause) -> None:
        """Cancel the attempt and end the connection, when that is out."""
        self._send(Cancel(attempt_id, hlc, self._gate_deadline_s, cause))
        self._socket.setsockopt(zmq.LINGER, CANCEL_LINGER_MS)
        self.close()

    def close(self) -> None:
        """End the connection."""
        self._socket.disable_monitor()
        self._closed.close(0)
        self._socket.close()

    def register(self, poller: zmq.Poller) -> None:
        """Let a poller watch for replies and for the connection's end."""
        poller.register(self._socket, zmq.POLLIN)
        poller.register(self._closed, zmq.POLLIN)

    def unregister(self, poller: zmq.Poller) -> None:
        """Undo `register`."""
        poller.unregister(self._socket)
        poller.unregister(self._closed)

    def take_reply(self, ready, attempt_id, on_dropped) -> Reply | None:
        """Return the attempt's own reply if a poller found it."""
        if self._socket not in ready:
            return None
        return self._matching_reply(attempt_id, on_dropped)

    def is_over(self, ready) -> bool:
        """Tell whether the connection ended and nothing is left to read."""
        if self._closed not in ready or self._socket in ready:
            return False
        # A reply may have come between the poller's look at it and this one.
        return not self._socket.poll(0)

    def _send(self, message: LinkMessage) -> bool:
        try:
            self._socket.send(encode(message), zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def _hear(self, gate_time_s: float) -> None:
        self._heard_s = time.monotonic()
        self.gate_clock.note(gate_time_s, self._heard_s)

    def _matching_reply(self, attempt_id, on_dropped) -> Reply | None:
        match decode_link(self._socket.recv()):
            case Reply() as reply:
                if reply.attempt_id == attempt_id:
                    self._hear(reply.gate_time_s)
                    self._metrics.record(Hop.LINK, self._heard_s - self._sent_s)
                    return _checked(reply)
                # The reply of an attempt that was given up, on a link that
                # serves another one now. Taken for ours it would be a
                # stranger's answer.
                on_dropped("a reply that nobody waits for")
            case GateEnding(ending_id):
                self._ending = ending_id
            case WireError(message):
                on_dropped(message)
            case _:
                on_dropped("not a reply")
        return None


class LinkPool:
    """Idle links to all peers."""

    def __init__(
        self, context: zmq.Context, events: EventLog, keys: FleetKeys | None = None
    ) -> None:
        self._context = context
        self._keys = keys
        self._events = events
        self._lock = threading.Lock()
        self._idle: dict[str, list[Link]] = {}

    def take(
        self,
        address: str,
        deadline_s: float,
        execution: Execution = Execution.NON_IDEMPOTENT,
    ) -> Link | None:
        """Return a link that works both ways and is the caller's, or None."""
        patience = PeerTimeout(CONNECT_TIMEOUT_S, deadline_s)
        while True:
            with self._lock:
                idle = self._idle.get(address)
                link = idle.pop() if idle else None
            is_new = link is None
            link = link or Link(
                self._context, address, self._keys, self._events.metrics
            )
            if link.ready(time.monotonic(), patience, execution):
                return link
            # One that is open but silent speaks for all links to this peer.
            is_silent = link.connected()
            link.close()
            if is_new or is_silent:
                self._close_idle(address)
                return None

    def _close_idle(self, address: str) -> None:
        with self._lock:
            links = self._idle.pop(address, [])
        for link in links:
            link.close()

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
        for address in list(self._idle):
            self._close_idle(address)


def _checked(reply: Reply) -> Reply:
    """Return a reply, or what is left of one whose body was damaged on its way.

    Before anybody acts on it: a damaged success would end another run that is well.
    """
    if reply.outcome is not Outcome.ANSWERED:
        return reply
    if reply.body_checksum == checksum(reply.body):
        return reply
    return Reply(reply.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER, hlc=reply.hlc)


def left_ms(deadline_s: float) -> int:
    """Return the time until then, rounded up so that no poll ends early."""
    return max(0, int((deadline_s - time.monotonic()) * 1000) + 1)
