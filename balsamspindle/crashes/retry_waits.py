"""When a request that was lost with a backend server is tried again."""

import random

from balsamspindle.crashes.records import Standing
from balsamspindle.crashes.verdicts import RETRIED_WITHIN_S

__all__ = ["retry_wait_s"]

WAIT_MAX_S = 0.4
# No more of the time that a request has left.
WAIT_PART_MAX = 0.1


def retry_wait_s(standing: Standing, left_s: float, rng: random.Random) -> float:
    """Return how long a lost request waits before its next attempt.

    One that was lost more than once may be the cause. Retried at once, it would follow
    a wave of crashes from one backend server to the next, and how long it ran at each
    would tell nothing. After a random wait only a cause is lost after the same time.

    Parameters
    ----------
    standing : Standing
        Of the request's content, with the latest loss.
    left_s : float
        Until the request's deadline.
    rng : random.Random
    """
    if not standing.is_suspect:
        return 0.0
    wait_s = rng.uniform(RETRIED_WITHIN_S, WAIT_MAX_S)
    return min(wait_s, max(0.0, left_s) * WAIT_PART_MAX)
