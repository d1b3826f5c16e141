"""Least-squares lines through measured points."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

if TYPE_CHECKING:
    from bench.report import Report


@dataclass(frozen=True)
class Line:
    """A least-squares line.

    :param error: standard error of the slope
    """

    slope: float
    intercept: float
    error: float


def fit(points: list[tuple[float, float]]) -> Line:
    """Fit a least-squares line to at least three points."""
    x, y = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    slope, intercept = np.polyfit(x, y, 1)
    residuals = y - (slope * x + intercept)
    squared_deviations = ((x - x.mean()) ** 2).sum()
    error = float(
        np.sqrt((residuals**2).sum() / (len(points) - 2) / squared_deviations)
    )
    return Line(float(slope), float(intercept), error)


def add_slope(
    report: Report,
    name: str,
    points: list[tuple[float, float]],
    unit: str,
    scale: float = 1.0,
    note: str = "",
) -> None:
    """Add the slope of a series, with its points and standard error in the note.

    :param unit: unit of the scaled slope
    :param scale: factor on the slope, for example 1e6 for microseconds
    """
    points = sorted(points)
    line = fit(points)
    listed_points = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    text = (
        f"± {line.error * scale:.2g}; at 0: {line.intercept:.4g}; "
        f"points {listed_points}"
    )
    report.add_figure(
        name, line.slope * scale, unit, f"{text}; {note}" if note else text
    )
    report.series[name] = points
