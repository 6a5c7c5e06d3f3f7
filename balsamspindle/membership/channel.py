"""Typed messages between members, within the byte cap.

Other parts of the node send and receive messages over a `Channel`::

    channel.register("settings_pull", SettingsPull, self._answer)
    channel.send(address, SettingsPull("10.0.0.1:7946", 41), now_s)

A handler is called in the member task with the sending peer, the decoded message
and the current time on the monotonic clock.
"""

import queue
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Result

from balsamspindle.membership.budget import ByteBudget, Importance
from balsamspindle.membership.transport import Route, Transport
from balsamspindle.protocol.decoding import InputError, MsgpackDecoder
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Envelope, Sender, decode_member, encode_member

__all__ = ["Channel", "Handler", "Peer"]

DROP_EVENT_INTERVAL_S = 1.0
CLOCK_EVENT_INTERVAL_S = 60.0


class Peer(NamedTuple):
    """The sender of a message.

    Attributes
    ----------
    address : str
        Member address of the sender.
    settings_revision : int
        Revision of the settings in force at the sender; -1 if it has none.
    route : Route
        Connection on which the message was received.
    crash_digest : int
        Digest of the sender's records of crashed backend servers.
    store_era : int
        Newest era of the store that the sender knows.
    """

    node_id: str
    incarnation: int
    address: str
    settings_revision: int
    route: Route
    crash_digest: int = 0
    store_era: int = 0


Handler = Callable[[Peer, Any, float], None]


class _MessageKind(NamedTuple):
    decoder: MsgpackDecoder
    handler: Handler


class Channel:
    """Sends and receives the member messages of one node.

    Parameters
    ----------
    sender : callable
        Returns the `Sender` to include in the next message.
    budget : ByteBudget
        Byte cap of all messages.
    settings_budget : ByteBudget or None
        Byte cap that only messages with settings use. When this cap is spent, or
        if it is None, messages with settings use `budget`.

    Attributes
    ----------
    counts : Counter
        Number of messages by result: ``sent``, ``received``, ``over_cap`` (refused
        by the byte cap), ``not_sent`` (refused by the transport) and
        ``dropped_...`` (received but dropped, with the reason).
    """

    def __init__(
        self,
        transport: Transport,
        sender: Callable[[], Sender],
        budget: ByteBudget,
        events: EventLog,
        settings_budget: ByteBudget | None = None,
    ) -> None:
        self._transport = transport
        self._sender = sender
        self._budget = budget
        self._settings_budget = settings_budget
        self._events = events
        self._kinds: dict[str, _MessageKind] = {}
        self._kinds_by_type: dict[type, str] = {}
        self._calls: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._drop_event_s = float("-inf")
        self._clock_event_s = float("-inf")
        self._peer_handlers: list[Callable[[Peer, float], None]] = []
        self.counts: Counter[str] = Counter()

    def register(self, kind: str, message_type: type, handler: Handler) -> None:
        """Register a kind of message and its handler.

        Call it before the member task runs.
        """
        self._kinds[kind] = _MessageKind(MsgpackDecoder(message_type), handler)
        self._kinds_by_type[message_type] = kind

    def on_peer(self, handler: Callable[[Peer, float], None]) -> None:
        """Register a handler that is called with the sender of each message.

        `handler` runs before the handler of the message's kind.
        """
        self._peer_handlers.append(handler)

    def send(
        self,
        address: str,
        message,
        now_s: float,
        importance: Importance = Importance.ROUTINE,
    ) -> bool:
        """Send a message of a registered type, from the member task.

        Returns
        -------
        bool
            False if the byte cap or the transport refused the message. A refused
            message is not sent later.
        """
        frame = self._frame(message)
        cost_bytes = self._transport.cost_bytes(address, len(frame))
        return self._spend(cost_bytes, now_s, importance) and self._count_sent(
            self._transport.send(address, frame)
        )

    def answer(
        self,
        peer: Peer,
        message,
        now_s: float,
        importance: Importance = Importance.ROUTINE,
    ) -> bool:
        """Send a message on the connection on which the peer's message was received.

        Returns False if the byte cap or the transport refused the message.
        """
        frame = self._frame(message)
        cost_bytes = self._transport.cost_bytes(peer.route.address, len(frame))
        return self._spend(cost_bytes, now_s, importance) and self._count_sent(
            self._transport.answer(peer.route, frame)
        )

    def available_bytes(self, importance: Importance, now_s: float) -> int:
        """Return how many bytes a message of this importance may have now."""
        return self._budget.available_bytes(importance, now_s)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Make the member task call a function soon; callable from any thread."""
        self._calls.put(function)
        self._transport.wake()

    def receive(self, wait_s: float, now_s: Callable[[], float]) -> int:
        """Wait up to `wait_s` for frames, handle them and return their number.

        Before it handles frames, it calls the functions that were passed to
        `call_soon`.
        """
        received = self._transport.receive(wait_s)
        while not self._calls.empty():
            self._calls.get()()
        for route, frame in received:
            self.receive_frame(route, frame, now_s())
        return len(received)

    def receive_frame(self, route: Route, frame: bytes, now_s: float) -> None:
        """Handle one frame; count and drop it if it cannot be decoded."""
        match decode_member(frame):
            case Result(tag="ok", ok=envelope):
                self._handle_envelope(route, envelope, now_s)
            case Result(error=error):
                self.record_drop("garbage", error.message, now_s)

    def record_drop(self, why: str, cause: str, now_s: float) -> None:
        """Count a message dropped for reason `why`; emit at most one event a second."""
        self.counts[f"dropped_{why}"] += 1
        if now_s - self._drop_event_s < DROP_EVENT_INTERVAL_S:
            return
        self._drop_event_s = now_s
        total = self.counts[f"dropped_{why}"]
        self._events.emit("message_dropped", why=why, total=total, cause=cause)

    def _handle_envelope(self, route: Route, envelope: Envelope, now_s: float):
        kind = self._kinds.get(envelope.kind)
        if kind is None:
            self.record_drop("unknown_kind", envelope.kind[:40], now_s)
            return
        sender = envelope.sender
        if sender.node_id == self._sender().node_id:
            self.record_drop("own", "a message sent by this node itself", now_s)
            return
        try:
            message = kind.decoder.decode(envelope.body)
        except InputError as error:
            self.record_drop("garbage", f"{envelope.kind}: {error}", now_s)
            return
        self.counts["received"] += 1
        self._observe_clock(sender, now_s)
        peer = Peer(
            sender.node_id,
            sender.incarnation,
            sender.address,
            sender.settings_revision,
            route,
            sender.crash_digest,
            sender.store_era,
        )
        for handler in self._peer_handlers:
            handler(peer, now_s)
        kind.handler(peer, message, now_s)

    def _observe_clock(self, sender: Sender, now_s: float) -> None:
        clock, wall_s = self._events.clock, time.time()
        ignored_count = clock.ignored_count
        clock.observe(sender.hlc, wall_s)
        if (
            clock.ignored_count == ignored_count
            or now_s - self._clock_event_s < CLOCK_EVENT_INTERVAL_S
        ):
            return
        self._clock_event_s = now_s
        ahead_s = f"{clock.ahead_s(sender.hlc, wall_s):.1f}"
        self._events.emit("clock_ahead", peer=sender.node_id, ahead_s=ahead_s)

    def _frame(self, message) -> bytes:
        return encode_member(
            self._kinds_by_type[type(message)], self._sender(), message
        )

    def _spend(self, cost_bytes: int, now_s: float, importance: Importance) -> bool:
        if importance is Importance.SETTINGS:
            budget = self._settings_budget
            if budget is not None and budget.try_spend(cost_bytes, now_s, importance):
                return True
            importance = Importance.URGENT
        if self._budget.try_spend(cost_bytes, now_s, importance):
            return True
        self.counts["over_cap"] += 1
        return False

    def _count_sent(self, accepted: bool) -> bool:
        self.counts["sent" if accepted else "not_sent"] += 1
        return accepted
