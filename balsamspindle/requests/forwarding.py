"""A request's attempts: where they go, and when another one is allowed."""

import random
import threading
import time
from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.crashes.book import CrashBook
from balsamspindle.crashes.retry_waits import retry_wait_s
from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import PROBLEMS, Execution, Outcome, Reason
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.claims import ClaimBook, KeyClaimant
from balsamspindle.requests.forwarded import (
    ForwardedRequest,
    Rescue,
    StoppedBy,
    route_id,
)
from balsamspindle.requests.heads import IDEMPOTENCY_KEY_MAX_CHARACTERS
from balsamspindle.requests.links import LinkPool
from balsamspindle.requests.placing import Placer, Placing
from balsamspindle.requests.rescues import Rescuer
from balsamspindle.requests.retries import (
    RetryPolicy,
    best_reply,
    is_success,
)
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotViews
from balsamspindle.services.picker import Picker
from balsamspindle.services.suspects import Suspects
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.timeline import EventLog
from balsamspindle.wire import HeldOut, NodeRecord, Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["ForwardedRequest", "Forwarder"]

# When all gates refused a request it may search again after this time, half of
# a first hold-out, and for this part of its time. Idempotent ones don't wait: those
# that waited would come back to queues that are full.
SEARCH_AGAIN_S = 0.25
SEARCH_AGAIN_PARTS = {Execution.IDEMPOTENT: 0.0, Execution.NON_IDEMPOTENT: 0.1}
# Why there is no answer where the gate left, and the backend server did not fail.
_LOST_WITH_GATE = frozenset({Reason.GATE_ENDING, Reason.CANCELLED, Reason.SILENCE})


class Forwarder:
    """Makes attempts until a request has its outcome.

    Parameters
    ----------
    claims : ClaimBook, default=one without a platform
    retries : RetryPolicy, default=one with the default budget
    clock : callable, default=time.monotonic
        Tells the present time.
    on_suspect : callable, optional
        Told the node, the backend server, how its gate keeps usual work away,
        and the present time.
    crash_book : CrashBook, default=an empty one
        What is known of requests that crash backend servers.
    """

    def __init__(
        self,
        own: NodeRecord,
        picker: Picker,
        gate: Gate,
        links: LinkPool,
        events: EventLog,
        claims: ClaimBook | None = None,
        retries: RetryPolicy | None = None,
        clock: Callable[[], float] = time.monotonic,
        on_suspect: Callable[[NodeRecord, str, HeldOut, float], None] | None = None,
        crash_book: CrashBook | None = None,
    ) -> None:
        self._picker = picker
        self._crash_book = crash_book or CrashBook(lambda service: 1)
        self._events = events
        self._claims = claims or ClaimBook(None)
        self._clock = clock
        self._free_slots = FreeSlotViews()
        self._sender = AttemptSender(
            own, gate, links, events, self._free_slots, clock, on_suspect
        )
        self._retries = retries or RetryPolicy(lambda service: RetryBudget())
        self._random = random.Random(f"{own.node_id}/{own.incarnation}")
        self._random_lock = threading.Lock()
        self._sizes = AnswerSizes()
        self._placer = Placer(
            picker,
            self._sender,
            self._free_slots,
            self._sizes,
            random.Random(f"{own.node_id}/{own.incarnation}/places"),
        )
        self._rescuer = Rescuer(
            picker, self._sender, self._retries, self._pick, self._blocked, clock
        )
        self._given_up = threading.Event()

    @property
    def suspects(self) -> Suspects:
        """Backend servers whose gates keep work away."""
        return self._sender.suspects

    def end_by(self, ends_s: float) -> None:
        """Have gates start only what can end until then: this node is going."""
        self._sender.end_by(ends_s)

    def give_up(self) -> None:
        """End the waiting requests with what is known of them."""
        self._given_up.set()
        self._sender.give_up()

    def forward(self, forwarded: ForwardedRequest) -> Reply:
        """Make attempts until one answers or no other is allowed."""
        if len(forwarded.idempotency_key or "") > IDEMPOTENCY_KEY_MAX_CHARACTERS:
            return self._no_attempt(Reason.BAD_REQUEST)
        forwarded.claimant = self._claimant(forwarded)
        route = forwarded.route
        self._retries.begin(route.service, self._clock(), route.weight)
        reply = None
        try:
            reply = self._make_attempts(forwarded)
        finally:
            has_answer = reply is not None and reply.outcome is Outcome.ANSWERED
            self._sender.leave_parked(forwarded, has_answer)
        if forwarded.claimant is not None:
            reply = forwarded.claimant.final(reply)
        if reply.outcome is Outcome.NOT_RUN and forwarded.may_have_run:
            # The last attempt did not run; an earlier one may have.
            reply = msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN)
        return self._with_return_time(forwarded, reply)

    def _claimant(self, forwarded: ForwardedRequest) -> KeyClaimant | None:
        route = forwarded.route
        if forwarded.idempotency_key is None or route.execution is Execution.IDEMPOTENT:
            return None
        return KeyClaimant(
            self._claims, route.service, forwarded.idempotency_key, forwarded.deadline_s
        )

    def _make_attempts(self, forwarded: ForwardedRequest) -> Reply:
        nowhere = self._no_attempt(Reason.NO_BACKEND_SERVER)
        service = forwarded.route.service
        replies: list[Reply] = []
        while True:
            self._try_places(forwarded, replies)
            if not replies or self._retries.is_final(service, replies[-1]):
                break
            reply = self._sender.reply_beside(forwarded)
            if reply is None:
                break
            replies.append(reply)
            if is_success(reply):
                forwarded.stopped_by = None
                break
            if self._is_over(forwarded, reply):
                forwarded.stopped_by = self._why_over(forwarded)
                break
            if not self._may_retry(forwarded, replies, None, self._clock()):
                forwarded.stopped_by = StoppedBy.REPEAT_DENIED
                break
        if not replies and self._given_up.is_set():
            return msgspec.structs.replace(nowhere, reason=Reason.NODE_STOPPING)
        return best_reply([*forwarded.beside, *replies]) if replies else nowhere

    def _try_places(self, forwarded: ForwardedRequest, replies: list[Reply]) -> None:
        """Make attempts until one answers or no other is allowed; add their replies."""
        forwarded.stopped_by = None
        while not self._given_up.is_set():
            blocked = self._blocked(forwarded)
            if blocked is not None:
                replies.append(blocked)
                forwarded.stopped_by = StoppedBy.CRASHES_SERVERS
                break
            placing = self._pick(forwarded)
            if placing is None:
                if self._widen(forwarded):
                    continue
                forwarded.stopped_by = StoppedBy.NO_PLACE
                break
            # Else the answer may be that of an attempt which began long before.
            is_alone = not forwarded.parked
            started_s = self._clock()
            rescue = self._rescuer.rescue(forwarded, placing, started_s)
            reply = self._sender.send(forwarded, *placing, rescue=rescue)
            replies.append(reply)
            now_s = self._clock()
            if is_success(reply):
                took_s = now_s - started_s if is_alone else None
                self._note_success(forwarded, reply, took_s)
                self._rescuer.give_back(forwarded, rescue)
                break
            self._note_failure(forwarded, placing.placement, reply)
            if self._is_over(forwarded, reply):
                forwarded.stopped_by = self._why_over(forwarded)
                self._rescuer.give_back(forwarded, rescue)
                break
            if not self._may_retry(forwarded, replies, rescue, now_s):
                forwarded.stopped_by = StoppedBy.REPEAT_DENIED
                self._note_given_up(forwarded, reply)
                break
            if reply.reason is Reason.SERVER_CRASHED:
                self._wait_after_crash(forwarded, now_s)
        else:
            forwarded.stopped_by = StoppedBy.NODE_LEAVING

    def _blocked(self, forwarded: ForwardedRequest) -> Reply | None:
        """Return the refusal of a request that crashes whatever runs it.

        Asked before each attempt: its other repeats, and attempts of its own, may
        have ended backend servers since it came in.
        """
        standing = self._crash_book.standing(forwarded.content, self._clock())
        if not standing.blocked_ms:
            return None
        refusal = self._no_attempt(Reason.CRASHES_SERVERS)
        return msgspec.structs.replace(refusal, retry_after_ms=standing.blocked_ms)

    def _wait_after_crash(self, forwarded: ForwardedRequest, now_s: float) -> None:
        standing = self._crash_book.standing(forwarded.content, now_s)
        with self._random_lock:
            wait_s = retry_wait_s(standing, forwarded.deadline_s - now_s, self._random)
        self._given_up.wait(wait_s)

    def _note_success(
        self, forwarded: ForwardedRequest, reply: Reply, took_s: float | None
    ) -> None:
        """Learn from an answer how long the route's work takes and how large it is."""
        route = forwarded.route
        # Its gate's node may end before it tells of the answer.
        self._crash_book.answered(forwarded.content, self._clock())
        if took_s is not None:
            self._retries.note_answer(
                route.service, took_s, reply.limit_ms, route_id(route)
            )
        self._sizes.note(route, len(reply.body))

    def _note_failure(
        self, forwarded: ForwardedRequest, placement: Placement, reply: Reply
    ) -> None:
        """Remember where the request was refused for a suspicion, or failed."""
        server_id = placement.backend_server.backend_server_id
        if reply.reason is Reason.SUSPECTED:
            forwarded.refused_as_suspect.add(server_id)
        if not is_refusal(reply):
            forwarded.failed.add(server_id)
        if reply.reason is Reason.SERVER_CRASHED:
            # It was lost with the backend server, as with a node that left: what
            # others need retries for does not go before it.
            forwarded.was_cut = True

    def _may_retry(
        self,
        forwarded: ForwardedRequest,
        replies: list[Reply],
        rescue: Rescue | None,
        now_s: float,
    ) -> bool:
        """Tell whether another attempt is allowed, and pay for it."""
        route = forwarded.route
        is_paid = rescue is not None and rescue.is_paid
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
            was_cut=forwarded.was_cut,
        )

    def _note_given_up(self, forwarded: ForwardedRequest, reply: Reply) -> None:
        """Say why a failed attempt has no successor."""
        route = forwarded.route
        if reply.outcome is not Outcome.NOT_RUN and (
            route.execution is Execution.NON_IDEMPOTENT
        ):
            return
        left = None
        if not self._retries.granted_by_gates(route.service):
            left = round(self._retries.left(route.service, self._clock()), 1)
        self._events.emit(
            "retry_denied",
            request=forwarded.request_id,
            after=reply.reason or reply.status,
            retries_left=left,
            sends=forwarded.sends,
        )

    def _widen(self, forwarded: ForwardedRequest) -> bool:
        """Find a way on for a request that no backend server would take.

        Suspected ones are on trial again within a second, so a request that
        must not be lost on one searches again for a part of its time. After
        that, and at once where it may be repeated, one of them is to take it:
        a service all of whose backend servers are suspected or busy still
        serves what it can.

        Returns
        -------
        bool
            False when there is nothing left to try.
        """
        now_s = self._clock()
        if forwarded.is_last_resort or not forwarded.may_send():
            return False
        if not self._has_suspects(forwarded, now_s):
            return False
        forwarded.tried = set(forwarded.failed)
        forwarded.search.begin()
        if forwarded.search_until_s is None:
            part = SEARCH_AGAIN_PARTS[forwarded.route.execution]
            left_s = forwarded.deadline_s - now_s
            forwarded.search_until_s = now_s + part * left_s
        if now_s + SEARCH_AGAIN_S < forwarded.search_until_s:
            # Nothing is sent any more once the node has given up: its callers'
            # connections are about to end.
            if self._given_up.wait(SEARCH_AGAIN_S):
                return False
            return not forwarded.caller.caller_gone()
        forwarded.is_last_resort = True
        return True

    def _has_suspects(self, forwarded: ForwardedRequest, now_s: float) -> bool:
        """Tell whether suspected backend servers could still take a request."""
        if forwarded.refused_as_suspect:
            return True
        suspects = self._sender.suspects.at(now_s)
        return any(
            placement.backend_server.backend_server_id in suspects
            for placement in self._picker.view(forwarded.route.service).placements
        )

    def _no_attempt(self, reason: Reason) -> Reply:
        return Reply(self._sender.next_id(), Outcome.NOT_RUN, reason)

    def _pick(self, forwarded: ForwardedRequest) -> Placing | None:
        claimant = forwarded.claimant
        if claimant is not None and claimant.owner() is not None:
            return self._at_owner(forwarded, claimant)
        placing = self._placer.next(forwarded, self._clock())
        if placing is None and claimant is not None:
            claimant.look_up()
            if claimant.owner() is not None:
                return self._at_owner(forwarded, claimant)
        return placing

    def _at_owner(self, forwarded, claimant: KeyClaimant) -> Placing | None:
        """Return the place at the one gate that may run the request's key."""
        placement = self._picker.at_node(claimant.owner(), forwarded.route.service)
        return None if placement is None else Placing(placement)

    def _is_over(self, forwarded: ForwardedRequest, reply: Reply) -> bool:
        """Tell whether nothing more is to be done after a failed attempt."""
        if not is_refusal(reply):
            if not forwarded.may_send():
                return True
            if reply.reason in _LOST_WITH_GATE:
                forwarded.search_afresh()
            else:
                forwarded.search.begin()
        return self._given_up.is_set() or forwarded.caller.caller_gone()

    def _why_over(self, forwarded: ForwardedRequest) -> StoppedBy:
        if self._given_up.is_set():
            return StoppedBy.NODE_LEAVING
        if not forwarded.may_send():
            return StoppedBy.ATTEMPTS_MAX
        return StoppedBy.CALLER_LEFT

    def _with_return_time(self, forwarded: ForwardedRequest, reply: Reply) -> Reply:
        """Tell a caller that was given up when to come back, if that helps."""
        if reply.reason is Reason.CRASHES_SERVERS:
            # Others' return times are not reckoned with it: it comes back for
            # nothing, however much room the service has.
            return reply
        is_answered = reply.outcome is Outcome.ANSWERED
        with self._random_lock:
            retry_after_ms = self._retries.end(
                forwarded.route.service,
                is_answered,
                reply.retry_after_ms,
                self._random,
                self._clock(),
            )
        problem = PROBLEMS.get(reply.reason)
        if problem is None or problem.retry_after_s is None:
            return reply
        return msgspec.structs.replace(reply, retry_after_ms=retry_after_ms)
