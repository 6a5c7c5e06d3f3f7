"""One attempt of a request: at this node's gate, or over a link."""

import itertools
import math
import time
from collections.abc import Callable, Mapping
from functools import partial

import msgspec

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.membership.directory import Placement
from balsamspindle.requests.caller_watch import CallerWatch
from balsamspindle.requests.claims import GateIdentity
from balsamspindle.requests.forwarded import ForwardedRequest, Rescue, Step, route_id
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.links import Link, LinkPool
from balsamspindle.requests.outcomes import CancelCause, Execution, Outcome, Reason
from balsamspindle.requests.questions import Declined, Questions
from balsamspindle.requests.retries import is_refusal
from balsamspindle.requests.sent import SentAttempt
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.requests.waiting import Wait, Waited, wait_first
from balsamspindle.services.free_slots import FreeSlotViews
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.services.suspects import Suspects
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    HeldOut,
    NodeRecord,
    Reply,
    checksum,
)

__all__ = ["AttemptSender"]

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


class AttemptSender:
    """Sends attempts and waits for their replies."""

    def __init__(
        self,
        own: NodeRecord,
        gate: Gate,
        links: LinkPool,
        events: EventLog,
        free_slots: FreeSlotViews,
        clock: Callable[[], float] = time.monotonic,
        on_suspect: Callable[[NodeRecord, str, HeldOut, float], None] | None = None,
    ) -> None:
        self._on_suspect = on_suspect or (lambda *_: None)
        self._own = own
        self._gate = gate
        self._links = GateLinks(links, events)
        self._questions = Questions(own, self._links, events, clock)
        self._events = events
        self._free_slots = free_slots
        self._clock = clock
        self._watch = CallerWatch(
            partial(gate.cancel, cause=CancelCause.OWN_CALLER_LEFT)
        )
        self._peers = PeerEvidenceTracker()
        self._sequence = itertools.count(1)
        self._given_up = False
        self._ends_s = math.inf
        self.suspects = Suspects()
        self.queue_hints = QueueHints()

    @property
    def link_hold_outs(self) -> HoldOuts:
        """Nodes that this one could not reach, by id."""
        return self._links.hold_outs

    def next_id(self) -> AttemptId:
        """Return an id that was never used."""
        return AttemptId(self._own.node_id, self._own.incarnation, next(self._sequence))

    def end_by(self, ends_s: float) -> None:
        """Have gates start only what can end until then: this node is going."""
        self._ends_s = ends_s - REPLY_RESERVE_S

    def give_up(self) -> None:
        """End the waiting for all replies."""
        self._given_up = True

    def is_own(self, placement: Placement) -> bool:
        """Tell whether a place is at this node's gate."""
        return placement.node.node_id == self._own.node_id

    def send(
        self,
        forwarded: ForwardedRequest,
        placement: Placement,
        wait_max_ms: float | None = None,
        rescue: Rescue | None = None,
    ) -> Reply:
        """Make one attempt, and a second one beside it if it is silent.

        Parameters
        ----------
        wait_max_ms : float or None
            How long it may wait for a slot at the gate.
        """
        forwarded.wait_max_ms = wait_max_ms
        if self.is_own(placement):
            reply = self._send_here(forwarded, placement, rescue)
        else:
            reply = self._send_over_link(forwarded, placement, rescue)
        forwarded.may_have_run |= reply.outcome is Outcome.UNKNOWN
        return reply

    def _message(
        self, forwarded: ForwardedRequest, placement: Placement, deadline_s: float
    ) -> Dispatch:
        request, route = forwarded.request, forwarded.route
        server_id = placement.backend_server.backend_server_id
        is_repeat = forwarded.sends > 0
        forwarded.tried.add(server_id)
        forwarded.sends += 1
        forwarded.attempts += 1
        hlc = self._events.emit(
            "attempt_sent",
            request=forwarded.request_id,
            backend_server=server_id,
            gate=placement.node.node_id,
            attempt=forwarded.attempts,
            sought=Step(forwarded.search.step).name.lower(),
            free_slots=self._free_slots.free_slots(placement, self._clock()),
            wait_max_ms=_rounded(forwarded.wait_max_ms),
            is_last_resort=forwarded.is_last_resort or None,
        )
        return Dispatch(
            attempt_id=self.next_id(),
            request_id=forwarded.request_id,
            service=route.service,
            backend_server_id=server_id,
            execution=route.execution,
            remaining_ms=(deadline_s - self._clock()) * 1000,
            weight=route.weight,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            body_checksum=checksum(request.body),
            idempotency_key=forwarded.idempotency_key,
            hlc=hlc,
            peers=self._peers.about(route.service, server_id, self._clock()),
            caller_service=forwarded.caller_service,
            is_last_resort=forwarded.is_last_resort,
            wait_max_ms=forwarded.wait_max_ms,
            target_left_ms=forwarded.target_left_ms(self._clock()),
            route_id=route_id(route),
            is_repeat=is_repeat,
            repeated_part=self._gate.repeated_part(),
            ingress_left_ms=self._left_ms(),
            was_cut=forwarded.was_cut,
        )

    def _left_ms(self) -> float | None:
        """Return the time until this node ends; None while it is not leaving."""
        if math.isinf(self._ends_s):
            return None
        return (self._ends_s - self._clock()) * 1000

    def _send_here(self, forwarded, placement, rescue: Rescue | None) -> Reply:
        # The task makes the call to the backend server itself and can't look
        # after a second attempt meanwhile: it ends a silent one instead.
        deadline_s = forwarded.deadline_s
        if rescue is not None:
            deadline_s = min(deadline_s, self._clock() + rescue.patience_s)
        dispatch = self._message(forwarded, placement, deadline_s)
        own = GateIdentity(self._own.node_id, self._own.incarnation)
        claimed = _claim(forwarded, dispatch, own, self._clock())
        if isinstance(claimed, Reply):
            return claimed
        tracked = self._track(forwarded, placement)
        reply = None
        try:
            with self._watch.watching(dispatch.attempt_id, forwarded.caller):
                reply = self._gate.handle(claimed, self._clock())
        finally:
            tracked.end(reply)
        forwarded.note_cut(reply, self._clock())
        return _noted(forwarded, reply)

    def _send_over_link(self, forwarded, placement, rescue: Rescue | None) -> Reply:
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
        if placement is None or self.is_own(placement):
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
            self.next_id(),
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
        dispatch = self._message(forwarded, placement, forwarded.deadline_s)
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
        claimed = _claim(forwarded, dispatch, GateIdentity(*link.gate), gate_time_s)
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
            lambda cause: self._events.emit("message_dropped", cause=cause),
            lambda: self._given_up,
            lambda: self._ends_s,
            self._may_park(forwarded),
            forwarded.parked.by_link(),
            lambda link, reply: self._settle_parked(forwarded, {link: reply}),
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
        return _noted(forwarded, reply)

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

    def _track(self, forwarded, placement) -> TrackedAttempt:
        return TrackedAttempt(
            forwarded,
            placement,
            self._free_slots,
            self._peers,
            self._note_suspect,
            self.queue_hints,
            self._clock,
        )

    def _note_suspect(
        self, placement: Placement, held_out: HeldOut, now_s: float
    ) -> None:
        server_id = placement.backend_server.backend_server_id
        self.suspects.note(server_id, held_out, now_s)
        self._on_suspect(placement.node, server_id, held_out, now_s)


def _is_answered(waited: Waited | None) -> bool:
    return waited is not None and waited.reply.outcome is Outcome.ANSWERED


def _was_refused(reply: Reply | None) -> bool:
    return reply is not None and is_refusal(reply)


def _rounded(duration_ms: float | None) -> int | None:
    return None if duration_ms is None else round(duration_ms)


def _claim(forwarded, dispatch, gate, gate_time_s) -> Dispatch | Reply:
    """Put the key's claim into an attempt; a reply when it must not be made."""
    if forwarded.claimant is None:
        return dispatch
    match forwarded.claimant.claim_for(gate, gate_time_s):
        case Reason() as reason:
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, reason)
        case claim:
            return msgspec.structs.replace(dispatch, claim=claim)


def _noted(forwarded, reply: Reply) -> Reply:
    if forwarded.claimant is not None:
        forwarded.claimant.note(reply)
    return reply
