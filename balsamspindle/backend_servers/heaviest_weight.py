"""Determines the fraction of a service's retries reserved for heavier requests."""

__all__ = ["RESERVED_FOR_HEAVIER_FRACTION", "HeaviestWeight"]

# Fraction of a service's retries that lighter requests must leave to heavier ones.
# Heavier requests may be calls whose answers other requests need, or requests of
# greater value.
RESERVED_FOR_HEAVIER_FRACTION = 0.5

HEAVIEST_WEIGHT_EXPIRY_S = 10.0


class HeaviestWeight:
    """The greatest weight of one service's recent requests."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._recorded_s = -HEAVIEST_WEIGHT_EXPIRY_S

    def record(self, weight: float, now_s: float) -> None:
        """Record a weight if it is the greatest, or if the recorded one has expired."""
        if (
            weight >= self._weight
            or now_s - self._recorded_s > HEAVIEST_WEIGHT_EXPIRY_S
        ):
            self._weight, self._recorded_s = weight, now_s

    def reserved_fraction(self, weight: float) -> float:
        """Return the fraction of retries that a request must leave to heavier requests.

        Between 0 and 1; 0 if no heavier request is recorded.
        """
        return RESERVED_FOR_HEAVIER_FRACTION if weight < self._weight else 0.0
