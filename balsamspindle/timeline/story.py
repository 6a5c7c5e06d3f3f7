"""One request's story, told from its events."""

from collections.abc import Sequence

import msgspec

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.merge import TimelineEvent

__all__ = ["AttemptStory", "RequestStory", "tell_request"]


class AttemptStory(msgspec.Struct):
    """One attempt at a backend server.

    Attributes
    ----------
    gate : str
        Node whose gate stands before the backend server.
    dispatched : bool
        Whether the gate sent it to the backend server, as far as the events
        tell.
    outcome : str or None
        None when no event tells the end.
    """

    backend_server: str
    gate: str | None = None
    dispatched: bool = False
    outcome: str | None = None
    cause: str | None = None


class RequestStory(msgspec.Struct):
    """What became of one request.

    Attributes
    ----------
    node_id : str or None
        Node at which it came in; None when that event is not among those read.
    duration_ms : float or None
        From its first to its last event.
    """

    request_id: str
    node_id: str | None = None
    method: str | None = None
    path: str | None = None
    attempts: list[AttemptStory] = []
    outcome: str | None = None
    status: str | None = None
    cause: str | None = None
    duration_ms: float | None = None


def tell_request(request_id: str, events: Sequence[TimelineEvent]) -> RequestStory:
    """Return the story of a request from its own events, in order."""
    story = RequestStory(request_id)
    for event in events:
        tell = _TELL.get(event.event)
        if tell is not None:
            tell(story, event)
    if events:
        span = (events[-1].hlc >> COUNTER_BITS) - (events[0].hlc >> COUNTER_BITS)
        story.duration_ms = float(span)
    return story


def _received(story: RequestStory, event: TimelineEvent) -> None:
    story.node_id = event.node
    story.method = event.details.get("method")
    story.path = event.details.get("path")


def _sent(story: RequestStory, event: TimelineEvent) -> None:
    details = event.details
    story.attempts.append(
        AttemptStory(details.get("backend_server", "?"), details.get("gate"))
    )


def _attempt(story: RequestStory, event: TimelineEvent) -> AttemptStory:
    """Return the latest attempt at the event's backend server."""
    server = event.details.get("backend_server", "?")
    for attempt in reversed(story.attempts):
        if attempt.backend_server == server:
            return attempt
    story.attempts.append(AttemptStory(server, event.node))
    return story.attempts[-1]


def _dispatched(story: RequestStory, event: TimelineEvent) -> None:
    _attempt(story, event).dispatched = True


def _refused(story: RequestStory, event: TimelineEvent) -> None:
    attempt = _attempt(story, event)
    attempt.outcome = "not_run"
    attempt.cause = event.details.get("cause")


def _attempt_ended(story: RequestStory, event: TimelineEvent) -> None:
    attempt = _attempt(story, event)
    attempt.outcome = event.details.get("outcome")
    attempt.cause = event.details.get("cause")


def _ended(story: RequestStory, event: TimelineEvent) -> None:
    story.node_id = event.node
    story.outcome = event.details.get("outcome")
    story.status = event.details.get("status")
    story.cause = event.details.get("cause")


_TELL = {
    "request_received": _received,
    "attempt_sent": _sent,
    "attempt_dispatched": _dispatched,
    "attempt_refused": _refused,
    "attempt_ended": _attempt_ended,
    "request_ended": _ended,
}
