"""Refuses requests for whose service there is no room, before any attempt."""

from collections.abc import Callable

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.admission_levels import (
    RankedRequest,
    draw_of,
)
from balsamspindle.requests.forwarded import ForwardedRequest, StopReason
from balsamspindle.requests.placement_selection import QUEUE_WAIT_FRACTION
from balsamspindle.requests.room_news import RoomNews
from balsamspindle.timeline import EventLog
from balsamspindle.wire import AttemptId, Reply

__all__ = ["LevelRefusals"]

_ROOM_REASONS = frozenset({Reason.NO_FREE_SLOT, Reason.WOULD_WAIT})


class LevelRefusals:
    """Applies the admission levels of one ingress.

    Parameters
    ----------
    next_id : callable
        Returns a new attempt id, for replies.
    admits_by_level : callable
        Returns whether the settings of a service ask for admission by level.
    """

    def __init__(
        self,
        news: RoomNews,
        events: EventLog,
        next_id: Callable[[], AttemptId],
        admits_by_level: Callable[[str], bool],
    ) -> None:
        self._news = news
        self._events = events
        self._next_id = next_id
        self._admits_by_level = admits_by_level

    def room_after_ms(
        self, forwarded: ForwardedRequest, reply: Reply, now_s: float
    ) -> float | None:
        """Return when a caller that was refused for want of room should come back.

        None if the refusal has another reason, or if too few gates told their room.
        """
        service = forwarded.route.service
        if reply.reason not in _ROOM_REASONS or not self._admits_by_level(service):
            return None
        draw = draw_of(forwarded.request_id)
        room_ms = self._news.room_after_ms(service, draw, now_s)
        return None if room_ms is None else max(room_ms, reply.retry_after_ms)

    def refuse(self, forwarded: ForwardedRequest, now_s: float) -> Reply | None:
        """Refuse a request for which there is no room; None if attempts are made.

        A request with an idempotency key is not refused: an earlier send with the same
        key may have run, which only its gate knows.
        """
        route = forwarded.route
        if not self._admits_by_level(route.service) or forwarded.claimant is not None:
            return None
        remaining_ms = (forwarded.deadline_s - now_s) * 1000
        weight = route.weight
        if forwarded.importance is not None:
            weight = max(weight, forwarded.importance.weight)
        request = RankedRequest(
            weight,
            QUEUE_WAIT_FRACTION * remaining_ms,
            draw_of(forwarded.request_id),
        )
        decision = self._news.decide(route.service, forwarded.customer, request, now_s)
        if not decision.is_refused:
            return None
        self._events.emit(
            "request_refused_by_level",
            request=forwarded.request_id,
            service=route.service,
            weight=round(weight, 4),
            level=round(decision.level, 2),
            position=round(decision.position, 2),
            gates=decision.gates,
            gates_with_room=decision.gates_with_room,
            retry_after_ms=round(decision.retry_after_ms),
        )
        forwarded.stopped_by = StopReason.NO_ROOM
        return Reply(
            self._next_id(),
            Outcome.NOT_RUN,
            Reason.NO_FREE_SLOT,
            retry_after_ms=decision.retry_after_ms,
        )
