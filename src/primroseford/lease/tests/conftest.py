"""Keepers of several hosts on one stand-in of the platform's service."""

from __future__ import annotations

import pytest

from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.lease.keeper import create_lease_keeper
from primroseford.platform.client import create_platform_client


@pytest.fixture
def client(platform, session):
    built = create_platform_client(platform.url, session)

    async def no_wait(_: float) -> None: ...

    built.sleep = no_wait
    return built


@pytest.fixture
def keeper_of(client, clock):
    """Creates the keeper of a host; all hosts share the manual clock."""

    def create(name: str, incarnation: str = "1"):
        return create_lease_keeper(
            client, HostId(name), Incarnation(incarnation), clock
        )

    return create
