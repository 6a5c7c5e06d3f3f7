"""Formats explanations as text for a terminal."""

from balsamspindle.cli.tables import format_table
from balsamspindle.services.explanation import ServiceExplanation
from balsamspindle.timeline.request_summary import AttemptSummary, RequestSummary

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
    """Return a node's explanation of its selection of backend servers, as text."""
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


def format_request(summary: RequestSummary) -> str:
    """Return a request's receipt, attempts and outcome as text, one per line."""
    arrival = f"request {summary.request_id}"
    if summary.method:
        arrival += f": {summary.method} {summary.path}"
    if summary.node_id:
        arrival += f", received at {summary.node_id}"
    attempts = [
        f"attempt {number}: {_format_attempt(attempt)}"
        for number, attempt in enumerate(summary.attempts, 1)
    ]
    return "\n".join([arrival, *attempts, _format_end(summary)])


def _format_attempt(attempt: AttemptSummary) -> str:
    gate = f" behind {attempt.gate}" if attempt.gate else ""
    sent = "dispatched" if attempt.dispatched else "no dispatch among the events"
    end = attempt.outcome or "no end among the events"
    cause = f" ({attempt.cause})" if attempt.cause else ""
    return f"{attempt.backend_server}{gate}: {sent}, {end}{cause}"


def _format_end(summary: RequestSummary) -> str:
    if summary.outcome is None:
        return (
            "no end among the events: the request is still running, or more logs or "
            "nodes are needed"
        )
    status = f" with status {summary.status}" if summary.status else ""
    cause = f" ({summary.cause})" if summary.cause else ""
    return f"outcome: {summary.outcome}{status}{cause}, {summary.duration_ms:g} ms"
