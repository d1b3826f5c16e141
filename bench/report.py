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

from bench.plots import draw_report

RESULTS = Path(__file__).parent / "results"


@dataclass(frozen=True)
class Row:
    """One measured figure.

    :param name: what was measured
    :param value: the figure
    :param unit: unit of the figure; ``ratio`` for the ratio of two figures of one run
    :param target: the stated target as text, for example ``<= 1.15``
    :param met: whether the target was met; None if there is no target
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
    :param command: command that runs the benchmark
    :param rows: the figures
    :param series: curves for plots by name, as lists of (x, y)
    """

    name: str
    command: str
    rows: list[Row] = field(default_factory=list)
    series: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def add_at_most(
        self, name: str, value: float, unit: str, limit: float, note: str = ""
    ) -> None:
        """Add a figure that must not exceed a stated target."""
        met = value <= limit
        self.rows.append(Row(name, value, unit, f"<= {limit:g}", met, note))

    def add_at_least(
        self, name: str, value: float, unit: str, limit: float, note: str = ""
    ) -> None:
        """Add a figure that must reach a stated target."""
        met = value >= limit
        self.rows.append(Row(name, value, unit, f">= {limit:g}", met, note))

    def add_figure(self, name: str, value: float, unit: str, note: str = "") -> None:
        """Add a figure without a target."""
        self.rows.append(Row(name, value, unit, note=note))


def describe_machine() -> str:
    """Return the machine's cores, memory and Python version, without its name."""
    cores = os.cpu_count()
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    return f"{cores} cores, {memory:.0f} GiB, Python {platform.python_version()}"


def commit_hash() -> str:
    """Return the abbreviated hash of the current commit."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


def read_committed(name: str) -> dict:
    """Return the result file of the current commit; empty if there is none."""
    command = ["git", "show", f"HEAD:./{name}.json"]
    done = subprocess.run(
        command, capture_output=True, text=True, check=False, cwd=RESULTS
    )
    return json.loads(done.stdout) if done.returncode == 0 else {}


def format_change(before: float | None, value: float) -> str:
    """Return a figure's previous value with the change in percent."""
    if before is None:
        return ""
    if before == 0:
        return f"{before:.4g}"
    return f"{before:.4g} ({(value - before) / abs(before):+.0%})"


def render(report: Report, earlier: dict, plots: list[Path]) -> str:
    """Return a report as Markdown.

    :param earlier: the committed result file of the same benchmark
    :param plots: images to include
    """
    before = {row["name"]: row["value"] for row in earlier.get("rows", ())}
    compared = f" Before: commit {earlier['commit']}." if earlier else ""
    lines = [
        f"# Benchmark: {report.name}",
        "",
        f"Commit {commit_hash()}; {describe_machine()}; "
        f"command `{report.command}`.{compared}",
        "",
        "| figure | before | value | unit | target | met | note |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in report.rows:
        met = {None: "", True: "yes", False: "**no**"}[row.met]
        earlier_value = format_change(before.get(row.name), row.value)
        value = f"{row.value:.4g}"
        cells = [row.name, earlier_value, value, row.unit, row.target, met, row.note]
        lines.append("| " + " | ".join(cells) + " |")
    for path in plots:
        lines += ["", f"![{path.stem}]({path.name})"]
    return "\n".join(lines) + "\n"


def write_report(report: Report) -> str:
    """Write a report as JSON, plots and Markdown under ``bench/results``.

    :returns: the Markdown
    """
    RESULTS.mkdir(exist_ok=True)
    body = {"commit": commit_hash(), "machine": describe_machine()} | asdict(report)
    text = json.dumps(body, indent=1, sort_keys=True)
    (RESULTS / f"{report.name}.json").write_text(text + "\n")
    page = render(report, read_committed(report.name), draw_report(report.name))
    (RESULTS / f"{report.name}.md").write_text(page)
    return page
