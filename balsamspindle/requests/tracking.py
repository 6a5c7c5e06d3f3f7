"""Updates an ingress's estimates of backend servers as its attempts start and end."""

from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest, Step
from balsamspindle.requests.retries import is_shed
from balsamspindle.requests.room_news import RoomNews
from balsamspindle.services.free_slots import FREE_SLOTS_TTL_S, FreeSlotEstimates
from balsamspindle.services.known_terms import KnownTerms
from balsamspindle.services.limit_checks import LimitChecks
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.wire import HoldOut, Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["AVOID_AFTER_FAILURE_S", "TrackedAttempt"]

# How long after a failed attempt this ingress treats the backend server as busy. With a
# longer time, the backend server's gate would get too few requests to detect that the
# backend server is sick.
AVOID_AFTER_FAILURE_S = 0.25
_REASONS_WITHOUT_SLOT_COUNT = frozenset({Reason.SUSPECTED, Reason.RETRY_BUDGET})


class TrackedAttempt:
    """One attempt in flight; updates its ingress's estimates at its start and end.

    Parameters
    ----------
    record_hold_out : callable
        Called for each reply with the placement, the reply's `HoldOut` and the time.
        The `HoldOut` may state that the backend server is not held out.
    """

    def __init__(
        self,
        forwarded: ForwardedRequest,
        placement: Placement,
        free_slots: FreeSlotEstimates,
        peer_evidence: PeerEvidenceTracker,
        record_hold_out: Callable[[Placement, HoldOut, float], None],
        queue_hints: QueueHints,
        known_terms: KnownTerms,
        limit_checks: LimitChecks,
        clock: Callable[[], float],
        room_news: RoomNews,
    ) -> None:
        self._room_news = room_news
        self._forwarded = forwarded
        self._service: str = forwarded.route.service
        self._placement: Placement = placement
        self._server_id = server_id = placement.backend_server.backend_server_id
        self._free_slots: FreeSlotEstimates = free_slots
        self._peer_evidence: PeerEvidenceTracker = peer_evidence
        self._record_hold_out = record_hold_out
        self._queue_hints = queue_hints
        self._known_terms = known_terms
        self._limit_checks = limit_checks
        self._clock = clock
        self._started_s = clock()
        free_slots.record_start(server_id)
        peer_evidence.record_start(self._service, server_id, self._started_s)

    def end(self, reply: Reply | None) -> None:
        """Record the end of the attempt in the estimates.

        After a failure this ingress prefers other backend servers for
        `AVOID_AFTER_FAILURE_S`. The backend server that failed still gets requests
        when all others are busy, so that a single failure doesn't reduce the capacity.

        Parameters
        ----------
        reply : Reply or None
            None if no reply was received.
        """
        now_s = self._clock()
        self._peer_evidence.record_end(
            self._service, self._server_id, self._started_s, reply, now_s
        )
        self._free_slots.record_end(self._server_id)
        if reply is not None:
            self._record_hold_out(self._placement, reply.held_out, now_s)
            self._record_terms(reply, now_s)
            self._room_news.record(
                self._service,
                self._server_id,
                reply.load,
                reply.held_out.held_out_ms > 0,
                now_s,
            )
            if is_refusal(reply):
                self._forwarded.sends -= 1
        if reply is not None and reply.reason in _REASONS_WITHOUT_SLOT_COUNT:
            return
        if reply is not None and reply.reason is Reason.WOULD_WAIT:
            self._record_queue_wait(reply.retry_after_ms, now_s)
            self._queue_hints.record(self._server_id, reply.retry_after_ms, now_s)
            self._free_slots.record(self._server_id, 0, now_s)
            return
        failed = reply is None or reply.outcome is Outcome.UNKNOWN or is_shed(reply)
        if failed:
            self._free_slots.record(
                self._server_id, 0, now_s - FREE_SLOTS_TTL_S + AVOID_AFTER_FAILURE_S
            )
        else:
            self._free_slots.record(self._server_id, reply.free_slots, now_s)

    def _record_terms(self, reply: Reply, now_s: float) -> None:
        self._known_terms.record(self._server_id, reply.terms)
        limit_per_s = self._known_terms.limit_per_s(self._server_id)
        if limit_per_s is None:
            self._limit_checks.remove(self._server_id)
        else:
            self._limit_checks.record_reply(
                self._server_id, limit_per_s, is_refusal(reply), now_s
            )

    def _record_queue_wait(self, wait_ms: float, now_s: float) -> None:
        """Record a wait that was too long for the attempt.

        An attempt of step `QUEUE` may wait for as long as any later one of its request,
        so a limit that refused it would refuse it again.
        """
        search = self._forwarded.search
        is_limited = self._known_terms.limit_per_s(self._server_id) is not None
        if is_limited:
            weight = self._forwarded.route.weight
            self._known_terms.record_wait(self._server_id, weight, wait_ms, now_s)
        if not is_limited or search.step is not Step.QUEUE:
            search.queue_wait_ms[self._server_id] = wait_ms
