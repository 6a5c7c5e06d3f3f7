"""Selects the backend server for a request's next attempt and its maximum queue wait.

The selection is designed for services that have a few backend servers in each zone, run
at a utilization of two thirds or more, and have a third of their backend servers
unhealthy at any time. Only a gate has the current number of its free slots; an
ingress's estimate is seconds old. A query to a gate costs a round trip and, if the gate
is in another zone, also paid traffic. Each attempt therefore carries the longest time
that it may wait for a slot, and the gate refuses the attempt at once if it expects a
longer wait:

========== ===================================== ==============================
step       gates that get an attempt             maximum wait for a slot
========== ===================================== ==============================
NEAR       a few in the own zone, those with     none
           most free slots first
NEAR_QUEUE of the gates that refused in NEAR,    `near_wait_ms`
           the one with the shortest queue
FAR        a few in other zones, those with      `near_wait_ms`
           most free slots first
QUEUE      of all gates that refused, the one    `QUEUE_WAIT_FRACTION` of the
           with the shortest queue               remaining time
========== ===================================== ==============================

In NEAR_QUEUE, an attempt joins a queue whose reported wait is at most `near_wait_ms`,
and may then wait a little longer than the gate reported (`QUEUE_MARGIN`).

A short queue in the own zone is preferred to a free slot in another zone, because the
traffic between zones costs more than the delay. A free slot in another zone is
preferred to a long queue. If every queue is longer than a request may wait, the request
is refused at once, so that its caller has time to retry.
"""

import math
import random
import threading
from collections.abc import Iterable, Set
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import ForwardedRequest, Search, Step
from balsamspindle.requests.search_widening import call_wait_ms
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.picker import Picker, choose_freest

__all__ = ["PlacementSelector", "Selection", "near_wait_ms"]

# Fraction of the route's target time that a request may wait for a slot in its own
# zone before it is sent to other zones. The fraction grows with the mean size of the
# route's answers, up to LARGE_ANSWER_BYTES. A run takes a quarter to a third of the
# target time, so an answer is in time even after the longest allowed wait. A megabyte
# of traffic between zones costs as much as a hundred requests are worth. An answer of
# 5 KB thus costs half of the value of its request; an answer of 400 bytes costs almost
# nothing. For large answers, a long wait in the own zone thus costs less than traffic.
NEAR_WAIT_FRACTION_MIN, NEAR_WAIT_FRACTION_MAX = 0.1, 0.6
LARGE_ANSWER_BYTES = 5000
# Maximum number of gates in the own zone to which a request is sent in step NEAR. If
# five gates have no free slot, the zone is assumed to be full. Without this maximum, a
# request would be sent to every gate of a full zone. In a zone of sixteen gates with
# two slots each, each run would take seven attempts on average, six of them refused.
NEAR_TRIES_MAX = 5
# Maximum number of gates in other zones to which a request is sent in step FAR, before
# it joins one of the long queues in step QUEUE.
FAR_TRIES_MAX = 3
# In step NEAR_QUEUE, an attempt may wait for QUEUE_MARGIN times the wait that the gate
# reported, and QUEUE_MARGIN_MS more. The error of the reported wait is about the
# duration of one request. Without the margin, the gate would refuse half of these
# attempts.
QUEUE_MARGIN = 1.5
QUEUE_MARGIN_MS = 50.0
# Fraction of a request's remaining time that it may wait in the queues of step QUEUE.
# At an overload of 50 %, requests that may wait until their deadline are refused only
# at the deadline, too late for their callers to retry. The time that remains after
# this fraction is enough for a retry.
QUEUE_WAIT_FRACTION = 0.5
# Step QUEUE also uses waits that gates reported in replies to other requests. It uses
# only waits up to this fraction of the time that the request may still spend in queues.
# A longer wait indicates that the service is overloaded. A suspected backend server is
# then a better choice than the queue.
SHORT_QUEUE_FRACTION = 0.5


class Selection(NamedTuple):
    """Where one attempt is sent, and how long it may wait there.

    Attributes
    ----------
    wait_max_ms : float or None
        The longest time that the attempt may wait for a slot at the gate; None to
        wait until its deadline.
    """

    placement: Placement
    wait_max_ms: float | None = None


def near_wait_ms(target_ms: float, answer_bytes: float) -> float:
    """Return how many ms a request may wait in its zone before it is sent to others.

    Parameters
    ----------
    target_ms : float
        The route's target time for an answer.
    answer_bytes : float
        Mean size of the route's answers.
    """
    size_fraction = min(1.0, answer_bytes / LARGE_ANSWER_BYTES)
    span = NEAR_WAIT_FRACTION_MAX - NEAR_WAIT_FRACTION_MIN
    return (NEAR_WAIT_FRACTION_MIN + span * size_fraction) * target_ms


class PlacementSelector:
    """Selects the placements for all attempts of one ingress."""

    def __init__(
        self,
        picker: Picker,
        sender: AttemptSender,
        free_slots: FreeSlotEstimates,
        sizes: AnswerSizes,
        rng: random.Random,
    ) -> None:
        self._sizes = sizes
        self._picker = picker
        self._sender = sender
        self._free_slots = free_slots
        self._random = rng
        self._lock = threading.Lock()

    def select(self, forwarded: ForwardedRequest, now_s: float) -> Selection | None:
        """Return where to send the next attempt; None when no placement remains."""
        unreachable = self._find_unreachable_servers(forwarded.route.service, now_s)
        leaving = self._find_leaving_servers(forwarded)
        tried = forwarded.tried | leaving
        held_out_servers = self._sender.held_out_servers
        if forwarded.is_last_resort:
            # Only suspected backend servers remain. Those with several errors in a
            # row are selected in the second pass only: a backend server that fails
            # all requests has all of its slots free and would always be preferred.
            passes = [tried | held_out_servers.failing(now_s) | unreachable, tried]
        else:
            suspected = tried | held_out_servers.held_out(now_s)
            # Backend servers at unreachable nodes are selected in the second pass only.
            passes = [suspected | unreachable, suspected]
        self._add_limit_waits(forwarded, passes[0], now_s)
        with self._lock:
            selected = self._select(forwarded, passes[0], now_s)
            if selected is None and passes[0] != passes[1]:
                forwarded.search.restart()
                self._add_limit_waits(forwarded, passes[1], now_s)
                selected = self._select(forwarded, passes[1], now_s)
        return selected

    def _select(
        self, forwarded: ForwardedRequest, excluded: Set[str], now_s: float
    ) -> Selection | None:
        if not forwarded.route.target_ms:
            return self._select_any(forwarded, excluded, now_s)
        search = forwarded.search
        while search.step < Step.DONE:
            selected = self._select_for_step(forwarded, excluded, now_s)
            if selected is not None:
                return selected
            search.step = Step(search.step + 1)
        return None

    def _select_for_step(
        self, forwarded, excluded: Set[str], now_s: float
    ) -> Selection | None:
        search, route = forwarded.search, forwarded.route
        near, far = self._picker.split_by_zone(route.service, route.execution)
        wait_ms = near_wait_ms(route.target_ms, self._sizes.mean_bytes(route))
        wait_ms = max(wait_ms, call_wait_ms(forwarded, now_s))
        # Backend servers whose limit allows no request now; see `_add_limit_waits`.
        used_up = self._sender.known_terms.waits_ms(route.weight, now_s).keys()
        match search.step:
            case Step.NEAR if search.near_tries < NEAR_TRIES_MAX:
                search.near_tries += 1
                return self._select_freest(near, excluded | used_up, 0.0, now_s)
            case Step.NEAR_QUEUE:
                # The total wait in all queues of the own zone is limited. Waits may be
                # longer than reported. Without this limit, a request could spend half
                # of its time in several such queues in turn, while other zones have
                # free slots.
                near_ms = _remaining_near_wait_ms(search, wait_ms, now_s)
                return self._select_shortest_queue(near, near_ms, search)
            case Step.FAR if search.far_tries < FAR_TRIES_MAX:
                search.far_tries += 1
                # Gates that just reported a wait longer than `wait_ms` are excluded:
                # they would refuse again, and each attempt costs traffic between zones.
                long_queues = self._sender.queue_hints.longer_than(wait_ms, now_s)
                excluded = excluded | long_queues | used_up
                return self._select_freest(far, excluded, wait_ms, now_s)
            case Step.QUEUE:
                remaining_ms = _remaining_queue_wait_ms(forwarded, now_s)
                places = (*near, *far)
                self._add_reported_queues(search, places, excluded, remaining_ms, now_s)
                selected = self._select_shortest_queue(
                    near, remaining_ms, search, far, wait_ms
                )
                if not _must_ask_anyway(forwarded, selected):
                    return selected
                selected = self._select_shortest_queue(
                    near, math.inf, search, far, wait_ms
                )
                return selected and selected._replace(wait_max_ms=remaining_ms)
        return None

    def _add_limit_waits(
        self, forwarded: ForwardedRequest, excluded: Set[str], now_s: float
    ) -> None:
        """Add to a search the waits that limits cause, as gates reported them.

        The search then looks for free slots at other backend servers only, and joins a
        queue behind a limit if the wait is short enough.
        """
        search = forwarded.search
        if search.step is Step.DONE:
            return
        waits_ms = self._sender.known_terms.waits_ms(forwarded.route.weight, now_s)
        for server_id, wait_ms in waits_ms.items():
            if server_id not in excluded:
                search.queue_wait_ms.setdefault(server_id, wait_ms)

    def _add_reported_queues(
        self,
        search: Search,
        places: Iterable[Placement],
        excluded: Set[str],
        remaining_ms: float,
        now_s: float,
    ) -> None:
        """Add to a search the queues that gates reported in replies to other requests.

        For a while after a gate reported a wait above `near_wait_ms`, step FAR excludes
        the gate, so the search sends it no attempt and gets no report from it. If all
        gates are excluded, the request would be sent to a suspected backend server,
        where 37 of 100 calls fail, although the wait for a healthy backend server is
        only 0.2 s. Step QUEUE therefore also uses these reported waits, up to
        `SHORT_QUEUE_FRACTION` of `remaining_ms`, the time that the request may still
        spend in queues.
        """
        for place in places:
            server_id = place.backend_server.backend_server_id
            wait_ms = self._sender.queue_hints.wait_ms(server_id, now_s)
            is_short = (
                wait_ms is not None and wait_ms <= SHORT_QUEUE_FRACTION * remaining_ms
            )
            if is_short and server_id not in excluded:
                search.queue_wait_ms.setdefault(server_id, wait_ms)

    def _select_freest(self, places, excluded, wait_ms, now_s) -> Selection | None:
        placement = choose_freest(
            places,
            excluded,
            lambda place: self._free_slots.free_slots(place, now_s),
            self._random,
        )
        return None if placement is None else Selection(placement, wait_ms)

    def _select_shortest_queue(
        self,
        near: Iterable[Placement],
        wait_max_ms: float,
        search: Search,
        far: Iterable[Placement] = (),
        far_penalty_ms: float = 0.0,
    ) -> Selection | None:
        """Select the placement with the shortest queue; None if all are too long.

        Removes the selected backend server's wait from `search.queue_wait_ms`. The
        search can select this queue again only after its wait is recorded again.

        Parameters
        ----------
        wait_max_ms : float
            A queue is selected only if its reported wait is at most this long.
        far_penalty_ms : float
            Added to the waits of queues in other zones before all waits are compared. A
            queue in another zone is thus selected only if its wait is shorter, by this
            much, than each wait in the own zone. With 0, the traffic between zones
            grows by a quarter under high load.
        """
        reported_ms = search.queue_wait_ms
        queues = [
            (reported_ms[place.backend_server.backend_server_id], penalty_ms, place)
            for places, penalty_ms in ((near, 0.0), (far, far_penalty_ms))
            for place in places
            if place.backend_server.backend_server_id in reported_ms
        ]
        queues = [queue for queue in queues if queue[0] <= wait_max_ms]
        if not queues:
            return None
        shortest_ms, _, placement = min(queues, key=lambda queue: queue[0] + queue[1])
        reported_ms.pop(placement.backend_server.backend_server_id)
        if search.step is Step.QUEUE:
            return Selection(placement, wait_max_ms)
        return Selection(placement, shortest_ms * QUEUE_MARGIN + QUEUE_MARGIN_MS)

    def _select_any(self, forwarded, excluded, now_s) -> Selection | None:
        used_up = self._sender.known_terms.waits_ms(forwarded.route.weight, now_s)
        placement = self._picker.pick(
            forwarded.route.service,
            forwarded.route.execution,
            excluded | used_up.keys(),
            lambda place: self._free_slots.free_slots(place, now_s),
            self._random,
        )
        if placement is not None:
            return Selection(placement)
        return self._select_next_allowed(forwarded, now_s)

    def _select_next_allowed(
        self, forwarded: ForwardedRequest, now_s: float
    ) -> Selection | None:
        """Select the backend server whose limit allows a request soonest.

        Used when all backend servers have refused a request. None if none of the
        refusals stated a wait that the request can spend in a queue.
        """
        waits_ms = forwarded.search.queue_wait_ms
        remaining_ms = _remaining_queue_wait_ms(forwarded, now_s)
        queues = [
            (waits_ms[place.backend_server.backend_server_id], place)
            for place in self._picker.view(forwarded.route.service).tiers[-1]
            if 0 < waits_ms.get(place.backend_server.backend_server_id, 0)
        ]
        wait_ms, placement = min(
            queues, key=lambda queue: queue[0], default=(math.inf, None)
        )
        if placement is None:
            return None
        selected = Selection(placement, remaining_ms)
        if wait_ms > remaining_ms and not _must_ask_anyway(forwarded, None):
            return None
        waits_ms.pop(placement.backend_server.backend_server_id)
        return selected

    def _find_unreachable_servers(self, service: str, now_s: float) -> set[str]:
        """Return the ids of the backend servers at nodes held out as unreachable."""
        hold_outs = self._sender.link_hold_outs
        if not hold_outs:
            return set()
        return {
            placement.backend_server.backend_server_id
            for placement in self._picker.view(service).placements
            if hold_outs.is_held_out(placement.node.node_id, now_s)
        }

    def _find_leaving_servers(self, forwarded: ForwardedRequest) -> set[str]:
        """Return the ids of leaving backend servers; the search skips their queues.

        The gate of such a backend server may not know that it leaves, if the gate's
        node has been restarted since.
        """
        placements = self._picker.view(forwarded.route.service).placements
        leaving = self._sender.known_terms.leaving(placements)
        for server_id in leaving:
            forwarded.search.queue_wait_ms.pop(server_id, None)
        return leaving


def _remaining_near_wait_ms(search: Search, wait_ms: float, now_s: float) -> float:
    """Return how many more ms a request may wait in queues of its own zone.

    The allowed time ends `wait_ms` after this function is first called for the search.
    """
    if search.queue_near_until_s is None:
        search.queue_near_until_s = now_s + wait_ms / 1000
    return (search.queue_near_until_s - now_s) * 1000


def _remaining_queue_wait_ms(forwarded: ForwardedRequest, now_s: float) -> float:
    """Return how many more ms a request may wait in the queues of step QUEUE.

    The first call for a request sets the end of the allowed time: from then on, the
    request may wait for `QUEUE_WAIT_FRACTION` of its remaining time.
    """
    if forwarded.queue_until_s is None:
        remaining_s = forwarded.deadline_s - now_s
        forwarded.queue_until_s = now_s + QUEUE_WAIT_FRACTION * remaining_s
    return (forwarded.queue_until_s - now_s) * 1000


def _must_ask_anyway(forwarded: ForwardedRequest, selected: Selection | None) -> bool:
    """Return whether a gate has to be asked although all known waits are too long.

    Only a gate knows the present wait, which the caller is told. So one gate is asked
    if none has been asked for the request so far.
    """
    search = forwarded.search
    if selected is not None or forwarded.attempts or search.has_asked_anyway:
        return False
    search.has_asked_anyway = True
    return True
