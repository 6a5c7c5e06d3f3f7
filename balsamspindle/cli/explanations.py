"""Formats explanations as text for a terminal."""

from balsamspindle.cli.tables import format_table
from balsamspindle.services.explanation import ServiceExplanation
from balsamspindle.timeline.story import AttemptStory, RequestStory

__all__ = ["format_request", "format_service"]

SERVICE_HEADER = (
    "BACKEND SERVER",
    "NODE",
    "ZONE",
    "STATE",
    "SLOTS",
    "SUSPICION",
    "WORK",
    "EVIDENCE",
)


def format_service(explanation: ServiceExplanation) -> str:
    """Return the view that one node has of a service, as text."""
    rows = [
        (
            row.backend_server_id,
            row.node_id,
            row.availability_zone,
            row.state,
            row.slots,
            f"{row.suspicion:.2f}",
            "yes" if row.takes_work else "no",
            "; ".join(row.evidence) or "-",
        )
        for row in explanation.backend_servers
    ]
    return f"{_service_head(explanation)}\n\n{format_table(SERVICE_HEADER, rows)}"


def _service_head(explanation: ServiceExplanation) -> str:
    head = (
        f"{explanation.service} as {explanation.node_id} sees it, at settings "
        f"revision {explanation.settings_revision}"
    )
    if not explanation.is_defined:
        return f"{head}\nno settings define this service"
    return (
        f"{head}\n"
        f"{explanation.in_use_slots:g} of {explanation.known_slots:g} slots "
        f"take work; the floor is {explanation.floor_slots:g} "
        f"(floor_fraction {explanation.floor_fraction:g})\n"
        f"{explanation.cause}"
    )


def format_request(story: RequestStory) -> str:
    """Return text with a request's arrival, its attempts and its outcome."""
    arrival = f"request {story.request_id}"
    if story.method:
        arrival += f": {story.method} {story.path}"
    if story.node_id:
        arrival += f", received at {story.node_id}"
    attempts = [
        f"attempt {number}: {_format_attempt(attempt)}"
        for number, attempt in enumerate(story.attempts, 1)
    ]
    return "\n".join([arrival, *attempts, _format_end(story)])


def _format_attempt(attempt: AttemptStory) -> str:
    gate = f" behind {attempt.gate}" if attempt.gate else ""
    sent = "dispatched" if attempt.dispatched else "no dispatch among the events"
    end = attempt.outcome or "no end among the events"
    cause = f" ({attempt.cause})" if attempt.cause else ""
    return f"{attempt.backend_server}{gate}: {sent}, {end}{cause}"


def _format_end(story: RequestStory) -> str:
    if story.outcome is None:
        return (
            "no end among the events: it is still running, or more sources are needed"
        )
    status = f" with status {story.status}" if story.status else ""
    cause = f" ({story.cause})" if story.cause else ""
    return f"outcome: {story.outcome}{status}{cause}, {story.duration_ms:g} ms"
