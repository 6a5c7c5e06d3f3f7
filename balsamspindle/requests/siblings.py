"""Gives the calls of one request a common rank: gates serve all of them or none.

While it handles a request, a backend server may make two or more calls of its own at
the same time, and answers with an error when one of them fails. All these calls arrive
at the node beside the backend server, at the same moment and with the same deadline. If
the called service is overloaded, each gate refuses some calls independently: when calls
come in pairs and six of ten calls are served, only four of ten pairs are served
completely, and a third of the service's work is wasted.

The calls of one request therefore share a random rank. Every gate serves lower ranks
first: a request whose first call is served gets its other calls served as well, and a
request that can't be served fails at its first call.
"""

import random
import threading

from balsamspindle.requests.forwarded import route_id
from balsamspindle.settings.documents import RouteDocument

__all__ = ["SiblingRanks"]

# Calls that arrive within this time of each other may belong to one request. The calls
# of one request are made within 1 ms; the other 19 ms allow for delays on a shared CPU.
TOGETHER_S = 0.02
# Calls whose deadlines differ by more than this belong to different requests, as all
# calls of one request have the deadline of that request.
SAME_DEADLINE_S = 0.02
# Requests of a route are ranked if at least this fraction of them arrive together with
# the previous request. Half of the calls made in pairs do, and almost none of the
# callers' requests at one node. Requests without ranks are served by deadline, and
# fewer of them are late.
GROUPED_FRACTION_MIN = 0.25
# Weight of the newest request in the fraction of requests that arrive together, an
# exponential moving average. If a route's requests change, the average follows within
# about twenty requests.
SMOOTHING_FACTOR = 0.1
# Difference between the due times of requests with the highest and the lowest rank, as
# a multiple of the route's target time. It is about the longest time that requests wait
# for a slot. With a smaller spread, requests that arrived far apart are served in order
# of arrival, and the longer the queue is, the less the ranks decide.
RANK_SPREAD = 1.0
ROUTES_MAX = 1000


class _Route:
    """The last request of a route, and how often its requests arrive together."""

    def __init__(self) -> None:
        self.arrived_s = float("-inf")
        self.deadline_s = 0.0
        self.rank = 0.0
        self.grouped_fraction = 0.0


class SiblingRanks:
    """Assigns ranks to the requests that arrive at one node; thread-safe."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lock = threading.Lock()
        self._routes: dict[int, _Route] = {}

    def rank_ms(self, route: RouteDocument, deadline_s: float, now_s: float) -> float:
        """Return the delay that an arriving request's rank adds to its due time.

        Gates sort their queues by due time. 0 if the route's requests are not ranked.

        Parameters
        ----------
        deadline_s : float
            The request's deadline, on the monotonic clock.
        """
        with self._lock:
            last = self._last_of(route_id(route))
            is_sibling = now_s - last.arrived_s <= TOGETHER_S
            is_sibling &= abs(deadline_s - last.deadline_s) <= SAME_DEADLINE_S
            if not is_sibling:
                last.rank = self._random.random()
            last.arrived_s, last.deadline_s = now_s, deadline_s
            last.grouped_fraction += SMOOTHING_FACTOR * (
                is_sibling - last.grouped_fraction
            )
            if last.grouped_fraction < GROUPED_FRACTION_MIN:
                return 0.0
            return last.rank * RANK_SPREAD * route.target_ms

    def _last_of(self, number: int) -> _Route:
        if number not in self._routes and len(self._routes) >= ROUTES_MAX:
            del self._routes[next(iter(self._routes))]
        return self._routes.setdefault(number, _Route())
