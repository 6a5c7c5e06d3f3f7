"""How the wait for attempts over links ended, and what is said of it."""

import time
from collections.abc import Callable

from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.requests.claims import note_reply
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.reply_wait import WaitResult
from balsamspindle.requests.sent import SentAttempt
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["AttemptEnds", "is_answered"]

# Why nobody knows what became of an attempt that was given up.
_UNANSWERED = {
    CancelCause.CALLER_LEFT: "the caller left",
    CancelCause.DEADLINE: "no reply in time",
    CancelCause.INGRESS_LEAVING: "this node is leaving",
    CancelCause.INGRESS_GAVE_UP: "the link to the gate ended",
}


class AttemptEnds:
    """Tells the outcome of attempts that one ingress waited for.

    Parameters
    ----------
    is_given_up : callable
        Tells whether the node stopped waiting for all replies.
    """

    def __init__(
        self,
        events: EventLog,
        clock: Callable[[], float],
        is_given_up: Callable[[], bool],
    ) -> None:
        self._events = events
        self._clock = clock
        self._is_given_up = is_given_up

    def reply(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: WaitResult | None,
    ) -> Reply:
        """Return what came of attempts that were waited for."""
        if waited is None:
            for sent in attempts:
                self._note_unanswered(forwarded, sent)
            attempt_id = attempts[0].dispatch.attempt_id
            return Reply(attempt_id, Outcome.UNKNOWN, Reason.SILENCE)
        reply = waited.reply
        # Another attempt may run or have run, unless its gate refused it.
        forwarded.may_have_run |= any(
            not _was_refused(waited.replies.get(sent.link))
            for sent in attempts
            if sent.link is not waited.link
        )
        self._events.clock.observe(reply.hlc, time.time())
        note_reply(forwarded.claimant, reply)
        return reply

    def why_given_up(
        self, forwarded: ForwardedRequest, waited: WaitResult | None = None
    ) -> CancelCause:
        """Tell why no reply is waited for any more."""
        if is_answered(waited):
            return CancelCause.ANSWERED_ELSEWHERE
        if forwarded.caller.caller_gone():
            return CancelCause.CALLER_LEFT
        if self._clock() >= forwarded.deadline_s:
            return CancelCause.DEADLINE
        if self._is_given_up():
            return CancelCause.INGRESS_LEAVING
        return CancelCause.INGRESS_GAVE_UP

    def _note_unanswered(self, forwarded: ForwardedRequest, sent: SentAttempt) -> None:
        """Say why nobody knows what became of an attempt."""
        self._events.emit(
            "attempt_unanswered",
            request=forwarded.request_id,
            backend_server=sent.dispatch.backend_server_id,
            gate=sent.gate,
            cause=_UNANSWERED[self.why_given_up(forwarded)],
        )


def is_answered(waited: WaitResult | None) -> bool:
    """Tell whether a backend server's answer ended the wait."""
    return waited is not None and waited.reply.outcome is Outcome.ANSWERED


def _was_refused(reply: Reply | None) -> bool:
    return reply is not None and is_refusal(reply)
