"""Sends attempts to this node's own gate, or over links to other nodes' gates."""

import itertools
import time
from collections.abc import Callable
from functools import partial

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import CancelCause, Outcome
from balsamspindle.requests.caller_watch import CallerWatch
from balsamspindle.requests.claims import GateIdentity
from balsamspindle.requests.forwarded import ForwardedRequest, Hedge, Step, route_id
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.key_claimant import record_claim_reply, with_claim
from balsamspindle.requests.link_attempts import LinkAttempts
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.requests.reservation_plans import ReservationPlan
from balsamspindle.requests.retries import is_success
from balsamspindle.requests.room_news import RoomNews
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.services.known_terms import KnownTerms
from balsamspindle.services.limit_checks import LimitChecks
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    HoldOut,
    NodeRecord,
    Reply,
    checksum,
)

__all__ = ["AttemptSender"]


class AttemptSender:
    """Sends attempts to gates and waits for their replies.

    Parameters
    ----------
    on_hold_out : callable, optional
        Called after each reply with four arguments: the gate's node, the backend
        server's id, the hold-out that the gate reported (0 ms if there is none), and
        the monotonic time.
    """

    def __init__(
        self,
        own: NodeRecord,
        gate: Gate,
        links: LinkPool,
        events: EventLog,
        free_slots: FreeSlotEstimates,
        clock: Callable[[], float] = time.monotonic,
        on_hold_out: Callable[[NodeRecord, str, HoldOut, float], None] | None = None,
    ) -> None:
        self._on_hold_out = on_hold_out or (lambda *_: None)
        self._own = own
        self._gate = gate
        self._links = GateLinks(links, events)
        self._events = events
        self._free_slots = free_slots
        self._clock = clock
        self._watch = CallerWatch(
            partial(gate.cancel, cause=CancelCause.OWN_CALLER_LEFT)
        )
        self._peer_evidence = PeerEvidenceTracker()
        self._sequence = itertools.count(1)
        self.held_out_servers = HeldOutServers()
        self.queue_hints = QueueHints()
        self.known_terms = KnownTerms()
        self.room_news = RoomNews()
        self.limit_checks = LimitChecks()
        self._link_attempts = LinkAttempts(
            own,
            self._links,
            events,
            clock,
            self._build_dispatch,
            self._track,
            self.next_id,
        )

    @property
    def link_hold_outs(self) -> HoldOuts:
        """Hold-outs, by node id, of nodes whose gates this node could not reach."""
        return self._links.hold_outs

    def next_id(self) -> AttemptId:
        """Return a new attempt id."""
        return AttemptId(self._own.node_id, self._own.incarnation, next(self._sequence))

    def set_end_time(self, ends_s: float) -> None:
        """Set the time at which this node stops.

        After this call, gates refuse those of this node's attempts whose runs would end
        after the node's stop.
        """
        self._link_attempts.set_end_time(ends_s)

    def abort_attempts(self) -> None:
        """Stop waiting for replies to attempts, and send no new attempts."""
        self._link_attempts.abort_attempts()

    def parked_reply(self, forwarded: ForwardedRequest) -> Reply | None:
        """Return the reply to a parked attempt; None if no attempt is parked.

        A parked attempt stays open at a gate whose node is leaving, while the request
        is sent to other gates. This method is called when the attempts at the other
        gates have failed. It waits for the reply if none has arrived yet. If the
        leaving gate cancelled the run, the calling code may send the request again:
        backend servers that were busy before may have free slots by then.
        """
        if forwarded.parked_replies:
            return forwarded.parked_replies.pop()
        if forwarded.parked:
            return self._link_attempts.wait_parked(forwarded)
        return None

    def cancel_parked(self, forwarded: ForwardedRequest, has_answer: bool) -> None:
        """Cancel the request's parked attempt, if it is still open.

        Parameters
        ----------
        has_answer : bool
            Whether another attempt was answered. If so, the gate gets the cancellation
            with the cause `ANSWERED_ELSEWHERE`.
        """
        self._link_attempts.cancel_parked(forwarded, has_answer)

    def is_own(self, placement: Placement) -> bool:
        """Return whether a placement is at this node's own gate."""
        return placement.node.node_id == self._own.node_id

    def send(
        self,
        forwarded: ForwardedRequest,
        placement: Placement,
        wait_max_ms: float | None = None,
        hedge: Hedge | None = None,
    ) -> Reply:
        """Make an attempt, hedged if `hedge` is given; return the reply.

        If an attempt over a link gets no reply in time, a second attempt is made in
        parallel. An attempt at the own gate is ended instead, and the calling code may
        then make a second attempt.

        Parameters
        ----------
        wait_max_ms : float or None
            How long the attempt may wait for a slot at the gate; None: until its
            deadline.
        hedge : Hedge or None
            When and where to make a second attempt; None for no second attempt.
        """
        forwarded.wait_max_ms = wait_max_ms
        if self.is_own(placement):
            reply = self._send_to_own_gate(forwarded, placement, hedge)
        else:
            reply = self._link_attempts.send(forwarded, placement, hedge)
        forwarded.may_have_run |= reply.outcome is Outcome.UNKNOWN
        return reply

    def send_reserved(
        self,
        forwarded: ForwardedRequest,
        plan: ReservationPlan,
        hedge: Hedge | None = None,
    ) -> tuple[Placement, Reply]:
        """Reserve places at other nodes' gates; make an attempt where one calls.

        Returns the placement of the attempt, and its reply.
        """
        forwarded.wait_max_ms = plan.wait_max_ms
        placement, reply = self._link_attempts.send_reserved(forwarded, plan, hedge)
        forwarded.may_have_run |= reply.outcome is Outcome.UNKNOWN
        return placement, reply

    def is_leaving(self) -> bool:
        """Return whether this node is going to stop."""
        return self._link_attempts.time_to_stop_ms() is not None

    def _build_dispatch(
        self, forwarded: ForwardedRequest, placement: Placement, deadline_s: float
    ) -> Dispatch:
        """Count and log an attempt; return the message that starts it at the gate."""
        request, route = forwarded.request, forwarded.route
        server_id = placement.backend_server.backend_server_id
        is_repeat = forwarded.sends > 0
        importance = forwarded.importance
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
            importance=importance and round(importance.weight, 4),
            spent_ms=importance and round(importance.spent_ms),
            parent=forwarded.parent_id or None,
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
            peers=self._peer_evidence.summarize(
                route.service, server_id, self._clock()
            ),
            caller_service=forwarded.caller_service,
            is_last_resort=forwarded.is_last_resort,
            wait_max_ms=forwarded.wait_max_ms,
            target_remaining_ms=forwarded.target_remaining_ms(self._clock()),
            route_id=route_id(route),
            is_repeat=is_repeat,
            repeat_fraction=self._repeat_fraction(forwarded),
            ingress_remaining_ms=self._link_attempts.time_to_stop_ms(),
            run_was_lost=forwarded.run_was_lost,
            rank_ms=forwarded.rank_ms,
            content_hash=forwarded.content_hash,
            customer=forwarded.customer,
            is_last_try=not forwarded.may_send(),
            terms=self.known_terms.get(placement.backend_server),
            importance=importance,
        )

    def _repeat_fraction(self, forwarded: ForwardedRequest) -> float:
        """Return the probability that a repeated run sent a request, as a call."""
        if forwarded.repeat_fraction is None:
            return self._gate.repeat_fraction()
        return forwarded.repeat_fraction

    def _send_to_own_gate(self, forwarded, placement, hedge: Hedge | None) -> Reply:
        # This thread makes the call to the backend server itself, so this thread cannot
        # start a second attempt in parallel. If a second attempt is planned, the first
        # attempt is ended after `hedge_delay_s`, before the second attempt starts.
        deadline_s = forwarded.deadline_s
        if hedge is not None:
            deadline_s = min(deadline_s, self._clock() + hedge.hedge_delay_s)
        dispatch = self._build_dispatch(forwarded, placement, deadline_s)
        own = GateIdentity(self._own.node_id, self._own.incarnation)
        claimed = with_claim(forwarded.claimant, dispatch, own, self._clock())
        if isinstance(claimed, Reply):
            return claimed
        tracked = self._track(forwarded, placement)
        reply = parked_answer = None
        try:
            with self._watch.watching(dispatch.attempt_id, forwarded.caller):
                reply, parked_answer = self._handle_at_own_gate(forwarded, claimed)
        finally:
            tracked.end(reply)
        if parked_answer is None:
            forwarded.record_loss(reply, self._clock())
        record_claim_reply(forwarded.claimant, reply)
        return reply if parked_answer is None or is_success(reply) else parked_answer

    def _handle_at_own_gate(
        self, forwarded: ForwardedRequest, dispatch: Dispatch
    ) -> tuple[Reply, Reply | None]:
        """Run an attempt at the own gate; return two replies.

        The first is the reply to this attempt. The second is the successful reply to
        the request's parked attempt; None if no such reply arrived during this run.
        """
        if not forwarded.parked:
            return self._gate.handle(dispatch, self._clock()), None
        cancel = partial(
            self._gate.cancel,
            dispatch.attempt_id,
            cause=CancelCause.ANSWERED_ELSEWHERE,
        )
        with self._link_attempts.receiving_parked_reply(forwarded, cancel) as result:
            reply = self._gate.handle(dispatch, self._clock())
        return reply, result.answer

    def _track(self, forwarded, placement) -> TrackedAttempt:
        return TrackedAttempt(
            forwarded,
            placement,
            self._free_slots,
            self._peer_evidence,
            self._record_hold_out,
            self.queue_hints,
            self.known_terms,
            self.limit_checks,
            self._clock,
            self.room_news,
        )

    def _record_hold_out(
        self, placement: Placement, held_out: HoldOut, now_s: float
    ) -> None:
        server_id = placement.backend_server.backend_server_id
        self.held_out_servers.record(server_id, held_out, now_s)
        self._on_hold_out(placement.node, server_id, held_out, now_s)


def _rounded(duration_ms: float | None) -> int | None:
    return None if duration_ms is None else round(duration_ms)
