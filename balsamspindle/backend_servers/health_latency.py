"""Estimate of a backend server's 99th percentile of latency."""

import math

__all__ = ["INITIAL_P99_MS", "SLOW_FRACTION", "LatencyP99"]

SLOW_FRACTION = 0.01
INITIAL_P99_MS = 1000.0
MIN_P99_MS = 1.0
# The largest latency of this many requests is close enough to the 99th percentile
# to start the running estimate from.
SETTLING_REQUESTS = 100
# The estimate is reported to ingresses once this many requests were seen. At that point
# the estimate is `SETTLING_REQUESTS` / `REPORTABLE_REQUESTS` (ten) times the largest
# latency seen.
REPORTABLE_REQUESTS = 10
# Step by which the estimate's logarithm changes. An estimate that is twice the correct
# value is corrected within about 350 requests, and one outlier raises the estimate by a
# fifth.
LOG_STEP = 0.2


class LatencyP99:
    """Estimates the latency that the fraction `SLOW_FRACTION` of requests exceeds.

    Until `SETTLING_REQUESTS` requests were seen, the estimate is the largest latency
    so far times `SETTLING_REQUESTS` / requests seen, but at most `INITIAL_P99_MS`. This
    formula extrapolates from few requests to the 99th percentile, for latencies with a
    tail as heavy as that of a Pareto distribution of index 1. At a few requests per
    second, `SETTLING_REQUESTS` requests take half a minute. If the estimate were fixed
    during that time, hangs shorter than the estimate would not be detected.

    After `SETTLING_REQUESTS` requests, the estimate is a stochastic approximation of
    the quantile. Each request that takes longer than the estimate raises the estimate
    by a step. Each faster request lowers the estimate by about a hundredth of a step.

    Attributes
    ----------
    p99_ms : float
        The present estimate.
    """

    def __init__(self) -> None:
        self.p99_ms = INITIAL_P99_MS
        self._requests_seen = 0
        self._largest_ms = MIN_P99_MS

    @property
    def is_reportable(self) -> bool:
        """Whether enough requests were seen to report the estimate to others."""
        return self._requests_seen >= REPORTABLE_REQUESTS

    @property
    def settled(self) -> bool:
        """Whether `SETTLING_REQUESTS` were seen, so that extrapolation has ended."""
        return self._requests_seen >= SETTLING_REQUESTS

    def learn(self, latency_ms: float) -> None:
        """Update the estimate with the latency of one answered request."""
        if not self.settled:
            self._learn_initial(latency_ms)
            return
        is_over = latency_ms > self.p99_ms
        step = LOG_STEP * ((1 - SLOW_FRACTION) if is_over else -SLOW_FRACTION)
        self.p99_ms = max(MIN_P99_MS, self.p99_ms * math.exp(step))

    def _learn_initial(self, latency_ms: float) -> None:
        self._requests_seen += 1
        self._largest_ms = max(self._largest_ms, latency_ms)
        if self.settled:
            self.p99_ms = self._largest_ms
            return
        margin = SETTLING_REQUESTS / self._requests_seen
        self.p99_ms = min(INITIAL_P99_MS, margin * self._largest_ms)
