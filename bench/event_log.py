"""Processor time to write the event log's lines for one request.

::

    python -m bench.event_log

The bench writes the events that an ingress and two gates log for a request. The first
gate refuses the request and the second gate runs it. The events are written first at
the request rate of a busy node, then without pauses. Without pauses, the rate limit of
the event log leaves out most lines. The figures are in docs/MEASUREMENTS.md.
"""

import os
import time

from balsamspindle.timeline import EventLog, HybridClock

REQUESTS = 20_000
# The request is received, one attempt is sent and refused, another is sent, dispatched
# and ended, and the request ends.
LINES_PER_REQUEST = 7
# At this rate, each kind of event stays below the event log's limit of lines per
# second, so no line is left out.
PACE_REQUESTS_PER_S = 200


def emit_request(events: EventLog, number: int) -> None:
    """Write the events that the ingress and the two gates log for one request."""
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
    """Return the processor time to write one request's lines, in microseconds."""
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
    """Print the processor time with and without pauses, three times."""
    for _ in range(3):
        paced_us = measure(5 * PACE_REQUESTS_PER_S, PACE_REQUESTS_PER_S)
        unpaced_us = measure(REQUESTS, float("inf"))
        print(
            f"with pauses {paced_us:.0f} us a request ({LINES_PER_REQUEST} lines),"
            f" without pauses {unpaced_us:.0f} us"
        )


if __name__ == "__main__":
    main()
