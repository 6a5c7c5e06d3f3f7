"""Selects the backend server for a request's next attempt and its maximum queue wait.

It is designed for services with a few backend servers in each zone, of which a third
are unhealthy at any time, at a utilization of two thirds or more. Only a gate knows its
free slots; what an ingress knows of them is seconds old. To ask a gate takes a round
trip, and in other zones also traffic that is paid for. So each attempt carries the
longest time that it may wait for a slot, and the gate refuses it at once when its
queue is longer:

========== ===================================== ==============================
step       gates asked                           maximum wait for a slot
========== ===================================== ==============================
NEAR       a few in the own VM and zone, most    none
           free slots first
NEAR_QUEUE of these, the one with the shortest   `near_wait_ms`
           queue
FAR        a few in other zones, most free       `near_wait_ms`
           slots first
QUEUE      of all that refused, the one with     `QUEUE_WAIT_FRACTION` of the
           the shortest queue                    time left
========== ===================================== ==============================

In NEAR_QUEUE a queue of up to `near_wait_ms` is joined, and the attempt may wait a
little longer than the gate reported (`QUEUE_MARGIN`).

A short queue in the own zone is preferred to a free slot in another zone, as the
traffic between zones costs more than the delay; a long queue is not. Where every queue
is longer than a request may wait, the request is refused at once, so that its caller
has time left to retry.
"""

import random
import threading
from collections.abc import Iterable, Set
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import ForwardedRequest, Search, Step
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.picker import Picker, choose_freest

__all__ = ["PlacementSelector", "Selection", "near_wait_ms"]

# Fraction of the route's target time that a request may wait for a slot in its own
# zone before other zones are asked. The work itself takes a quarter to a third of the
# target time, so that the answer is still in time. A megabyte between zones costs as
# much as a hundred requests are worth: an answer of 5 KB half of what its request is
# worth, an answer of 400 bytes next to nothing.
NEAR_WAIT_FRACTION_MIN, NEAR_WAIT_FRACTION_MAX = 0.1, 0.6
LARGE_ANSWER_BYTES = 5000
# Gates of the own zone that are asked for a free slot, most free slots first. Where
# five have none, the zone is full; asking all sixteen gates of a large zone with two
# slots each takes seven attempts for each run, of which six are refused.
NEAR_TRIES_MAX = 5
# Gates of other zones that are asked before the request joins a queue.
FAR_TRIES_MAX = 3
# A gate's estimate of its wait is off by about the duration of one request. With a
# maximum wait of just this estimate, the gate would refuse half of the attempts.
QUEUE_MARGIN = 1.5
QUEUE_MARGIN_MS = 50.0
# Fraction of a request's remaining time that it may wait in the shortest queue. At an
# overload of 50 %, requests that may wait until their deadline are refused only then,
# too late for their callers to retry; the time after this fraction is enough for that.
QUEUE_WAIT_FRACTION = 0.5
# Fraction of that wait up to which a queue reported to another request is joined. A
# longer queue indicates an overload, in which a suspected backend server is the better
# choice.
SHORT_QUEUE_FRACTION = 0.5


class Selection(NamedTuple):
    """Where one attempt is sent.

    Attributes
    ----------
    wait_max_ms : float or None
        The longest time that the attempt may wait for a slot there; None for as
        long as its deadline allows.
    """

    placement: Placement
    wait_max_ms: float | None = None


def near_wait_ms(target_ms: float, answer_bytes: float) -> float:
    """Return the wait up to which the own zone is preferred to a free slot elsewhere.

    Parameters
    ----------
    target_ms : float
        The route's target time for an answer.
    answer_bytes : float
        Mean size of the route's answers.
    """
    largeness = min(1.0, answer_bytes / LARGE_ANSWER_BYTES)
    span = NEAR_WAIT_FRACTION_MAX - NEAR_WAIT_FRACTION_MIN
    return (NEAR_WAIT_FRACTION_MIN + span * largeness) * target_ms


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
        """Return the next placement; None when none is left to try."""
        cut_off = self._behind_broken_links(forwarded.route.service, now_s)
        tried, held_out_servers = set(forwarded.tried), self._sender.held_out_servers
        if forwarded.is_last_resort:
            # Only suspected backend servers are left. First those with a single
            # error: one that fails all its work has all of its slots free and
            # would be selected for that.
            passes = [tried | held_out_servers.failing(now_s) | cut_off, tried]
        else:
            suspected = tried | held_out_servers.held_out(now_s)
            # The second pass includes links that may be broken.
            passes = [suspected | cut_off, suspected]
        with self._lock:
            selected = self._select(forwarded, passes[0], now_s)
            if selected is None and passes[0] != passes[1]:
                forwarded.search.restart()
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
        match search.step:
            case Step.NEAR if search.near_tries < NEAR_TRIES_MAX:
                search.near_tries += 1
                return self._select_freest(near, excluded, 0.0, now_s)
            case Step.NEAR_QUEUE:
                # The wait in all queues of the own zone together is limited. A
                # request could otherwise join queues that are longer than reported
                # for half of its time, while other zones have free slots.
                near_ms = _near_wait_left_ms(search, wait_ms, now_s)
                return self._select_shortest_queue(near, near_ms, search)
            case Step.FAR if search.far_tries < FAR_TRIES_MAX:
                search.far_tries += 1
                # A gate that just reported a longer queue would refuse again, at
                # the cost of traffic between zones.
                busy = self._sender.queue_hints.longer_than(wait_ms, now_s)
                return self._select_freest(far, excluded | busy, wait_ms, now_s)
            case Step.QUEUE:
                left_ms = _queue_wait_left_ms(forwarded, now_s)
                places = (*near, *far)
                self._add_reported_queues(search, places, excluded, left_ms, now_s)
                return self._select_shortest_queue(near, left_ms, search, far, wait_ms)
        return None

    def _add_reported_queues(
        self,
        search: Search,
        places: Iterable[Placement],
        excluded: Set[str],
        left_ms: float,
        now_s: float,
    ) -> None:
        """Add the short queues that gates just reported to other requests.

        A gate that reported a queue is not asked again for a while. Without these
        queues, a request that asked no gate itself would be sent to a suspected
        backend server, where 37 of 100 calls fail, although a healthy one has a
        queue of only 0.2 s.
        """
        for place in places:
            server_id = place.backend_server.backend_server_id
            wait_ms = self._sender.queue_hints.wait_ms(server_id, now_s)
            is_short = wait_ms is not None and wait_ms <= SHORT_QUEUE_FRACTION * left_ms
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
        far_ms: float = 0.0,
    ) -> Selection | None:
        """Return the placement with the shortest queue, if it is short enough.

        Parameters
        ----------
        far_ms : float
            How much shorter a queue in another zone must be than one in the own
            zone. With 0 the traffic between zones grows by a quarter under high
            load.
        """
        told_ms = search.queue_wait_ms
        queues = [
            (told_ms[place.backend_server.backend_server_id], handicap_ms, place)
            for places, handicap_ms in ((near, 0.0), (far, far_ms))
            for place in places
            if place.backend_server.backend_server_id in told_ms
        ]
        queues = [queue for queue in queues if queue[0] <= wait_max_ms]
        if not queues:
            return None
        shortest_ms, _, placement = min(queues, key=lambda queue: queue[0] + queue[1])
        told_ms.pop(placement.backend_server.backend_server_id)
        if search.step is Step.QUEUE:
            return Selection(placement, wait_max_ms)
        return Selection(placement, shortest_ms * QUEUE_MARGIN + QUEUE_MARGIN_MS)

    def _select_any(self, forwarded, excluded, now_s) -> Selection | None:
        placement = self._picker.pick(
            forwarded.route.service,
            forwarded.route.execution,
            excluded,
            lambda place: self._free_slots.free_slots(place, now_s),
            self._random,
        )
        return None if placement is None else Selection(placement)

    def _behind_broken_links(self, service: str, now_s: float) -> set[str]:
        """Return the backend servers at nodes that were unreachable just now."""
        hold_outs = self._sender.link_hold_outs
        if not hold_outs:
            return set()
        return {
            placement.backend_server.backend_server_id
            for placement in self._picker.view(service).placements
            if hold_outs.is_held(placement.node.node_id, now_s)
        }


def _near_wait_left_ms(search: Search, wait_ms: float, now_s: float) -> float:
    """Return how much longer a request may wait in queues of its own zone."""
    if search.queue_near_until_s is None:
        search.queue_near_until_s = now_s + wait_ms / 1000
    return (search.queue_near_until_s - now_s) * 1000


def _queue_wait_left_ms(forwarded: ForwardedRequest, now_s: float) -> float:
    """Return how much longer a request may wait in the shortest queues."""
    if forwarded.queue_until_s is None:
        left_s = forwarded.deadline_s - now_s
        forwarded.queue_until_s = now_s + QUEUE_WAIT_FRACTION * left_s
    return (forwarded.queue_until_s - now_s) * 1000
