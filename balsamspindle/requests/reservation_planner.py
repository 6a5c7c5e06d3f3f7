"""Plans reservations from what an ingress knows of the gates' queues."""

import random
from collections.abc import Callable, Iterator

from balsamspindle.membership.directory import Placement
from balsamspindle.requests.admission_queries import LARGE_BODY_BYTES
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import ForwardedRequest, Step
from balsamspindle.requests.placement_selection import Selection, near_wait_ms
from balsamspindle.requests.reservation_plans import (
    Queue,
    ReservationPlan,
    choose_second,
    should_reserve,
)
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.picker import Picker

__all__ = ["ReservationPlanner"]


class ReservationPlanner:
    """Plans the reservations of one ingress.

    Parameters
    ----------
    reserves_places : callable
        Returns whether the settings of a service ask for reservations.
    """

    def __init__(
        self,
        picker: Picker,
        sender: AttemptSender,
        free_slots: FreeSlotEstimates,
        sizes: AnswerSizes,
        reserves_places: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        self._picker = picker
        self._sender = sender
        self._free_slots = free_slots
        self._sizes = sizes
        self._reserves_places = reserves_places
        self._random = rng

    def plan(
        self, forwarded: ForwardedRequest, selected: Selection, now_s: float
    ) -> ReservationPlan | None:
        """Return where a request reserves places; None to make the attempt at once.

        An attempt at the own gate waits there, in this process, without a reservation.
        A single place is reserved only before a large body is sent: otherwise the
        attempt itself can wait there, which saves a round trip.
        """
        route, first = forwarded.route, selected.placement
        if not route.target_ms or not self._reserves_places(route.service):
            return None
        if self._sender.is_own(first) or self._sender.is_leaving():
            return None
        if not should_reserve(
            forwarded,
            first,
            self._free_slots.free_slots(first, now_s),
            self._sender.room_news.is_busy(route.service, now_s),
        ):
            return None
        near_ms = near_wait_ms(route.target_ms, self._sizes.mean_bytes(route))
        is_near_step = forwarded.search.step is Step.NEAR
        wait_max_ms = near_ms if is_near_step else selected.wait_max_ms
        queues = self._queues(forwarded, near_ms, now_s)
        second = choose_second(queues, first, wait_max_ms, self._random.random)
        if second is None:
            if len(forwarded.request.body) < LARGE_BODY_BYTES:
                return None
            return ReservationPlan((first,), wait_max_ms)
        server_id = second.backend_server.backend_server_id
        forwarded.search.queue_wait_ms.pop(server_id, None)
        forwarded.search.near_tries += is_near_step
        return ReservationPlan((first, second), wait_max_ms)

    def _queues(
        self, forwarded: ForwardedRequest, far_penalty_ms: float, now_s: float
    ) -> Iterator[Queue]:
        """Yield the queues in which the request may reserve its second place.

        Gates of other zones are asked only in the last step, and only if their waits
        are known, since traffic between zones is paid for. `far_penalty_ms` is added to
        their waits.
        """
        route, search = forwarded.route, forwarded.search
        near, far = self._picker.split_by_zone(route.service, route.execution)
        excluded = self._excluded(forwarded, now_s)
        for place in near:
            wait_ms = self._known_wait_ms(forwarded, place, now_s)
            server_id = place.backend_server.backend_server_id
            if wait_ms is None and server_id not in forwarded.tried:
                wait_ms = 0.0
            if wait_ms is not None and server_id not in excluded:
                yield Queue(place, wait_ms, self._free_slots.free_slots(place, now_s))
        if search.step is not Step.QUEUE:
            return
        for place in far:
            wait_ms = self._known_wait_ms(forwarded, place, now_s)
            if (
                wait_ms is not None
                and place.backend_server.backend_server_id not in excluded
            ):
                yield Queue(
                    place,
                    wait_ms + far_penalty_ms,
                    self._free_slots.free_slots(place, now_s),
                )

    def _known_wait_ms(
        self, forwarded: ForwardedRequest, place: Placement, now_s: float
    ) -> float | None:
        """Return the wait that a gate reported; None if no report is known."""
        server_id = place.backend_server.backend_server_id
        wait_ms = forwarded.search.queue_wait_ms.get(server_id)
        if wait_ms is None and server_id not in forwarded.tried:
            wait_ms = self._sender.queue_hints.wait_ms(server_id, now_s)
        limits_ms = self._sender.known_terms.waits_ms(forwarded.route.weight, now_s)
        limit_ms = limits_ms.get(server_id)
        if limit_ms is None:
            return wait_ms
        return max(limit_ms, wait_ms or 0.0)

    def _excluded(self, forwarded: ForwardedRequest, now_s: float) -> set[str]:
        """Return the ids of backend servers that get no reservation."""
        hold_outs = self._sender.link_hold_outs
        placements = self._picker.view(forwarded.route.service).placements
        unreachable = {
            place.backend_server.backend_server_id
            for place in placements
            if hold_outs and hold_outs.is_held_out(place.node.node_id, now_s)
        }
        own = {
            place.backend_server.backend_server_id
            for place in placements
            if self._sender.is_own(place)
        }
        held_out = self._sender.held_out_servers.held_out(now_s)
        leaving = self._sender.known_terms.leaving(placements)
        return forwarded.failed | unreachable | own | held_out | leaving
