"""Attempts over links: a second one beside a silent one, and one left open.

A gate whose node is leaving says so of each attempt that it may not live to
answer. Such an attempt is left open, or parked, while its request is tried
elsewhere, and whichever is answered first counts.
"""

import math
import time
from collections.abc import Callable, Mapping

from balsamspindle.membership.directory import Placement
from balsamspindle.requests.claims import GateIdentity, note_reply, with_claim
from balsamspindle.requests.forwarded import ForwardedRequest, Rescue
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.links import Link
from balsamspindle.requests.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests.questions import Declined, Questions
from balsamspindle.requests.retries import is_refusal
from balsamspindle.requests.sent import SentAttempt
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.requests.waiting import Wait, Waited, wait_first
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Dispatch, NodeRecord, Reply, checksum

__all__ = ["LinkAttempts"]

# Of a leaving node's time, what its gates are not told of: a refusal that comes when
# the time is over is of no use any more, and the caller is told `unknown`.
REPLY_RESERVE_S = 0.2

# Why nobody knows what became of an attempt that was given up.
_UNANSWERED = {
    CancelCause.CALLER_LEFT: "the caller left",
    CancelCause.DEADLINE: "no reply in time",
    CancelCause.INGRESS_LEAVING: "this node is leaving",
    CancelCause.INGRESS_GAVE_UP: "the link to the gate ended",
}


class LinkAttempts:
    """Sends attempts to the gates of other nodes and waits for their replies.

    Parameters
    ----------
    compose : callable
        Returns the message of an attempt at a place, with a deadline.
    track : callable
        Begins to learn from an attempt at a place.
    next_id : callable
        Returns an id that was never used.
    """

    def __init__(
        self,
        own: NodeRecord,
        links: GateLinks,
        events: EventLog,
        clock: Callable[[], float],
        compose: Callable[[ForwardedRequest, Placement, float], Dispatch],
        track: Callable[[ForwardedRequest, Placement], TrackedAttempt],
        next_id: Callable[[], AttemptId],
    ) -> None:
        self._own = own
        self._links = links
        self._questions = Questions(own, links, events, clock)
        self._events = events
        self._clock = clock
        self._compose = compose
        self._track = track
        self._next_id = next_id
        self._given_up = False
        self._ends_s = math.inf

    def end_by(self, ends_s: float) -> None:
        """Have gates start only what can end until then: this node is going."""
        self._ends_s = ends_s - REPLY_RESERVE_S

    def left_ms(self) -> float | None:
        """Return the time until this node ends; None while it is not leaving."""
        if math.isinf(self._ends_s):
            return None
        return (self._ends_s - self._clock()) * 1000

    def give_up(self) -> None:
        """End the waiting for all replies."""
        self._given_up = True

    def send(
        self, forwarded: ForwardedRequest, placement: Placement, rescue: Rescue | None
    ) -> Reply:
        """Make one attempt, and a second one beside it if it is silent."""
        link = None
        if self._questions.is_worth_it(forwarded, placement):
            match self._questions.ask(forwarded, placement):
                case Declined() as declined:
                    return self._note_declined(forwarded, placement, declined)
                case link:
                    pass
        first = self._open(forwarded, placement, link)
        if isinstance(first, Reply):
            return first
        attempts, waited, parked = [first], None, None
        try:
            waited = self._wait_doubled(forwarded, attempts, rescue)
            parked = self._to_park(forwarded, attempts, waited)
        finally:
            ended = [sent for sent in attempts if sent is not parked]
            self._close(forwarded, ended, waited)
        if parked is None:
            return self._final(forwarded, attempts, waited)
        return self._park(forwarded, parked)

    def _park(self, forwarded: ForwardedRequest, sent: SentAttempt) -> Reply:
        """Leave an attempt open; return what makes its request go elsewhere, too."""
        forwarded.parked.add(sent)
        self._events.emit(
            "attempt_left_open",
            request=forwarded.request_id,
            backend_server=sent.dispatch.backend_server_id,
            gate=sent.gate,
            left_ms=round((forwarded.deadline_s - self._clock()) * 1000),
        )
        return Reply(sent.attempt_id, Outcome.UNKNOWN, Reason.GATE_ENDING)

    def _wait_doubled(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        rescue: Rescue | None,
    ) -> Waited | None:
        """Wait for the reply to an attempt, with a second one if it is silent."""
        if rescue is not None:
            alone_until_s = self._clock() + rescue.patience_s
            waited = self._wait(forwarded, attempts, alone_until_s)
            if waited or self._to_park(forwarded, attempts, waited):
                return waited
            if self._is_just_silent(forwarded, attempts[0], alone_until_s):
                attempts += self._open_second(forwarded, rescue)
        return self._wait(forwarded, attempts, forwarded.deadline_s)

    def _is_just_silent(
        self, forwarded: ForwardedRequest, attempt: SentAttempt, until_s: float
    ) -> bool:
        return (
            self._clock() >= until_s
            and attempt.link.connected()
            and not forwarded.caller.caller_gone()
        )

    def _may_park(self, forwarded: ForwardedRequest) -> bool:
        """Tell whether an attempt may be left open while others are made.

        A run at a node that is leaving is cut when that node's time is over.
        Tried elsewhere only then, a read that runs for long has lost the whole of
        that time, and its own node may be leaving by now.
        """
        return (
            forwarded.route.execution is Execution.IDEMPOTENT
            and not forwarded.parked
            and forwarded.may_send()
        )

    def _to_park(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: Waited | None,
    ) -> SentAttempt | None:
        """Return the last open attempt if its gate's node may end before it."""
        replies = {} if waited is None else waited.replies
        unanswered = [sent for sent in attempts if sent.link not in replies]
        if len(unanswered) != 1 or not unanswered[0].is_ending():
            return None
        if _is_answered(waited) or not self._may_park(forwarded):
            return None
        if self._given_up or forwarded.caller.caller_gone():
            return None
        return unanswered[0]

    def leave_parked(self, forwarded: ForwardedRequest, is_answered: bool) -> None:
        """Cancel the attempt that was left open, if it still is."""
        if is_answered:
            cause = CancelCause.ANSWERED_ELSEWHERE
        else:
            cause = self._why_given_up(forwarded)
        forwarded.parked.give_up(cause)

    def wait_parked(self, forwarded: ForwardedRequest) -> Reply:
        """Wait for the attempt that was left open, as nothing else is left."""
        attempts = forwarded.parked.all()
        waited = self._wait(forwarded, attempts, forwarded.deadline_s)
        self._close(forwarded, [], waited)
        return self._final(forwarded, attempts, waited)

    def _open_second(self, forwarded, rescue) -> list[SentAttempt]:
        if not forwarded.may_send():
            return []
        placement = rescue.choose()
        if placement is None or self._is_own(placement):
            return []
        second = self._open(forwarded, placement)
        if isinstance(second, Reply):
            return []
        self._events.emit(
            "attempt_doubled",
            request=forwarded.request_id,
            backend_server=placement.backend_server.backend_server_id,
            cause="silence",
        )
        return [second]

    def _note_declined(self, forwarded, placement, declined: Declined) -> Reply:
        """Take a gate's word that it would refuse an attempt; nothing was sent."""
        forwarded.tried.add(placement.backend_server.backend_server_id)
        forwarded.attempts += 1
        reply = Reply(
            self._next_id(),
            Outcome.NOT_RUN,
            declined.reason,
            retry_after_ms=declined.wait_ms,
            held_out=declined.held_out,
        )
        if declined.reason is not Reason.UNREACHABLE:
            forwarded.sends += 1
            self._track(forwarded, placement).end(reply)
        return reply

    def _open(
        self, forwarded, placement, link: Link | None = None
    ) -> SentAttempt | Reply:
        """Send an attempt over a link; a reply when nothing was sent."""
        node_id = placement.node.node_id
        dispatch = self._compose(forwarded, placement, forwarded.deadline_s)
        unreachable = Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.UNREACHABLE)
        link = link or self._links.take(
            placement, dispatch.execution, forwarded.deadline_s, self._clock()
        )
        if link is None:
            forwarded.sends -= 1
            return unreachable
        # The claim is made only with a link that was heard: made for a gate
        # that is dead it would hold the key for ever.
        gate_time_s = link.gate_clock.at(self._clock())
        claimed = with_claim(
            forwarded.claimant, dispatch, GateIdentity(*link.gate), gate_time_s
        )
        if isinstance(claimed, Reply):
            self._links.give_back(link)
            return claimed
        if not link.send_dispatch(claimed, forwarded.deadline_s):
            link.close()
            forwarded.sends -= 1
            return unreachable
        tracked = self._track(forwarded, placement)
        return SentAttempt(link, dispatch, node_id, tracked.end)

    def _wait(self, forwarded, attempts, until_s: float) -> Waited | None:
        caller = forwarded.caller
        wait = Wait(
            until_s,
            caller.fileno(),
            caller.caller_gone,
            on_dropped=lambda cause: self._events.emit("message_dropped", cause=cause),
            given_up=lambda: self._given_up,
            ends_s=lambda: self._ends_s,
            ends_at_notice=lambda: self._may_park(forwarded),
            beside=forwarded.parked.by_link(),
            on_beside=lambda link, reply: self._settle_parked(forwarded, {link: reply}),
        )
        return wait_first({sent.link: sent.attempt_id for sent in attempts}, wait)

    def _settle_parked(
        self, forwarded: ForwardedRequest, replies: Mapping[Link, Reply]
    ) -> None:
        """Take the replies to attempts that were left open."""
        for sent in forwarded.parked.all():
            if sent.link in replies:
                forwarded.note_cut(replies[sent.link], sent.link.heard_s)
        forwarded.parked.settle(replies, self._links.give_back)

    def _close(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: Waited | None,
    ) -> None:
        """Keep the links that brought replies; leave the other attempts.

        One that lost against a second attempt is not cancelled: it was silent
        for long, and its gate learns from how long it still is. Cancelled, a
        backend server that hangs would look well, with no work in flight. One
        that lost against an earlier attempt, which was left open, is not silent.
        """
        replies = {} if waited is None else waited.replies
        is_silent = _is_answered(waited) and not forwarded.parked
        for sent in attempts:
            reply = replies.get(sent.link)
            sent.on_end(reply)
            if reply is not None:
                # Before the link is another task's, which hears other replies.
                forwarded.note_cut(reply, sent.link.heard_s)
                self._links.give_back(sent.link)
            elif is_silent:
                sent.link.close()
            else:
                sent.give_up(self._why_given_up(forwarded, waited))
        self._settle_parked(forwarded, replies)

    def _final(self, forwarded, attempts: list[SentAttempt], waited: Waited | None):
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
        if reply.outcome is Outcome.ANSWERED and reply.body_checksum != checksum(
            reply.body
        ):
            return Reply(reply.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER)
        note_reply(forwarded.claimant, reply)
        return reply

    def _why_given_up(
        self, forwarded: ForwardedRequest, waited: Waited | None = None
    ) -> CancelCause:
        """Tell why no reply is waited for any more."""
        if _is_answered(waited):
            return CancelCause.ANSWERED_ELSEWHERE
        if forwarded.caller.caller_gone():
            return CancelCause.CALLER_LEFT
        if self._clock() >= forwarded.deadline_s:
            return CancelCause.DEADLINE
        if self._given_up:
            return CancelCause.INGRESS_LEAVING
        return CancelCause.INGRESS_GAVE_UP

    def _note_unanswered(self, forwarded: ForwardedRequest, sent: SentAttempt) -> None:
        """Say why nobody knows what became of an attempt."""
        self._events.emit(
            "attempt_unanswered",
            request=forwarded.request_id,
            backend_server=sent.dispatch.backend_server_id,
            gate=sent.gate,
            cause=_UNANSWERED[self._why_given_up(forwarded)],
        )

    def _is_own(self, placement: Placement) -> bool:
        return placement.node.node_id == self._own.node_id


def _is_answered(waited: Waited | None) -> bool:
    return waited is not None and waited.reply.outcome is Outcome.ANSWERED


def _was_refused(reply: Reply | None) -> bool:
    return reply is not None and is_refusal(reply)
