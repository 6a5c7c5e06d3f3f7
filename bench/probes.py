"""How many probes a backend server gets, by who asks for it, in virtual time.

::

    python -m bench.probes

One hour of healthy work, then one hour in which nobody asks. A probe is
counted at each second in which the node would send one.
"""

import random

import typer

from balsamspindle.backend_servers.evidence import ProbeResult
from balsamspindle.backend_servers.health import ServerHealth
from balsamspindle.settings.documents import Detection
from balsamspindle.wire import AttemptId
from bench.detection_traces import DEPLOYMENTS, Fault, ServerWork, Service

__all__ = ["main", "probes"]

HOUR_S = 3600
PROBE_INTERVAL_S = 1


def probes(service: Service, seed: str) -> tuple[int, int]:
    """Return the probes of the hour with work and of the hour without."""
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
            ending = work.end(arrival_s)
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
    """Print the probes of each service's backend servers."""
    always = HOUR_S // PROBE_INTERVAL_S
    print(f"{'service':18} {'requests/s':>10} {'probes/h':>9} {'nobody asks':>12}")
    for deployment in DEPLOYMENTS:
        for service in deployment.services:
            asked, silent = probes(service, service.name)
            print(
                f"{service.name:18} {service.rate_per_server:>10.1f}"
                f" {asked:>9} {silent:>12}"
            )
    print(f"a probe every {PROBE_INTERVAL_S} s, whatever is asked: {always}")


if __name__ == "__main__":
    typer.run(main)
