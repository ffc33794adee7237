"""Straight lines through measured points, with the error of the slope.

Capacity figures are extrapolated along such lines.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes:
        slope: Growth of the value with each unit of size.
        slope_error: Standard error of the slope.
        intercept: Value at size 0.
        r_squared: Share of the spread that the line explains.
    """

    slope: float
    slope_error: float
    intercept: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line; the error is 0 where only two points were measured.

    Args:
        sizes: At least two different sizes.
        values: One value for each.
    """
    x = np.asarray(sizes, dtype=float)
    y = np.asarray(values, dtype=float)
    spread = float(((x - x.mean()) ** 2).sum())
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * float(x.mean())
    residual = float(((y - intercept - slope * x) ** 2).sum())
    total = float(((y - y.mean()) ** 2).sum())
    freedom = len(x) - 2
    error = (residual / freedom / spread) ** 0.5 if freedom > 0 else 0.0
    return Line(slope, error, intercept, 1.0 - residual / total if total else 1.0)
