"""The delay before the retry of a request that was lost in a crash."""

import random

from balsamspindle.crashes.records import ContentStatus
from balsamspindle.crashes.verdicts import RETRIED_WITHIN_S

__all__ = ["retry_wait_s"]

WAIT_MAX_S = 0.4
# Longest wait as a fraction of the time until the request's deadline.
WAIT_FRACTION_MAX = 0.1


def retry_wait_s(
    status: ContentStatus, remaining_s: float, rng: random.Random
) -> float:
    """Return how long a request that was lost in a crash waits before its next attempt.

    A request that was lost more than once may be the cause of the crashes. Retried
    without delay, it would follow a wave of crashes from one backend server to the
    next, and its run times would show nothing. After a random wait, only a cause is
    lost after the same run time again.

    Parameters
    ----------
    status : ContentStatus
        Of the request's content, with the latest loss counted.
    remaining_s : float
        Time until the request's deadline.
    rng : random.Random
    """
    if not status.is_suspect:
        return 0.0
    wait_s = rng.uniform(RETRIED_WITHIN_S, WAIT_MAX_S)
    return min(wait_s, max(0.0, remaining_s) * WAIT_FRACTION_MAX)
