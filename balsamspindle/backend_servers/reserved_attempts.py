"""Lets attempts wait for a slot before their requests are sent.

A reservation waits in the queue as an attempt does. When a slot is free for it, the
gate occupies the slot, calls the ingress, and holds the slot for the dispatch that
follows. If no dispatch arrives in time, the slot goes to the next attempt. A dispatch
that arrives later is handled like any other.
"""

import time
from collections.abc import Callable
from types import TracebackType
from typing import Self

from balsamspindle.backend_servers.admission import Admission, Admitted, Refused
from balsamspindle.backend_servers.attempts import AttemptTable
from balsamspindle.backend_servers.dispatches import is_keyed, reserved_dispatch
from balsamspindle.backend_servers.gate_previews import GatePreviews
from balsamspindle.backend_servers.refused_attempts import Refusals
from balsamspindle.backend_servers.reservations import (
    Reservation,
    ReservationState,
    ReservationTable,
    hold_ms,
)
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.metrics import Hop
from balsamspindle.protocol.outcomes import CancelCause, Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    Reply,
    ReservationCall,
    ReservationRequest,
)

__all__ = ["HeldSlot", "ReservedAttempts"]

# Refusals that do not depend on the slots. They are made before the attempt waits.
_REFUSED_AT_ONCE = frozenset({Reason.CRASHES_SERVERS, Reason.SUSPECTED})


class HeldSlot:
    """A slot that was occupied before its attempt's dispatch arrived.

    On exit from the context, the slot is released unless it has been used.
    """

    def __init__(
        self, servers: LocalBackendServers, admission: Admission, admitted: Admitted
    ) -> None:
        self._servers = servers
        self._admission = admission
        self._admitted: Admitted | None = admitted

    def use(self) -> Admitted | Refused:
        """Return the attempt with its slot; its run starts now.

        The attempt is refused if its backend server no longer accepts work.
        """
        if not self._servers.accepts_work(self._admitted.server):
            return Refused(Reason.DRAINING)
        admitted, self._admitted = self._admitted, None
        return self._admission.restart_run(admitted, time.monotonic())

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._admitted is not None:
            self._admission.release(self._admitted, WorkEnd.DONE, was_sent=False)


class ReservedAttempts:
    """Reservations at one gate.

    Parameters
    ----------
    start : callable
        Handles a dispatch whose slot is held, as `Gate.handle` does. The arguments are
        the dispatch, its cancel token, the held slot and the time of its arrival.
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        attempts: AttemptTable,
        admission: Admission,
        previews: GatePreviews,
        refusals: Refusals,
        events: EventLog,
        start: Callable[..., Reply | None],
    ) -> None:
        self._servers = servers
        self._attempts = attempts
        self._admission = admission
        self._previews = previews
        self._refusals = refusals
        self._events = events
        self._start = start
        self._table = ReservationTable()

    def reserve(
        self,
        request: ReservationRequest,
        received_s: float,
        send_call: Callable[[ReservationCall], None],
    ) -> Reply | None:
        """Wait for a slot and call the ingress; then run the attempt's dispatch.

        Returns
        -------
        Reply or None
            The refusal of the reservation, or the reply to the dispatch. None if the
            call expired, if the ingress took the reservation back, or if the message is
            a duplicate.
        """
        deadline_s = received_s + request.query.remaining_ms / 1000
        with self._servers.changed:
            if self._attempts.is_known(request.attempt_id):
                return None
            now_s = time.monotonic()
            reservation = self._table.open(request.attempt_id, deadline_s, now_s)
        if reservation is None:
            return None
        dispatch = reserved_dispatch(request)
        answer = self._previews.preview(request.query, received_s)
        if answer.reason in _REFUSED_AT_ONCE:
            return self._refuse(reservation, dispatch, answer.reason, answer.wait_ms)
        with self._events.metrics.timed(Hop.QUEUE):
            decision = self._admission.admit(dispatch, reservation.token, deadline_s)
        match decision:
            case Refused(reason, retry_after_ms):
                self._admission.loads.record_refusal(
                    dispatch.backend_server_id, reason, time.monotonic()
                )
                return self._refuse(reservation, dispatch, reason, retry_after_ms)
            case Admitted() as admitted:
                with HeldSlot(self._servers, self._admission, admitted) as held:
                    return self._hold(request, reservation, held, send_call)

    def take(self, dispatch: Dispatch, received_s: float) -> bool:
        """Hand a dispatch to the task that holds its slot; False if none is held.

        Of several attempts with one idempotency key only one may run, which the held
        slot does not ensure. Such a dispatch is therefore handled like any other.
        """
        if is_keyed(dispatch):
            return False
        with self._servers.changed:
            is_taken = self._table.take(dispatch, received_s)
            self._servers.changed.notify_all()
        return is_taken

    def withdraw(self, attempt_id: AttemptId, cause: CancelCause) -> None:
        """Take a reservation back. The caller holds the gate's lock."""
        self._table.withdraw(attempt_id, cause)

    def withdraw_all(self, cause: CancelCause) -> None:
        """Take all reservations back. The caller holds the gate's lock."""
        self._table.withdraw_all(cause)

    def count(self, state: ReservationState) -> int:
        """Return how many reservations are in a state."""
        with self._servers.changed:
            return self._table.count(state)

    def _hold(
        self,
        request: ReservationRequest,
        reservation: Reservation,
        held: HeldSlot,
        send_call: Callable[[ReservationCall], None],
    ) -> Reply | None:
        """Hold a slot until the dispatch arrives, and run it."""
        valid_ms = hold_ms(request.query.body_bytes)
        with self._servers.changed:
            now_s = time.monotonic()
            is_called = reservation.call(now_s, now_s + valid_ms / 1000)
        if is_called:
            self._emit("reservation_called", request, valid_ms=round(valid_ms))
            send_call(ReservationCall(request.attempt_id, valid_ms, now_s))
        with self._servers.changed:
            while reservation.is_held(time.monotonic()):
                remaining_s = reservation.held_until_s - time.monotonic()
                self._servers.changed.wait(max(remaining_s, 0.0))
            reservation.end()
        if reservation.dispatch is None:
            self._report_end(request, reservation)
            return None
        return self._start(
            reservation.dispatch, reservation.token, held, reservation.received_s
        )

    def _refuse(
        self, reservation: Reservation, dispatch: Dispatch, reason, wait_ms: float
    ) -> Reply | None:
        """Refuse a reservation; an ingress that took it back gets no reply."""
        with self._servers.changed:
            reservation.end()
        cause = reservation.token.cause
        if cause is CancelCause.NODE_LEAVING:
            return self._refusals.refuse_reservation(dispatch, Reason.DRAINING)
        if cause is not None:
            self._events.emit(
                "reservation_taken_back",
                attempt=_attempt_text(dispatch.attempt_id),
                backend_server=dispatch.backend_server_id,
                cause=cause,
            )
            return None
        return self._refusals.refuse_reservation(dispatch, reason, wait_ms)

    def _report_end(
        self, request: ReservationRequest, reservation: Reservation
    ) -> None:
        cause = reservation.token.cause
        if cause is None:
            self._emit("reservation_expired", request)
        else:
            self._emit("reservation_taken_back", request, cause=cause)

    def _emit(self, event: str, request: ReservationRequest, **fields) -> None:
        self._events.emit(
            event,
            attempt=_attempt_text(request.attempt_id),
            backend_server=request.query.backend_server_id,
            **fields,
        )


def _attempt_text(attempt_id: AttemptId) -> str:
    return "/".join(map(str, attempt_id))
