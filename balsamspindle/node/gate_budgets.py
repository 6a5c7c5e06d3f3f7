"""Computes a gate's portion of the retries that the whole fleet may make."""

from collections.abc import Callable

import msgspec

from balsamspindle.backend_servers.retry_window import WINDOW_S
from balsamspindle.membership import Directory
from balsamspindle.membership.recent_max import RecentMax
from balsamspindle.settings.documents import RetryBudget, ServiceDocument

__all__ = ["GateBudgets"]


class GateBudgets:
    """Divides each service's retry budget equally among the service's gates.

    Parameters
    ----------
    service_document : callable
        Returns the settings of a service that are in force.
    """

    def __init__(
        self,
        directory: Directory,
        service_document: Callable[[str], ServiceDocument],
    ) -> None:
        self._directory = directory
        self._service_document = service_document
        # Largest recent number of gates of each service. A gate that has ended or
        # become unreachable may have granted its portion within the current window. The
        # gate is therefore counted until the window has passed.
        self._gate_counts: dict[str, RecentMax] = {}

    def retry_budget(self, service: str, now_s: float) -> RetryBudget:
        """Return a service's retry budget with this gate's portion of the retries."""
        budget = self._service_document(service).retry_budget
        if not budget.fleet_per_s_min:
            return budget
        portion = budget.fleet_per_s_min / max(1.0, self._count_gates(service, now_s))
        return msgspec.structs.replace(budget, fleet_per_s_min=portion)

    def _count_gates(self, service: str, now_s: float) -> float:
        gates = self._directory.placements(service)
        recent = self._gate_counts.setdefault(service, RecentMax(WINDOW_S))
        recent.record(len({gate.node.node_id for gate in gates}), now_s)
        return recent.value(now_s)
