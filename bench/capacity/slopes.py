"""Straight lines through measured points."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Line", "fit_line"]


class Line(NamedTuple):
    """``intercept + slope * x``.

    Attributes
    ----------
    largest_x : float
        The largest size that was measured.
    residual : float
        Largest distance of a point from the line, as a part of its value.
    """

    intercept: float
    slope: float
    largest_x: float
    residual: float

    def at(self, x: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through at least two points.

    Raises
    ------
    ValueError
        When there are fewer than two sizes.
    """
    sizes = {x for x, _ in points}
    if len(sizes) < 2:
        raise ValueError("a line needs two sizes")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(
        abs(intercept + slope * x - y) / max(abs(y), 1e-9) for x, y in points
    )
    return Line(intercept, slope, max(sizes), residual)
