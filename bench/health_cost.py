"""Processor time that health detection takes at a node.

::

    python -m bench.health_cost

For each request, the ingress summarizes the evidence about the backend server's peers,
and both the gate and the ingress record the request's start and end. Every `TICK_S`, a
tick checks all backend servers of the node; in the bench, all their slots are in use.
The bench prints the processor time of a request and of a tick. It also prints the
fraction of one core that requests and ticks use together at a node's full load.
"""

import io
import time

import typer

from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.health_monitor import TICK_S, HealthMonitor
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.services.peer_evidence import PeerEvidenceTracker
from balsamspindle.settings.documents import Detection
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Reply

__all__ = ["main"]

SERVERS = 25
SLOTS = 7
SUBSET_SIZE = 16
REQUESTS_PER_S = 320
REQUESTS = 40_000
TICKS = 4_000


def main() -> None:
    """Print the processor times of a request and of a tick, and their sum at full load.

    The sum is the fraction of one core that all requests and ticks of the node use.
    """
    servers = LocalBackendServers()
    for number in range(SERVERS):
        servers.announce(
            f"server-{number}", Announcement("s/s", "127.0.0.1:9", SLOTS, "1"), 0.0
        )
    events = EventLog("node", 1, HybridClock(), io.StringIO())
    monitor = HealthMonitor(servers, lambda service: Detection(), events)
    monitor.tick(0.0)
    request_s = _cpu_s(lambda: _run_requests(monitor)) / REQUESTS
    _fill_slots(monitor)
    tick_s = _cpu_s(lambda: [monitor.tick(number * TICK_S) for number in range(TICKS)])
    tick_s /= TICKS
    core_fraction = request_s * REQUESTS_PER_S + tick_s / TICK_S
    print(f"a request: {request_s * 1e6:.1f} us; a tick: {tick_s * 1e6:.1f} us")
    print(
        f"{REQUESTS_PER_S} requests/s, {SERVERS} backend servers:"
        f" {core_fraction:.2%} of a core, of which ticks {tick_s / TICK_S:.2%}"
    )


def _run_requests(monitor: HealthMonitor) -> None:
    tracker = PeerEvidenceTracker()
    for number in range(REQUESTS):
        now_s = number / REQUESTS_PER_S
        server_id = f"server-{number % SUBSET_SIZE}"
        attempt_id = AttemptId("node", 1, number)
        peers = tracker.summarize("s/s", server_id, now_s)
        tracker.record_start("s/s", server_id, now_s)
        monitor.record_peer_evidence(server_id, peers, now_s)
        monitor.record_start(server_id, attempt_id, now_s)
        judgement = monitor.record_end(
            server_id, attempt_id, WorkResult.ANSWERED, now_s + 0.02
        )
        reply = Reply(
            attempt_id,
            Outcome.ANSWERED,
            bad=judgement.bad,
            p99_ms=judgement.p99_ms,
        )
        tracker.record_end("s/s", server_id, now_s, reply, now_s + 0.02)


def _fill_slots(monitor: HealthMonitor) -> None:
    for number in range(SERVERS * SLOTS):
        attempt_id = AttemptId("node", 2, number)
        monitor.record_start(f"server-{number % SERVERS}", attempt_id, 0.0)


def _cpu_s(work) -> float:
    start_s = time.process_time()
    work()
    return time.process_time() - start_s


if __name__ == "__main__":
    typer.run(main)
