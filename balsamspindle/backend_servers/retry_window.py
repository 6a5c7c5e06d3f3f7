"""Sliding-window limit on the retries of one service at one gate.

In any ten seconds, the retries of a service in the fleet are limited to a fraction of
the service's requests plus a fixed number. Each gate applies the fraction to the
requests that it receives, and adds its portion of the fixed number. The limits of all
gates add up to the fleet's limit, so the gates need no coordination. A token bucket
could have only half the size of a gate's limit: a bucket that is full at the start of a
window can be filled again within the window, so that twice its size is spent.
"""

from collections import deque

from balsamspindle.settings.documents import RetryBudget

__all__ = ["WINDOW_S", "RetryWindow", "WeightCounts"]

WINDOW_S = 10.0
# Events are counted in steps of this length. Retries count for one step longer than the
# window and requests for one step less, so that rounding never allows more retries than
# the limit.
STEP_S = 0.5


class _WindowedCount:
    """Number of events within the last `retention_s` seconds."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._steps: deque[list[float]] = deque()
        self.total = 0.0

    def add(self, count: float, now_s: float) -> None:
        step_s = now_s - now_s % STEP_S
        if not self._steps or self._steps[-1][0] < step_s:
            self._steps.append([step_s, 0])
        self._steps[-1][1] += count
        self.total += count

    def discard_old(self, now_s: float) -> None:
        while self._steps and self._steps[0][0] < now_s - self._retention_s:
            self.total -= self._steps.popleft()[1]


class WeightCounts:
    """Numbers of events within the last `WINDOW_S`, by weight of their requests."""

    def __init__(self) -> None:
        self._counts: dict[float, _WindowedCount] = {}

    def record(self, weight: float, now_s: float) -> None:
        """Count an event."""
        self._counts.setdefault(weight, _WindowedCount(WINDOW_S)).add(1, now_s)

    def heavier_than(self, weight: float, now_s: float) -> float:
        """Return how many of the events had a heavier request."""
        for other in list(self._counts):
            self._counts[other].discard_old(now_s)
            if not self._counts[other].total:
                del self._counts[other]
        return sum(
            count.total for other, count in self._counts.items() if other > weight
        )


class RetryWindow:
    """Limit on the retries that one gate grants for one service."""

    def __init__(self) -> None:
        self._requests = _WindowedCount(WINDOW_S - STEP_S)
        self._retries = _WindowedCount(WINDOW_S + STEP_S)
        self._now_s = 0.0

    def record_request(self, budget: RetryBudget, now_s: float) -> None:
        """Count a request."""
        self._advance(now_s)
        self._requests.add(1, self._now_s)

    def allowed(self, budget: RetryBudget, now_s: float) -> float:
        """Return how many retries the window allows, including those made."""
        self._advance(now_s)
        return self._allowed(budget)

    def remaining(self, budget: RetryBudget, now_s: float) -> float:
        """Return how many more retries are allowed; negative after too many."""
        self._advance(now_s)
        return self._allowed(budget) - self._retries.total

    def available(self, budget: RetryBudget, now_s: float) -> bool:
        """Return whether at least one more retry is allowed."""
        return self.remaining(budget, now_s) >= 1

    def try_spend(
        self,
        budget: RetryBudget,
        now_s: float,
        reserved: float = 0.0,
    ) -> bool:
        """Count a retry and return True, or return False if it is not allowed.

        Parameters
        ----------
        reserved : float
            Number of the window's allowed retries that must remain afterwards.
        """
        if self.remaining(budget, now_s) < 1 + reserved:
            return False
        self._retries.add(1, self._now_s)
        return True

    def record_retries(self, count: float, now_s: float) -> None:
        """Count retries made without `try_spend`; `remaining` may become negative."""
        self._advance(now_s)
        self._retries.add(count, self._now_s)

    def refund(self) -> None:
        """Undo a `try_spend` whose retry was not made."""
        self._retries.add(-1, self._now_s)

    def _allowed(self, budget: RetryBudget) -> float:
        """Return the number of retries allowed in this window, including those made."""
        by_requests = budget.fraction * self._requests.total
        return by_requests + budget.fleet_per_s_min * WINDOW_S

    def _advance(self, now_s: float) -> None:
        self._now_s = max(self._now_s, now_s)
        self._requests.discard_old(self._now_s)
        self._retries.discard_old(self._now_s)
