"""Which route takes a request."""

from collections.abc import Iterable

import msgspec

from balsamspindle.requests.outcomes import Reason
from balsamspindle.settings.documents import RouteDocument

__all__ = ["ANY_HOST", "RouteTable"]

ANY_HOST = "*"


class RouteTable:
    """Routes by host, then by longest path prefix of whole segments.

    A look-up costs one dictionary access for each path segment, whatever the
    number of routes.
    """

    def __init__(self, routes: Iterable[RouteDocument]) -> None:
        self._routes: dict[tuple[str, str], list[RouteDocument]] = {}
        for route in routes:
            self._routes.setdefault(_key(route), []).append(route)
        for key, known in self._routes.items():
            self._routes[key] = _ordered(known)

    def changed(
        self, removed: Iterable[RouteDocument], added: Iterable[RouteDocument]
    ) -> "RouteTable":
        """Return a table with some routes replaced; it shares the others."""
        table = RouteTable(())
        table._routes = dict(self._routes)
        for route in removed:
            key = _key(route)
            left = [known for known in table._routes[key] if known is not route]
            table._routes[key] = left
            if not left:
                del table._routes[key]
        for route in added:
            key = _key(route)
            table._routes[key] = _ordered([*table._routes.get(key, ()), route])
        return table

    def find(self, host: str, path: str, method: str) -> RouteDocument | Reason:
        """Return the route, or why there is none."""
        reason = Reason.NO_ROUTE
        host = host.partition(":")[0].lower()
        for known_host in (host, ANY_HOST):
            for prefix in _prefixes(path):
                for route in self._routes.get((known_host, prefix), ()):
                    if method in route.methods:
                        return route
                    reason = Reason.METHOD_NOT_ALLOWED
        return reason


def _key(route: RouteDocument) -> tuple[str, str]:
    return route.host.lower(), _normal_prefix(route.path_prefix)


def _ordered(routes: list[RouteDocument]) -> list[RouteDocument]:
    """Order routes that take the same requests.

    Nodes meet changes in one go or one by one. An order of arrival would let
    two nodes at the same revision send the same request to different services.
    """
    return routes if len(routes) == 1 else sorted(routes, key=msgspec.json.encode)


def _normal_prefix(prefix: str) -> str:
    return prefix.rstrip("/")


def _prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path, whole segments, longest first."""
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix.rpartition("/")[0]
    yield ""
