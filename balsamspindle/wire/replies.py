"""Classifies the replies of gates."""

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire.link_messages import Reply

__all__ = ["is_refusal"]


def is_refusal(reply: Reply) -> bool:
    """Return whether the gate refused the attempt without sending it on.

    A refusal by the backend server itself has reason ``SHED`` and is not included.
    """
    return reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.SHED
