"""Fixtures that the slices' tests share."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from primroseford.clock import ManualClock
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.lease.keeper import create_lease_keeper
from primroseford.metrics import Metrics
from primroseford.platform.client import create_platform_client
from primroseford.proof.site import Site
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

WAIT_STEPS = 2_000


@pytest.fixture
def clock() -> ManualClock:
    """A clock that starts at 100 s and moves only when told to."""
    return ManualClock(100.0)


@pytest.fixture
async def session():
    """An HTTP session like that of a host."""
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
async def platform():
    """A platform stand-in that is served; ``url`` is its address."""
    stand_in = create_platform_stand_in()
    served = await serve(create_platform_application(stand_in))
    stand_in.url = served.url
    yield stand_in
    await served.stop()


@pytest.fixture
def metrics() -> Metrics:
    """Metrics that the client of the stand-in counts in."""
    return Metrics()


@pytest.fixture
def client(platform, session, metrics):
    """A client of the stand-in that does not wait between attempts."""
    built = create_platform_client(platform.url, session, metrics=metrics)

    async def no_wait(_: float) -> None: ...

    built.sleep = no_wait
    return built


@pytest.fixture
def create_keeper(client, clock):
    """Creates the lease keeper of a host; all hosts share the manual clock."""

    def create(name: str, incarnation: str = "1"):
        return create_lease_keeper(
            client, HostId(name), Incarnation(incarnation), clock
        )

    return create


@pytest.fixture
def eventually():
    """Waits for a condition, with a generous bound."""

    async def wait(condition) -> None:
        for _ in range(WAIT_STEPS):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the condition did not become true")

    return wait


@pytest.fixture
async def site(platform, session):
    """One host with two runners; more can be added."""
    built = Site(platform, session)
    built.put("config", "main", configuration())
    for name in ("i-1", "i-2"):
        await built.add_runner(name)
    await built.add_host()
    yield built
    await built.stop()
