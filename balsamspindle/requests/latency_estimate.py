"""Estimates the latency of a route's answers, as an ingress sees it."""

__all__ = ["LatencyEstimate"]


class LatencyEstimate:
    """Mean and approximate 95th percentile of the latency of a route's answers.

    The percentile `p95_s` moves up by 19 steps for an answer that took longer than
    `p95_s`, and down by one step for any other answer. In the long run, 1 of 20
    answers takes longer than `p95_s`.

    Attributes
    ----------
    mean_s : float
        0 before the first answer.
    p95_s : float or None
        None before the first answer.
    p99_s : float
        The backend server's 99th percentile of latency, above which the gate counts
        an answer as slow; 0 while unknown.
    """

    STEP = 0.005

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.p95_s: float | None = None
        self.p99_s = 0.0

    def record(self, took_s: float, p99_ms: float = 0.0) -> None:
        """Record the latency of one answer and the 99th percentile its gate reported.

        If `p99_ms` is 0, the gate reported no percentile, and `p99_s` is kept.
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
