"""Classification of requests that were not served, counted by service and cause.

An overload, sick backend servers and an exhausted retry budget all show up as errors
at the callers, but each needs a different remedy. The counts tell an operator how many
requests were lost to each cause.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.merge import TimelineEvent

__all__ = [
    "Loss",
    "LostRequest",
    "count_losses",
    "count_lost_calls",
    "lost_requests",
]

ERROR_STATUS_MIN = 500
# A request that is refused within this time after its receipt counts as refused at
# once. A request that is refused later counts as refused after a wait.
IMMEDIATE_REFUSAL_MAX_MS = 100.0


class Loss(StrEnum):
    """Why a request was not served.

    Attributes
    ----------
    REFUSED_AT_ONCE
        No slot was free; refused within `IMMEDIATE_REFUSAL_MAX_MS`.
    WAITED_AND_REFUSED
        No slot was free; refused after a longer wait.
    NO_HEALTHY_SERVER
        Refused because the service's backend servers were suspected or draining, or
        because the service had no backend server.
    NOT_REACHED
        Refused because a gate could not be reached, or no link to one was free.
    ERROR_AFTER_LOST_CALL
        A backend server answered with an error, because a call that it had made for the
        request was lost.
    ERROR_AT_SUSPECTED
        A backend server answered with an error. Suspected backend servers were allowed
        for the last attempt, because all backend servers that were not suspected had
        been tried or had refused the request.
    ERROR_RETRY_DENIED
        A backend server answered with an error and a retry was denied.
    ERROR_AFTER_RETRY
        A backend server answered with an error after more than one run.
    ERROR_WITHOUT_RETRY
        A backend server answered with an error in the only run.
    CUT_BY_LEAVING
        A leaving node ended the run or stopped waiting for the reply.
    NO_COMPLETE_ANSWER
        The outcome is unknown for any other reason.
    CALLER_LEFT
        The caller closed its connection before the answer.
    OTHER
        None of these.
    """

    REFUSED_AT_ONCE = "refused_at_once"
    WAITED_AND_REFUSED = "waited_and_refused"
    NO_HEALTHY_SERVER = "nobody_healthy"
    NOT_REACHED = "not_reached"
    ERROR_AFTER_LOST_CALL = "lost_by_its_call"
    ERROR_AT_SUSPECTED = "error_at_suspected_one"
    ERROR_RETRY_DENIED = "error_repeat_denied"
    ERROR_AFTER_RETRY = "error_after_repeat"
    ERROR_WITHOUT_RETRY = "error_at_first_attempt"
    CUT_BY_LEAVING = "cut_by_leaving_node"
    NO_COMPLETE_ANSWER = "no_whole_answer"
    CALLER_LEFT = "caller_left"
    OTHER = "other"


class LostRequest(NamedTuple):
    """A request that was not served.

    Attributes
    ----------
    held_ms : float
        Time from the receipt to the end of the request; 0 if the event of its receipt
        is missing.
    call_id : str
        Id of the lost call that lost the request; empty for other causes.
    call_cause : Loss or None
        Why the call was lost; None if its end is missing.
    """

    request_id: str
    service: str
    cause: Loss
    held_ms: float
    call_id: str = ""
    call_cause: Loss | None = None


_NO_FREE_SLOT_CAUSES = frozenset({"would_wait", "no_free_slot", "deadline"})
# Values of the field `cut_by` for runs that a gate ended because a node was leaving.
_LEAVING_CUT_BY = frozenset({"node_leaving", "ingress_leaving"})
# Value of the field `cause` when a leaving ingress stopped waiting for a reply.
_LEAVING_CAUSE = "this node is leaving"
_NOT_REACHED_CAUSES = frozenset({"unreachable", "no_free_link"})
_NO_HEALTHY_SERVER_CAUSES = frozenset({"suspected", "no_backend_server", "draining"})


def lost_requests(events: Iterable[TimelineEvent]) -> list[LostRequest]:
    """Return the requests that were not served, from the events of all nodes.

    Requests without a route are left out, because they belong to no service. Requests
    whose end is not among the events are left out, too.
    """
    by_request: dict[str, list[TimelineEvent]] = defaultdict(list)
    for event in events:
        request_id = event.details.get("request")
        if request_id is not None:
            by_request[request_id].append(event)
    lost = []
    for request_id, request_events in by_request.items():
        ended = next(
            (found for found in request_events if found.event == "request_ended"), None
        )
        if ended is None or "service" not in ended.details or _is_served(ended):
            continue
        held_ms = _held_ms(request_events, ended)
        cause, call_id = _cause(request_events, ended, held_ms), ""
        if cause is Loss.ERROR_AFTER_LOST_CALL:
            call_id = _lost_call(request_events)
        service = ended.details["service"]
        lost.append(LostRequest(request_id, service, cause, held_ms, call_id))
    causes = {request.request_id: request.cause for request in lost}
    return [
        request._replace(call_cause=causes.get(request.call_id)) for request in lost
    ]


def count_lost_calls(
    lost: Iterable[LostRequest],
) -> Counter[tuple[str, Loss | None]]:
    """Return the number of requests lost by a call, by service and the call's cause."""
    return Counter(
        (request.service, request.call_cause)
        for request in lost
        if request.cause is Loss.ERROR_AFTER_LOST_CALL
    )


def count_losses(lost: Iterable[LostRequest]) -> Counter[tuple[str, Loss]]:
    """Return the number of lost requests by service and cause."""
    return Counter((request.service, request.cause) for request in lost)


def _is_served(ended: TimelineEvent) -> bool:
    is_answered = ended.details.get("outcome") == "answered"
    return is_answered and _status(ended) < ERROR_STATUS_MIN


def _status(ended: TimelineEvent) -> int:
    status = ended.details.get("status", "")
    return int(status) if status.isdigit() else 0


def _held_ms(events: list[TimelineEvent], ended: TimelineEvent) -> float:
    received = next(
        (found for found in events if found.event == "request_received"), ended
    )
    return float((ended.hlc >> COUNTER_BITS) - (received.hlc >> COUNTER_BITS))


def _cause(events: list[TimelineEvent], ended: TimelineEvent, held_ms: float) -> Loss:
    if any(event.details.get("cause") == "the caller left" for event in events):
        return Loss.CALLER_LEFT
    match ended.details.get("outcome"):
        case "answered":
            return _error_cause(events)
        case "unknown":
            return _unknown_cause(events)
        case "not_run":
            return _refusal_cause(ended.details.get("cause"), held_ms)
    return Loss.OTHER


def _unknown_cause(events: list[TimelineEvent]) -> Loss:
    is_cut = any(
        event.details.get("cut_by") in _LEAVING_CUT_BY
        or event.details.get("cause") == _LEAVING_CAUSE
        for event in events
    )
    return Loss.CUT_BY_LEAVING if is_cut else Loss.NO_COMPLETE_ANSWER


def _refusal_cause(cause: str | None, held_ms: float) -> Loss:
    if cause in _NO_FREE_SLOT_CAUSES:
        is_immediate = held_ms <= IMMEDIATE_REFUSAL_MAX_MS
        return Loss.REFUSED_AT_ONCE if is_immediate else Loss.WAITED_AND_REFUSED
    if cause in _NO_HEALTHY_SERVER_CAUSES:
        return Loss.NO_HEALTHY_SERVER
    return Loss.NOT_REACHED if cause in _NOT_REACHED_CAUSES else Loss.OTHER


def _lost_call(events: list[TimelineEvent]) -> str:
    """Return the call that the last run was lost to; empty if it was not."""
    runs = [found for found in events if found.event == "attempt_ended"]
    return runs[-1].details.get("lost_call", "") if runs else ""


def _error_cause(events: list[TimelineEvent]) -> Loss:
    """Return the cause for a request that was answered with a server error."""
    if _lost_call(events):
        return Loss.ERROR_AFTER_LOST_CALL
    sent = [found for found in events if found.event == "attempt_sent"]
    if sent and sent[-1].details.get("is_last_resort") == "True":
        return Loss.ERROR_AT_SUSPECTED
    if any(found.event == "retry_denied" for found in events):
        return Loss.ERROR_RETRY_DENIED
    runs = sum(found.event == "attempt_dispatched" for found in events)
    return Loss.ERROR_AFTER_RETRY if runs > 1 else Loss.ERROR_WITHOUT_RETRY
