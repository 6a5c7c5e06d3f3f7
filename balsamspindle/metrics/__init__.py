"""Latencies and counts of one process.

Start with `recorder.py`; `exposition.py` formats its report for Prometheus. That module
is imported only when metrics are read: importing its library would delay a restarting
node's first answer by 50 ms.
"""

from balsamspindle.metrics.recorder import Hop, HopLatency, Metrics, MetricsReport

__all__ = ["Hop", "HopLatency", "Metrics", "MetricsReport"]
