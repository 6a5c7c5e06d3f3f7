"""Which service of a route that several share gets the next request.

Smooth weighted round robin: over any run of requests each service's count
stays within one of its share, where random draws would be off by the square
root of the run. A fleet of nodes each with a turn of its own would still be
off together if all began with the same service, so each node begins at a
random point of the turn.
"""

import random
import threading

import msgspec

from balsamspindle.settings.documents import RouteDocument, ServiceShare

__all__ = ["ServiceShares"]

# Routes whose turns are kept; one that was not used for the longest goes.
ROUTES_MAX = 10_000


class _Turn:
    """The turn of one route's services."""

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
    """The turns of all shared routes at one ingress; safe from all threads."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._lock = threading.Lock()
        self._turns: dict[RouteDocument, _Turn] = {}

    def choose(self, route: RouteDocument) -> RouteDocument:
        """Return the route with the one service that this request goes to."""
        if not route.shares:
            return route
        with self._lock:
            turn = self._turns.pop(route, None) or _Turn(route, self._random)
            # The newest last.
            self._turns[route] = turn
            if len(self._turns) > ROUTES_MAX:
                del self._turns[next(iter(self._turns))]
            return turn.next()
