"""Processor time of the event log's lines for one request.

``python -m bench.event_log``: writes the events, of both nodes, of a request that one
gate refuses and another gate runs; first at the pace of a busy node, then without a
pause, where the event log's rate limit leaves most lines out. The figures are in
docs/MEASUREMENTS.md.
"""

import os
import time

from balsamspindle.timeline import EventLog, HybridClock

REQUESTS = 20_000
# Of ingress and gate: received, sent, refused, sent, dispatched, ended, ended.
LINES_PER_REQUEST = 7
# Below the event log's limit of lines a second for each event: none is left out.
PACE_REQUESTS_PER_S = 200


def emit_request(events: EventLog, number: int) -> None:
    """Write the events that the ingress and both gates log for one request."""
    request = f"{number:016x}"
    events.emit("request_received", request=request, method="GET", path="/a/7")
    for attempt in (1, 2):
        events.emit(
            "attempt_sent",
            request=request,
            backend_server="server-1",
            gate="gate-1",
            attempt=attempt,
            sought="near",
            free_slots=4,
            wait_max_ms=0,
        )
    events.emit(
        "attempt_refused",
        request=request,
        backend_server="server-1",
        cause="would_wait",
        wait_ms=120,
    )
    events.emit(
        "attempt_dispatched",
        request=request,
        backend_server="server-2",
        queued_ms=0,
        left_ms=9900,
    )
    events.emit(
        "attempt_ended",
        request=request,
        backend_server="server-2",
        outcome="answered",
        status=200,
    )
    events.emit("request_ended", request=request, outcome="answered", status=200)


def measure(requests: int, pace_per_s: float) -> float:
    """Return the processor time of one request's lines, in microseconds."""
    with open(os.devnull, "w") as sink:
        events = EventLog("node", 1, HybridClock(), sink)
        started_s, started_cpu_s = time.monotonic(), time.process_time()
        for number in range(requests):
            emit_request(events, number)
            ahead_s = number / pace_per_s - (time.monotonic() - started_s)
            if ahead_s > 0.01:
                time.sleep(ahead_s)
        events.flush()
        cpu_s = time.process_time() - started_cpu_s
    return cpu_s / requests * 1e6


def main() -> None:
    """Print the processor time at both paces, three times."""
    for _ in range(3):
        paced_us = measure(5 * PACE_REQUESTS_PER_S, PACE_REQUESTS_PER_S)
        flood_us = measure(REQUESTS, float("inf"))
        print(
            f"paced {paced_us:.0f} us a request ({LINES_PER_REQUEST} lines),"
            f" flood {flood_us:.0f}"
        )


if __name__ == "__main__":
    main()
