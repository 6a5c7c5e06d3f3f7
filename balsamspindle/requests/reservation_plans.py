"""Decides which requests reserve places in queues, and at which gates.

The load that this answers: nearly all slots of a service are busy, and a request would
be refused by several gates before it waits in the queue of one of them. A reservation
waits in two queues at once. It starts where a slot is free first, which no gate's
estimate has to predict, and its body is sent only there.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.requests.forwarded import ForwardedRequest, Step

__all__ = ["ReservationPlan", "Queue", "choose_second", "should_reserve"]

# Level of link messages that a gate has to announce.
RESERVATIONS_LINK_LEVEL = 1
# In step NEAR, the first attempt looks for a free slot without a reservation, as that
# saves a round trip. A request that was refused once reserves places. While most gates
# are busy, requests reserve places at once.
UNRESERVED_TRIES = 1
_QUEUE_STEPS = frozenset({Step.NEAR_QUEUE, Step.QUEUE})


class ReservationPlan(NamedTuple):
    """At which placements a request reserves places.

    Attributes
    ----------
    wait_max_ms : float
        The longest time that the request may wait in their queues.
    """

    placements: tuple[Placement, ...]
    wait_max_ms: float


class Queue(NamedTuple):
    """The queue of one placement, as the ingress knows it.

    Attributes
    ----------
    wait_ms : float
        Expected wait, with what traffic between zones costs in ms; 0 if unknown.
    free_slots : float
        Estimated free slots.
    """

    placement: Placement
    wait_ms: float
    free_slots: float


def should_reserve(
    forwarded: ForwardedRequest, first: Placement, free_slots: float, is_busy: bool
) -> bool:
    """Return whether a request reserves places instead of being sent to `first`.

    Not reserved:

    - attempts at suspected backend servers, which are rarely refused,
    - requests with an idempotency key: the write of its claim would take longer than a
      slot is held,
    - requests with a parked attempt,
    - attempts at nodes that do not understand reservations.

    Parameters
    ----------
    free_slots : float
        Estimated free slots at `first`.
    is_busy : bool
        Whether most gates of the service have no free slot.
    """
    if first.node.link_level < RESERVATIONS_LINK_LEVEL:
        return False
    if forwarded.is_last_resort or forwarded.claimant or forwarded.parked:
        return False
    search = forwarded.search
    if search.step in _QUEUE_STEPS:
        return True
    tries = 0 if is_busy else UNRESERVED_TRIES
    is_probing = search.near_tries <= tries and free_slots > 0
    return search.step is Step.NEAR and not is_probing


def choose_second(
    queues: Iterable[Queue],
    first: Placement,
    wait_max_ms: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Return the second placement at which a request reserves a place.

    It is the one with the shortest wait and, of those, with most free slots. None if
    all other waits are longer than `wait_max_ms`.
    """
    usable = [
        queue
        for queue in queues
        if queue.wait_ms <= wait_max_ms
        and queue.placement.node.link_level >= RESERVATIONS_LINK_LEVEL
        and queue.placement.node.node_id != first.node.node_id
    ]
    best = min(
        usable,
        key=lambda queue: (queue.wait_ms, -queue.free_slots, draw()),
        default=None,
    )
    return None if best is None else best.placement
