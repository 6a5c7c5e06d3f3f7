"""Decisions on attempts that request a slot, and what they are made from."""

from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.inherited_weight import room_weight
from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.servers import LocalBackendServer
from balsamspindle.backend_servers.slots import WorkKind
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.wire import AdmissionQuery, AttemptId, Dispatch

__all__ = [
    "Admitted",
    "Availability",
    "Refused",
    "expected_run_s",
    "make_ticket",
    "refusal",
    "work_kind",
]


@dataclass(frozen=True)
class Admitted:
    """An attempt that occupies a slot until `Admission.release` is called for it.

    Attributes
    ----------
    is_counted : bool
        Whether the attempt is counted against a limit of its backend server.
    """

    server: LocalBackendServer
    started_s: float
    kind: WorkKind
    token: CancelToken
    attempt_id: AttemptId
    is_counted: bool = False


@dataclass(frozen=True)
class Refused:
    """A refusal: the gate has not dispatched the attempt and never will.

    Attributes
    ----------
    retry_after_ms : float
        Estimated wait for a free slot; 0 if the attempt was refused for another reason.
    """

    reason: Reason
    retry_after_ms: float = 0.0


class Availability(NamedTuple):
    """Slots of a backend server that are available to one kind of request.

    Attributes
    ----------
    free_slots : int
        Slots that are neither occupied nor reserved for heavier requests; may be
        negative. Not more than the backend server's limit allows requests now.
    slots : int
        All slots that the backend server may use now.
    effective_slots : float
        Slots that heavier requests leave free on average.
    """

    server: LocalBackendServer
    kind: WorkKind
    free_slots: int
    slots: int
    effective_slots: float

    @property
    def service_time_s(self) -> float:
        """Mean service time of the backend server; 0 when unknown."""
        return self.server.account.service_time_s


def expected_run_s(server: LocalBackendServer, kind: WorkKind) -> float:
    """Return the mean service time of a kind, or else of the server; 0 when unknown."""
    return server.account.route_time_s(kind) or server.account.service_time_s


def refusal(
    decision: QueueDecision,
    queue: SlotQueue,
    ticket: Ticket,
    availability: Availability,
) -> Refused:
    """Return the refusal of an attempt that the queue neither starts nor holds."""
    if ticket.allowance is not None and ticket.allowance.tokens < 1:
        # Only the limit delays the attempt here. Other gates may have free slots.
        wait_s = max(ticket.expected_wait_s, ticket.allowance.wait_s(1))
        return Refused(Reason.WOULD_WAIT, wait_s * 1000)
    if decision is QueueDecision.WAIT_TOO_LONG:
        return Refused(Reason.WOULD_WAIT, ticket.expected_wait_s * 1000)
    delay_ms = _backlog_ms(len(queue), availability.slots, availability.service_time_s)
    return Refused(Reason.NO_FREE_SLOT, delay_ms)


def work_kind(attempt: Dispatch | AdmissionQuery) -> WorkKind:
    """Return the kind of work that an attempt is."""
    is_call = attempt.importance is not None
    return WorkKind(room_weight(attempt), attempt.route_id, is_call)


def make_ticket(
    dispatch: Dispatch | AdmissionQuery, deadline_s: float, now_s: float
) -> Ticket:
    """Return the ticket with which an attempt requests a slot."""
    wait_max_ms, target_remaining_ms = (
        dispatch.wait_max_ms,
        dispatch.target_remaining_ms,
    )
    return Ticket(
        dispatch.backend_server_id,
        dispatch.weight,
        deadline_s,
        wait_max_s=None if wait_max_ms is None else wait_max_ms / 1000,
        target_s=None
        if target_remaining_ms is None
        else now_s + target_remaining_ms / 1000,
        run_was_lost=dispatch.run_was_lost,
        rank_s=dispatch.rank_ms / 1000,
        customer=dispatch.customer,
        is_reservation=isinstance(dispatch, Dispatch) and dispatch.is_reserved,
        spent_s=None
        if dispatch.importance is None
        else dispatch.importance.spent_ms / 1000,
    )


def _backlog_ms(waiting: int, slots: int, service_time_s: float) -> float:
    """Return the estimated time until all attempts that wait now have ended."""
    return (waiting / max(1, slots) + 1) * service_time_s * 1000
