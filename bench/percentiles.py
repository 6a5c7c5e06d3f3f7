"""Percentiles of a list of figures."""

__all__ = ["percentile"]


def percentile(values: list[float], fraction: float) -> float:
    """Return the value that a fraction of all values does not go over."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
