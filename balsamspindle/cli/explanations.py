"""Explanations in words for a terminal."""

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
    """Return a service as one node sees it."""
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
    """Return a request's story: how it came, each attempt, how it ended."""
    came = f"request {story.request_id}"
    if story.method:
        came += f": {story.method} {story.path}"
    if story.node_id:
        came += f", came in at {story.node_id}"
    attempts = [
        f"attempt {number}: {_format_attempt(attempt)}"
        for number, attempt in enumerate(story.attempts, 1)
    ]
    return "\n".join([came, *attempts, _format_end(story)])


def _format_attempt(attempt: AttemptStory) -> str:
    gate = f" behind {attempt.gate}" if attempt.gate else ""
    sent = "dispatched" if attempt.dispatched else "not seen to be dispatched"
    end = attempt.outcome or "its end is not among the events"
    cause = f" ({attempt.cause})" if attempt.cause else ""
    return f"{attempt.backend_server}{gate}: {sent}, {end}{cause}"


def _format_end(story: RequestStory) -> str:
    if story.outcome is None:
        return "its end is not among the events: it runs, or name more sources"
    status = f" with status {story.status}" if story.status else ""
    cause = f" ({story.cause})" if story.cause else ""
    return f"outcome: {story.outcome}{status}{cause}, {story.duration_ms:g} ms"
