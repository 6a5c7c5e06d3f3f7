"""Least-squares lines through measured points, for extrapolation."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Line", "fit_line"]


class Line(NamedTuple):
    """The line ``intercept + slope * x``.

    Attributes
    ----------
    largest_x : float
        Largest `x` of the measured points.
    residual : float
        Largest vertical distance of a point from the line, as a fraction of the
        point's value.
    """

    intercept: float
    slope: float
    largest_x: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.intercept + self.slope * x


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through at least two points.

    Raises
    ------
    ValueError
        When all points have the same `x`.
    """
    sizes = {x for x, _ in points}
    if len(sizes) < 2:
        raise ValueError(
            "fitting a line needs points with at least two different x values"
        )
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square_sum
    intercept = mean_y - slope * mean_x
    residual = max(
        abs(intercept + slope * x - y) / max(abs(y), 1e-9) for x, y in points
    )
    return Line(intercept, slope, max(sizes), residual)
