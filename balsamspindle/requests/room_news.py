"""What an ingress knows of the room of services, and whom it refuses for want of it."""

import math
import threading
from collections import OrderedDict

from balsamspindle.requests.admission_levels import (
    GATES_MIN,
    KindLevels,
    LevelDecision,
    RankedRequest,
    decide,
    room_after_ms,
)
from balsamspindle.wire import GateLoad

__all__ = ["CustomerUse", "RoomNews"]

# News of a gate's load counts for this long. A queue changes within the run time of one
# or two requests; with older news, room that has returned would stay unused.
NEWS_VALID_S = 1.0
# Time constant of the fractions of requests that are admitted, or an excess.
AVERAGING_S = 2.0
# Time constants of a customer's present and usual rate.
PRESENT_S, USUAL_S = 3.0, 300.0
# A customer that sends more than this many times its usual rate has an excess: all that
# is beyond its usual rate. Rates of a few requests a second vary by a factor of two.
EXCESS_FACTOR = 3.0
# Fraction of an excess that counts towards the usual rate. If all of it counted, a
# customer that sends too much would be taken for a usual one within seconds.
EXCESS_LEARNED = 0.1
# A customer with fewer recent requests than this has no excess.
RECENT_MIN = 5.0
CUSTOMERS_MAX = 10_000


class _Average:
    """A moving average whose weight decays with time."""

    def __init__(self, initial: float, averaging_s: float) -> None:
        self._averaging_s = averaging_s
        self._initial = initial
        self._sum = self._count = 0.0
        self._updated_s = 0.0

    def add(self, value: float, now_s: float) -> None:
        decay = math.exp(-max(0.0, now_s - self._updated_s) / self._averaging_s)
        self._sum = self._sum * decay + value
        self._count = self._count * decay + 1
        self._updated_s = max(now_s, self._updated_s)

    def value(self) -> float:
        return self._sum / self._count if self._count else self._initial


class CustomerUse:
    """Present and usual request rates of the customers of one ingress."""

    def __init__(self) -> None:
        # By customer: decayed counts of its requests, and when they were updated.
        self._counts: OrderedDict[str, tuple[float, float, float]] = OrderedDict()
        self._since_s: float | None = None

    def record(self, customer: str, now_s: float) -> float:
        """Count a request; return the fraction of its customer's that is an excess."""
        if not customer:
            return 0.0
        present, usual, updated_s = self._counts.pop(customer, (0.0, 0.0, now_s))
        elapsed_s = max(0.0, now_s - updated_s)
        present = present * math.exp(-elapsed_s / PRESENT_S) + 1
        usual = usual * math.exp(-elapsed_s / USUAL_S)
        excess = self._excess(present, usual + 1, now_s)
        usual += 1 - (1 - EXCESS_LEARNED) * excess
        self._counts[customer] = present, usual, now_s
        if len(self._counts) > CUSTOMERS_MAX:
            self._counts.popitem(last=False)
        return excess

    def _excess(self, present: float, usual: float, now_s: float) -> float:
        if self._since_s is None:
            self._since_s = now_s
        known_s = now_s - self._since_s
        factor = _rate(present, PRESENT_S, known_s) / _rate(usual, USUAL_S, known_s)
        if present < RECENT_MIN or factor <= EXCESS_FACTOR:
            return 0.0
        return 1 - 1 / factor


def _rate(count: float, averaging_s: float, known_s: float) -> float:
    """Return the rate of a decayed count whose first events are `known_s` old."""
    return count / max(1.0, averaging_s * (1 - math.exp(-known_s / averaging_s)))


class _ServiceRoom:
    """News of one service's gates, and the decisions that were made with them."""

    def __init__(self) -> None:
        self.loads: dict[str, tuple[GateLoad, float]] = {}
        self.levels = KindLevels(NEWS_VALID_S)
        self.admitted = _Average(1.0, AVERAGING_S)
        self.excess = _Average(0.0, AVERAGING_S)
        self.customers = CustomerUse()
        self.level = 0.0

    def discard_old(self, now_s: float) -> None:
        self.loads = {
            server_id: (load, at_s)
            for server_id, (load, at_s) in self.loads.items()
            if now_s - at_s <= NEWS_VALID_S
        }


class RoomNews:
    """Records gates' loads and decides who is refused; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._services: dict[str, _ServiceRoom] = {}

    def record(
        self,
        service: str,
        backend_server_id: str,
        load: GateLoad | None,
        is_held_out: bool,
        now_s: float,
    ) -> None:
        """Record the load that a gate told, if it told any.

        The free slots of a backend server that is held out are no room: a sick one that
        fails all requests at once has all of its slots free.
        """
        if load is None:
            return
        with self._lock:
            room = self._services.setdefault(service, _ServiceRoom())
            if is_held_out:
                room.loads.pop(backend_server_id, None)
            else:
                room.loads[backend_server_id] = load, now_s

    def decide(
        self, service: str, customer: str, request: RankedRequest, now_s: float
    ) -> LevelDecision:
        """Return whether a request is refused at once, and record the decision."""
        with self._lock:
            room = self._services.setdefault(service, _ServiceRoom())
            room.discard_old(now_s)
            excess_fraction = room.customers.record(customer, now_s)
            # The draw's lower bits decide which of a customer's requests are its
            # excess, independently of their position.
            is_excess = (request.draw * 1024) % 1 < excess_fraction
            room.excess.add(is_excess, now_s)
            decision = decide(
                request._replace(is_excess=is_excess),
                [load for load, _ in room.loads.values()],
                room.levels,
                room.admitted.value(),
                room.excess.value(),
                now_s,
            )
            room.admitted.add(not decision.is_refused, now_s)
            room.level = decision.level
            return decision

    def room_after_ms(self, service: str, draw: float, now_s: float) -> float | None:
        """Return when a service will have room; None if too few gates told it."""
        with self._lock:
            room = self._services.get(service)
            if room is None:
                return None
            room.discard_old(now_s)
            if len(room.loads) < GATES_MIN:
                return None
            return room_after_ms([load for load, _ in room.loads.values()], draw)

    def is_busy(self, service: str, now_s: float) -> bool:
        """Return whether most gates that told their load lately have no free slot."""
        with self._lock:
            room = self._services.get(service)
            if room is None:
                return False
            room.discard_old(now_s)
            full = sum(load.free_slots == 0 for load, _ in room.loads.values())
            return full > len(room.loads) / 2

    def levels(self) -> dict[str, float]:
        """Return the latest level of each service."""
        with self._lock:
            return {name: room.level for name, room in self._services.items()}
