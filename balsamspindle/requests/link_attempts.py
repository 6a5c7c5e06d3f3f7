"""Attempts over links: a second one beside a silent one, and one left open.

A gate whose node is leaving says so of each attempt that it may not live to
answer. Such an attempt is left open, or parked, while its request is tried
elsewhere, and whichever is answered first counts.
"""

import math
import socket
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests.attempt_ends import AttemptEnds, is_answered
from balsamspindle.requests.claims import GateIdentity, with_claim
from balsamspindle.requests.forwarded import ForwardedRequest, Hedge
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.links import Link
from balsamspindle.requests.questions import Declined, Questions
from balsamspindle.requests.reply_wait import WaitOptions, WaitResult, wait_first
from balsamspindle.requests.retries import is_success
from balsamspindle.requests.sent import SentAttempt
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Dispatch, NodeRecord, Reply

__all__ = ["LinkAttempts"]

# Of a leaving node's time, what its gates are not told of: a refusal that comes when
# the time is over is of no use any more, and the caller is told `unknown`.
REPLY_RESERVE_S = 0.2


class Heard:
    """What came for an attempt that was left open, while nobody waited for it.

    Attributes
    ----------
    answer : Reply or None
    """

    def __init__(self) -> None:
        self.answer: Reply | None = None


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
        self._ends = AttemptEnds(events, clock, lambda: self._given_up)

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
        self, forwarded: ForwardedRequest, placement: Placement, hedge: Hedge | None
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
            waited = self._wait_doubled(forwarded, attempts, hedge)
            parked = self._to_park(forwarded, attempts, waited)
        finally:
            ended = [sent for sent in attempts if sent is not parked]
            self._close(forwarded, ended, waited)
        if parked is None:
            return self._ends.reply(forwarded, attempts, waited)
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
        hedge: Hedge | None,
    ) -> WaitResult | None:
        """Wait for the reply to an attempt, with a second one if it is silent."""
        if hedge is not None:
            alone_until_s = self._clock() + hedge.hedge_delay_s
            waited = self._wait(forwarded, attempts, alone_until_s)
            if waited or self._to_park(forwarded, attempts, waited):
                return waited
            if self._is_just_silent(forwarded, attempts[0], alone_until_s):
                attempts += self._open_second(forwarded, hedge)
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
        waited: WaitResult | None,
    ) -> SentAttempt | None:
        """Return the last open attempt if its gate's node may end before it."""
        replies = {} if waited is None else waited.replies
        unanswered = [sent for sent in attempts if sent.link not in replies]
        if len(unanswered) != 1 or not unanswered[0].is_ending():
            return None
        if is_answered(waited) or not self._may_park(forwarded):
            return None
        if self._given_up or forwarded.caller.caller_gone():
            return None
        return unanswered[0]

    def leave_parked(self, forwarded: ForwardedRequest, has_answer: bool) -> None:
        """Cancel the attempt that was left open, if it still is."""
        if has_answer:
            cause = CancelCause.ANSWERED_ELSEWHERE
        else:
            cause = self._ends.why_given_up(forwarded)
        forwarded.parked.give_up(cause)

    def wait_parked(self, forwarded: ForwardedRequest) -> Reply:
        """Wait for the attempt that was left open, as nothing else is left."""
        attempts = forwarded.parked.all()
        waited = self._wait(forwarded, attempts, forwarded.deadline_s)
        self._close(forwarded, [], waited)
        if waited is None:
            self.leave_parked(forwarded, has_answer=False)
        return self._ends.reply(forwarded, attempts, waited)

    @contextmanager
    def listening(
        self, forwarded: ForwardedRequest, on_answer: Callable[[], None]
    ) -> Iterator[Heard]:
        """Listen for the attempt that was left open while the task does other work.

        A reply that nobody has read is dropped when its connection ends, and the
        gate's node is about to end.

        Parameters
        ----------
        on_answer : callable
            Called in another thread when the attempt is answered with success.
        """
        heard = Heard()
        near, far = socket.socketpair()

        def listen() -> None:
            attempts = forwarded.parked.all()
            # The other work is over when its end of the pair is closed.
            wait = self._wait_terms(
                forwarded, forwarded.deadline_s, near.fileno(), lambda: True
            )
            waited = wait_first({sent.link: sent.attempt_id for sent in attempts}, wait)
            self._close(forwarded, [], waited)
            if waited is None:
                return
            reply = self._ends.reply(forwarded, attempts, waited)
            if is_success(reply):
                heard.answer = reply
                on_answer()
            else:
                forwarded.parked_replies.append(reply)

        listener = threading.Thread(target=listen, name="left-open", daemon=True)
        with near:
            listener.start()
            try:
                yield heard
            finally:
                far.close()
                listener.join()

    def _open_second(self, forwarded, hedge) -> list[SentAttempt]:
        if not forwarded.may_send():
            return []
        placement = hedge.choose_placement()
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
        if self._given_up:
            return self._stopped(forwarded, dispatch, link)
        # The claim is made only with a link that was heard: made for a gate
        # that is dead it would hold the key for ever.
        gate_time_s = link.gate_clock.at(self._clock())
        claimed = with_claim(
            forwarded.claimant, dispatch, GateIdentity(*link.gate), gate_time_s
        )
        if isinstance(claimed, Reply):
            self._links.give_back(link)
            return claimed
        if self._given_up:
            return self._stopped(forwarded, dispatch, link)
        if not link.send_dispatch(claimed, forwarded.deadline_s):
            link.close()
            forwarded.sends -= 1
            return unreachable
        tracked = self._track(forwarded, placement)
        return SentAttempt(link, dispatch, node_id, tracked.end)

    def _stopped(
        self, forwarded: ForwardedRequest, dispatch: Dispatch, link: Link
    ) -> Reply:
        """Send nothing: the node gave up while the link was opened."""
        self._links.give_back(link)
        forwarded.sends -= 1
        return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NODE_STOPPING)

    def _wait(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        until_s: float,
    ) -> WaitResult | None:
        caller = forwarded.caller
        wait = self._wait_terms(forwarded, until_s, caller.fileno(), caller.caller_gone)
        return wait_first({sent.link: sent.attempt_id for sent in attempts}, wait)

    def _wait_terms(
        self,
        forwarded: ForwardedRequest,
        until_s: float,
        descriptor: int,
        is_over: Callable[[], bool],
    ) -> WaitOptions:
        """Return how long to wait, and what ends the wait before."""
        return WaitOptions(
            until_s,
            descriptor,
            is_over,
            on_dropped=lambda cause: self._events.emit("message_dropped", cause=cause),
            given_up=lambda: self._given_up,
            node_ends_s=lambda: self._ends_s,
            ends_at_notice=lambda: self._may_park(forwarded),
            parked_attempts=forwarded.parked.by_link(),
            on_parked=lambda link, reply: self._end_parked(forwarded, link, reply),
        )

    def _end_parked(
        self, forwarded: ForwardedRequest, link: Link, reply: Reply
    ) -> None:
        """Take a reply that does not end the request, for want of a better one."""
        forwarded.parked_replies.append(reply)
        self._settle_parked(forwarded, {link: reply})

    def _settle_parked(
        self, forwarded: ForwardedRequest, replies: Mapping[Link, Reply]
    ) -> None:
        """Take the replies to attempts that were left open."""
        for sent in forwarded.parked.all():
            if sent.link in replies:
                forwarded.record_cut(replies[sent.link], sent.link.heard_s)
        forwarded.parked.settle(replies, self._links.give_back)

    def _close(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: WaitResult | None,
    ) -> None:
        """Keep the links that brought replies; leave the other attempts.

        One that lost against a second attempt is not cancelled: it was silent
        for long, and its gate learns from how long it still is. Cancelled, a
        backend server that hangs would look well, with no work in flight. One
        that lost against an earlier attempt, which was left open, is not silent.
        """
        replies = {} if waited is None else waited.replies
        is_silent = is_answered(waited) and not forwarded.parked
        for sent in attempts:
            reply = replies.get(sent.link)
            sent.on_end(reply)
            if reply is not None:
                # Before the link is another task's, which hears other replies.
                forwarded.record_cut(reply, sent.link.heard_s)
                self._links.give_back(sent.link)
            elif is_silent:
                sent.link.close()
            else:
                sent.give_up(self._ends.why_given_up(forwarded, waited))
        self._settle_parked(forwarded, replies)

    def _is_own(self, placement: Placement) -> bool:
        return placement.node.node_id == self._own.node_id
