"""How soon an accepted change is in force on all nodes, by their number.

Real processes, as many as the machine honestly carries. News goes from node to
node, so the time grows with the number of hops, the logarithm of the nodes.
"""

import math

from bench.capacity.sizes import LONG_RUN
from bench.capacity.slopes import fit_line
from bench.settings import spread

__all__ = ["measure"]

NODES = (4, 8, 16, 24)


def measure() -> dict[str, float]:
    """Return times from acceptance to in force, and the line through them."""
    reports = [spread(nodes) for nodes in NODES]
    figures: dict[str, float] = {"measured_nodes": NODES[-1]}
    for name in ("each_node", "last_node"):
        points = [
            (math.log(report["nodes"]), report["polled"][name]["p99_ms"])
            for report in reports
        ]
        line = fit_line(points)
        figures[f"{name}_p99_ms"] = points[-1][1]
        figures[f"{name}_p99_ms_per_tenfold"] = line.slope * math.log(10)
        figures[f"{name}_p99_ms_at_long_run"] = line.at(math.log(LONG_RUN.nodes))
    for report in reports:
        polled = report["polled"]
        figures[f"last_node_p50_ms_of_{report['nodes']}"] = polled["last_node"][
            "p50_ms"
        ]
        figures[f"last_node_p99_ms_of_{report['nodes']}"] = polled["last_node"][
            "p99_ms"
        ]
        reads = report["idle"]["platform_reads_per_s"]
        figures[f"idle_reads_per_s_of_{report['nodes']}"] = reads
    figures["changes"] = reports[0]["polled"]["last_node"]["count"]
    return figures
