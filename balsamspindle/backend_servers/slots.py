"""Accounting of one backend server's slots: how many there are and which are in use."""

import math
from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.backend_servers.decaying_sums import DecayingSums

__all__ = ["SlotAccount", "WorkEnd", "WorkKind", "ramped_slots"]

# Weight of the newest sample in the moving averages of service times.
SERVICE_TIME_SMOOTHING = 0.1
ROUTES_MAX = 1000
# Time constant of the moving averages of the slots that the requests of each weight
# occupy (their load). It is long enough for a steady average at a few requests per
# second.
LOAD_AVERAGING_S = 3.0
# The number of slots reserved for heavier requests is the average number that they
# occupy (their load) plus this value, rounded down. A load of 1.3 reserves two slots, a
# load of 1.2 only one. Reserving one of three slots for a load of 0.2 would leave that
# slot idle for 80% of the time while lighter requests are refused.
LOAD_ROUNDING = 0.7
# Slots that `reserved_while_used` reserves are given up this long after the last run of
# a heavier request. Parents start all the time, so their calls come within a second of
# each other. By the average load alone, a slot would be kept for up to four seconds.
RESERVED_IDLE_MAX_S = 1.0
# A run of at most this fraction of the time of the longest route counts as short. It
# leaves no slot to heavier requests, because its own slot is free again soon enough.
SHORT_RUN_FRACTION = 0.5
# Heavier requests are assumed to leave at least this many slots to lighter requests.
# The expected wait of a lighter request is inversely proportional to the number of
# slots that the average load of heavier requests leaves. The average load is accurate
# only to a few tenths of a slot. Without this minimum, the expected wait would be far
# too long, infinite or negative if the average load is close to the number of slots or
# above it.
EFFECTIVE_SLOTS_MIN = 0.25
# Bounds of the time for which a slot stays occupied after `WorkEnd.IN_DOUBT`.
RELEASE_DELAY_MIN_S = 0.1
RELEASE_DELAY_MAX_S = 5.0


class WorkEnd(StrEnum):
    """Whether the backend server may still be working on an attempt that ended."""

    # Finished with an answer; its duration counts as a service time.
    ANSWERED = "answered"
    # The backend server does not work on the attempt any more, or never did. It refused
    # the request or answered with an error, or the connection failed or broke.
    DONE = "done"
    # The backend server may still be working on the attempt.
    IN_DOUBT = "in_doubt"


class WorkKind(NamedTuple):
    """The kind of request that occupies a slot.

    Attributes
    ----------
    route_id : int
        Id of the route, whose requests have similar service times; 0 when unknown.
    is_call : bool
        Whether a run waits for the request's answer.
    """

    weight: float = 1.0
    route_id: int = 0
    is_call: bool = False


DEFAULT_KIND = WorkKind()


class SlotAccount:
    """Counts the slots of a backend server that are, or may still be, in use.

    An attempt that ended without an answer (timed out or cancelled) may still run at
    the backend server. Its slot therefore stays occupied for as long again as the
    attempt has run, within `RELEASE_DELAY_MIN_S` and `RELEASE_DELAY_MAX_S`. If the slot
    were freed at once, a hanging backend server would get a new request for each one
    that timed out. It would soon run far more requests than it has slots. If the slot
    were never freed, the backend server would permanently lose a slot with each lost
    answer. A backend server that stops work on a cancelled or late request within this
    delay never runs more requests than it has slots.

    Attributes
    ----------
    service_time_s : float
        Mean service time of answered requests; 0 before the first.
    """

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self._running = 0
        self._running_by_weight: Counter[float] = Counter()
        self._loads = DecayingSums(LOAD_AVERAGING_S)
        self._call_loads = DecayingSums(LOAD_AVERAGING_S)
        # By weight, when the last run ended.
        self._last_ends_s: dict[float, float] = {}
        self._route_time_s: dict[int, float] = {}
        self._delayed_releases_s: list[float] = []

    def free(self, slots: int, now_s: float) -> int:
        """Return how many of `slots` are free; negative if `slots` was reduced."""
        self._delayed_releases_s = [
            end for end in self._delayed_releases_s if end > now_s
        ]
        return slots - self._running - len(self._delayed_releases_s)

    def reserved_for_heavier(self, weight: float, slots: int, now_s: float) -> int:
        """Return how many free slots a request must leave to heavier requests.

        If no slots were reserved, long light requests could occupy all of them. No slot
        would become free before a long request ends. Short heavy requests would then be
        too late although they are first in the queue, and other requests may depend on
        their answers. Therefore the slots that heavier requests occupy on average are
        reserved for heavier requests, up to half of all slots.
        """
        reserved = min(_average_slots(self._loads, weight, now_s), slots // 2)
        return max(0, reserved - self._running_heavier(weight))

    def reserved_while_used(self, kind: WorkKind, slots: int, now_s: float) -> int:
        """Return how many free slots a request must leave to heavier ones that come.

        Like `reserved_for_heavier`, with three differences. For calls, up to all slots
        except one are reserved, because the runs that wait for them are lost without
        them. Slots are reserved only while heavier requests use them: none is reserved
        `RESERVED_IDLE_MAX_S` after the last run of a heavier request. Short requests
        leave no slot.
        """
        if 0 < self.route_time_s(kind) <= SHORT_RUN_FRACTION * self._longest_time_s():
            return 0
        running = self._running_heavier(kind.weight)
        last_end_s = max(
            (
                end_s
                for other, end_s in self._last_ends_s.items()
                if other > kind.weight
            ),
            default=-math.inf,
        )
        if not running and now_s - last_end_s > RESERVED_IDLE_MAX_S:
            return 0
        for_all = _average_slots(self._loads, kind.weight, now_s)
        for_calls = _average_slots(self._call_loads, kind.weight, now_s)
        reserved = max(min(for_all, slots // 2), min(for_calls, slots - 1))
        return max(0, reserved - running)

    def _running_heavier(self, weight: float) -> int:
        return sum(
            count for other, count in self._running_by_weight.items() if other > weight
        )

    def _longest_time_s(self) -> float:
        return max(self._route_time_s.values(), default=0.0)

    def effective_slots(self, weight: float, slots: int, now_s: float) -> float:
        """Return the average number of slots not occupied by heavier requests.

        A request is heavier if its weight is above `weight`. The result is used to
        estimate how long a light request, one of this weight, waits. Heavier requests
        that arrive after the light request also start before it. An estimate from the
        present queue alone would ignore these heavier requests. If they always occupy
        all slots of a gate, the light request would wait there until its deadline.
        """
        return max(
            EFFECTIVE_SLOTS_MIN,
            slots - self._loads.heavier_than(weight, now_s) / LOAD_AVERAGING_S,
        )

    def route_time_s(self, kind: WorkKind) -> float:
        """Return the mean service time of the kind's route; 0 when unknown."""
        return self._route_time_s.get(kind.route_id, 0.0)

    def acquire(self, kind: WorkKind = DEFAULT_KIND) -> None:
        """Occupy one slot for an attempt."""
        self._running += 1
        self._running_by_weight[kind.weight] += 1

    def release(
        self,
        end: WorkEnd,
        ran_s: float,
        now_s: float,
        kind: WorkKind = DEFAULT_KIND,
    ) -> None:
        """Free the slot of an attempt that ran for `ran_s`.

        After `WorkEnd.IN_DOUBT` the slot stays occupied for a while; see `SlotAccount`.
        """
        self._running -= 1
        self._running_by_weight[kind.weight] -= 1
        if not self._running_by_weight[kind.weight]:
            del self._running_by_weight[kind.weight]
        self._loads.add(kind.weight, ran_s, now_s)
        if kind.is_call:
            self._call_loads.add(kind.weight, ran_s, now_s)
        self._record_end(kind.weight, now_s)
        match end:
            case WorkEnd.IN_DOUBT:
                delay_s = min(max(ran_s, RELEASE_DELAY_MIN_S), RELEASE_DELAY_MAX_S)
                self._delayed_releases_s.append(now_s + delay_s)
            case WorkEnd.ANSWERED:
                if not self.service_time_s:
                    self.service_time_s = ran_s
                self.service_time_s += SERVICE_TIME_SMOOTHING * (
                    ran_s - self.service_time_s
                )
                self._update_route_time(kind.route_id, ran_s)

    def _record_end(self, weight: float, now_s: float) -> None:
        self._last_ends_s.pop(weight, None)
        self._last_ends_s[weight] = now_s
        if len(self._last_ends_s) > ROUTES_MAX:
            del self._last_ends_s[next(iter(self._last_ends_s))]

    def _update_route_time(self, route_id: int, ran_s: float) -> None:
        known_s = self._route_time_s.get(route_id)
        if known_s is None:
            if len(self._route_time_s) >= ROUTES_MAX:
                del self._route_time_s[next(iter(self._route_time_s))]
            known_s = ran_s
        self._route_time_s[route_id] = known_s + SERVICE_TIME_SMOOTHING * (
            ran_s - known_s
        )

    def delayed_releases_s(self) -> tuple[float, ...]:
        """Return when the slots of unanswered attempts are freed, as of `free`."""
        return tuple(self._delayed_releases_s)

    def next_delayed_release_s(self) -> float:
        """Return when the next slot of an unanswered attempt is freed.

        Infinity if no unanswered attempt occupies a slot. `SlotAccount` describes why
        these slots stay occupied for a while.
        """
        return min(self._delayed_releases_s, default=math.inf)


def _average_slots(loads: DecayingSums, weight: float, now_s: float) -> int:
    """Return the average number of slots that heavier requests occupy, rounded."""
    return int(loads.heavier_than(weight, now_s) / LOAD_AVERAGING_S + LOAD_ROUNDING)


def ramped_slots(slots: int, age_s: float, cold_start_s: float) -> int:
    """Return how many slots may be used at a backend server of this age.

    The number rises from one slot at the start to all slots after `cold_start_s`. A
    backend server that gets its full load directly after its start does not answer most
    of the requests in time.
    """
    if age_s >= cold_start_s:
        return slots
    return max(1, int(slots * age_s / cold_start_s))
