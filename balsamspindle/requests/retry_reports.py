"""Reports retries that were not allowed."""

from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Reply

__all__ = ["report_retry_denied"]


def report_retry_denied(
    events: EventLog,
    retries: RetryPolicy,
    forwarded: ForwardedRequest,
    reply: Reply,
    now_s: float,
) -> None:
    """Emit `retry_denied`, but not if a non-idempotent request may have run."""
    route = forwarded.route
    if reply.outcome is not Outcome.NOT_RUN and (
        route.execution is Execution.NON_IDEMPOTENT
    ):
        return
    left = None
    if not retries.gates_limit_retries(route.service):
        left = round(retries.remaining_tokens(route.service, now_s), 1)
    events.emit(
        "retry_denied",
        request=forwarded.request_id,
        after=reply.reason or reply.status,
        retries_left=left,
        sends=forwarded.sends,
    )
