"""Replies to the attempts that a gate refuses."""

import time

import msgspec

from balsamspindle.backend_servers.evidence import HealthObserver
from balsamspindle.backend_servers.gate_loads import GateLoads
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch, HoldOut, Reply

__all__ = ["Refusals"]


class Refusals:
    """Logs refused attempts and makes the replies to them."""

    def __init__(
        self,
        events: EventLog,
        observer: HealthObserver,
        terms: TermsTable,
        loads: GateLoads,
    ) -> None:
        self._loads = loads
        self._terms = terms
        self._events = events
        self._observer = observer

    def refuse_blocked(self, dispatch: Dispatch, blocked_ms: float) -> Reply:
        """Refuse an attempt whose request crashes backend servers."""
        reply = self.refuse(dispatch, Reason.CRASHES_SERVERS, wait_ms=blocked_ms)
        return msgspec.structs.replace(reply, retry_after_ms=blocked_ms)

    def refuse(
        self,
        dispatch: Dispatch,
        reason: Reason,
        outcome: Outcome = Outcome.NOT_RUN,
        wait_ms: float = 0.0,
        cut_by: CancelCause | None = None,
    ) -> Reply:
        """Refuse an attempt for any other reason."""
        held_out = self._held_out(dispatch)
        hlc = self._events.emit(
            "attempt_refused",
            request=dispatch.request_id,
            backend_server=dispatch.backend_server_id,
            cause=reason,
            held_out_ms=round(held_out.held_out_ms) or None,
            wait_ms=round(wait_ms) or None,
            cut_by=cut_by if reason is Reason.CANCELLED else None,
        )
        return self._reply(dispatch, outcome, reason, hlc, held_out)

    def refuse_reservation(
        self, dispatch: Dispatch, reason: Reason, wait_ms: float = 0.0
    ) -> Reply:
        """Refuse a reservation, of whose request nothing has been sent."""
        held_out = self._held_out(dispatch)
        hlc = self._events.emit(
            "reservation_refused",
            attempt="/".join(map(str, dispatch.attempt_id)),
            backend_server=dispatch.backend_server_id,
            cause=reason,
            held_out_ms=round(held_out.held_out_ms) or None,
            wait_ms=round(wait_ms) or None,
        )
        reply = self._reply(dispatch, Outcome.NOT_RUN, reason, hlc, held_out)
        return msgspec.structs.replace(reply, retry_after_ms=wait_ms)

    def _held_out(self, dispatch: Dispatch) -> HoldOut:
        return self._observer.held_out(dispatch.backend_server_id, time.monotonic())

    def _reply(
        self,
        dispatch: Dispatch,
        outcome: Outcome,
        reason: Reason,
        hlc: int,
        held_out: HoldOut,
    ) -> Reply:
        server_id = dispatch.backend_server_id
        return Reply(
            dispatch.attempt_id,
            outcome,
            reason,
            hlc=hlc,
            held_out=held_out,
            terms=self._terms.shared(server_id),
            load=self._loads.load(dispatch.service, server_id, time.monotonic()),
        )
