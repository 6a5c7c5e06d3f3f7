"""The long-run size and what a node may spend on control."""

from typing import NamedTuple

__all__ = ["LIMITS", "LONG_RUN", "FleetSize", "Limits"]


class FleetSize(NamedTuple):
    """How large a fleet is."""

    nodes: int = 5_600
    backend_servers: int = 140_000
    services: int = 6_500
    routes: int = 49_000
    customers: int = 910_000
    regions: int = 7
    availability_zones: int = 23
    requests_per_s: int = 1_800_000
    changes_per_day: int = 45_000
    replacements_per_day: int = 45_000

    @property
    def backend_servers_per_node(self) -> int:
        """Backend servers beside one node."""
        return self.backend_servers // self.nodes

    def scaled(self, nodes: int) -> "FleetSize":
        """Return a fleet of the same shape with fewer nodes."""
        share = nodes / self.nodes
        return self._replace(
            nodes=nodes,
            backend_servers=nodes * self.backend_servers_per_node,
            services=max(1, round(self.services * share)),
            routes=max(1, round(self.routes * share)),
        )


class Limits(NamedTuple):
    """What one node may spend, and what the platform gives in all."""

    control_cpu_percent: float = 2.0
    memory_mb: float = 256.0
    control_bytes_per_s: float = 9_000.0
    in_force_s: float = 3.0
    added_latency_p99_ms: float = 1.7
    requests_per_s_per_node: float = 320.0
    platform_reads_per_s: float = 2_000.0
    platform_writes_per_s: float = 300.0
    connections_per_node: int = 400


LONG_RUN = FleetSize()
LIMITS = Limits()
