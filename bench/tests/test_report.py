"""Tests of reports, their comparison with earlier results, and line fits."""

from __future__ import annotations

import pytest

from bench import plots
from bench.fit import fit
from bench.report import Report
from bench.report import render


def test_report_shows_the_value_before_and_the_plots(tmp_path):
    """Guards against a report that does not show that a figure became worse."""
    report = Report("x", "make bench ARGS=x")
    report.add_figure("cost", 3.0, "us")
    report.add_figure("new figure", 1.0, "us")
    earlier = {"commit": "abc", "rows": [{"name": "cost", "value": 2.0}]}
    page = render(report, earlier, [tmp_path / "x-series.png"])
    assert "| cost | 2 (+50%) | 3 | us |" in page
    assert "| new figure |  | 1 | us |" in page
    assert "Before: commit abc." in page and "(x-series.png)" in page


def test_fit_returns_slope_intercept_and_error():
    """Guards against wrong standard errors of slopes on the capacity page."""
    exact = fit([(0, 1), (1, 3), (2, 5)])
    assert (exact.slope, exact.intercept) == pytest.approx((2, 1))
    assert exact.error == pytest.approx(0, abs=1e-9)
    # By hand: residuals 1/3, -2/3, 1/3; squared deviations of x sum up to 2.
    assert fit([(0, 1), (1, 1), (2, 3)]).error == pytest.approx((1 / 3) ** 0.5)


def test_series_are_grouped_into_one_file_each():
    """Guards against hundreds of plot files, one for each series."""
    found = plots.group_series(
        {"hosts: memory": [], "hosts: processor": [], "chunk": []}
    )
    assert {k: set(v) for k, v in found.items()} == {
        "hosts": {"memory", "processor"},
        "series": {"chunk"},
    }
    assert plots.file_name("capacity", "edits a second") == (
        "capacity-edits-a-second.png"
    )
