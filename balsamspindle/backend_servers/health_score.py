"""The sequential test that tells a sick backend server from a healthy one.

Each ended request is bad if it failed or was slow, else good. The score is a
CUSUM (cumulative sum) of log-likelihood ratios of "sick" against "healthy": bad
requests raise it, and good requests lower it, but never below 0. When it reaches
the threshold, the backend server is suspected. For a given rate of false alarms no
other test on the same evidence has a shorter worst-case detection delay.
"""

import math
from typing import NamedTuple

__all__ = [
    "SHARED_CAUSE_SHARE",
    "LearnedRate",
    "Rates",
    "adjust_for_peers",
    "bad_request_score",
    "good_request_score",
]

SHARED_CAUSE_SHARE = 0.5
HEALTHY_RATE_MIN = 0.002
# Window of a learned rate's moving average, in requests. It begins at the minimum, so
# the initial rate weighs as much as that many requests, and grows to the maximum.
LEARNING_REQUESTS_MIN = 100
LEARNING_REQUESTS_MAX = 2000
HEALTHY_RATE_MAX = 0.99
SICK_RATE_MAX = 0.999


class Rates(NamedTuple):
    """Shares of bad requests at a healthy and at a sick backend server.

    Attributes
    ----------
    healthy, sick : float
        Between 0 and 1, `healthy` below `sick`.
    """

    healthy: float
    sick: float


class LearnedRate:
    """Estimate of the share of bad requests at a healthy backend server.

    It is the moving average for one kind of fault: errors or slowness. The configured
    rate is only the initial value, because with a rate that is too high each bad
    request adds too little to the score.

    Attributes
    ----------
    value : float
        At least `HEALTHY_RATE_MIN`.
    """

    def __init__(self, initial: float) -> None:
        self.value = max(HEALTHY_RATE_MIN, initial)
        self._window_requests = LEARNING_REQUESTS_MIN

    def learn(self, bad: bool) -> None:
        """Update the estimate with the end of a request at a healthy backend server."""
        value = self.value + (bad - self.value) / self._window_requests
        self.value = max(HEALTHY_RATE_MIN, value)
        self._window_requests = min(LEARNING_REQUESTS_MAX, self._window_requests + 1)


def adjust_for_peers(rates: Rates, peers_bad_share: float) -> Rates:
    """Return the rates that the test uses while this share of the peers is bad.

    When all backend servers of a service fail or are slow at once, the cause is
    the load or something that they share. Tested against a fixed rate, each of
    them would be suspected, and each ejection would add load to the others. From
    `SHARED_CAUSE_SHARE` on, both rates are equal, so no request changes the score.
    """
    if peers_bad_share >= SHARED_CAUSE_SHARE:
        return Rates(SHARED_CAUSE_SHARE, SHARED_CAUSE_SHARE)
    healthy = min(HEALTHY_RATE_MAX, max(rates.healthy, peers_bad_share))
    sick = healthy + (1 - healthy) * rates.sick
    return Rates(healthy, min(SICK_RATE_MAX, sick))


def bad_request_score(rates: Rates) -> float:
    """Return what a bad request adds to the score; 0 or more."""
    return math.log(rates.sick / rates.healthy)


def good_request_score(rates: Rates) -> float:
    """Return what a good request adds to the score; 0 or less."""
    return math.log((1 - rates.sick) / (1 - rates.healthy))
