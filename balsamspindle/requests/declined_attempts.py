"""Replies for attempts that were not sent, because their gates would refuse them."""

from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.admission_queries import DeclinedAttempt
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.wire import AttemptId, Reply

__all__ = ["declined_reply"]


def declined_reply(
    forwarded: ForwardedRequest,
    placement: Placement,
    declined: DeclinedAttempt,
    attempt_id: AttemptId,
    track: Callable[[ForwardedRequest, Placement], TrackedAttempt],
) -> Reply:
    """Record an attempt that was not sent because of a query; return a refusal."""
    forwarded.tried.add(placement.backend_server.backend_server_id)
    forwarded.attempts += 1
    reply = Reply(
        attempt_id,
        Outcome.NOT_RUN,
        declined.reason,
        retry_after_ms=declined.wait_ms,
        held_out=declined.held_out,
        load=declined.load,
    )
    if declined.reason not in (Reason.UNREACHABLE, Reason.NO_FREE_LINK):
        forwarded.sends += 1
        track(forwarded, placement).end(reply)
    return reply
