"""Percentiles of lists of values."""

__all__ = ["percentile"]


def percentile(values: list[float], fraction: float) -> float:
    """Return the value at position ``fraction * len(values)`` of the sorted values.

    The position is rounded down. At a fraction of 1, the result is the largest value.

    Raises
    ------
    IndexError
        When `values` is empty.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
