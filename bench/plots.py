"""Plots of the series in ``bench/results/*.json`` as PNG files beside them."""

from __future__ import annotations

import importlib.util
import json
import re
from pathlib import Path

RESULTS = Path(__file__).parent / "results"
COLUMNS = 3
PANEL_INCHES = 3.2


def matplotlib_available() -> bool:
    """Return whether matplotlib (optional extra ``plots``) is installed."""
    return importlib.util.find_spec("matplotlib") is not None


def file_name(report: str, group: str) -> str:
    """Return the name of the PNG file of a group of series."""
    return f"{report}-{re.sub(r'[^a-z0-9]+', '-', group.lower()).strip('-')}.png"


def group_series(series: dict[str, list]) -> dict[str, dict[str, list]]:
    """Group series by the prefix of their names before the first colon.

    Series without a colon form the group ``series``.
    """
    groups: dict[str, dict[str, list]] = {}
    for name, points in sorted(series.items()):
        group, separator, rest = name.partition(": ")
        key, label = (group, rest) if separator else ("series", name)
        groups.setdefault(key, {})[label] = points
    return groups


def draw(report: str, group: str, series: dict[str, list]) -> Path:
    """Draw one panel for each series and return the path of the PNG file."""
    from matplotlib.figure import Figure

    columns = min(COLUMNS, len(series))
    rows = -(-len(series) // columns)
    figure = Figure(
        figsize=(PANEL_INCHES * columns, PANEL_INCHES * 0.8 * rows),
        layout="constrained",
    )
    for number, (label, points) in enumerate(series.items(), 1):
        panel = figure.add_subplot(rows, columns, number)
        panel.plot(*zip(*sorted(map(tuple, points)), strict=True), marker="o")
        panel.set_title(label, fontsize=9)
        panel.set_ylim(bottom=0)
        panel.tick_params(labelsize=7)
    figure.suptitle(f"{report}: {group}", fontsize=10)
    path = RESULTS / file_name(report, group)
    # Without matplotlib's version in the metadata, the file changes only when the
    # figures do.
    figure.savefig(path, dpi=80, metadata={"Software": None})
    return path


def draw_report(name: str) -> list[Path]:
    """Draw all series of a result file.

    :param name: name of the benchmark
    :returns: the PNG files; none without matplotlib or without series
    """
    if not matplotlib_available():
        return []
    series = json.loads((RESULTS / f"{name}.json").read_text()).get("series", {})
    return [
        draw(name, group, group_points)
        for group, group_points in group_series(series).items()
    ]
