from __future__ import annotations

from pathlib import Path

import pytest

from primroseford.reference import PAGES

DOCS = Path(__file__).parents[3] / "docs"


@pytest.mark.parametrize("page", PAGES)
def test_page_matches_the_models(page):
    """Guards against a reference page that was not regenerated after a change."""
    assert (DOCS / f"{page}.md").read_text() == PAGES[page]()


@pytest.mark.parametrize("page", PAGES)
def test_every_field_has_a_description(page):
    """Guards against a field without a description on its reference page."""
    rows = [line for line in PAGES[page]().splitlines() if line.startswith("| `")]
    assert rows
    assert not [row for row in rows if row.endswith("|  |")]
