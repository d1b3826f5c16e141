"""Plots of the series in ``bench/results/*.json`` as PNG files beside them."""

from __future__ import annotations

import importlib.util
import json
import re
from pathlib import Path

RESULTS = Path(__file__).parent / "results"
COLUMNS = 3
PANEL_INCHES = 3.2


def available() -> bool:
    """Return whether matplotlib is installed (optional extra ``plots``)."""
    return importlib.util.find_spec("matplotlib") is not None


def file_name(report: str, group: str) -> str:
    """Return the name of the PNG file of a group of series."""
    return f"{report}-{re.sub(r'[^a-z0-9]+', '-', group.lower()).strip('-')}.png"


def grouped(series: dict[str, list]) -> dict[str, dict[str, list]]:
    """Return series by the part of their names before the colon.

    Series without a colon are together in the group ``series``.
    """
    groups: dict[str, dict[str, list]] = {}
    for name, points in sorted(series.items()):
        group, found, rest = name.partition(": ")
        key, label = (group, rest) if found else ("series", name)
        groups.setdefault(key, {})[label] = points
    return groups


def draw(report: str, group: str, series: dict[str, list]) -> Path:
    """Draw one panel for each series and return the file."""
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
    # Without the program's version the file changes only with the figures.
    figure.savefig(path, dpi=80, metadata={"Software": None})
    return path


def draw_report(name: str) -> list[Path]:
    """Draw all series of a committed or new result file.

    :param name: name of the benchmark
    :returns: the PNG files; none without matplotlib or without series
    """
    if not available():
        return []
    series = json.loads((RESULTS / f"{name}.json").read_text()).get("series", {})
    return [draw(name, group, found) for group, found in grouped(series).items()]
