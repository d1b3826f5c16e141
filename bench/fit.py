"""Least-squares lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from bench.report import Report


@dataclass(frozen=True)
class Line:
    """A fitted line.

    :param error: standard error of the slope
    """

    slope: float
    base: float
    error: float


def fit(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through at least three points."""
    x, y = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    slope, base = np.polyfit(x, y, 1)
    rest = y - (slope * x + base)
    spread = ((x - x.mean()) ** 2).sum()
    error = float(np.sqrt((rest**2).sum() / (len(points) - 2) / spread))
    return Line(float(slope), float(base), error)


def add_slope(
    report: Report,
    name: str,
    points: list[tuple[float, float]],
    unit: str,
    scale: float = 1.0,
    note: str = "",
) -> None:
    """Add the slope of a series with its points and its error.

    :param unit: unit of the scaled slope
    :param scale: factor on the slope, for example 1e6 for microseconds
    """
    points = sorted(points)
    line = fit(points)
    seen = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    text = f"± {line.error * scale:.2g}; at 0: {line.base:.4g}; points {seen}"
    report.plain(name, line.slope * scale, unit, f"{text}; {note}" if note else text)
    report.series[name] = points
