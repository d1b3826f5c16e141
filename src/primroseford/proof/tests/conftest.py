"""Fixtures of the tests under pairs of failures."""

from __future__ import annotations

import pytest

from primroseford.proof.fleet import WholeFleet


@pytest.fixture
async def fleet(tmp_path):
    """Whole hosts that are stopped after the test; the test starts them."""
    created = WholeFleet(tmp_path)
    yield created
    await created.stop()
