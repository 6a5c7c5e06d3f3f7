"""Summary of one request, built from its events."""

from collections.abc import Sequence

import msgspec

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.merge import TimelineEvent

__all__ = ["AttemptSummary", "RequestSummary", "summarize_request"]


class AttemptSummary(msgspec.Struct):
    """One attempt at a backend server.

    Attributes
    ----------
    gate : str or None
        Node of the gate that forwards requests to the backend server; None if no event
        names it.
    dispatched : bool
        Whether an event shows that the gate sent the attempt to the backend server.
    outcome : str or None
        None if the end of the attempt is not among the events.
    """

    backend_server: str
    gate: str | None = None
    dispatched: bool = False
    outcome: str | None = None
    cause: str | None = None


class RequestSummary(msgspec.Struct):
    """A request, its attempts and its outcome.

    Attributes
    ----------
    node_id : str or None
        Ingress node; None if neither the receipt nor the end of the request is among
        the events.
    duration_ms : float or None
        Time from the first to the last event; None without events.
    """

    request_id: str
    node_id: str | None = None
    method: str | None = None
    path: str | None = None
    attempts: list[AttemptSummary] = []
    outcome: str | None = None
    status: str | None = None
    cause: str | None = None
    duration_ms: float | None = None


def summarize_request(
    request_id: str, events: Sequence[TimelineEvent]
) -> RequestSummary:
    """Return the summary of a request.

    Parameters
    ----------
    events : sequence of TimelineEvent
        Events of this request only, in the order of their hybrid time.
    """
    summary = RequestSummary(request_id)
    for event in events:
        record = _RECORDERS.get(event.event)
        if record is not None:
            record(summary, event)
    if events:
        span_ms = (events[-1].hlc >> COUNTER_BITS) - (events[0].hlc >> COUNTER_BITS)
        summary.duration_ms = float(span_ms)
    return summary


def _record_received(summary: RequestSummary, event: TimelineEvent) -> None:
    summary.node_id = event.node
    summary.method = event.details.get("method")
    summary.path = event.details.get("path")


def _record_attempt_sent(summary: RequestSummary, event: TimelineEvent) -> None:
    details = event.details
    summary.attempts.append(
        AttemptSummary(details.get("backend_server", "?"), details.get("gate"))
    )


def _find_or_add_attempt(
    summary: RequestSummary, event: TimelineEvent
) -> AttemptSummary:
    """Return the latest attempt at the event's backend server; add one if missing."""
    server = event.details.get("backend_server", "?")
    for attempt in reversed(summary.attempts):
        if attempt.backend_server == server:
            return attempt
    summary.attempts.append(AttemptSummary(server, event.node))
    return summary.attempts[-1]


def _record_dispatched(summary: RequestSummary, event: TimelineEvent) -> None:
    _find_or_add_attempt(summary, event).dispatched = True


def _record_refused(summary: RequestSummary, event: TimelineEvent) -> None:
    attempt = _find_or_add_attempt(summary, event)
    attempt.outcome = "not_run"
    attempt.cause = event.details.get("cause")


def _record_attempt_ended(summary: RequestSummary, event: TimelineEvent) -> None:
    attempt = _find_or_add_attempt(summary, event)
    attempt.outcome = event.details.get("outcome")
    attempt.cause = event.details.get("cause")


def _record_request_ended(summary: RequestSummary, event: TimelineEvent) -> None:
    summary.node_id = event.node
    summary.outcome = event.details.get("outcome")
    summary.status = event.details.get("status")
    summary.cause = event.details.get("cause")


_RECORDERS = {
    "request_received": _record_received,
    "attempt_sent": _record_attempt_sent,
    "attempt_dispatched": _record_dispatched,
    "attempt_refused": _record_refused,
    "attempt_ended": _record_attempt_ended,
    "request_ended": _record_request_ended,
}
