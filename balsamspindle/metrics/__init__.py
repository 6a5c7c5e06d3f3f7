"""Latencies and counts of one process.

Start with `recorder.py`; `exposition.py` writes the same as text for a scraper.
"""

from balsamspindle.metrics.exposition import prometheus_text
from balsamspindle.metrics.recorder import Hop, HopLatency, Metrics, MetricsReport

__all__ = ["Hop", "HopLatency", "Metrics", "MetricsReport", "prometheus_text"]
