"""How long answers of a route take, as an ingress sees them."""

__all__ = ["LatencyEstimate"]


class LatencyEstimate:
    """How long answers of a service take: their mean, and about a 95th of 100.

    `limit_s` is what a gate takes for slow, 0 while unknown.

    The quantile moves up by 19 parts when an answer took longer and down by
    one part when it did not, so that it rests where 1 of 20 takes longer.
    """

    STEP = 0.005

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.high_s: float | None = None
        self.limit_s = 0.0

    def note(self, took_s: float, limit_ms: float = 0.0) -> None:
        """Take the time of one answer, and its gate's limit for it."""
        self.limit_s = limit_ms / 1000 or self.limit_s
        if self.high_s is None:
            self.mean_s, self.high_s = took_s, 2 * took_s
            return
        self.mean_s += 0.1 * (took_s - self.mean_s)
        if took_s > self.high_s:
            self.high_s *= 1 + 19 * self.STEP
        else:
            self.high_s *= 1 - self.STEP
