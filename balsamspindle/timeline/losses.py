"""Why requests were not served: one cause for each, counted by service.

An overload, sick backend servers and an empty retry budget look alike from outside:
callers get errors. Each asks for another cure, so an operator needs to know first
how many requests each of them cost.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.merge import TimelineEvent

__all__ = ["Loss", "LostRequest", "count_losses", "lost_requests"]

ERROR_STATUS_MIN = 500
# A refusal that came later than this was waited for.
AT_ONCE_MS = 100.0


class Loss(StrEnum):
    """Why a request was not served."""

    REFUSED_AT_ONCE = "refused_at_once"
    WAITED_AND_REFUSED = "waited_and_refused"
    NOBODY_HEALTHY = "nobody_healthy"
    NOT_REACHED = "not_reached"
    ERROR_AT_SUSPECT = "error_at_suspected_one"
    ERROR_REPEAT_DENIED = "error_repeat_denied"
    ERROR_REPEATED = "error_after_repeat"
    ERROR_FIRST = "error_at_first_attempt"
    CUT_BY_LEAVING = "cut_by_leaving_node"
    NO_ANSWER = "no_whole_answer"
    CALLER_LEFT = "caller_left"
    OTHER = "other"


class LostRequest(NamedTuple):
    """A request that was not served."""

    request_id: str
    service: str
    cause: Loss
    held_ms: float


_NO_ROOM = frozenset({"would_wait", "no_free_slot", "deadline"})
# What the gate and the ingress say of a run that a leaving node cut.
_CUT_BY_LEAVING = frozenset({"node_leaving", "ingress_leaving"})
_GIVEN_UP_BY_LEAVING = "this node is leaving"
_NOBODY = frozenset({"suspected", "no_backend_server", "draining"})


def lost_requests(events: Iterable[TimelineEvent]) -> list[LostRequest]:
    """Return the requests that were not served, from the events of all nodes.

    Requests that never got a route are no service's and are left out.
    """
    by_request: dict[str, list[TimelineEvent]] = defaultdict(list)
    for event in events:
        request_id = event.details.get("request")
        if request_id is not None:
            by_request[request_id].append(event)
    lost = []
    for request_id, own in by_request.items():
        ended = next((one for one in own if one.event == "request_ended"), None)
        if ended is None or "service" not in ended.details or _is_served(ended):
            continue
        held_ms = _held_ms(own, ended)
        cause = _cause(own, ended, held_ms)
        lost.append(LostRequest(request_id, ended.details["service"], cause, held_ms))
    return lost


def count_losses(lost: Iterable[LostRequest]) -> Counter[tuple[str, Loss]]:
    """Return how many requests of each service each cause took."""
    return Counter((one.service, one.cause) for one in lost)


def _is_served(ended: TimelineEvent) -> bool:
    is_answered = ended.details.get("outcome") == "answered"
    return is_answered and _status(ended) < ERROR_STATUS_MIN


def _status(ended: TimelineEvent) -> int:
    status = ended.details.get("status", "")
    return int(status) if status.isdigit() else 0


def _held_ms(own: list[TimelineEvent], ended: TimelineEvent) -> float:
    came = next((one for one in own if one.event == "request_received"), ended)
    return float((ended.hlc >> COUNTER_BITS) - (came.hlc >> COUNTER_BITS))


def _cause(own: list[TimelineEvent], ended: TimelineEvent, held_ms: float) -> Loss:
    if any(one.details.get("cause") == "the caller left" for one in own):
        return Loss.CALLER_LEFT
    match ended.details.get("outcome"):
        case "answered":
            return _error_cause(own)
        case "unknown":
            return _unknown_cause(own)
        case "not_run":
            return _refusal_cause(ended.details.get("cause"), held_ms)
    return Loss.OTHER


def _unknown_cause(own: list[TimelineEvent]) -> Loss:
    is_cut = any(
        one.details.get("cut_by") in _CUT_BY_LEAVING
        or one.details.get("cause") == _GIVEN_UP_BY_LEAVING
        for one in own
    )
    return Loss.CUT_BY_LEAVING if is_cut else Loss.NO_ANSWER


def _refusal_cause(reason: str | None, held_ms: float) -> Loss:
    if reason in _NO_ROOM:
        is_at_once = held_ms <= AT_ONCE_MS
        return Loss.REFUSED_AT_ONCE if is_at_once else Loss.WAITED_AND_REFUSED
    if reason in _NOBODY:
        return Loss.NOBODY_HEALTHY
    return Loss.NOT_REACHED if reason == "unreachable" else Loss.OTHER


def _error_cause(own: list[TimelineEvent]) -> Loss:
    """Return why an error of a backend server reached the caller."""
    sent = [one for one in own if one.event == "attempt_sent"]
    if sent and sent[-1].details.get("is_last_resort") == "True":
        return Loss.ERROR_AT_SUSPECT
    if any(one.event == "retry_denied" for one in own):
        return Loss.ERROR_REPEAT_DENIED
    runs = sum(one.event == "attempt_dispatched" for one in own)
    return Loss.ERROR_REPEATED if runs > 1 else Loss.ERROR_FIRST
