"""The sequential test that tells a sick backend server from a healthy one.

Each ended request is good or bad: bad when it failed or was slow. The score
is a CUSUM of log-likelihood ratios of "sick" against "healthy": good work
lowers it, never under 0; at the threshold the backend server is suspected.
For a given rate of false alarms no other test on the same evidence has a
shorter worst detection delay.
"""

import math
from typing import NamedTuple

__all__ = [
    "SHARED_CAUSE_SHARE",
    "LearnedRate",
    "Rates",
    "against_peers",
    "bad_weight",
    "good_weight",
]

SHARED_CAUSE_SHARE = 0.5
HEALTHY_RATE_MIN = 0.002
# What the first value weighs, in requests, and how many are remembered.
LEARNING_REQUESTS_MIN = 100
LEARNING_REQUESTS_MAX = 2000
HEALTHY_RATE_MAX = 0.99
SICK_RATE_MAX = 0.999


class Rates(NamedTuple):
    """Shares of bad requests that the test tells apart.

    Attributes
    ----------
    healthy, sick : float
        Between 0 and 1, `healthy` below `sick`.
    """

    healthy: float
    sick: float


class LearnedRate:
    """Share of healthy requests with one kind of fault, learned in calm times.

    A rate that is set too high wastes evidence: each bad request then says
    less than it could. So the setting is where the estimate starts from.
    """

    def __init__(self, first: float) -> None:
        self.value = max(HEALTHY_RATE_MIN, first)
        self._memory = LEARNING_REQUESTS_MIN

    def learn(self, bad: bool) -> None:
        """Take one healthy request."""
        value = self.value + (bad - self.value) / self._memory
        self.value = max(HEALTHY_RATE_MIN, value)
        self._memory = min(LEARNING_REQUESTS_MAX, self._memory + 1)


def against_peers(rates: Rates, peers_bad_share: float) -> Rates:
    """Return the rates to test for while a share of the peers is bad, too.

    When all backend servers of a service fail or are slow at once, the cause
    is the load or something that they share. Measured against a fixed rate
    each of them would be suspected, and ejection would load the rest more.
    From half of the peers on nothing counts: the rates returned are equal.
    """
    if peers_bad_share >= SHARED_CAUSE_SHARE:
        return Rates(SHARED_CAUSE_SHARE, SHARED_CAUSE_SHARE)
    healthy = min(HEALTHY_RATE_MAX, max(rates.healthy, peers_bad_share))
    sick = healthy + (1 - healthy) * rates.sick
    return Rates(healthy, min(SICK_RATE_MAX, sick))


def bad_weight(rates: Rates) -> float:
    """Return the score of a bad request; 0 or more."""
    return math.log(rates.sick / rates.healthy)


def good_weight(rates: Rates) -> float:
    """Return the score of a good request; 0 or less."""
    return math.log((1 - rates.sick) / (1 - rates.healthy))
