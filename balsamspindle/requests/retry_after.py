"""Suggests when callers whose requests were not answered should retry."""

import math
import random

__all__ = ["RetryAfterEstimator"]

# Time constant with which the counts of answered and unanswered requests decay.
WINDOW_S = 10.0
# Shortest and longest time over which the retries are spread.
SPREAD_MIN_S, SPREAD_MAX_S = 2.0, 60.0


class RetryAfterEstimator:
    """Suggests when callers whose requests were not answered should retry.

    The retries are spread over the time in which the service, at its present rate
    of answers, could answer all of them. If all callers got the same time, their
    retries would arrive in one burst, and the service could not answer them either.
    """

    def __init__(self) -> None:
        self._answered = 0.0
        self._unanswered = 0.0
        self._updated_s = 0.0

    def record(self, is_answered: bool, now_s: float) -> None:
        """Count one ended request, either as answered or as unanswered."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        decay = math.exp(-elapsed_s / WINDOW_S)
        self._answered = self._answered * decay + is_answered
        self._unanswered = self._unanswered * decay + (not is_answered)

    def suggest_ms(self, earliest_ms: float, rng: random.Random) -> float:
        """Return a random time in ms after which one caller should retry.

        Parameters
        ----------
        earliest_ms : float
            Lower bound of the result.
        """
        answers_per_s = max(1.0, self._answered / WINDOW_S)
        spread_s = min(
            max(self._unanswered / answers_per_s, SPREAD_MIN_S), SPREAD_MAX_S
        )
        return earliest_ms + rng.random() * spread_s * 1000
