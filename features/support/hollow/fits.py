"""Least-squares lines through measured points."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Line:
    """``y = intercept + slope * x``, and the largest residual relative to the largest ``y``.

    ``points`` is how many were fitted; two points leave no residual to judge the line by.
    """

    slope: float
    intercept: float
    residual: float
    points: int

    def at(self, x: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fit a line by least squares; needs two different ``xs``."""
    if len(set(xs)) < 2:
        raise ValueError("a slope needs at least two sizes")
    slope, intercept = np.polyfit(np.asarray(xs, float), np.asarray(ys, float), 1)
    worst = max(abs(y - (intercept + slope * x)) for x, y in zip(xs, ys, strict=True))
    largest = max(abs(y) for y in ys)
    return Line(float(slope), float(intercept), float(worst / largest) if largest else 0.0, len(xs))
