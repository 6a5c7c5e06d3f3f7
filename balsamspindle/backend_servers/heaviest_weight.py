"""Which part of a service's retries is reserved for its heaviest requests."""

__all__ = ["RESERVED_FOR_HEAVIER_FRACTION", "HeaviestWeight"]

# Part of a service's retries that lighter requests leave to heavier ones, which may
# be calls that other requests wait for, or requests of greater value.
RESERVED_FOR_HEAVIER_FRACTION = 0.5

HEAVIEST_WEIGHT_EXPIRY_S = 10.0


class HeaviestWeight:
    """The greatest weight of one service's recent requests."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._recorded_s = -HEAVIEST_WEIGHT_EXPIRY_S

    def record(self, weight: float, now_s: float) -> None:
        """Raise the maximum to a request's weight, or replace an expired one."""
        if (
            weight >= self._weight
            or now_s - self._recorded_s > HEAVIEST_WEIGHT_EXPIRY_S
        ):
            self._weight, self._recorded_s = weight, now_s

    def reserved_fraction(self, weight: float) -> float:
        """Return the part of the retries that a request leaves to heavier ones.

        Between 0 and 1; 0 for the heaviest requests.
        """
        return RESERVED_FOR_HEAVIER_FRACTION if weight < self._weight else 0.0
