"""Where a process notes how long hops took and how requests ended.

A record costs 1 to 2 microseconds, so every request is counted, none sampled.
"""

import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import StrEnum

import msgspec
from hdrh.histogram import HdrHistogram

__all__ = ["Hop", "HopLatency", "Metrics", "MetricsReport"]

LATENCY_MAX_US = 120_000_000
SIGNIFICANT_FIGURES = 2


class Hop(StrEnum):
    """A part of a request's way.

    Attributes
    ----------
    INGRESS
        From the whole request read to the answer written.
    LINK
        From an attempt sent to another node to its reply.
    QUEUE
        From an attempt at the gate to its slot, or its refusal.
    BACKEND_SERVER
        The call to the backend server.
    """

    INGRESS = "ingress"
    LINK = "link"
    QUEUE = "queue"
    BACKEND_SERVER = "backend_server"


class HopLatency(msgspec.Struct, frozen=True):
    """How long one hop has taken since the process started.

    Attributes
    ----------
    total_ms : float
        Sum over all passages.
    """

    count: int
    total_ms: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class MetricsReport(msgspec.Struct, frozen=True):
    """All metrics of a process at one time.

    Attributes
    ----------
    outcomes : dict of str to dict of str to int
        Ended requests by service, then by outcome.
    events : dict of str to int
        Events of the time line, by name.
    cuts : dict of str to int
        Attempts cut at backend servers, by cause.
    """

    hops: dict[str, HopLatency]
    outcomes: dict[str, dict[str, int]]
    events: dict[str, int]
    cuts: dict[str, int] = {}


class Metrics:
    """The metrics of one process; safe to use from all of its threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._histograms = {
            hop: HdrHistogram(1, LATENCY_MAX_US, SIGNIFICANT_FIGURES) for hop in Hop
        }
        self._total_us = dict.fromkeys(Hop, 0)
        self._outcomes: Counter[tuple[str, str]] = Counter()
        self._events: Counter[str] = Counter()
        self._cuts: Counter[str] = Counter()

    def record(self, hop: Hop, duration_s: float) -> None:
        """Note how long a hop took."""
        duration_us = max(1, min(int(duration_s * 1_000_000), LATENCY_MAX_US))
        with self._lock:
            self._histograms[hop].record_value(duration_us)
            self._total_us[hop] += duration_us

    @contextmanager
    def timed(self, hop: Hop) -> Iterator[None]:
        """Note how long the block takes, also when it raises."""
        start_s = time.monotonic()
        try:
            yield
        finally:
            self.record(hop, time.monotonic() - start_s)

    def count_outcome(self, service: str, outcome: str) -> None:
        """Note how a request of a service ended."""
        with self._lock:
            self._outcomes[service, outcome] += 1

    def count_event(self, event: str) -> None:
        """Note an event of the time line."""
        with self._lock:
            self._events[event] += 1

    def count_cut(self, cause: str) -> None:
        """Note an attempt that was cut at its backend server."""
        with self._lock:
            self._cuts[cause] += 1

    def report(self) -> MetricsReport:
        """Return all metrics now."""
        with self._lock:
            outcomes: dict[str, dict[str, int]] = {}
            for (service, outcome), count in sorted(self._outcomes.items()):
                outcomes.setdefault(service, {})[outcome] = count
            return MetricsReport(
                {hop.value: self._latency(hop) for hop in Hop},
                outcomes,
                dict(sorted(self._events.items())),
                dict(sorted(self._cuts.items())),
            )

    def _latency(self, hop: Hop) -> HopLatency:
        histogram = self._histograms[hop]
        p50_us, p99_us, p999_us = (
            histogram.get_value_at_percentile(percentile)
            for percentile in (50, 99, 99.9)
        )
        return HopLatency(
            histogram.get_total_count(),
            self._total_us[hop] / 1000,
            p50_us / 1000,
            p99_us / 1000,
            p999_us / 1000,
            histogram.get_max_value() / 1000,
        )
