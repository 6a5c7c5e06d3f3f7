"""Latencies and counts of one process.

Start with `recorder.py`; `exposition.py` formats its report for Prometheus.
`exposition.py` is imported only when metrics are read. Importing its Prometheus library
at start would delay a restarting node's first answer by 50 ms.
"""

from balsamspindle.metrics.recorder import Hop, HopLatency, Metrics, MetricsReport

__all__ = ["Hop", "HopLatency", "Metrics", "MetricsReport"]
