"""The slots of one backend server: how many there are, and which are taken."""

import math
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

__all__ = ["SlotAccount", "WorkEnd", "WorkKind", "ramped_slots"]

# Of the newest sample in the mean service time.
SAMPLE_SHARE = 0.1
ROUTES_MAX = 1000
# Time over which the load of each weight is averaged; some requests a second
# make it steady within it.
LOAD_MEMORY_S = 3.0
# A load of so much less than a slot still has that slot kept for it. One of under
# three tenths has none: of three slots, one kept for a fifth of a slot of filings
# stood empty for four fifths of the time while lookups were refused.
LOAD_ROUNDING = 0.7
# A measured load is off by some tenths of a slot: never believe that none is left.
PACE_SLOTS_MIN = 0.25
HOLD_MIN_S = 0.1
HOLD_MAX_S = 5.0


class WorkEnd(StrEnum):
    """What is known of the backend server's work when an attempt ends."""

    # Answered: done, and it shows how long a request takes.
    ANSWERED = "answered"
    # Done or never begun: refused, an error, a closed connection.
    DONE = "done"
    # It may still run.
    IN_DOUBT = "in_doubt"


class WorkKind(NamedTuple):
    """What kind of request takes a slot.

    Attributes
    ----------
    route_id : int
        Requests of one route take about the same time; 0 when unknown.
    """

    weight: float = 1.0
    route_id: int = 0


DEFAULT_KIND = WorkKind()


class _Loads:
    """How many slots the requests of each weight take, on average."""

    def __init__(self) -> None:
        self._busy_s: dict[float, float] = {}
        self._changed_s = 0.0

    def add(self, weight: float, ran_s: float, now_s: float) -> None:
        self._fade(now_s)
        self._busy_s[weight] = self._busy_s.get(weight, 0.0) + ran_s

    def above(self, weight: float, now_s: float) -> float:
        """Return the slots that heavier requests take."""
        self._fade(now_s)
        heavier = (busy_s for one, busy_s in self._busy_s.items() if one > weight)
        return sum(heavier) / LOAD_MEMORY_S

    def _fade(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._changed_s)
        self._changed_s = max(now_s, self._changed_s)
        fade = math.exp(-passed_s / LOAD_MEMORY_S)
        for weight in list(self._busy_s):
            self._busy_s[weight] *= fade
            if self._busy_s[weight] < 0.001:
                del self._busy_s[weight]


class SlotAccount:
    """Counts the work that a backend server has, as far as its gate can know.

    An attempt that ended without an answer (timed out, cancelled, broken)
    may still run at the backend server. Its slot stays taken for as long
    again as the attempt had run: without that, a backend server that hangs
    gets a new request for each one that timed out, far above its slots; for
    ever, and a backend server that lost one answer would never be full again.
    A backend server that honours cancellation or its deadline within that
    time never has more work than slots.

    Attributes
    ----------
    service_time_s : float
        Mean time of an answered request; 0 before the first.
    """

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self._running = 0
        self._running_by_weight: Counter[float] = Counter()
        self._loads = _Loads()
        self._route_time_s: dict[int, float] = {}
        self._held_until_s: list[float] = []

    def free(self, slots: int, now_s: float) -> int:
        """Return the free ones of `slots`; below 0 when they became fewer."""
        self._held_until_s = [end for end in self._held_until_s if end > now_s]
        return slots - self._running - len(self._held_until_s)

    def kept_for_heavier(self, weight: float, slots: int, now_s: float) -> int:
        """Return the free slots that a request must leave to heavier ones.

        Long light requests would fill all slots, and short heavy ones, which
        others wait for, come too late although they go first in the queue: a
        slot frees only when a long one ends. So the slots that heavier
        requests take on average are kept for them, half of all at most.
        """
        wanted = int(self._loads.above(weight, now_s) + LOAD_ROUNDING)
        running = sum(
            count for one, count in self._running_by_weight.items() if one > weight
        )
        return max(0, min(wanted, slots // 2) - running)

    def pace_slots(self, weight: float, slots: int, now_s: float) -> float:
        """Return the slots that serve requests of a weight and those lighter.

        The heavier ones that are to come go first, too. Told the queue of this
        moment alone, a light request waits at a gate whose slots heavier ones
        will always take, and is refused when its time is over.
        """
        return max(PACE_SLOTS_MIN, slots - self._loads.above(weight, now_s))

    def own_time_s(self, kind: WorkKind) -> float:
        """Return how long requests of a route take; 0 when unknown."""
        return self._route_time_s.get(kind.route_id, 0.0)

    def take(self, kind: WorkKind = DEFAULT_KIND) -> None:
        """Take one slot for an attempt."""
        self._running += 1
        self._running_by_weight[kind.weight] += 1

    def give_back(
        self,
        end: WorkEnd,
        ran_s: float,
        now_s: float,
        kind: WorkKind = DEFAULT_KIND,
    ) -> None:
        """End an attempt that ran for `ran_s`."""
        self._running -= 1
        self._running_by_weight[kind.weight] -= 1
        if not self._running_by_weight[kind.weight]:
            del self._running_by_weight[kind.weight]
        self._loads.add(kind.weight, ran_s, now_s)
        match end:
            case WorkEnd.IN_DOUBT:
                hold_s = min(max(ran_s, HOLD_MIN_S), HOLD_MAX_S)
                self._held_until_s.append(now_s + hold_s)
            case WorkEnd.ANSWERED:
                if not self.service_time_s:
                    self.service_time_s = ran_s
                self.service_time_s += SAMPLE_SHARE * (ran_s - self.service_time_s)
                self._learn_route(kind.route_id, ran_s)

    def _learn_route(self, route_id: int, ran_s: float) -> None:
        known_s = self._route_time_s.get(route_id)
        if known_s is None:
            if len(self._route_time_s) >= ROUTES_MAX:
                del self._route_time_s[next(iter(self._route_time_s))]
            known_s = ran_s
        self._route_time_s[route_id] = known_s + SAMPLE_SHARE * (ran_s - known_s)

    def next_change_s(self) -> float:
        """Return when the next held slot becomes free; infinity for none."""
        return min(self._held_until_s, default=math.inf)


def ramped_slots(slots: int, age_s: float, cold_start_s: float) -> int:
    """Return the slots that a backend server of this age is given.

    A cold backend server that gets its full share at once times out on most
    of it. It starts with one request and has all its slots after
    `cold_start_s`.
    """
    if age_s >= cold_start_s:
        return slots
    return max(1, int(slots * age_s / cold_start_s))
