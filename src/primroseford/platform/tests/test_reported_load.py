"""Load that runners report in the heads of their responses."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from primroseford.gateway.notices import ReportedLoad
from primroseford.platform.runner_calls import decode_load


@pytest.mark.parametrize(
    ("values", "load"),
    [
        ([], None),
        (["3, 1, 8"], ReportedLoad(3, 1, 8)),
        (["3,1,8,250"], ReportedLoad(3, 1, 8, 250)),
        ([" 3 1 8 100 "], ReportedLoad(3, 1, 8, 100)),
        (["3, 1, 8, 20"], ReportedLoad(3, 1, 8, 20)),
        (["3, 1, 8, 1000"], ReportedLoad(3, 1, 8, 1000)),
        (["3, 1, 8, 19"], ReportedLoad(3, 1, 8)),
        (["3, 1, 8, 1001"], ReportedLoad(3, 1, 8)),
        (["3, 1, 8, -5"], None),
        (["3, 1, 8, nan"], None),
        (["3, 1, 8, 1e9"], None),
        (["3, 1, 8, 100, 7"], None),
        (["3, 1"], None),
        (["3, 1, 0, 100"], None),
        (["3, 1, 8, \u00b2"], None),
        (["3, 1, 8, 100", "3, 1, 8, 100"], None),
        (["9" * 5000], None),
        (["3," + " " * 5000 + "1, 8"], None),
        ([""], None),
    ],
)
def test_invalid_load_is_believed(values, load):
    """Guards against loads that are no figures, and slowness that is out of bounds."""
    headers = CIMultiDict(("Server-Load", value) for value in values)
    assert decode_load(SimpleNamespace(headers=headers)) == load
