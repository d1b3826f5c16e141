"""What runners say about themselves in the heads of their responses."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from primroseford.gateway.notices import RunnerNotice
from primroseford.platform.runner_calls import decode_notice


@pytest.mark.parametrize(
    ("headers", "notice"),
    [
        ([("Server-Leaving", "1")], RunnerNotice(leaving=True)),
        ([("Server-Leaving", " 1 ")], RunnerNotice(leaving=True)),
        (
            [("Server-Leaving", "0"), ("Server-Leaving", "1")],
            RunnerNotice(leaving=True),
        ),
        ([("Server-Leaving", "0")], RunnerNotice()),
        ([("Server-Leaving", "")], RunnerNotice()),
        ([("Server-Leaving", "true")], RunnerNotice()),
        (
            [("Server-Leaving", "1"), ("Server-Limit", "2")],
            RunnerNotice(request_limit=2.0, leaving=True),
        ),
        (
            [("Server-Leaving", "1"), ("Server-Limit", "x")],
            RunnerNotice(invalid_limit="x", leaving=True),
        ),
    ],
)
def test_notice_of_leaving_is_missed(headers, notice):
    """Guards against a notice that is lost, or one that the runner did not give."""
    assert decode_notice(SimpleNamespace(headers=CIMultiDict(headers))) == notice


@pytest.mark.parametrize(
    ("values", "notice"),
    [
        ([], RunnerNotice()),
        (["2.5"], RunnerNotice(request_limit=2.5)),
        ([" 12 "], RunnerNotice(request_limit=12.0)),
        ([".5"], RunnerNotice(request_limit=0.5)),
        (["0"], RunnerNotice(invalid_limit="0")),
        (["-1"], RunnerNotice(invalid_limit="-1")),
        (["inf"], RunnerNotice(invalid_limit="inf")),
        (["nan"], RunnerNotice(invalid_limit="nan")),
        (["1e400"], RunnerNotice(invalid_limit="1e400")),
        (["2.5", "3"], RunnerNotice(invalid_limit="2.5, 3")),
        (["2.5, 3"], RunnerNotice(invalid_limit="2.5, 3")),
        (["9" * 5000], RunnerNotice(invalid_limit="9" * 40)),
    ],
)
def test_request_limit_that_is_no_rate_is_obeyed(values, notice):
    """Guards against limits that are no positive rate."""
    headers = CIMultiDict(("Server-Limit", value) for value in values)
    assert decode_notice(SimpleNamespace(headers=headers)) == notice
