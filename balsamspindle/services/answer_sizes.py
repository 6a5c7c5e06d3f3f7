"""How large the answers of each route are, as an ingress has seen them."""

import threading

from balsamspindle.settings.documents import RouteDocument

__all__ = ["AnswerSizes"]

# Of the newest answer in the mean.
SAMPLE_SHARE = 0.1
ROUTES_MAX = 10_000


class AnswerSizes:
    """The mean size of a route's answers; safe from all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._mean_bytes: dict[tuple[str, str], float] = {}

    def note(self, route: RouteDocument, size_bytes: int) -> None:
        """Take one answer."""
        key = _key(route)
        with self._lock:
            mean_bytes = self._mean_bytes.get(key)
            if mean_bytes is None:
                if len(self._mean_bytes) >= ROUTES_MAX:
                    del self._mean_bytes[next(iter(self._mean_bytes))]
                mean_bytes = size_bytes
            mean_bytes += SAMPLE_SHARE * (size_bytes - mean_bytes)
            self._mean_bytes[key] = mean_bytes

    def mean_bytes(self, route: RouteDocument) -> float:
        """Return the mean size; 0 before the first answer."""
        return self._mean_bytes.get(_key(route), 0.0)


def _key(route: RouteDocument) -> tuple[str, str]:
    return route.host, route.path_prefix
