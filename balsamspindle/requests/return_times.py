"""When callers that were given up may come back."""

import math
import random

__all__ = ["ReturnTimes"]

# Ends of requests are counted over about this time.
WINDOW_S = 10.0
RETURN_MIN_S, RETURN_MAX_S = 2.0, 60.0


class ReturnTimes:
    """When callers that were given up may come back.

    They are spread over the time in which the service, at its present rate of
    answers, could serve all of them: told the same time, they would return as
    the same wave that could not be served.
    """

    def __init__(self) -> None:
        self._answered = 0.0
        self._given_up = 0.0
        self._changed_s = 0.0

    def note(self, is_answered: bool, now_s: float) -> None:
        """Count the end of one request."""
        passed_s = max(0.0, now_s - self._changed_s)
        self._changed_s = max(now_s, self._changed_s)
        fade = math.exp(-passed_s / WINDOW_S)
        self._answered = self._answered * fade + is_answered
        self._given_up = self._given_up * fade + (not is_answered)

    def suggest_ms(self, earliest_ms: float, rng: random.Random) -> float:
        """Return after which time one caller may come back."""
        answers_per_s = max(1.0, self._answered / WINDOW_S)
        spread_s = min(max(self._given_up / answers_per_s, RETURN_MIN_S), RETURN_MAX_S)
        return earliest_ms + rng.random() * spread_s * 1000
