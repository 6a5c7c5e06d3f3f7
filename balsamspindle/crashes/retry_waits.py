"""Computes the delay before the retry of a request that was lost in a crash."""

import random

from balsamspindle.crashes.records import QuarantineStatus
from balsamspindle.crashes.verdicts import RETRIED_WITHIN_S

__all__ = ["retry_wait_s"]

WAIT_MAX_S = 0.4
# The wait is at most this fraction of the time until the request's deadline.
WAIT_FRACTION_MAX = 0.1


def retry_wait_s(
    status: QuarantineStatus, remaining_s: float, rng: random.Random
) -> float:
    """Return how long a request that was lost in a crash waits before its next attempt.

    A request that was lost more than once may be the cause of the crashes. The cause is
    recognized because its run times are about equal at all its crashes. In a wave of
    crashes at regular intervals, the run times of any request that is retried without
    delay are equal, too: they equal the interval. With a random wait before each retry,
    only the run times of the cause are still about equal.

    The wait is 0 if the request is not suspected.

    Parameters
    ----------
    status : QuarantineStatus
        Status of the request after its latest loss was recorded.
    remaining_s : float
        Time until the request's deadline.
    rng : random.Random
    """
    if not status.is_suspect:
        return 0.0
    wait_s = rng.uniform(RETRIED_WITHIN_S, WAIT_MAX_S)
    return min(wait_s, max(0.0, remaining_s) * WAIT_FRACTION_MAX)
