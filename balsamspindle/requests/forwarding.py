"""A request's attempts: where they go, and when another one is allowed."""

import itertools
import random
import threading
import time
from dataclasses import dataclass, field

import msgspec

from balsamspindle.backend_servers.gate import Gate
from balsamspindle.membership.directory import Placement
from balsamspindle.requests.caller_watch import CallerWatch
from balsamspindle.requests.claims import ClaimBook, GateIdentity, KeyClaimant
from balsamspindle.requests.http import CallerRequest, HttpConnection
from balsamspindle.requests.links import LinkPool
from balsamspindle.requests.outcomes import Execution, Outcome, Reason
from balsamspindle.services.free_slots import FreeSlotViews
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.services.picker import Picker
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AttemptId,
    Dispatch,
    NodeRecord,
    Reply,
    checksum,
)

__all__ = ["Forwarder", "ForwardedRequest"]

ATTEMPTS_MAX = 3
KEY_MAX_CHARACTERS = 255


@dataclass
class ForwardedRequest:
    """A caller's request on its way through this node.

    Attributes
    ----------
    deadline_s : float
        On the monotonic clock.
    tried : set of str
        Backend servers that had an attempt.
    may_have_run : bool
        An attempt ended as unknown.
    """

    request_id: str
    caller: HttpConnection
    request: CallerRequest
    route: RouteDocument
    deadline_s: float
    idempotency_key: str | None = None
    claimant: KeyClaimant | None = None
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False


class Forwarder:
    """Makes attempts until a request has its outcome."""

    def __init__(
        self,
        own: NodeRecord,
        picker: Picker,
        gate: Gate,
        links: LinkPool,
        events: EventLog,
        claims: ClaimBook | None = None,
    ) -> None:
        self._own = own
        self._picker = picker
        self._gate = gate
        self._links = links
        self._events = events
        self._claims = claims or ClaimBook(None)
        self._watch = CallerWatch(gate.cancel)
        self._free_slots = FreeSlotViews()
        self._peers = PeerEvidenceTracker()
        self._sequence = itertools.count(1)
        self._random = random.Random(f"{own.node_id}/{own.incarnation}")
        self._random_lock = threading.Lock()
        self._given_up = threading.Event()

    def give_up(self) -> None:
        """End the waiting requests with what is known of them."""
        self._given_up.set()

    def forward(self, forwarded: ForwardedRequest) -> Reply:
        """Make attempts until one answers or no other is allowed."""
        if len(forwarded.idempotency_key or "") > KEY_MAX_CHARACTERS:
            return Reply(self._next_id(), Outcome.NOT_RUN, Reason.BAD_REQUEST)
        forwarded.claimant = self._claimant(forwarded)
        reply = self._make_attempts(forwarded)
        if forwarded.claimant is not None:
            reply = forwarded.claimant.final(reply)
        if reply.outcome is Outcome.NOT_RUN and forwarded.may_have_run:
            # The last attempt did not run; an earlier one may have.
            return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN)
        return reply

    def _claimant(self, forwarded: ForwardedRequest) -> KeyClaimant | None:
        route = forwarded.route
        if forwarded.idempotency_key is None or route.execution is Execution.IDEMPOTENT:
            return None
        return KeyClaimant(
            self._claims, route.service, forwarded.idempotency_key, forwarded.deadline_s
        )

    def _make_attempts(self, forwarded: ForwardedRequest) -> Reply:
        reply = self._no_attempt()
        for _ in range(ATTEMPTS_MAX):
            placement = self._pick(forwarded)
            if placement is None:
                return reply
            reply = self._attempt(forwarded, placement)
            if self._given_up.is_set():
                return reply
            if not _may_try_again(reply, forwarded, time.monotonic()):
                return reply
        return reply

    def _no_attempt(self) -> Reply:
        return Reply(self._next_id(), Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)

    def _next_id(self) -> AttemptId:
        return AttemptId(self._own.node_id, self._own.incarnation, next(self._sequence))

    def _pick(self, forwarded: ForwardedRequest) -> Placement | None:
        claimant = forwarded.claimant
        if claimant is not None and claimant.owner() is not None:
            return self._picker.at_node(claimant.owner(), forwarded.route.service)
        placement = self._pick_any(forwarded, time.monotonic())
        if placement is None and claimant is not None:
            claimant.look_up()
            if claimant.owner() is not None:
                return self._picker.at_node(claimant.owner(), forwarded.route.service)
        return placement

    def _pick_any(self, forwarded: ForwardedRequest, now_s: float) -> Placement | None:
        with self._random_lock:
            return self._picker.pick(
                forwarded.route.service,
                forwarded.route.execution,
                forwarded.tried,
                lambda placement: self._free_slots.free_slots(placement, now_s),
                self._random,
            )

    def _attempt(self, forwarded: ForwardedRequest, placement: Placement) -> Reply:
        service = forwarded.route.service
        server_id = placement.backend_server.backend_server_id
        forwarded.tried.add(server_id)
        dispatch = self._dispatch_message(forwarded, placement)
        started_s = time.monotonic()
        self._peers.started(service, server_id, started_s)
        reply = None
        try:
            reply = self._send(forwarded, placement, dispatch)
        finally:
            now_s = time.monotonic()
            self._peers.ended(service, server_id, started_s, reply, now_s)
        forwarded.may_have_run |= reply.outcome is Outcome.UNKNOWN
        self._free_slots.note(server_id, reply.free_slots, now_s)
        return reply

    def _send(self, forwarded, placement, dispatch) -> Reply:
        if placement.node.node_id == self._own.node_id:
            return self._attempt_here(forwarded, dispatch)
        return self._attempt_over_link(forwarded, placement, dispatch)

    def _dispatch_message(self, forwarded, placement) -> Dispatch:
        request, route = forwarded.request, forwarded.route
        hlc = self._events.emit(
            "attempt_sent",
            request=forwarded.request_id,
            backend_server=placement.backend_server.backend_server_id,
            gate=placement.node.node_id,
        )
        return Dispatch(
            attempt_id=self._next_id(),
            request_id=forwarded.request_id,
            service=route.service,
            backend_server_id=placement.backend_server.backend_server_id,
            execution=route.execution,
            remaining_ms=(forwarded.deadline_s - time.monotonic()) * 1000,
            weight=route.weight,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            body_checksum=checksum(request.body),
            idempotency_key=forwarded.idempotency_key,
            hlc=hlc,
            peers=self._peers.about(
                route.service,
                placement.backend_server.backend_server_id,
                time.monotonic(),
            ),
        )

    def _attempt_here(self, forwarded, dispatch) -> Reply:
        claimed = _claim(
            forwarded,
            dispatch,
            GateIdentity(self._own.node_id, self._own.incarnation),
            time.monotonic(),
        )
        if isinstance(claimed, Reply):
            return claimed
        with self._watch.watching(dispatch.attempt_id, forwarded.caller):
            reply = self._gate.handle(claimed, time.monotonic())
        return _noted(forwarded, reply)

    def _attempt_over_link(self, forwarded, placement, dispatch) -> Reply:
        link = self._links.take(
            placement.node.link_address, forwarded.deadline_s, dispatch.execution
        )
        if link is None:
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.UNREACHABLE)
        # The claim is made only with a link that was heard: made for a gate
        # that is dead it would hold the key for ever.
        gate_time_s = link.gate_clock.at(time.monotonic())
        claimed = _claim(forwarded, dispatch, GateIdentity(*link.gate), gate_time_s)
        if isinstance(claimed, Reply):
            self._links.give_back(link)
            return claimed
        if not link.send_dispatch(claimed, forwarded.deadline_s):
            link.close()
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, Reason.UNREACHABLE)
        reply = link.wait_reply(
            dispatch.attempt_id,
            forwarded.deadline_s,
            forwarded.caller.fileno(),
            forwarded.caller.caller_gone,
            lambda cause: self._events.emit("message_dropped", cause=cause),
            self._given_up.is_set,
        )
        if reply is None:
            link.give_up(dispatch.attempt_id, dispatch.hlc)
            return Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.SILENCE)
        self._links.give_back(link)
        self._events.clock.observe(reply.hlc, time.time())
        if reply.body_checksum != checksum(reply.body) and _is_answer(reply):
            return Reply(dispatch.attempt_id, Outcome.UNKNOWN, Reason.BROKEN_ANSWER)
        return _noted(forwarded, reply)


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


def _is_answer(reply: Reply) -> bool:
    return reply.outcome is Outcome.ANSWERED


def _may_try_again(reply: Reply, forwarded: ForwardedRequest, now_s: float) -> bool:
    """Tell whether another backend server may be tried after a reply."""
    if now_s >= forwarded.deadline_s or reply.reason in _FINAL_REASONS:
        return False
    return _TRY_AGAIN[reply.outcome, forwarded.route.execution]


_FINAL_REASONS = frozenset({Reason.KEY_REUSED, Reason.CLAIMS_UNAVAILABLE})

# A non-idempotent request goes elsewhere only after a proof that it did not
# run: silence may mean that it did.
_TRY_AGAIN = {
    (Outcome.ANSWERED, Execution.IDEMPOTENT): False,
    (Outcome.ANSWERED, Execution.NON_IDEMPOTENT): False,
    (Outcome.NOT_RUN, Execution.IDEMPOTENT): True,
    (Outcome.NOT_RUN, Execution.NON_IDEMPOTENT): True,
    (Outcome.UNKNOWN, Execution.IDEMPOTENT): True,
    (Outcome.UNKNOWN, Execution.NON_IDEMPOTENT): False,
}
