from __future__ import annotations

from pathlib import Path

import pytest

from primroseford.reference import PAGES

DOCS = Path(__file__).parents[3] / "docs"


@pytest.mark.parametrize("page", PAGES)
def test_page_is_current(page):
    """Guards against a reference page that describes another model."""
    assert (DOCS / f"{page}.md").read_text() == PAGES[page]()


@pytest.mark.parametrize("page", PAGES)
def test_every_field_has_a_meaning(page):
    """Guards against a field that operators meet without an explanation."""
    rows = [line for line in PAGES[page]().splitlines() if line.startswith("| `")]
    assert rows
    assert not [row for row in rows if row.endswith("|  |")]
