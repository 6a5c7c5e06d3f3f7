"""Interprets the result of a call to a backend server.

A result determines the caller's outcome, whether the slot is free, and the evidence
about the backend server's health and about a crash.
"""

import msgspec

from balsamspindle.backend_servers.answers import (
    BackendAnswer,
    BackendFailure,
    ResendCause,
)
from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.slots import WorkEnd
from balsamspindle.crashes.records import RunEnd
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire import Reply, checksum

__all__ = ["call_outcome", "run_end", "with_answer", "work_end", "work_result"]

SHED_STATUSES = frozenset({429, 503})
ERROR_STATUS_MIN = 500


def work_result(result: BackendAnswer | BackendFailure | None) -> WorkResult:
    """Return a call's result as evidence of the backend server's health.

    The result is None after a fault of this node, which is no evidence about the
    backend server.
    """
    match result:
        case BackendAnswer(status) if status in SHED_STATUSES:
            return WorkResult.SHED
        case BackendAnswer(status) if status >= ERROR_STATUS_MIN:
            return WorkResult.ERROR
        case BackendAnswer():
            return WorkResult.ANSWERED
        case BackendFailure(resend_cause=ResendCause.STALE_CONNECTION):
            return WorkResult.CANCELLED
        case BackendFailure(reason):
            return _FAILURE_RESULTS.get(reason, WorkResult.BROKEN)
    return WorkResult.CANCELLED


_FAILURE_RESULTS = {
    Reason.CANCELLED: WorkResult.CANCELLED,
    Reason.DEADLINE: WorkResult.CANCELLED,
    Reason.DRAINING: WorkResult.CANCELLED,
    Reason.SILENCE: WorkResult.SILENCE,
    Reason.UNREACHABLE: WorkResult.UNREACHABLE,
    Reason.SHED: WorkResult.SHED,
    Reason.NO_BACKEND_SERVER: WorkResult.CANCELLED,
    Reason.UNPROVEN_REFUSAL: WorkResult.ERROR,
}


def _failure_outcome(failure: BackendFailure) -> tuple[Outcome, Reason]:
    outcome = Outcome.UNKNOWN if failure.sent else Outcome.NOT_RUN
    return outcome, failure.reason


def call_outcome(
    result: BackendAnswer | BackendFailure,
) -> tuple[Outcome, Reason | None]:
    """Return the outcome and the reason that the ingress receives."""
    match result:
        case BackendAnswer():
            return Outcome.ANSWERED, None
        case BackendFailure():
            return _failure_outcome(result)


def with_answer(reply: Reply, answer: BackendAnswer) -> Reply:
    """Return a reply that carries a backend server's answer."""
    return msgspec.structs.replace(
        reply,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        body_checksum=checksum(answer.body),
    )


def work_end(result: BackendAnswer | BackendFailure | None) -> WorkEnd:
    """Return whether the backend server may still be working on an attempt."""
    match result:
        case BackendFailure(sent=False):
            return WorkEnd.DONE
        case BackendFailure(resend_cause=ResendCause.STALE_CONNECTION):
            return WorkEnd.DONE
    return _WORK_ENDS[work_result(result)]


_WORK_ENDS = {
    WorkResult.ANSWERED: WorkEnd.ANSWERED,
    WorkResult.ERROR: WorkEnd.DONE,
    WorkResult.SHED: WorkEnd.DONE,
    WorkResult.BROKEN: WorkEnd.DONE,
    WorkResult.UNREACHABLE: WorkEnd.DONE,
    WorkResult.SILENCE: WorkEnd.IN_DOUBT,
    WorkResult.CANCELLED: WorkEnd.IN_DOUBT,
}


# A failure with one of these reasons may be the effect of a crash of the backend
# server during the call.
_LOST_REASONS = frozenset({Reason.BROKEN_ANSWER, Reason.SILENCE, Reason.CANCELLED})
SUCCESS_STATUS_MIN, SUCCESS_STATUS_END = 200, 400


def run_end(result: BackendAnswer | BackendFailure | None) -> RunEnd:
    """Return a call's result as evidence of a crash of the backend server."""
    match result:
        case BackendAnswer(status):
            is_success = SUCCESS_STATUS_MIN <= status < SUCCESS_STATUS_END
            return RunEnd(is_success, is_answer=True)
        case BackendFailure(reason, sent=True, is_foreign=False):
            is_broken = reason is Reason.BROKEN_ANSWER
            return RunEnd(is_lost=reason in _LOST_REASONS, is_broken=is_broken)
    return RunEnd()
