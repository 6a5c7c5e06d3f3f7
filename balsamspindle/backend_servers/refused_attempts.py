"""Replies to the attempts that a gate refuses."""

import time

import msgspec

from balsamspindle.backend_servers.evidence import HealthObserver
from balsamspindle.backend_servers.gate_loads import GateLoads
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch, Reply

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
        return self._refuse(
            dispatch,
            "attempt_refused",
            {"request": dispatch.request_id},
            reason,
            outcome,
            wait_ms=round(wait_ms) or None,
            cut_by=cut_by if reason is Reason.CANCELLED else None,
        )

    def refuse_reservation(
        self, dispatch: Dispatch, reason: Reason, wait_ms: float = 0.0
    ) -> Reply:
        """Refuse a reservation, of whose request nothing has been sent."""
        reply = self._refuse(
            dispatch,
            "reservation_refused",
            {"attempt": "/".join(map(str, dispatch.attempt_id))},
            reason,
            Outcome.NOT_RUN,
            wait_ms=round(wait_ms) or None,
        )
        return msgspec.structs.replace(reply, retry_after_ms=wait_ms)

    def _refuse(
        self,
        dispatch: Dispatch,
        event: str,
        subject: dict[str, str],
        reason: Reason,
        outcome: Outcome,
        **fields: object,
    ) -> Reply:
        server_id = dispatch.backend_server_id
        held_out = self._observer.held_out(server_id, time.monotonic())
        hlc = self._events.emit(
            event,
            **subject,
            backend_server=server_id,
            cause=reason,
            held_out_ms=round(held_out.held_out_ms) or None,
            **fields,
        )
        terms = self._terms.shared(server_id)
        return Reply(
            dispatch.attempt_id,
            outcome,
            reason,
            hlc=hlc,
            held_out=held_out,
            terms=terms,
            load=self._loads.load(server_id, time.monotonic()),
        )
