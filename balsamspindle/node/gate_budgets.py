"""A gate's part of the retries that a whole fleet may make."""

from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.retry_window import WINDOW_S
from balsamspindle.membership import Directory
from balsamspindle.membership.recent_max import RecentMax
from balsamspindle.settings.documents import RetryBudget, ServiceDocument

__all__ = ["GateBudgets"]


class GateBudgets:
    """Divides each service's retries among the nodes that have its gates.

    Parameters
    ----------
    service_document : callable
        Returns the settings in force of a service.
    """

    def __init__(
        self,
        directory: Directory,
        service_document: Callable[[str], ServiceDocument],
    ) -> None:
        self._directory = directory
        self._service_document = service_document
        # A gate that is gone, or that this node was cut off from, may have
        # granted its part within this window; it counts until that has passed.
        self._gates: dict[str, RecentMax] = {}

    def part(self, service: str, now_s: float) -> RetryBudget:
        """Return the budget of a service with this gate's part of the fleet's."""
        budget = self._service_document(service).retry_budget
        if not budget.fleet_per_s_min:
            return budget
        part = budget.fleet_per_s_min / max(1.0, self._count(service, now_s))
        return msgspec.structs.replace(budget, fleet_per_s_min=part)

    def _count(self, service: str, now_s: float) -> float:
        places = self._directory.placements(service)
        recent = self._gates.setdefault(service, RecentMax(WINDOW_S))
        recent.record(len({place.node.node_id for place in places}), now_s)
        return recent.value(now_s)
