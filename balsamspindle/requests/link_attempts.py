"""Attempts sent to the gates of other nodes over links.

If the reply to an attempt is late, a hedge may be sent to another gate in parallel.
When a gate's node is leaving, the gate sends a notice for each attempt that may not
finish before the node stops. The ingress then parks the attempt: it stays open while
the request is sent to another gate. The first successful answer is used.
"""

import math
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import msgspec

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.requests.admission_queries import AdmissionQueries, DeclinedAttempt
from balsamspindle.requests.attempt_outcomes import AttemptOutcomes, is_answered
from balsamspindle.requests.claims import GateIdentity
from balsamspindle.requests.declined_attempts import declined_reply
from balsamspindle.requests.forwarded import ForwardedRequest, Hedge
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.key_claimant import with_claim
from balsamspindle.requests.links import Link
from balsamspindle.requests.parked_replies import ParkedResult, listening
from balsamspindle.requests.parking import find_attempt_to_park, may_park
from balsamspindle.requests.reply_wait import WaitOptions, WaitResult, wait_first
from balsamspindle.requests.reservation_plans import ReservationPlan
from balsamspindle.requests.reservations import CalledReservation, Reservations
from balsamspindle.requests.retries import is_success
from balsamspindle.requests.sent_attempts import SentAttempt
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Dispatch, NodeRecord, Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["LinkAttempts"]

# A leaving node announces a stop time this much before its actual stop. Gates refuse
# attempts that would end after the announced time, at the latest at that time. Without
# this reserve, a refusal could arrive after the node has stopped. The caller would then
# get `unknown` instead of `not_run`.
REPLY_RESERVE_S = 0.2


class LinkAttempts:
    """Sends attempts to the gates of other nodes and waits for their replies.

    Parameters
    ----------
    build_dispatch : callable
        Counts an attempt and returns the message that starts the attempt at the gate.
    track : callable
        Records the start of an attempt; returns the object that records its end.
    next_id : callable
        Returns a new attempt id.
    """

    def __init__(
        self,
        own: NodeRecord,
        links: GateLinks,
        events: EventLog,
        clock: Callable[[], float],
        build_dispatch: Callable[[ForwardedRequest, Placement, float], Dispatch],
        track: Callable[[ForwardedRequest, Placement], TrackedAttempt],
        next_id: Callable[[], AttemptId],
    ) -> None:
        self._own = own
        self._links = links
        self._queries = AdmissionQueries(own, links, events, clock)
        self._events = events
        self._clock = clock
        self._build_dispatch = build_dispatch
        self._track = track
        self._next_id = next_id
        self._aborted = False
        self._announced_end_s = math.inf
        self._outcomes = AttemptOutcomes(events, clock, lambda: self._aborted)
        self._reservations = Reservations(
            links,
            events,
            clock,
            self._queries.build_query,
            track,
            next_id,
            lambda: self._aborted,
        )

    def set_end_time(self, ends_s: float) -> None:
        """Set the time at which this node stops; see `AttemptSender.set_end_time`."""
        self._announced_end_s = ends_s - REPLY_RESERVE_S

    def time_to_stop_ms(self) -> float | None:
        """Return the time to the announced stop time; None before `set_end_time`."""
        if math.isinf(self._announced_end_s):
            return None
        return (self._announced_end_s - self._clock()) * 1000

    def abort_attempts(self) -> None:
        """Stop waiting for replies to attempts, and send no new attempts."""
        self._aborted = True

    def send(
        self, forwarded: ForwardedRequest, placement: Placement, hedge: Hedge | None
    ) -> Reply:
        """Make an attempt and return its reply; send a hedge if the reply is late.

        If the attempt was parked, the returned reply has the reason `gate_ending`.
        """
        link = None
        if self._queries.should_query(forwarded, placement):
            match self._queries.query(forwarded, placement):
                case DeclinedAttempt() as declined:
                    return declined_reply(
                        forwarded, placement, declined, self._next_id(), self._track
                    )
                case link:
                    pass
        return self._finish(forwarded, self._start(forwarded, placement, link), hedge)

    def send_reserved(
        self,
        forwarded: ForwardedRequest,
        plan: ReservationPlan,
        hedge: Hedge | None,
    ) -> tuple[Placement, Reply]:
        """Reserve places, and make the attempt at the gate that calls.

        Returns the attempt's placement and reply. Without a call, returns the first
        placement and its refusal.
        """
        match self._reservations.wait(forwarded, plan):
            case CalledReservation(link, placement, attempt_id):
                sent = self._start(forwarded, placement, link, attempt_id)
                return placement, self._finish(forwarded, sent, hedge)
            case refusal:
                return plan.placements[0], refusal

    def _finish(
        self,
        forwarded: ForwardedRequest,
        first: SentAttempt | Reply,
        hedge: Hedge | None,
    ) -> Reply:
        """Wait for the reply to an attempt that was sent; return it, or the refusal."""
        if isinstance(first, Reply):
            return first
        attempts, waited, parked = [first], None, None
        try:
            waited = self._wait_hedged(forwarded, attempts, hedge)
            parked = self._attempt_to_park(forwarded, attempts, waited)
        finally:
            ended = [sent for sent in attempts if sent is not parked]
            self._end_attempts(forwarded, ended, waited)
        if parked is None:
            return self._outcomes.final_reply(forwarded, attempts, waited)
        return self._park(forwarded, parked)

    def _park(self, forwarded: ForwardedRequest, sent: SentAttempt) -> Reply:
        """Park an attempt; return the reply that makes `Forwarder` try other gates."""
        forwarded.parked.add(sent)
        self._events.emit(
            "attempt_left_open",
            request=forwarded.request_id,
            backend_server=sent.dispatch.backend_server_id,
            gate=sent.gate,
            left_ms=round((forwarded.deadline_s - self._clock()) * 1000),
        )
        return Reply(sent.attempt_id, Outcome.UNKNOWN, Reason.GATE_ENDING)

    def _wait_hedged(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        hedge: Hedge | None,
    ) -> WaitResult | None:
        """Wait for a reply; send a hedge if none arrives within `hedge_delay_s`."""
        if hedge is not None:
            hedge_start_s = self._clock() + hedge.hedge_delay_s
            waited = self._wait(forwarded, attempts, hedge_start_s)
            if waited or self._attempt_to_park(forwarded, attempts, waited):
                return waited
            if self._should_hedge(forwarded, attempts[0], hedge_start_s):
                attempts += self._start_hedge(forwarded, hedge)
        return self._wait(forwarded, attempts, forwarded.deadline_s)

    def _should_hedge(
        self, forwarded: ForwardedRequest, attempt: SentAttempt, until_s: float
    ) -> bool:
        return (
            self._clock() >= until_s
            and attempt.link.connected()
            and not forwarded.caller.caller_left()
        )

    def _attempt_to_park(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: WaitResult | None,
    ) -> SentAttempt | None:
        """Return the attempt to park; None if none has to be parked."""
        if self._aborted or forwarded.caller.caller_left():
            return None
        return find_attempt_to_park(forwarded, attempts, waited)

    def cancel_parked(self, forwarded: ForwardedRequest, has_answer: bool) -> None:
        """Cancel any parked attempt; `has_answer`: whether the request was answered."""
        if has_answer:
            cause = CancelCause.ANSWERED_ELSEWHERE
        else:
            cause = self._outcomes.cancel_cause(forwarded)
        forwarded.parked.cancel(cause)

    def wait_parked(self, forwarded: ForwardedRequest) -> Reply:
        """Wait for the parked attempt's reply, after all other attempts have failed."""
        attempts = forwarded.parked.all()
        waited = self._wait(forwarded, attempts, forwarded.deadline_s)
        self._end_attempts(forwarded, [], waited)
        if waited is None:
            self.cancel_parked(forwarded, has_answer=False)
        return self._outcomes.final_reply(forwarded, attempts, waited)

    @contextmanager
    def receiving_parked_reply(
        self, forwarded: ForwardedRequest, on_answer: Callable[[], None]
    ) -> Iterator[ParkedResult]:
        """Receive the parked attempt's reply while this thread makes another attempt.

        The reply must be read as soon as it arrives: the gate's node is about to stop,
        and ZeroMQ drops unread replies when their connection closes.

        Parameters
        ----------
        on_answer : callable
            Called in another thread when a successful reply arrives.
        """
        result = ParkedResult()

        def listen(descriptor: int) -> None:
            attempts = forwarded.parked.all()
            # The wait ends when `descriptor` is readable, after the other attempt.
            wait = self._build_wait(
                forwarded, forwarded.deadline_s, descriptor, lambda: True
            )
            waited = wait_first({sent.link: sent.attempt_id for sent in attempts}, wait)
            self._end_attempts(forwarded, [], waited)
            if waited is None:
                return
            reply = self._outcomes.final_reply(forwarded, attempts, waited)
            if is_success(reply):
                result.answer = reply
                on_answer()
            else:
                forwarded.parked_replies.append(reply)

        with listening(listen):
            yield result

    def _start_hedge(self, forwarded, hedge) -> list[SentAttempt]:
        if not forwarded.may_send():
            return []
        placement = hedge.choose_placement()
        if placement is None or placement.node.node_id == self._own.node_id:
            return []
        second = self._start(forwarded, placement)
        if isinstance(second, Reply):
            return []
        self._events.emit(
            "attempt_doubled",
            request=forwarded.request_id,
            backend_server=placement.backend_server.backend_server_id,
            cause="silence",
        )
        return [second]

    def _start(
        self,
        forwarded,
        placement,
        link: Link | None = None,
        reserved_id: AttemptId | None = None,
    ) -> SentAttempt | Reply:
        """Send an attempt over a link; return a reply with a reason if not sent."""
        node_id = placement.node.node_id
        dispatch = self._build_dispatch(forwarded, placement, forwarded.deadline_s)
        if reserved_id is not None:
            dispatch = msgspec.structs.replace(
                dispatch, attempt_id=reserved_id, is_reserved=True
            )
        link = link or self._links.acquire(
            placement, dispatch.execution, forwarded.deadline_s, self._clock()
        )
        if isinstance(link, Reason):
            forwarded.sends -= 1
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, link)
        if self._aborted:
            return self._release_unused(forwarded, dispatch, link)
        # The idempotency key is claimed only once the gate is known to be alive: a
        # claim for a dead gate would block all requests with the key for ever.
        gate_time_s = link.gate_clock.at(self._clock())
        claimed = with_claim(
            forwarded.claimant, dispatch, GateIdentity(*link.gate), gate_time_s
        )
        if isinstance(claimed, Reply):
            self._links.release(link)
            return claimed
        if self._aborted:
            return self._release_unused(forwarded, dispatch, link)
        if not link.send_dispatch(claimed, forwarded.deadline_s):
            link.close()
            forwarded.sends -= 1
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.UNREACHABLE)
        tracked = self._track(forwarded, placement)
        return SentAttempt(link, dispatch, node_id, tracked.end)

    def _release_unused(
        self, forwarded: ForwardedRequest, dispatch: Dispatch, link: Link
    ) -> Reply:
        """Release an unused link; return a refusal with reason `node_stopping`."""
        self._links.release(link)
        forwarded.sends -= 1
        return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.NODE_STOPPING)

    def _wait(
        self, forwarded: ForwardedRequest, attempts: list[SentAttempt], until_s: float
    ) -> WaitResult | None:
        caller = forwarded.caller
        wait = self._build_wait(forwarded, until_s, caller.fileno(), caller.caller_left)
        return wait_first({sent.link: sent.attempt_id for sent in attempts}, wait)

    def _build_wait(
        self,
        forwarded: ForwardedRequest,
        until_s: float,
        descriptor: int,
        is_over: Callable[[], bool],
    ) -> WaitOptions:
        """Return options; the wait ends if `descriptor` is readable and `is_over()`."""
        return WaitOptions(
            until_s,
            descriptor,
            is_over,
            on_dropped=lambda cause: self._events.emit("message_dropped", cause=cause),
            is_aborted=lambda: self._aborted,
            node_ends_s=lambda: self._announced_end_s,
            ends_at_notice=lambda: may_park(forwarded),
            parked_attempts=forwarded.parked.by_link(),
            on_parked=lambda link, reply: self._on_parked(forwarded, link, reply),
        )

    def _on_parked(self, forwarded: ForwardedRequest, link: Link, reply: Reply) -> None:
        """Store a parked attempt's failed reply; used if all other attempts fail."""
        forwarded.parked_replies.append(reply)
        self._finish_parked(forwarded, {link: reply})

    def _finish_parked(
        self, forwarded: ForwardedRequest, replies: Mapping[Link, Reply]
    ) -> None:
        """Remove the parked attempts that got replies, and release their links."""
        for sent in forwarded.parked.all():
            if sent.link in replies:
                forwarded.record_loss(replies[sent.link], sent.link.last_received_s)
        forwarded.parked.finish(replies, self._links.release)

    def _end_attempts(
        self,
        forwarded: ForwardedRequest,
        attempts: list[SentAttempt],
        waited: WaitResult | None,
    ) -> None:
        """Release the links of attempts that got replies; end the other attempts.

        If an attempt was answered and none is parked, the link of an attempt without a
        reply is closed, but the attempt is not cancelled. Its gate can then measure the
        run and detect a backend server that hangs. Otherwise, the attempt is cancelled.
        If one is parked, the unanswered attempt may just have started, long after the
        parked one. Its missing reply does not indicate a slow backend server.

        A search that starts again excludes the backend servers that ran the request.
        """
        replies = {} if waited is None else waited.replies
        may_continue = is_answered(waited) and not forwarded.parked
        for sent in attempts:
            reply = replies.get(sent.link)
            sent.on_end(reply)
            runs_on = reply is None and may_continue
            if runs_on or (reply is not None and not is_refusal(reply)):
                forwarded.failed.add(sent.dispatch.backend_server_id)
            if reply is not None:
                # Another task may change `last_received_s` after the release.
                forwarded.record_loss(reply, sent.link.last_received_s)
                self._links.release(sent.link)
            elif runs_on:
                sent.link.close()
            else:
                sent.cancel(self._outcomes.cancel_cause(forwarded, waited))
        self._finish_parked(forwarded, replies)
