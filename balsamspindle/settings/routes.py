"""Finds the route of a request by host, path and method."""

import sys
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.documents import RouteDocument

__all__ = ["ANY_HOST", "MethodNotAllowed", "RouteTable"]

ANY_HOST = "*"


class MethodNotAllowed(NamedTuple):
    """There are routes for the request's host and path, but not for its method.

    `methods` are the methods of these routes.
    """

    methods: tuple[str, ...]


class RouteTable:
    """Routes by host, then by the longest path prefix of whole segments.

    A look-up takes up to two dictionary accesses per path segment, however many
    routes there are.
    """

    def __init__(self, routes: Iterable[RouteDocument]) -> None:
        self._routes: dict[tuple[str, str], list[RouteDocument]] = {}
        for route in routes:
            self._routes.setdefault(_key(route), []).append(route)
        for key, known in self._routes.items():
            self._routes[key] = _sort_by_content(known)

    def with_changes(
        self, removed: Iterable[RouteDocument], added: Iterable[RouteDocument]
    ) -> "RouteTable":
        """Return a new table without the routes `removed` and with those `added`.

        The new table shares all other routes with this table.
        """
        table = RouteTable(())
        table._routes = dict(self._routes)
        for route in removed:
            key = _key(route)
            remaining = [known for known in table._routes[key] if known is not route]
            table._routes[key] = remaining
            if not remaining:
                del table._routes[key]
        for route in added:
            key = _key(route)
            table._routes[key] = _sort_by_content([*table._routes.get(key, ()), route])
        return table

    def find(
        self, host: str, path: str, method: str
    ) -> RouteDocument | MethodNotAllowed | Reason:
        """Return the route of a request, or why there is none.

        Routes that name the host take precedence over routes for ``*``, and then
        longer path prefixes over shorter ones. The method is compared only after the
        prefix was selected. So a request with a method that the prefix does not allow
        is never routed by a shorter prefix, which may belong to another team.
        """
        for known_host in (_host_name(host), ANY_HOST):
            for prefix in _prefixes(path):
                routes = self._routes.get((known_host, prefix))
                if routes is not None and path == prefix:
                    routes = [route for route in routes if not _ends_in_slash(route)]
                if routes:
                    return _select_method(routes, method)
        return Reason.NO_ROUTE


def _ends_in_slash(route: RouteDocument) -> bool:
    """Return whether a route's prefix, such as ``/a/``, does not match ``/a``."""
    return len(route.path_prefix) > 1 and route.path_prefix.endswith("/")


def _select_method(
    routes: list[RouteDocument], method: str
) -> RouteDocument | MethodNotAllowed:
    for route in routes:
        if method in route.methods:
            return route
    methods = {method: None for route in routes for method in route.methods}
    return MethodNotAllowed(tuple(methods))


def _host_name(host: str) -> str:
    """Return the lower-case host name of a Host header, without port or final dot."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].rstrip(".").lower()


def _key(route: RouteDocument) -> tuple[str, str]:
    # Interned, so that all routes of a host share one string.
    return sys.intern(route.host.lower()), _normal_prefix(route.path_prefix)


def _sort_by_content(routes: list[RouteDocument]) -> list[RouteDocument]:
    """Return routes with equal host and prefix, sorted by their JSON encoding.

    The first route that allows the method is used. Nodes may receive changes together
    or one by one; if routes were kept in the order of arrival, two nodes at the same
    revision could send the same request to different services.
    """
    return routes if len(routes) == 1 else sorted(routes, key=msgspec.json.encode)


def _normal_prefix(prefix: str) -> str:
    return prefix.rstrip("/")


def _prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path that end with a whole segment, longest first."""
    prefix = path.rstrip("/")
    while prefix:
        yield prefix
        prefix = prefix.rpartition("/")[0]
    yield ""
