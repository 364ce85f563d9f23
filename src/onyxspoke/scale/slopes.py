"""Straight lines through measurements."""

from __future__ import annotations

import statistics

import msgspec

MINIMUM_POINTS = 2


class Point(msgspec.Struct, frozen=True):
    """One measurement: the size that was set and the cost that was seen."""

    size: float
    cost: float


class Slope(msgspec.Struct, frozen=True):
    """The line through some measurements.

    ``per_unit`` and ``fixed`` are in ``unit``; ``r_squared`` tells how well it fits.
    """

    name: str
    size_name: str
    unit: str
    per_unit: float
    fixed: float
    r_squared: float
    points: list[Point]

    def at(self, size: float) -> float:
        """Return the cost that the line gives for a size."""
        return self.fixed + self.per_unit * size

    def summary(self) -> str:
        """Return the line in words."""
        return (
            f"{self.name}: {self.per_unit:.6g} {self.unit} per {self.size_name}"
            f" + {self.fixed:.4g} {self.unit} (r2 {self.r_squared:.3f},"
            f" {len(self.points)} points up to {max(point.size for point in self.points):g})"
        )


def fit(name: str, size_name: str, unit: str, points: list[Point]) -> Slope:
    """Return the least-squares line through at least two points of different size."""
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    if len(points) < MINIMUM_POINTS or len(set(sizes)) < MINIMUM_POINTS:
        raise ValueError(f"{name}: a slope needs two points of different size")
    line = statistics.linear_regression(sizes, costs)
    varies = len(set(costs)) > 1
    r_squared = statistics.correlation(sizes, costs) ** 2 if varies else 1.0
    return Slope(name, size_name, unit, line.slope, line.intercept, r_squared, points)
