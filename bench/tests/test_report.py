"""Reports, their comparison with earlier ones, and fits."""

from __future__ import annotations

import pytest

from bench import plots
from bench.fit import fit
from bench.report import Report
from bench.report import render


def test_report_shows_the_value_before_and_the_plots(tmp_path):
    """Guards against a report that hides a figure that became worse."""
    report = Report("x", "make bench ARGS=x")
    report.plain("cost", 3.0, "us")
    report.plain("new figure", 1.0, "us")
    earlier = {"commit": "abc", "rows": [{"name": "cost", "value": 2.0}]}
    page = render(report, earlier, [tmp_path / "x-series.png"])
    assert "| cost | 2 (+50%) | 3 | us |" in page
    assert "| new figure |  | 1 | us |" in page
    assert "Before: commit abc." in page and "(x-series.png)" in page


def test_fit_returns_slope_base_and_error():
    """Guards against slopes on the capacity page with a wrong error."""
    exact = fit([(0, 1), (1, 3), (2, 5)])
    assert (exact.slope, exact.base) == pytest.approx((2, 1))
    assert exact.error == pytest.approx(0, abs=1e-9)
    # By hand: residuals 1/3, -2/3, 1/3 and a spread of 2.
    assert fit([(0, 1), (1, 1), (2, 3)]).error == pytest.approx((1 / 3) ** 0.5)


def test_series_are_grouped_into_one_file_each():
    """Guards against hundreds of files, one for each series."""
    found = plots.grouped({"hosts: memory": [], "hosts: processor": [], "chunk": []})
    assert {k: set(v) for k, v in found.items()} == {
        "hosts": {"memory", "processor"},
        "series": {"chunk"},
    }
    assert plots.file_name("capacity", "edits a second") == (
        "capacity-edits-a-second.png"
    )
