"""Rows of a benchmark report and their JSON and Markdown forms."""

from __future__ import annotations

import json
import os
import platform
import subprocess
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

RESULTS = Path(__file__).parent / "results"


@dataclass(frozen=True)
class Row:
    """One measured figure.

    :param name: what was measured
    :param value: the figure
    :param unit: unit of the figure, ``ratio`` for a ratio within one run
    :param target: the stated target as text, for example ``<= 1.15``
    :param met: whether the target was met; nothing if there is no target
    :param note: conditions of the run
    """

    name: str
    value: float
    unit: str
    target: str = ""
    met: bool | None = None
    note: str = ""


@dataclass
class Report:
    """All figures of one benchmark.

    :param name: name of the benchmark, also of its result files
    :param command: command that repeats the run
    :param rows: the figures
    :param series: curves for plots, by name: lists of (x, y)
    """

    name: str
    command: str
    rows: list[Row] = field(default_factory=list)
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def at_most(
        self, name: str, value: float, unit: str, limit: float, note: str = ""
    ) -> None:
        """Add a figure that must not exceed a stated target."""
        met = value <= limit
        self.rows.append(Row(name, value, unit, f"<= {limit:g}", met, note))

    def at_least(
        self, name: str, value: float, unit: str, limit: float, note: str = ""
    ) -> None:
        """Add a figure that must reach a stated target."""
        met = value >= limit
        self.rows.append(Row(name, value, unit, f">= {limit:g}", met, note))

    def plain(self, name: str, value: float, unit: str, note: str = "") -> None:
        """Add a figure without a target."""
        self.rows.append(Row(name, value, unit, note=note))


def machine() -> str:
    """Return the size of the machine, without its name."""
    cores = os.cpu_count()
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{cores} cores, {memory:.0f} GiB, Python {platform.python_version()}"


def commit() -> str:
    """Return the short hash of the measured commit."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def render(report: Report) -> str:
    """Return a report as Markdown."""
    lines = [
        f"# Benchmark: {report.name}",
        "",
        f"Commit {commit()}; {machine()}; command `{report.command}`.",
        "",
        "| figure | value | unit | target | met | note |",
        "|---|---|---|---|---|---|",
    ]
    for row in report.rows:
        met = {None: "", True: "yes", False: "**no**"}[row.met]
        cells = [row.name, f"{row.value:.4g}", row.unit, row.target, met, row.note]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def write(report: Report) -> None:
    """Write a report as JSON and Markdown under ``bench/results``."""
    RESULTS.mkdir(exist_ok=True)
    body = {"commit": commit(), "machine": machine()} | asdict(report)
    text = json.dumps(body, indent=1, sort_keys=True)
    (RESULTS / f"{report.name}.json").write_text(text + "\n")
    (RESULTS / f"{report.name}.md").write_text(render(report))
