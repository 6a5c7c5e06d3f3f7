"""Decides which requests an ingress refuses at once, as their service has no room.

The load that this answers: a service has more demand than room for seconds. Without
this decision, a request is refused by one gate after another until its time is nearly
over. Who is refused then depends on where it asked.

Each gate tells its room with its replies. The level of a request is the fraction of
requests like it for which these gates have no room. Of the requests with one level,
those with the lowest rank are refused. Nothing is agreed on between nodes: all of them
rank a request alike, because its rank depends on the request alone.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

import xxhash

from balsamspindle.wire import GateLoad

__all__ = [
    "KindLevels",
    "LevelDecision",
    "RankedRequest",
    "decide",
    "draw_of",
    "has_room",
    "room_after_ms",
]

# With news of fewer gates, an ingress does not know whether the service has room.
GATES_MIN = 3
# Where at least this fraction of the gates has room, the search finds one of them with
# a few attempts, and no request is refused by its level.
ROOM_FRACTION_MIN = 0.3
# Fraction of the requests that is sent whatever the level. Their replies show when room
# returns; without them, an ingress would learn that only from the end of its news.
PROBE_FRACTION = 0.1
# Each kind of request keeps this fraction of the share that all requests together get.
KIND_SHARE_MIN = 0.25
# The shortest wait that a refused caller is told. A shorter one would bring the caller
# back before the gates' news could change.
RETRY_AFTER_MIN_MS = 250.0
DRAW_BITS = 53


class RankedRequest(NamedTuple):
    """What ranks a request among those of its service.

    Attributes
    ----------
    weight : float
        Weight of what waits for the answer.
    wait_max_ms : float
        The longest time that the request can wait for a slot.
    draw : float
        Number from 0 to 1 that depends on the request's id alone; see `draw_of`.
    is_excess : bool
        Whether the request belongs to what its customer sends beyond its usual rate.
    """

    weight: float
    wait_max_ms: float
    draw: float
    is_excess: bool = False


class LevelDecision(NamedTuple):
    """Whether a request is refused, and the figures behind it.

    Attributes
    ----------
    level : float
        Fraction of requests like this one that is refused, from 0 to 1.
    position : float
        Position of the request among those like it, from 0 (refused first) to 1.
    gates, gates_with_room : int
        Gates with recent news, and those of them with room for the request.
    retry_after_ms : float
        Expected time until there is room; 0 if the request is not refused.
    """

    is_refused: bool
    level: float = 0.0
    position: float = 1.0
    gates: int = 0
    gates_with_room: int = 0
    retry_after_ms: float = 0.0


class KindLevels:
    """The latest level of each weight, which keeps more urgent requests below it.

    A request may have less time to wait than a lighter one, and so find room at fewer
    gates. It must not be refused more often for that.
    """

    def __init__(self, valid_s: float) -> None:
        self._valid_s = valid_s
        self._levels: dict[float, tuple[float, float]] = {}

    def bound(self, weight: float, level: float, now_s: float) -> float:
        """Record the level of a weight; return it, at most that of lighter weights."""
        self._levels = {
            other: (value, at_s)
            for other, (value, at_s) in self._levels.items()
            if now_s - at_s <= self._valid_s
        }
        self._levels[weight] = level, now_s
        return min(
            value for other, (value, _) in self._levels.items() if other <= weight
        )


def draw_of(request_id: str) -> float:
    """Return a number from 0 to 1 that is the same for a request at all nodes."""
    return (xxhash.xxh3_64_intdigest(request_id.encode()) >> (64 - DRAW_BITS)) / (
        1 << DRAW_BITS
    )


def has_room(load: GateLoad, request: RankedRequest) -> bool:
    """Return whether a gate can start a request before it has waited too long.

    A request that is heavier than some that got a slot recently passes them in the
    queue. `GateLoad.wait_ms` is the wait of a request that passes none.
    """
    if load.free_slots > 0 or load.wait_ms <= request.wait_max_ms:
        return True
    return 0 < load.weight_min < request.weight


def decide(
    request: RankedRequest,
    loads: Iterable[GateLoad],
    levels: KindLevels,
    admitted_fraction: float,
    excess_fraction: float,
    now_s: float,
) -> LevelDecision:
    """Return whether a request is refused at once.

    Parameters
    ----------
    loads : iterable of GateLoad
        Recent loads of the service's gates.
    admitted_fraction : float
        Fraction of the service's recent requests that were not refused by their level.
    excess_fraction : float
        Fraction of the service's recent requests that are an excess.
    """
    loads = list(loads)
    if len(loads) < GATES_MIN:
        return LevelDecision(False, gates=len(loads))
    with_room = sum(has_room(load, request) for load in loads)
    level = max(0.0, 1 - with_room / len(loads) / ROOM_FRACTION_MIN)
    kept = max(PROBE_FRACTION, KIND_SHARE_MIN * admitted_fraction)
    level = levels.bound(request.weight, min(level, 1 - kept), now_s)
    position = _position(request, excess_fraction)
    is_refused = position < level
    retry_after_ms = room_after_ms(loads, request.draw) if is_refused else 0.0
    return LevelDecision(
        is_refused, level, position, len(loads), with_room, retry_after_ms
    )


def _position(request: RankedRequest, excess_fraction: float) -> float:
    """Return a request's position: all excess requests come before all others."""
    if request.is_excess:
        return request.draw * excess_fraction
    return excess_fraction + request.draw * (1 - excess_fraction)


def room_after_ms(loads: list[GateLoad], draw: float) -> float:
    """Return when there will be room: after the present wait of the median gate.

    The wait is what the gate's queue takes at its measured service time. Callers with a
    higher draw come back first, and all within twice that time, so that they do not
    arrive together.
    """
    waits_ms = sorted(load.wait_ms for load in loads if math.isfinite(load.wait_ms))
    wait_ms = max(RETRY_AFTER_MIN_MS, waits_ms[len(waits_ms) // 2])
    return wait_ms * (2 - draw)
