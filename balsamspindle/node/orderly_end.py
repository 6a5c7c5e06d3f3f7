"""How a node leaves without cutting a request in flight."""

import time
from collections.abc import Callable

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.membership import Member
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.ingress import Ingress
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog

__all__ = ["OrderlyEnd"]

# The gate refuses at the latest this long after the listener was told to stop.
GATE_OPEN_S = 2.0
LINK_TAIL_S, LINK_TAIL_MIN_S = 0.5, 0.1
LAST_ANSWERS_S = 0.4
DRAIN_POLL_S = 0.02


class OrderlyEnd:
    """The last seconds of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        events: EventLog,
        member: Member,
        ingress: Ingress,
        gate: Gate,
        link_server: LinkServer,
        forwarder: Forwarder,
    ) -> None:
        self._settings = settings
        self._events = events
        self._member = member
        self._ingress = ingress
        self._gate = gate
        self._link_server = link_server
        self._forwarder = forwarder

    def run(self) -> None:
        """Return when nothing is in flight, or no more time is left.

        The news goes first, so that peers and callers turn to other nodes
        while this one still serves. The gate closes only after this node's
        own callers have their answers: when the whole fleet leaves at once,
        each ingress still needs the gates for its last requests.
        """
        self._tell()
        give_up_s = time.monotonic() + self._settings.shutdown_timeout_s
        self._member.leave()
        self._ingress.leave()
        self._gate.end_by(give_up_s)
        self._forwarder.end_by(give_up_s)
        time.sleep(self._settings.ready_notice_s)
        self._ingress.stop()
        _wait_until(self._ingress.ended, time.monotonic() + GATE_OPEN_S)
        self._gate.refuse_new_attempts()
        if not _wait_until(self._idle, give_up_s):
            self._give_up()
        # A peer that has not heard yet gets a refusal, which proves that its
        # attempt was not run, in place of silence.
        left_s = give_up_s - time.monotonic()
        time.sleep(min(LINK_TAIL_S, max(LINK_TAIL_MIN_S, left_s)))

    def _tell(self) -> None:
        """Say how much is at stake, and until when it may go on."""
        self._events.emit(
            "node_leaving",
            ends_in_ms=round(self._settings.shutdown_timeout_s * 1000),
            running=self._gate.in_flight(),
            waiting=self._gate.waiting(),
            callers=self._ingress.callers(),
        )

    def _idle(self) -> bool:
        return (
            self._ingress.ended()
            and not self._gate.in_flight()
            and not self._link_server.pending()
        )

    def _give_up(self) -> None:
        """Answer what is still in flight with what is known: nothing.

        A backend server that hangs or is frozen would hold the shutdown for
        as long as its callers' deadlines allow.
        """
        self._events.emit(
            "shutdown_timeout",
            attempts=self._gate.in_flight(),
            replies=self._link_server.pending(),
        )
        # In this order: what is cut here must not be sent elsewhere any more.
        self._forwarder.give_up()
        self._gate.cancel_all()
        _wait_until(self._idle, time.monotonic() + LAST_ANSWERS_S)
        # What is left are connections whose callers do not read.
        self._ingress.shut_down_connections()


def _wait_until(condition: Callable[[], bool], give_up_s: float) -> bool:
    """Wait for a condition; return whether it came true in time."""
    while not condition():
        if time.monotonic() >= give_up_s:
            return False
        time.sleep(DRAIN_POLL_S)
    return True
