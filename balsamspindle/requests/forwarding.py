"""Forwards requests: makes attempts until one is answered or no more are allowed."""

import random
import threading
import time
from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.open_runs import importance_of
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.retry_waits import retry_wait_s
from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import PROBLEMS, Execution, Outcome, Reason
from balsamspindle.requests.attempt_outcomes import record_failure
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.claims import ClaimsTable
from balsamspindle.requests.forwarded import (
    ForwardedRequest,
    Hedge,
    StopReason,
    route_id,
)
from balsamspindle.requests.heads import IDEMPOTENCY_KEY_MAX_CHARACTERS
from balsamspindle.requests.hedging import HedgePlanner
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.requests.level_refusals import LevelRefusals
from balsamspindle.requests.limit_check_selection import LimitCheckSelector
from balsamspindle.requests.link_pool import LinkPool
from balsamspindle.requests.placement_selection import PlacementSelector, Selection
from balsamspindle.requests.reservation_planner import ReservationPlanner
from balsamspindle.requests.retries import RetryPolicy, best_reply, is_success
from balsamspindle.requests.retry_reports import report_retry_denied
from balsamspindle.requests.search_widening import SearchWidening
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.picker import Picker
from balsamspindle.settings.documents import RetryBudget, ServiceDocument
from balsamspindle.timeline import EventLog
from balsamspindle.wire import HoldOut, NodeRecord, Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["ForwardedRequest", "Forwarder"]

# After a reply with one of these reasons, the request may be sent again to gates that
# refused it (`restart_search`). The attempt's gate announced that its node may stop
# before the run ends, or the gate cancelled the attempt, or the gate did not reply.
_GATE_FAILURES = frozenset({Reason.GATE_ENDING, Reason.CANCELLED, Reason.SILENCE})


class Forwarder:
    """Forwards callers' requests in attempts, each sent to one gate.

    Parameters
    ----------
    claims : ClaimsTable, default=a table without a store
    retries : RetryPolicy, default=a policy with the default budget
    clock : callable, default=time.monotonic
        Returns the present time on the monotonic clock, in s.
    on_hold_out : callable, optional
        See `AttemptSender`.
    crash_history : CrashHistory, default=an empty one
        Crashes of backend servers, and the requests quarantined because of them.
    service_document : callable, default=the default settings
        Returns the settings in force for a service.
    """

    def __init__(
        self,
        own: NodeRecord,
        picker: Picker,
        gate: Gate,
        links: LinkPool,
        events: EventLog,
        claims: ClaimsTable | None = None,
        retries: RetryPolicy | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_hold_out: Callable[[NodeRecord, str, HoldOut, float], None] | None = None,
        crash_history: CrashHistory | None = None,
        service_document: Callable[[str], ServiceDocument] = lambda service: (
            ServiceDocument()
        ),
    ) -> None:
        self._picker = picker
        self._open_runs = gate.open_runs
        self._crash_history = crash_history or CrashHistory(lambda service: 1)
        self._events = events
        self._claims = claims or ClaimsTable(None)
        self._clock = clock
        self._free_slots = FreeSlotEstimates()
        self._sender = AttemptSender(
            own, gate, links, events, self._free_slots, clock, on_hold_out
        )
        self._retries = retries or RetryPolicy(lambda service: RetryBudget())
        self._random = random.Random(f"{own.node_id}/{own.incarnation}")
        self._random_lock = threading.Lock()
        self._sizes = AnswerSizes()
        selector = PlacementSelector(
            picker,
            self._sender,
            self._free_slots,
            self._sizes,
            random.Random(f"{own.node_id}/{own.incarnation}/places"),
        )
        self._selector = LimitCheckSelector(selector, picker, self._sender, events)
        self._level_refusals = LevelRefusals(
            self._sender.room_news,
            events,
            self._sender.next_id,
            lambda service: service_document(service).admits_by_level,
        )
        self._planner = ReservationPlanner(
            picker,
            self._sender,
            self._free_slots,
            self._sizes,
            lambda service: service_document(service).reserves_places,
            random.Random(f"{own.node_id}/{own.incarnation}/reservations"),
        )
        self._hedge_planner = HedgePlanner(
            picker, self._sender, self._retries, self._select, self._blocked, clock
        )
        self._aborted = threading.Event()
        self._widening = SearchWidening(
            picker,
            self._sender.held_out_servers,
            self._open_runs.inherits,
            self._aborted.wait,
        )

    @property
    def held_out_servers(self) -> HeldOutServers:
        """Backend servers that their gates reported as held out."""
        return self._sender.held_out_servers

    def room_levels(self) -> dict[str, float]:
        """Return the admission level of each service with recent requests."""
        return self._sender.room_news.levels()

    def set_end_time(self, ends_s: float) -> None:
        """Set the time at which this node stops; see `AttemptSender.set_end_time`."""
        self._sender.set_end_time(ends_s)

    def abort_attempts(self) -> None:
        """Stop waiting for replies; end requests with the replies received so far."""
        self._aborted.set()
        self._sender.abort_attempts()

    def forward(self, forwarded: ForwardedRequest) -> Reply:
        """Make attempts for a request; return the reply for its caller."""
        if len(forwarded.idempotency_key or "") > IDEMPOTENCY_KEY_MAX_CHARACTERS:
            return self._not_run_reply(Reason.BAD_REQUEST)
        forwarded.claimant = self._claimant(forwarded)
        route = forwarded.route
        self._record_parent(forwarded, self._clock())
        self._retries.record_request(route.service, self._clock(), route.weight)
        reply = None
        try:
            reply = self._level_refusals.refuse(forwarded, self._clock())
            reply = reply or self._make_attempts(forwarded)
        finally:
            has_answer = reply is not None and reply.outcome is Outcome.ANSWERED
            self._sender.cancel_parked(forwarded, has_answer)
        if forwarded.claimant is not None:
            reply = forwarded.claimant.final_reply(reply)
        if reply.outcome is Outcome.NOT_RUN and forwarded.may_have_run:
            # The last attempt did not run, but an earlier attempt may have run.
            reply = msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN)
        return self._with_retry_after(forwarded, reply)

    def _record_parent(self, forwarded: ForwardedRequest, now_s: float) -> None:
        """Record the run beside this node that probably waits for a request."""
        route = forwarded.route
        parent = self._open_runs.find_parent(
            route.service, route_id(route), forwarded.customer, forwarded.deadline_s
        )
        if self._open_runs.inherits(route.service):
            forwarded.repeat_fraction = parent.repeat_fraction if parent else 0.0
        forwarded.importance = importance_of(parent, now_s)
        forwarded.parent_id = "" if parent is None else parent.run.request_id

    def _claimant(self, forwarded: ForwardedRequest) -> KeyClaimant | None:
        route = forwarded.route
        if forwarded.idempotency_key is None or route.execution is Execution.IDEMPOTENT:
            return None
        return KeyClaimant(
            self._claims, route.service, forwarded.idempotency_key, forwarded.deadline_s
        )

    def _make_attempts(self, forwarded: ForwardedRequest) -> Reply:
        not_run = self._not_run_reply(Reason.NO_BACKEND_SERVER)
        service = forwarded.route.service
        replies: list[Reply] = []
        while True:
            self._try_gates(forwarded, replies)
            if not replies or self._retries.is_final(service, replies[-1]):
                break
            reply = self._sender.parked_reply(forwarded)
            if reply is None:
                break
            replies.append(reply)
            if is_success(reply):
                forwarded.stopped_by = None
                break
            if self._stop_or_restart(forwarded, reply):
                forwarded.stopped_by = self._stop_reason(forwarded)
                break
            if not self._may_retry(forwarded, replies, None, self._clock()):
                forwarded.stopped_by = StopReason.REPEAT_DENIED
                break
        if not replies and self._aborted.is_set():
            return msgspec.structs.replace(not_run, reason=Reason.NODE_STOPPING)
        return best_reply([*forwarded.parked_replies, *replies]) if replies else not_run

    def _try_gates(self, forwarded: ForwardedRequest, replies: list[Reply]) -> None:
        """Make attempts until one succeeds or none is allowed; append to `replies`."""
        forwarded.stopped_by = None
        while not self._aborted.is_set():
            blocked = self._blocked(forwarded)
            if blocked is not None:
                replies.append(blocked)
                forwarded.stopped_by = StopReason.CRASHES_SERVERS
                break
            selected = self._select(forwarded)
            if selected is None:
                if self._widening.widen(forwarded, self._clock()):
                    continue
                forwarded.stopped_by = StopReason.NO_PLACE
                break
            # While an attempt is parked, the reply may be the parked attempt's, which
            # started earlier. So the latency is not recorded in this case.
            is_only_attempt = not forwarded.parked
            started_s = self._clock()
            hedge = self._hedge_planner.plan(forwarded, selected, started_s)
            placement, reply = self._send(forwarded, selected, hedge)
            replies.append(reply)
            now_s = self._clock()
            if is_success(reply):
                latency_s = now_s - started_s if is_only_attempt else None
                self._record_success(forwarded, reply, latency_s)
                self._hedge_planner.refund(forwarded, hedge)
                break
            record_failure(forwarded, placement, reply)
            if self._stop_or_restart(forwarded, reply):
                forwarded.stopped_by = self._stop_reason(forwarded)
                self._hedge_planner.refund(forwarded, hedge)
                break
            if not self._may_retry(forwarded, replies, hedge, now_s):
                forwarded.stopped_by = StopReason.REPEAT_DENIED
                report_retry_denied(
                    self._events, self._retries, forwarded, reply, now_s
                )
                break
            if reply.reason is Reason.SERVER_CRASHED:
                self._wait_after_crash(forwarded, now_s)
        else:
            forwarded.stopped_by = StopReason.NODE_LEAVING

    def _send(
        self, forwarded: ForwardedRequest, selected: Selection, hedge: Hedge | None
    ) -> tuple[Placement, Reply]:
        """Make an attempt, with reservations where the service's settings say so.

        Returns the placement of the attempt, and its reply.
        """
        plan = self._planner.plan(forwarded, selected, self._clock())
        if plan is None:
            reply = self._sender.send(forwarded, *selected, hedge=hedge)
            return selected.placement, reply
        return self._sender.send_reserved(forwarded, plan, hedge)

    def _blocked(self, forwarded: ForwardedRequest) -> Reply | None:
        """Return the refusal if the request crashes backend servers, else None.

        Called before each attempt: since the request was received, its own attempts
        or requests with the same content hash may have crashed backend servers.
        """
        status = self._crash_history.status_of(forwarded.content_hash, self._clock())
        if not status.blocked_ms:
            return None
        refusal = self._not_run_reply(Reason.CRASHES_SERVERS)
        return msgspec.structs.replace(refusal, retry_after_ms=status.blocked_ms)

    def _wait_after_crash(self, forwarded: ForwardedRequest, now_s: float) -> None:
        status = self._crash_history.status_of(forwarded.content_hash, now_s)
        with self._random_lock:
            wait_s = retry_wait_s(status, forwarded.deadline_s - now_s, self._random)
        self._aborted.wait(wait_s)

    def _record_success(
        self, forwarded: ForwardedRequest, reply: Reply, latency_s: float | None
    ) -> None:
        """Record an answer, its size and, unless `latency_s` is None, its latency."""
        route = forwarded.route
        # The gate's node also records the answer and reports it to the other nodes. But
        # that node may stop before it has done so, so this node records the answer too.
        self._crash_history.record_answer(forwarded.content_hash, self._clock())
        if latency_s is not None:
            self._retries.record_answer(
                route.service, latency_s, reply.p99_ms, route_id(route)
            )
        self._sizes.record(route, len(reply.body))

    def _may_retry(
        self,
        forwarded: ForwardedRequest,
        replies: list[Reply],
        hedge: Hedge | None,
        now_s: float,
    ) -> bool:
        """Return whether a retry is allowed; if it costs a retry token, spend one."""
        route = forwarded.route
        is_paid = hedge is not None and hedge.is_paid
        return self._retries.may_retry(
            route.service,
            route.execution,
            replies,
            forwarded.deadline_s,
            now_s,
            is_paid=is_paid,
            attempts_max=route.attempts_max,
            route_id=route_id(route),
            weight=route.weight,
            run_was_lost=forwarded.run_was_lost,
        )

    def _not_run_reply(self, reason: Reason) -> Reply:
        return Reply(self._sender.next_id(), Outcome.NOT_RUN, reason)

    def _select(self, forwarded: ForwardedRequest) -> Selection | None:
        claimant = forwarded.claimant
        if claimant is not None and claimant.owner_id() is not None:
            return self._select_at_owner(forwarded, claimant)
        selected = self._selector.select(forwarded, self._clock())
        if selected is None and claimant is not None:
            claimant.look_up()
            if claimant.owner_id() is not None:
                return self._select_at_owner(forwarded, claimant)
        return selected

    def _select_at_owner(self, forwarded, claimant: KeyClaimant) -> Selection | None:
        """Select the gate that the claim names; None if its node is not known."""
        placement = self._picker.locate(claimant.owner_id(), forwarded.route.service)
        return None if placement is None else Selection(placement)

    def _stop_or_restart(self, forwarded: ForwardedRequest, reply: Reply) -> bool:
        """Return whether to stop attempts; restart the search after a failed run."""
        if not is_refusal(reply):
            if not forwarded.may_send():
                return True
            if reply.reason in _GATE_FAILURES:
                forwarded.restart_search()
            else:
                forwarded.search.restart()
        return self._aborted.is_set() or forwarded.caller.caller_left()

    def _stop_reason(self, forwarded: ForwardedRequest) -> StopReason:
        if self._aborted.is_set():
            return StopReason.NODE_LEAVING
        if not forwarded.may_send():
            return StopReason.ATTEMPTS_MAX
        return StopReason.CALLER_LEFT

    def _with_retry_after(self, forwarded: ForwardedRequest, reply: Reply) -> Reply:
        """Record a request's end; set its reply's Retry-After time if one is needed."""
        if reply.reason is Reason.CRASHES_SERVERS:
            # Retries of this request are refused at any load of the service. So the
            # request does not count in the estimate of when other callers should retry.
            return reply
        is_answered = reply.outcome is Outcome.ANSWERED
        if forwarded.parent_id and not is_success(reply):
            cause = str(reply.reason or reply.status)
            self._events.metrics.count_lost_call(forwarded.route.service, cause)
        with self._random_lock:
            retry_after_ms = self._retries.record_end(
                forwarded.route.service,
                is_answered,
                reply.retry_after_ms,
                self._random,
                self._clock(),
            )
        problem = PROBLEMS.get(reply.reason)
        if problem is None or problem.retry_after_s is None:
            return reply
        room_ms = self._level_refusals.room_after_ms(forwarded, reply, self._clock())
        if forwarded.stopped_by is StopReason.NO_ROOM:
            # The refusal already states when the gates expect room.
            return reply
        if room_ms is not None:
            retry_after_ms = room_ms
        return msgspec.structs.replace(reply, retry_after_ms=retry_after_ms)
