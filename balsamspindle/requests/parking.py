"""Decides which attempts are parked while their requests are sent to other gates."""

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.attempt_outcomes import is_answered
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.reply_wait import WaitResult
from balsamspindle.requests.sent_attempts import SentAttempt

__all__ = ["find_attempt_to_park", "may_park"]


def may_park(forwarded: ForwardedRequest) -> bool:
    """Return whether to park an attempt; a request has at most one parked attempt.

    A leaving node cancels its runs when it stops. Without parking, the ingress
    would send a long-running request to another gate only after this stop. The time
    until the stop would be lost, and the ingress's node might then also be leaving.
    """
    return (
        forwarded.route.execution is Execution.IDEMPOTENT
        and not forwarded.parked
        and forwarded.may_send()
    )


def find_attempt_to_park(
    forwarded: ForwardedRequest,
    attempts: list[SentAttempt],
    waited: WaitResult | None,
) -> SentAttempt | None:
    """Return the attempt to park; None if none has to be parked.

    An attempt is parked if it is the only one without a reply, its gate has sent
    the notice that the attempt may not finish, no other attempt was answered, and
    `may_park` returns True.
    """
    replies = {} if waited is None else waited.replies
    unanswered = [sent for sent in attempts if sent.link not in replies]
    if len(unanswered) != 1 or not unanswered[0].has_ending_notice():
        return None
    if is_answered(waited) or not may_park(forwarded):
        return None
    return unanswered[0]
