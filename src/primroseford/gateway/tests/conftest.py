"""Fixtures of hosts before stand-ins."""

from __future__ import annotations

import pytest

from primroseford.proof.site import Site
from primroseford.standins.fleet_objects import configuration


@pytest.fixture
async def rig(platform, session):
    """One host with two runners; more can be added."""
    built = Site(platform, session)
    built.put("config", "main", configuration())
    for name in ("i-1", "i-2"):
        await built.add_runner(name)
    await built.add_host()
    yield built
    await built.stop()
