"""Sums by weight that decay exponentially, for averages over the last seconds."""

import math

__all__ = ["DecayingSums"]

# A smaller sum is discarded.
SUM_MIN = 0.001


class DecayingSums:
    """Sums values by the weight of their requests.

    A sum divided by `averaging_s` is the average of the added values per second.

    Parameters
    ----------
    averaging_s : float
        Time constant of the decay.
    """

    def __init__(self, averaging_s: float) -> None:
        self._averaging_s = averaging_s
        self._sums: dict[float, float] = {}
        self._changed_s = 0.0

    def add(self, weight: float, value: float, now_s: float) -> None:
        """Add a value to the sum of its weight."""
        self._decay(now_s)
        self._sums[weight] = self._sums.get(weight, 0.0) + value

    def heavier_than(self, weight: float, now_s: float) -> float:
        """Return the sum over all weights above `weight`."""
        self._decay(now_s)
        return sum(value for other, value in self._sums.items() if other > weight)

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._changed_s)
        self._changed_s = max(now_s, self._changed_s)
        decay = math.exp(-elapsed_s / self._averaging_s)
        for weight in list(self._sums):
            self._sums[weight] *= decay
            if self._sums[weight] < SUM_MIN:
                del self._sums[weight]
