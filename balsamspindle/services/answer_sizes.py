"""Averages the sizes of each route's answers at one ingress."""

import threading

from balsamspindle.settings.documents import RouteDocument

__all__ = ["AnswerSizes"]

# Weight of the newest answer in the moving average.
NEWEST_WEIGHT = 0.1
ROUTES_MAX = 10_000


class AnswerSizes:
    """One exponential moving average of answer sizes for each route; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._mean_bytes: dict[tuple[str, str], float] = {}

    def record(self, route: RouteDocument, size_bytes: int) -> None:
        """Add the size of one answer to the average of its route."""
        key = _key(route)
        with self._lock:
            mean_bytes = self._mean_bytes.get(key)
            if mean_bytes is None:
                if len(self._mean_bytes) >= ROUTES_MAX:
                    del self._mean_bytes[next(iter(self._mean_bytes))]
                mean_bytes = size_bytes
            mean_bytes += NEWEST_WEIGHT * (size_bytes - mean_bytes)
            self._mean_bytes[key] = mean_bytes

    def mean_bytes(self, route: RouteDocument) -> float:
        """Return the average size of a route's answers; 0 before its first answer."""
        return self._mean_bytes.get(_key(route), 0.0)


def _key(route: RouteDocument) -> tuple[str, str]:
    return route.host, route.path_prefix
