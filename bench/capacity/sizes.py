"""The long-run size of the fleet, and the limits of a node and of the platform.

The capacity table is calculated for the long-run size. The limits `control_*` apply to
the control work of a node: membership and settings, without requests.
"""

from typing import NamedTuple

__all__ = ["LIMITS", "LONG_RUN", "FleetSize", "Limits"]


class FleetSize(NamedTuple):
    """Size of a fleet. The defaults are the long-run size.

    Attributes
    ----------
    changes_per_day : int
        Number of accepted settings changes per day.
    replacements_per_day : int
        Number of VMs with backend servers that are replaced per day.
    """

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
        """Number of backend servers attached to one node, rounded down."""
        return self.backend_servers // self.nodes

    def scaled(self, nodes: int) -> "FleetSize":
        """Return the size of a fleet with `nodes` nodes.

        The numbers of backend servers, services and routes are proportional to the
        number of nodes; at least one service and one route remain. All other numbers
        are unchanged.
        """
        fraction = nodes / self.nodes
        return self._replace(
            nodes=nodes,
            backend_servers=nodes * self.backend_servers_per_node,
            services=max(1, round(self.services * fraction)),
            routes=max(1, round(self.routes * fraction)),
        )


class Limits(NamedTuple):
    """Limits of the costs of one node.

    Limits named `platform_*` apply to the platform, which serves all nodes.
    """

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
