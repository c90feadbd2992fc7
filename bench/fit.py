"""Least-squares lines through measured points."""

import dataclasses

import numpy


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """The line ``value = base + slope * size`` and its error.

    ``error`` is the root mean square of the residuals, in the unit of the
    values.
    """

    base: float
    slope: float
    error: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.base + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Fit a line by least squares.

    >>> line = fit_line([(1, 3), (2, 5), (3, 7), (4, 9)])
    >>> round(line.base, 6), round(line.slope, 6), round(line.error, 6)
    (1.0, 2.0, 0.0)
    """
    sizes = numpy.array([size for size, _ in points], dtype=float)
    values = numpy.array([value for _, value in points], dtype=float)
    slope, base = numpy.polyfit(sizes, values, 1)
    residuals = values - (base + slope * sizes)
    error = float(numpy.sqrt(numpy.mean(residuals**2)))
    return Line(float(base), float(slope), error, tuple(points))
