"""Which route takes a request."""

from collections.abc import Iterable

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
            key = (route.host.lower(), _normal_prefix(route.path_prefix))
            self._routes.setdefault(key, []).append(route)

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


def _normal_prefix(prefix: str) -> str:
    return prefix.rstrip("/")


def _prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path, whole segments, longest first."""
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix.rpartition("/")[0]
    yield ""
