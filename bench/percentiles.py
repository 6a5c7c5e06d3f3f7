"""Percentiles of lists of values."""

__all__ = ["percentile"]


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of all values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
