"""What hosts know of the runners' limits."""

from __future__ import annotations

import pytest

from primroseford.gateway.runners import RunnerKey
from primroseford.request_limits.observations import END_MARGIN_SECONDS
from primroseford.request_limits.observations import REPORT_SECONDS
from primroseford.request_limits.observations import LimitObservations

RUNNER = RunnerKey("i-1", 1)


@pytest.mark.parametrize(
    ("steps", "rate"),
    [
        ([("observe", None, 1.0)], None),
        ([("observe", 2.0, 1.0)], 2.0),
        ([("observe", 2.0, 1.0), ("observe", None, 1.1)], None),
        ([("merge", None, 1.0)], None),
        ([("merge", 2.0, 1.0)], 2.0),
        ([("observe", 2.0, 1.0), ("merge", 3.0, 0.9)], 2.0),
        ([("observe", 2.0, 1.0), ("merge", 3.0, 1.1)], 3.0),
        ([("observe", 2.0, 1.0), ("merge", None, 1.0 + END_MARGIN_SECONDS)], 2.0),
        ([("observe", 2.0, 1.0), ("merge", None, 1.1 + END_MARGIN_SECONDS)], None),
        ([("merge", 2.0, 1.0), ("observe", None, 2.0), ("merge", 2.0, 1.5)], None),
    ],
)
def test_older_report_replaces_a_newer_observation(steps, rate):
    """Guards against limits that end or come back because of old reports."""
    limits = LimitObservations()
    for step, value, at in steps:
        getattr(limits, step)(RUNNER, value, at)
    assert limits.rate(RUNNER) == rate


def test_runner_that_has_left_is_remembered():
    """Guards against knowledge that grows with each runner that comes and goes."""
    limits = LimitObservations()
    limits.observe(RUNNER, 2.0, 1.0)
    limits.forget([RUNNER], 100.0)
    assert limits.rate(RUNNER) == 2.0
    assert not limits.reports(1.0 + REPORT_SECONDS)
    limits.forget([], 100.0)
    assert not limits.newest and not limits.own
