"""Estimates the latency of a route's answers from the latencies at one ingress."""

__all__ = ["LatencyEstimate"]


class LatencyEstimate:
    """Mean and approximate 95th percentile of the latency of a route's answers.

    An answer that took longer than `p95_s` increases `p95_s` by 19 times the fraction
    `STEP`; any other answer decreases `p95_s` by the fraction `STEP`. In the long run,
    1 of 20 answers takes longer than `p95_s`.

    Attributes
    ----------
    mean_s : float
        Exponential moving average of the latency; 0 before the first answer.
    p95_s : float or None
        Estimate of the 95th percentile; None before the first answer.
    p99_s : float
        The last 99th percentile of latency that a gate reported for one of the route's
        backend servers; 0 before the first report. A gate counts answers with a higher
        latency as slow.
    """

    STEP = 0.005

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.p95_s: float | None = None
        self.p99_s = 0.0

    def record(self, took_s: float, p99_ms: float = 0.0) -> None:
        """Record the latency of one answer, and the percentile that its gate reported.

        If `p99_ms` is 0, the gate reported no 99th percentile; `p99_s` is unchanged.
        """
        self.p99_s = p99_ms / 1000 or self.p99_s
        if self.p95_s is None:
            self.mean_s, self.p95_s = took_s, 2 * took_s
            return
        self.mean_s += 0.1 * (took_s - self.mean_s)
        if took_s > self.p95_s:
            self.p95_s *= 1 + 19 * self.STEP
        else:
            self.p95_s *= 1 - self.STEP
