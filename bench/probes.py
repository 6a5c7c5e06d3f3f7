"""Number of probes to a backend server with and without requests, in virtual time.

::

    python -m bench.probes

The bench simulates one hour of requests to a healthy backend server, then one hour
without requests. Each second in which the node would send a probe counts as one probe.
"""

import random

import typer

from balsamspindle.backend_servers.evidence import ProbeResult
from balsamspindle.backend_servers.health import ServerHealth
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId
from bench.detection_traces import DEPLOYMENTS, Fault, ServerWork, Service

__all__ = ["main", "count_probes"]

HOUR_S = 3600
PROBE_INTERVAL_S = 1


def count_probes(service: Service, seed: str) -> tuple[int, int]:
    """Return the numbers of probes in the hours with and without requests."""
    health = ServerHealth(Detection(), 0.0)
    work = ServerWork(service, Fault.NONE, seed)
    rng = random.Random(seed)
    counts = [0, 0]
    arrival_s = rng.expovariate(service.rate_per_server)
    attempt = 0
    for second in range(1, 2 * HOUR_S, PROBE_INTERVAL_S):
        while arrival_s <= min(second, HOUR_S):
            attempt += 1
            attempt_id = AttemptId("", 0, attempt)
            ending = work.draw_ending(arrival_s)
            health.record_start(attempt_id, arrival_s)
            health.record_end(
                attempt_id, ending.result, arrival_s + ending.latency_ms / 1000
            )
            arrival_s += rng.expovariate(service.rate_per_server)
        if health.needs_probe(second):
            counts[second >= HOUR_S] += 1
            health.record_probe_result(ProbeResult.PASSED, second)
    return counts[0], counts[1]


def main() -> None:
    """Print the probes per hour to a backend server of each service."""
    probes_max = HOUR_S // PROBE_INTERVAL_S
    print(f"{'service':18} {'requests/s':>10} {'probes/h':>9} {'no requests':>12}")
    for deployment in DEPLOYMENTS:
        for service in deployment.services:
            with_requests, without_requests = count_probes(service, service.name)
            print(
                f"{service.name:18} {service.rate_per_server:>10.1f}"
                f" {with_requests:>9} {without_requests:>12}"
            )
    print(
        f"with a probe every {PROBE_INTERVAL_S} s at all times: {probes_max} probes/h"
    )


if __name__ == "__main__":
    typer.run(main)
