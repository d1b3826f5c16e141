"""Fixtures for the tests of pairs of failures."""

from __future__ import annotations

import pytest

from primroseford.membership import service as membership
from primroseford.membership import view
from primroseford.proof.fleet import WholeFleet

BEAT_SECONDS = 0.2
"""Shorter than in production, so that hosts discover each other sooner."""


@pytest.fixture
async def fleet(tmp_path, monkeypatch):
    """Return a fleet that the test starts; its hosts are stopped after the test."""
    monkeypatch.setattr(view, "BEAT_SECONDS", BEAT_SECONDS)
    monkeypatch.setattr(membership, "LIST_SECONDS", BEAT_SECONDS)
    created = WholeFleet(tmp_path)
    yield created
    await created.stop()
