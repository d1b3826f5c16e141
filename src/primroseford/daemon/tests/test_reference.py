from __future__ import annotations

from pathlib import Path

from primroseford.daemon.reference import render

ROOT = Path(__file__).parents[4]


def test_settings_page_is_current():
    """Guards against a settings page that describes another model."""
    assert (ROOT / "docs" / "settings.md").read_text() == render()
