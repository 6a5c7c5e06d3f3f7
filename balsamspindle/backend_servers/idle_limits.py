"""How long an idle connection is kept, after its backend server closed others sooner.

A backend server may close idle connections without a notice that arrives in time. The
request that is sent next on such a connection fails, and may have run.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

__all__ = ["IdleLimits"]

# Fraction of the idle time of a closed connection for which connections are kept.
IDLE_FRACTION = 0.5
# How long such a limit is in force.
LIMITED_S = 30.0
# A connection that ended after a shorter idle time was not closed because of it.
IDLE_MIN_S = 1.0
ADDRESSES_MAX = 1_000


class _Limit(NamedTuple):
    idle_max_s: float
    until_s: float


class IdleLimits:
    """Limits on the idle time of connections, by address. Not thread-safe."""

    def __init__(self) -> None:
        self._limits: OrderedDict[str, _Limit] = OrderedDict()

    def record_stale(self, address: str, idle_s: float, now_s: float) -> None:
        """Record that a connection was closed after it had been idle for some time."""
        if idle_s < IDLE_MIN_S:
            return
        idle_max_s = min(self.idle_max_s(address, now_s), idle_s * IDLE_FRACTION)
        self._limits[address] = _Limit(idle_max_s, now_s + LIMITED_S)
        self._limits.move_to_end(address)
        if len(self._limits) > ADDRESSES_MAX:
            self._limits.popitem(last=False)

    def idle_max_s(self, address: str, now_s: float) -> float:
        """Return how long a connection may be idle before it is used again."""
        limit = self._limits.get(address)
        return math.inf if limit is None or now_s >= limit.until_s else limit.idle_max_s
