"""Sequential test that detects sick backend servers.

A request that has ended is bad if it failed or was slow, and good otherwise. The score
is a CUSUM (cumulative sum) of log-likelihood ratios of "sick" against "healthy": a bad
request raises the score, and a good request lowers it, but never below 0. A backend
server is suspected when its score reaches the threshold. Among all tests of the same
evidence with the same rate of false alarms, CUSUM has the shortest worst-case detection
delay.
"""

import math
from typing import NamedTuple

__all__ = [
    "SHARED_CAUSE_FRACTION",
    "LearnedRate",
    "Rates",
    "adjust_for_peers",
    "bad_request_score",
    "good_request_score",
]

SHARED_CAUSE_FRACTION = 0.5
HEALTHY_RATE_MIN = 0.002
# Length of the moving average of a learned rate, in requests. The length starts at the
# minimum and grows by one with each request, up to the maximum. The initial rate thus
# counts as much as LEARNING_REQUESTS_MIN requests.
LEARNING_REQUESTS_MIN = 100
LEARNING_REQUESTS_MAX = 2000
HEALTHY_RATE_MAX = 0.99
SICK_RATE_MAX = 0.999


class Rates(NamedTuple):
    """Fractions of bad requests at a healthy and at a sick backend server.

    Attributes
    ----------
    healthy, sick : float
        Between 0 and 1. After `adjust_for_peers`, `healthy` is not above `sick`.
    """

    healthy: float
    sick: float


class LearnedRate:
    """Estimate of the fraction of bad requests at a healthy backend server.

    One object estimates the rate of one kind of fault: errors or slowness. The estimate
    is a moving average that starts at the initial rate. If that rate stayed fixed and
    were too high, each bad request would add too little to the score.

    Attributes
    ----------
    value : float
        At least `HEALTHY_RATE_MIN`.
    """

    def __init__(self, initial: float) -> None:
        self.value = max(HEALTHY_RATE_MIN, initial)
        self._window_requests = LEARNING_REQUESTS_MIN

    def learn(self, bad: bool) -> None:
        """Update the estimate with an ended request at a healthy backend server."""
        value = self.value + (bad - self.value) / self._window_requests
        self.value = max(HEALTHY_RATE_MIN, value)
        self._window_requests = min(LEARNING_REQUESTS_MAX, self._window_requests + 1)


def adjust_for_peers(rates: Rates, peers_bad_fraction: float) -> Rates:
    """Return the rates, adjusted to the fraction of peers that are bad now.

    When all backend servers of a service fail or are slow at once, the cause is the
    load or a resource that they share. If the test used fixed rates, all of them would
    be suspected, and each ejection would add load to the remaining ones. If at least
    `SHARED_CAUSE_FRACTION` of the peers are bad, both returned rates are equal, so no
    request changes the score.
    """
    if peers_bad_fraction >= SHARED_CAUSE_FRACTION:
        return Rates(SHARED_CAUSE_FRACTION, SHARED_CAUSE_FRACTION)
    healthy = min(HEALTHY_RATE_MAX, max(rates.healthy, peers_bad_fraction))
    sick = healthy + (1 - healthy) * rates.sick
    return Rates(healthy, min(SICK_RATE_MAX, sick))


def bad_request_score(rates: Rates) -> float:
    """Return what a bad request adds to the score; 0 or more."""
    return math.log(rates.sick / rates.healthy)


def good_request_score(rates: Rates) -> float:
    """Return what a good request adds to the score; 0 or less."""
    return math.log((1 - rates.sick) / (1 - rates.healthy))
