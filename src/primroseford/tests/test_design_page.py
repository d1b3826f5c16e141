from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[1]
PAGE = SOURCE.parents[1] / "docs" / "design.md"
ROWS = re.findall(r"^\| (I\d+) \| (`.*) \|$", PAGE.read_text(), re.M)
TESTS = re.compile(r"`([\w/]+\.py)?(?:::)?(\w+)?`")


@pytest.mark.parametrize(("invariant", "cell"), ROWS)
def test_named_tests_exist(invariant, cell):
    """Guards against an invariant whose listed test was renamed or removed."""
    module = ""
    for path, name in TESTS.findall(cell):
        module = path.replace("proof/test", "proof/tests/test") or module
        text = (SOURCE / module).read_text()
        assert not name or f"def {name}(" in text, f"{module}::{name}"


def test_every_invariant_has_a_row():
    """Guards against an invariant that the page lists without a test."""
    listed = re.findall(r"^\| (I\d+) \| [^`]", PAGE.read_text(), re.M)
    assert listed == [f"I{n}" for n in range(1, 16)]
    assert [name for name, _ in ROWS] == listed
