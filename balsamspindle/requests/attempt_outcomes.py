"""Outcomes of attempts that an ingress sent over links."""

import time
from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.key_claimant import record_claim_reply
from balsamspindle.requests.reply_wait import WaitResult
from balsamspindle.requests.sent_attempts import SentAttempt
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["AttemptOutcomes", "is_answered", "record_failure"]

# Causes that the event log gives for attempts that ended without a reply.
_UNANSWERED_CAUSES = {
    CancelCause.CALLER_LEFT: "the caller left",
    CancelCause.DEADLINE: "no reply in time",
    CancelCause.INGRESS_LEAVING: "this node is leaving",
    CancelCause.INGRESS_GAVE_UP: "the link to the gate ended",
}


class AttemptOutcomes:
    """Determines and logs how attempts over links ended.

    Parameters
    ----------
    is_aborted : callable
        Returns whether this node is leaving and no longer waits for any replies.
    """

    def __init__(
        self,
        events: EventLog,
        clock: Callable[[], float],
        is_aborted: Callable[[], bool],
    ) -> None:
        self._events = events
        self._clock = clock
        self._is_aborted = is_aborted

    def final_reply(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: WaitResult | None,
    ) -> Reply:
        """Return the reply that ended the wait for a request's attempts.

        If `waited` is None, no attempt got a reply: each attempt is logged, and the
        returned reply has the outcome `unknown` and the reason `silence`. Otherwise,
        the reply is recorded for the request's claim. `forwarded.may_have_run` is set
        if any other attempt may have run.
        """
        if waited is None:
            for sent in attempts:
                self._log_unanswered(forwarded, sent)
            attempt_id = attempts[0].dispatch.attempt_id
            return Reply(attempt_id, Outcome.UNKNOWN, Reason.SILENCE)
        reply = waited.reply
        # Each other attempt may be running, or may have run, unless its gate refused
        # it.
        forwarded.may_have_run |= any(
            not _was_refused(waited.replies.get(sent.link))
            for sent in attempts
            if sent.link is not waited.link
        )
        self._events.clock.observe(reply.hlc, time.time())
        record_claim_reply(forwarded.claimant, reply)
        return reply

    def cancel_cause(
        self, forwarded: ForwardedRequest, waited: WaitResult | None = None
    ) -> CancelCause:
        """Return the reason why a request's open attempts are cancelled."""
        if is_answered(waited):
            return CancelCause.ANSWERED_ELSEWHERE
        if forwarded.caller.caller_left():
            return CancelCause.CALLER_LEFT
        if self._clock() >= forwarded.deadline_s:
            return CancelCause.DEADLINE
        if self._is_aborted():
            return CancelCause.INGRESS_LEAVING
        return CancelCause.INGRESS_GAVE_UP

    def _log_unanswered(self, forwarded: ForwardedRequest, sent: SentAttempt) -> None:
        """Log an attempt that got no reply, and why the wait for the reply ended."""
        self._events.emit(
            "attempt_unanswered",
            request=forwarded.request_id,
            backend_server=sent.dispatch.backend_server_id,
            gate=sent.gate,
            cause=_UNANSWERED_CAUSES[self.cancel_cause(forwarded)],
        )


def is_answered(waited: WaitResult | None) -> bool:
    """Return whether the wait ended with an answer from a backend server."""
    return waited is not None and waited.reply.outcome is Outcome.ANSWERED


def record_failure(
    forwarded: ForwardedRequest, placement: Placement, reply: Reply
) -> None:
    """Record that a gate suspects its backend server, or that an attempt failed."""
    server_id = placement.backend_server.backend_server_id
    if reply.reason is Reason.SUSPECTED:
        forwarded.refused_as_suspect.add(server_id)
    if not is_refusal(reply):
        forwarded.failed.add(server_id)
    if reply.reason is Reason.SERVER_CRASHED:
        # Without the crash, the request would probably have been answered. So it
        # may use retries that are reserved for routes of a higher weight.
        forwarded.run_was_lost = True


def _was_refused(reply: Reply | None) -> bool:
    return reply is not None and is_refusal(reply)
