"""Assigns one rank to all calls of a request, so that gates serve all or none.

While a backend server handles a request, it may send two or more requests of its own,
its calls, at the same time. If one of the calls fails, the backend server answers the
request with an error. All these calls arrive at the node beside the backend server, at
the same moment and with the same deadline. If the called service is overloaded, each
gate refuses some calls independently of other gates. Suppose that calls are made in
pairs, and that six of ten calls are served. Then both calls are served for only about
four of ten pairs (0.6 * 0.6 = 0.36). Ten pairs get about twelve answers, but only eight
of them belong to these four pairs. The other four answers, a third of the service's
work, are wasted.

The calls of one request therefore share a random rank, and every gate serves lower
ranks first. The calls of a request with a low rank are then all served. The calls of a
request with a high rank are all refused, so that no gate serves some of them in vain.
"""

import random
import threading

from balsamspindle.requests.forwarded import route_id
from balsamspindle.settings.documents import RouteDocument

__all__ = ["SiblingRanks"]

# Calls that arrive within this time of each other may have been made for one request.
# A backend server makes the calls for one request within 1 ms; the other 19 ms allow
# for delays on a shared CPU.
GROUPING_WINDOW_S = 0.02
# All calls that a backend server makes for one request have the deadline of that
# request. If the deadlines of two calls differ by more than this, the calls are made
# for different requests.
DEADLINE_TOLERANCE_S = 0.02
# A route's requests get ranks if at least this fraction of them arrive together with
# the route's previous request. For calls made in pairs, the fraction is a half. For
# independent requests of callers at one node, the fraction is almost 0. Independent
# requests get no ranks, so gates serve them by target time. Random ranks would change
# this order, and more requests would be late.
GROUPED_FRACTION_MIN = 0.25
# The fraction of requests that arrive together is an exponential moving average; this
# is the weight of the newest request. If the true fraction of a route changes, the
# average follows within about twenty requests.
SMOOTHING_FACTOR = 0.1
# Longest delay that a rank adds to a request's due time, as a multiple of the route's
# target time. The due time is the end of the target time plus the delay; gates serve
# requests by due time. If two requests of a route arrive further apart than the longest
# delay, they are served in order of arrival, whatever their ranks. The longest delay is
# therefore about the longest time that requests wait for a slot. If the longest delay
# were shorter, ranks would not change the order of most requests in a long queue.
RANK_SPREAD = 1.0
ROUTES_MAX = 1000


class _RouteState:
    """A route's last request, and its fraction of requests that arrive together.

    `grouped_fraction` is the average fraction of requests that got the rank of the
    route's previous request; `SMOOTHING_FACTOR` explains the average.
    """

    def __init__(self) -> None:
        self.arrived_s = float("-inf")
        self.deadline_s = 0.0
        self.rank = 0.0
        self.grouped_fraction = 0.0


class SiblingRanks:
    """Assigns random ranks to arriving requests: one rank to all calls of a request.

    A rank delays the due time of a request, and gates serve requests by due time. If a
    service is overloaded, its gates therefore serve all calls with a low rank and
    refuse all calls with a high rank. Thread-safe.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lock = threading.Lock()
        self._routes: dict[int, _RouteState] = {}

    def rank_ms(self, route: RouteDocument, deadline_s: float, now_s: float) -> float:
        """Return the delay in ms that an arriving request's rank adds to its due time.

        The rank is a random number from 0 to 1. The request gets the rank of the
        route's previous request if both arrive within `GROUPING_WINDOW_S` with the same
        deadline. These two requests are probably calls that a backend server made for
        one request. The delay is 0 if fewer than `GROUPED_FRACTION_MIN` of the route's
        requests arrive together with the previous one. `RANK_SPREAD` explains the due
        time. Each call updates the state of the route.

        Parameters
        ----------
        deadline_s : float
            The request's deadline, on the monotonic clock.
        """
        with self._lock:
            state = self._route_state(route_id(route))
            is_sibling = now_s - state.arrived_s <= GROUPING_WINDOW_S
            is_sibling &= abs(deadline_s - state.deadline_s) <= DEADLINE_TOLERANCE_S
            if not is_sibling:
                state.rank = self._random.random()
            state.arrived_s, state.deadline_s = now_s, deadline_s
            state.grouped_fraction += SMOOTHING_FACTOR * (
                is_sibling - state.grouped_fraction
            )
            if state.grouped_fraction < GROUPED_FRACTION_MIN:
                return 0.0
            return state.rank * RANK_SPREAD * route.target_ms

    def _route_state(self, number: int) -> _RouteState:
        if number not in self._routes and len(self._routes) >= ROUTES_MAX:
            del self._routes[next(iter(self._routes))]
        return self._routes.setdefault(number, _RouteState())
