"""Distributes the requests of a route among several services by weight.

The method is smooth weighted round robin. In any sequence of requests, the number that
a service gets differs by at most one from the number that its weight yields. With
random draws, the difference would be about the square root of the number of requests.
Each node begins its round robin at a random point. If all nodes began with the same
service, it would get one request too many from each node.
"""

import random
import threading

import msgspec

from balsamspindle.settings.documents import RouteDocument, ServiceShare

__all__ = ["ServiceShares"]

# Maximum number of round robins in memory, one for each route. Beyond that number, the
# least recently used one is discarded.
ROUTES_MAX = 10_000


class _WeightedRoundRobin:
    """The round robin among one route's services."""

    def __init__(self, route: RouteDocument, rng: random.Random) -> None:
        self.shares: tuple[ServiceShare, ...] = route.shares
        self._total = sum(share.weight for share in route.shares)
        self._credits = [rng.random() * share.weight for share in route.shares]
        self._routes = [
            msgspec.structs.replace(route, service=share.service)
            for share in route.shares
        ]

    def next(self) -> RouteDocument:
        for index, share in enumerate(self.shares):
            self._credits[index] += share.weight
        chosen = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[chosen] -= self._total
        return self._routes[chosen]


class ServiceShares:
    """Chooses the services of all routes with shares at one ingress; thread-safe."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lock = threading.Lock()
        # Sorted by the time of their last use, the latest last.
        self._round_robins: dict[RouteDocument, _WeightedRoundRobin] = {}

    def choose(self, route: RouteDocument) -> RouteDocument:
        """Choose the service of a route's next request; return the route with it.

        A route without shares is returned as it is.
        """
        if not route.shares:
            return route
        with self._lock:
            round_robin = self._round_robins.pop(route, None) or _WeightedRoundRobin(
                route, self._random
            )
            self._round_robins[route] = round_robin
            if len(self._round_robins) > ROUTES_MAX:
                del self._round_robins[next(iter(self._round_robins))]
            return round_robin.next()
