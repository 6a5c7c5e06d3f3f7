"""Latencies and counts of one process.

Start with `recorder.py`; `exposition.py` writes the same as text for a scraper.
It is imported where it is used: a node that starts again serves callers 50 ms
sooner without its library.
"""

from balsamspindle.metrics.recorder import Hop, HopLatency, Metrics, MetricsReport

__all__ = ["Hop", "HopLatency", "Metrics", "MetricsReport"]
