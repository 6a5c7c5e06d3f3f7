"""Shuts a node down without interrupting requests in flight."""

import time
from collections.abc import Callable

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.membership import Member
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.ingress import Ingress
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog

__all__ = ["GracefulShutdown"]

# After the ingress is stopped, the gate accepts new attempts until all connections of
# callers are closed, but for at most this long.
GATE_OPEN_MAX_S = 2.0
# After all work has ended, the node still refuses new attempts for `LATE_REFUSALS_S`.
# If less of the shutdown timeout remains, the node refuses them for the remaining time,
# but at least for `LATE_REFUSALS_MIN_S`.
LATE_REFUSALS_S, LATE_REFUSALS_MIN_S = 0.5, 0.1
LAST_ANSWERS_TIMEOUT_S = 0.4
POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Ends the work of a node in order, within its shutdown timeout."""

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
        """Shut down; return when no work is in flight, or after the shutdown timeout.

        Peers and callers are notified first, so that they use other nodes while this
        node still serves. The gate refuses new attempts only after this node's own
        callers have their answers, or after `GATE_OPEN_MAX_S`. If all nodes of the
        fleet leave at once, the ingresses have only gates of leaving nodes for their
        last requests.
        """
        self._report_leaving()
        timeout_end_s = time.monotonic() + self._settings.shutdown_timeout_s
        self._member.leave()
        self._ingress.leave()
        self._gate.set_end_time(timeout_end_s)
        self._forwarder.set_end_time(timeout_end_s)
        time.sleep(self._settings.ready_notice_s)
        self._ingress.stop()
        _wait_until(self._ingress.ended, time.monotonic() + GATE_OPEN_MAX_S)
        self._gate.refuse_new_attempts()
        if not _wait_until(self._is_idle, timeout_end_s):
            self._cancel_remaining()
        # Some peers may not know yet that this node leaves. During this wait, the gate
        # refuses their attempts. A refusal proves that the attempt was not run; without
        # an answer, the attempt's outcome would be unknown.
        remaining_s = timeout_end_s - time.monotonic()
        time.sleep(min(LATE_REFUSALS_S, max(LATE_REFUSALS_MIN_S, remaining_s)))

    def _report_leaving(self) -> None:
        """Emit an event that the node leaves, with the amount of work in flight."""
        self._events.emit(
            "node_leaving",
            ends_in_ms=round(self._settings.shutdown_timeout_s * 1000),
            running=self._gate.in_flight(),
            waiting=self._gate.waiting(),
            callers=self._ingress.waiting_caller_count(),
        )

    def _is_idle(self) -> bool:
        return (
            self._ingress.ended()
            and not self._gate.in_flight()
            and not self._link_server.pending()
        )

    def _cancel_remaining(self) -> None:
        """Cancel what is still in flight; the outcome of running attempts is unknown.

        Without the cancellation, a backend server that hangs could delay the shutdown
        until the deadlines of the requests that it runs.
        """
        self._events.emit(
            "shutdown_timeout",
            attempts=self._gate.in_flight(),
            replies=self._link_server.pending(),
        )
        # The forwarder is aborted first. Otherwise, when the gate cancels an attempt,
        # the forwarder would retry the request at another node.
        self._forwarder.abort_attempts()
        self._gate.cancel_all()
        _wait_until(self._is_idle, time.monotonic() + LAST_ANSWERS_TIMEOUT_S)
        # The connections still open are those whose callers do not read their answers.
        self._ingress.shut_down_connections()


def _wait_until(condition: Callable[[], bool], timeout_end_s: float) -> bool:
    """Wait until a condition holds; return False if it does not by `timeout_end_s`."""
    while not condition():
        if time.monotonic() >= timeout_end_s:
            return False
        time.sleep(POLL_INTERVAL_S)
    return True
