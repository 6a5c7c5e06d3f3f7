"""Counts the requests that a backend server's limit still allows.

Only the gate beside a backend server sends requests to it, so this one count limits the
requests of all nodes together.
"""

import math
from typing import NamedTuple

from balsamspindle.backend_servers.decaying_sums import DecayingSums

__all__ = ["Allowance", "RateLimit"]

# Time whose requests may be sent at once after a pause. A shorter time would waste a
# part of the allowance whenever requests arrive unevenly.
BURST_S = 1.0
# A backend server that takes no requests at all gets one per this time. Only an answer
# can tell that its limit has ended.
ZERO_LIMIT_INTERVAL_S = 60.0
# Heavier requests are assumed to leave at least this fraction of the allowance. Their
# average rate is too inaccurate for a smaller one.
LIGHT_FRACTION_MIN = 0.1
# Time constant of the average rate of heavier requests.
AVERAGING_S = 3.0
# Longest wait that is reported; by then, the limit may be another one.
WAIT_MAX_S = 60.0


class Allowance(NamedTuple):
    """What a limit allows at one moment.

    Attributes
    ----------
    tokens : float
        Number of requests that may be sent now.
    per_s : float
        Requests per second that are added.
    heavier_per_s : float
        Requests per second of a higher weight than the asking one. They are sent first,
        so that they take away from what is added.
    """

    tokens: float
    per_s: float
    heavier_per_s: float = 0.0

    def wait_s(self, count: int) -> float:
        """Return the time until `count` requests may be sent."""
        per_s = max(self.per_s - self.heavier_per_s, LIGHT_FRACTION_MIN * self.per_s)
        return min(max(0.0, count - self.tokens) / per_s, WAIT_MAX_S)


class RateLimit:
    """Token bucket of one backend server; the caller must hold a lock.

    The bucket starts empty: the gate may have sent requests before it knew the limit,
    or another process may have been the gate.
    """

    def __init__(self, limit_per_s: float, now_s: float) -> None:
        self.limit_per_s = limit_per_s
        self._tokens = 0.0
        self._filled_s = now_s
        self._sent = DecayingSums(AVERAGING_S)

    def set_limit(self, limit_per_s: float, now_s: float) -> None:
        """Change the limit; the tokens up to now were added at the previous one."""
        self._fill(now_s)
        self.limit_per_s = limit_per_s
        self._tokens = min(self._tokens, self._tokens_max())

    def allowance(self, now_s: float, weight: float = math.inf) -> Allowance:
        """Return what the limit allows requests of a weight now."""
        self._fill(now_s)
        heavier_per_s = self._sent.heavier_than(weight, now_s) / AVERAGING_S
        return Allowance(self._tokens, self._per_s(), heavier_per_s)

    def spend(self, weight: float, now_s: float) -> None:
        """Count a request that is sent."""
        self._tokens -= 1
        self._sent.add(weight, 1.0, now_s)

    def refund(self) -> None:
        """Uncount a request that was not sent after all."""
        self._tokens = min(self._tokens + 1, self._tokens_max())

    def _fill(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._filled_s)
        self._filled_s = max(now_s, self._filled_s)
        refilled = self._tokens + elapsed_s * self._per_s()
        self._tokens = min(refilled, self._tokens_max())

    def _per_s(self) -> float:
        return self.limit_per_s or 1 / ZERO_LIMIT_INTERVAL_S

    def _tokens_max(self) -> float:
        return max(1.0, self.limit_per_s * BURST_S)
