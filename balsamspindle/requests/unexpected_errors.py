"""Answers a request whose forwarding failed because of a fault of this node."""

from collections.abc import Callable

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Reply

__all__ = ["forward_or_fail"]


def forward_or_fail(
    forward: Callable[[ForwardedRequest], Reply],
    forwarded: ForwardedRequest,
    events: EventLog,
) -> Reply:
    """Forward a request; if that raises an exception, return an error for its caller.

    Without a reply, the caller's connection would be closed without an answer. The
    outcome is `unknown`, since an attempt may have been sent.
    """
    try:
        return forward(forwarded)
    except Exception as error:
        events.emit("request_failed", request=forwarded.request_id, cause=repr(error))
        attempt_id = AttemptId(events.node_id, events.incarnation, 0)
        return Reply(attempt_id, Outcome.UNKNOWN, Reason.INTERNAL_ERROR)
