"""What one attempt in flight teaches its ingress."""

from collections.abc import Callable

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.retries import is_shed
from balsamspindle.services.free_slots import FREE_SLOTS_TTL_S, FreeSlotViews
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.wire import HeldOut, Reply
from balsamspindle.wire.replies import is_refusal

__all__ = ["AVOID_S", "TrackedAttempt"]

# How long others go first after a failure; longer would keep a sick backend
# server from the work by which its gate finds it out.
AVOID_S = 0.25
_SAYS_NOTHING_OF_SLOTS = frozenset({Reason.SUSPECTED, Reason.RETRY_BUDGET})


class TrackedAttempt:
    """One attempt in flight, in this ingress's local views."""

    def __init__(
        self,
        forwarded: ForwardedRequest,
        placement: Placement,
        free_slots: FreeSlotViews,
        peers: PeerEvidenceTracker,
        note_suspect: Callable[[Placement, HeldOut, float], None],
        queue_hints: QueueHints,
        clock: Callable[[], float],
    ) -> None:
        self._forwarded = forwarded
        self._service: str = forwarded.route.service
        self._placement: Placement = placement
        self._server_id = server_id = placement.backend_server.backend_server_id
        self._free_slots: FreeSlotViews = free_slots
        self._peers: PeerEvidenceTracker = peers
        self._note_suspect = note_suspect
        self._queue_hints: QueueHints = queue_hints
        self._clock = clock
        self._started_s = clock()
        free_slots.started(server_id)
        peers.started(self._service, server_id, self._started_s)

    def end(self, reply: Reply | None) -> None:
        """Take the end; None when no reply came.

        After a failure others go first for a moment, at this ingress alone:
        it still gets work when all others are busy, so that no capacity is
        lost to one failure.
        """
        now_s = self._clock()
        self._peers.ended(self._service, self._server_id, self._started_s, reply, now_s)
        self._free_slots.ended(self._server_id)
        if reply is not None:
            self._note_suspect(self._placement, reply.held_out, now_s)
            if is_refusal(reply):
                self._forwarded.sends -= 1
        if reply is not None and reply.reason in _SAYS_NOTHING_OF_SLOTS:
            return
        if reply is not None and reply.reason is Reason.WOULD_WAIT:
            self._forwarded.search.queue_wait_ms[self._server_id] = reply.retry_after_ms
            self._queue_hints.note(self._server_id, reply.retry_after_ms, now_s)
            self._free_slots.note(self._server_id, 0, now_s)
            return
        failed = reply is None or reply.outcome is Outcome.UNKNOWN or is_shed(reply)
        if failed:
            self._free_slots.note(
                self._server_id, 0, now_s - FREE_SLOTS_TTL_S + AVOID_S
            )
        else:
            self._free_slots.note(self._server_id, reply.free_slots, now_s)
