"""The time past which a request of a backend server counts as slow."""

import math

__all__ = ["FIRST_LIMIT_MS", "SLOW_SHARE", "SlowLimit"]

SLOW_SHARE = 0.01
FIRST_LIMIT_MS = 1000.0
LEAST_LIMIT_MS = 1.0
# The largest latency of so many requests is near enough to start from.
SETTLING_REQUESTS = 100
# From so many on the limit is told, with a margin of ten times at first.
TOLD_REQUESTS = 10
# Of the logarithm; a limit that is off by a factor of two is found again in
# some 350 requests, and one odd request moves it by a fifth.
STEP = 0.2


class SlowLimit:
    """Learns the latency that a share `SLOW_SHARE` of requests goes over.

    The largest of the first requests is a start. Until `SETTLING_REQUESTS`
    were seen it is raised by as much as they fall short of that number, which
    is how far a quantile moves under a tail as heavy as a Pareto tail of
    index 1. At few requests a second settling takes half a minute; with one
    fixed limit till then, a hang shorter than that says nothing.

    Then stochastic approximation of a quantile: one number is kept, and each
    request moves it, up when it was over, a hundredth as much down when it
    was under.

    Attributes
    ----------
    limit_ms : float
        The present estimate of the 99th percentile.
    """

    def __init__(self) -> None:
        self.limit_ms = FIRST_LIMIT_MS
        self._seen = 0
        self._largest_ms = LEAST_LIMIT_MS

    @property
    def known(self) -> bool:
        """Whether enough requests were seen to tell others of the limit."""
        return self._seen >= TOLD_REQUESTS

    @property
    def settled(self) -> bool:
        """Whether enough requests were seen to go by the limit."""
        return self._seen >= SETTLING_REQUESTS

    def learn(self, latency_ms: float) -> None:
        """Take the latency of one answered request."""
        if not self.settled:
            self._settle(latency_ms)
            return
        up = latency_ms > self.limit_ms
        step = STEP * ((1 - SLOW_SHARE) if up else -SLOW_SHARE)
        self.limit_ms = max(LEAST_LIMIT_MS, self.limit_ms * math.exp(step))

    def _settle(self, latency_ms: float) -> None:
        self._seen += 1
        self._largest_ms = max(self._largest_ms, latency_ms)
        if self.settled:
            self.limit_ms = self._largest_ms
            return
        margin = SETTLING_REQUESTS / self._seen
        self.limit_ms = min(FIRST_LIMIT_MS, margin * self._largest_ms)
