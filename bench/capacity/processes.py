"""Memory, threads, open files and processor time per request of node processes."""

import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from bench.capacity.memory import resident_bytes
from bench.capacity.sizes import LIMITS
from bench.paced_calls import PacedCalls, Target
from bench.process_time import cpu_s
from tests.utils import Fleet, NodeProgram

__all__ = ["measure"]

CONNECTIONS = 400
LOAD_CONNECTIONS = 8
IDLE_S = 5.0
LOAD_S = 8.0
SERVICE = "crew/board"
SETTINGS = {
    "crew/services/board": {},
    "crew/routes/board": {"service": SERVICE, "execution": "idempotent"},
}


def measure() -> dict[str, float]:
    """Start two nodes, an ingress and a gate, and return their costs.

    Memory, threads and open files are those of the ingress alone.
    """
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.put_settings(SETTINGS)
        gate = fleet.start_node("gate-0", "zone-0")
        ingress = fleet.start_node("ingress-0", "zone-1")
        server = fleet.start_backend("board-0", SERVICE, gate, slots=50)
        fleet.wait_ready([gate, ingress], ["board-0"])
        figures = _measure_idle(ingress)
        figures.update(_measure_requests(ingress, gate, server.address))
        figures.update(_measure_connections(ingress))
        return figures


def _count_threads(node: NodeProgram) -> int:
    return len(list(Path(f"/proc/{node.process.pid}/task").iterdir()))


def _count_files(node: NodeProgram) -> int:
    return len(list(Path(f"/proc/{node.process.pid}/fd").iterdir()))


def _measure_idle(node: NodeProgram) -> dict[str, float]:
    before_s = cpu_s(node.process.pid)
    time.sleep(IDLE_S)
    return {
        "idle_cpu_percent": (cpu_s(node.process.pid) - before_s) / IDLE_S * 100,
        "idle_rss_mb": resident_bytes(node.process.pid) / 1e6,
        "idle_threads": _count_threads(node),
        "idle_files": _count_files(node),
    }


def _measure_requests(
    ingress: NodeProgram, gate: NodeProgram, server_address: str
) -> dict:
    """Return processor times per request, and the latency that the nodes add.

    Sends requests at the same mean rate first through both nodes, then directly to the
    backend server. The added latency is the difference of the latency percentiles.
    """
    before_s = cpu_s(ingress.process.pid), cpu_s(gate.process.pid)
    proxied, count = _measure_latency(ingress.caller_address)
    after_s = cpu_s(ingress.process.pid), cpu_s(gate.process.pid)
    direct, _ = _measure_latency(server_address)
    return {
        "ingress_cpu_us_per_request": (after_s[0] - before_s[0]) / count * 1e6,
        "gate_cpu_us_per_request": (after_s[1] - before_s[1]) / count * 1e6,
        "load_requests_per_s": count / LOAD_S,
    } | {
        f"added_p{percentile}_ms": (
            proxied.get_value_at_percentile(percentile)
            - direct.get_value_at_percentile(percentile)
        )
        / 1000
        for percentile in (50, 99)
    }


def _measure_latency(address: str) -> tuple[HdrHistogram, int]:
    calls = PacedCalls(
        Target(address, "/board/7"),
        LOAD_CONNECTIONS,
        LIMITS.requests_per_s_per_node,
        seed=1,
    )
    count = calls.run(LOAD_S)
    calls.close()
    assert not calls.failures
    return calls.histogram, count


def _measure_connections(node: NodeProgram) -> dict[str, float]:
    """Return the resources that a node uses for `CONNECTIONS` idle connections.

    Each connection is idle after one request.
    """
    before_bytes = resident_bytes(node.process.pid)
    target = Target(node.caller_address, "/board/7")
    calls = PacedCalls(target, CONNECTIONS, CONNECTIONS, seed=1)
    assert calls.run(1.0) == CONNECTIONS and not calls.failures
    connected_bytes = resident_bytes(node.process.pid)
    figures = {
        "connections": CONNECTIONS,
        "connection_rss_bytes": (connected_bytes - before_bytes) / CONNECTIONS,
        "connected_rss_mb": connected_bytes / 1e6,
        "connected_threads": _count_threads(node),
        "connected_files": _count_files(node),
    }
    calls.close()
    return figures
