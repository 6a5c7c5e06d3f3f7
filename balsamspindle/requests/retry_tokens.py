"""Token bucket that limits retries to a fraction of requests."""

import math

from balsamspindle.settings.documents import RetryBudget

__all__ = ["FLOOR_BURST_S", "WINDOW_S", "RetryTokens"]

# Time constant of the exponential decay of the tokens that requests add.
WINDOW_S = 10.0
# Tokens that are added at the budget's minimum rate accumulate for at most this long.
FLOOR_BURST_S = 2.0


class RetryTokens:
    """The tokens for retries of one service at one ingress; a retry costs one token.

    Each request adds the budget's `fraction` of a token; the tokens added by requests
    decay exponentially with the time constant `WINDOW_S`. In addition, `per_s_min`
    tokens are added every second, so that a service with few requests can retry, too.
    """

    def __init__(self) -> None:
        self._request_tokens = 0.0
        self._rate_tokens = math.inf
        self._changed_s = 0.0

    def record_request(self, budget: RetryBudget, now_s: float) -> None:
        """Add the fraction of a token that one request earns."""
        self._advance_time(budget, now_s)
        self._request_tokens += budget.fraction

    def remaining(self, budget: RetryBudget, now_s: float) -> float:
        """Return the number of tokens available."""
        self._advance_time(budget, now_s)
        return self._rate_tokens + self._request_tokens

    def available(self, budget: RetryBudget, now_s: float) -> bool:
        """Return whether a whole token is available."""
        self._advance_time(budget, now_s)
        return self._rate_tokens >= 1 or self._request_tokens >= 1

    def take(self, budget: RetryBudget, now_s: float, reserved: float = 0.0) -> bool:
        """Spend a token on a retry; return False if too few tokens are available.

        Parameters
        ----------
        reserved : float
            Fraction of the available tokens that is reserved for other requests.
        """
        if not self.available(budget, now_s):
            return False
        if reserved and (self._rate_tokens + self._request_tokens) * (1 - reserved) < 1:
            return False
        if self._rate_tokens >= 1:
            self._rate_tokens -= 1
        else:
            self._request_tokens -= 1
        return True

    def refund(self) -> None:
        """Add back a token that was spent on a retry that was not made."""
        self._rate_tokens += 1

    def _advance_time(self, budget: RetryBudget, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._changed_s)
        self._changed_s = max(now_s, self._changed_s)
        self._request_tokens *= math.exp(-elapsed_s / WINDOW_S)
        rate_tokens_max = max(1.0, budget.per_s_min * FLOOR_BURST_S)
        self._rate_tokens = min(
            rate_tokens_max, self._rate_tokens + budget.per_s_min * elapsed_s
        )
