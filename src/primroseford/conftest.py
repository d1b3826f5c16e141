"""Fixtures shared by the tests of several packages."""

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

MAX_POLLS = 2_000


@pytest.fixture
def clock() -> ManualClock:
    """A manual clock that starts at 100 s."""
    return ManualClock(100.0)


@pytest.fixture
async def session():
    """An HTTP client session."""
    async with aiohttp.ClientSession() as client_session:
        yield client_session


@pytest.fixture
async def platform():
    """A platform stand-in served over HTTP; ``url`` is its address."""
    stand_in = create_platform_stand_in()
    served = await serve(create_platform_application(stand_in))
    stand_in.url = served.url
    yield stand_in
    await served.stop()


@pytest.fixture
def metrics() -> Metrics:
    """Metrics that the platform client updates."""
    return Metrics()


@pytest.fixture
def client(platform, session, metrics):
    """A client of the platform stand-in without backoff between attempts."""
    platform_client = create_platform_client(platform.url, session, metrics=metrics)

    async def no_wait(_: float) -> None: ...

    platform_client.sleep = no_wait
    return platform_client


@pytest.fixture
def create_keeper(client, clock):
    """A function that creates a host's lease keeper; all share the manual clock."""

    def create(name: str, incarnation: str = "1"):
        return create_lease_keeper(
            client, HostId(name), Incarnation(incarnation), clock
        )

    return create


@pytest.fixture
def eventually():
    """A function that polls a condition, for at least 10 s before it fails."""

    async def wait(condition) -> None:
        for _ in range(MAX_POLLS):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("the condition did not become true")

    return wait


@pytest.fixture
async def site(platform, session):
    """A site with one host and two runners; more can be added."""
    new_site = Site(platform, session)
    new_site.put("config", "main", configuration())
    for name in ("i-1", "i-2"):
        await new_site.add_runner(name)
    await new_site.add_host()
    yield new_site
    await new_site.stop()


@pytest.fixture
async def create_versions_site(platform, session):
    """A function that starts hosts and runners of the given software versions."""
    sites = []

    async def create(versions, hosts: int = 1, **fields) -> Site:
        new_site = Site(platform, session)
        sites.append(new_site)
        new_site.put("config", "main", configuration())
        for number, version in enumerate(versions, 1):
            await new_site.add_runner(f"i-{number}", version=version, **fields)
        for _ in range(hosts):
            await new_site.add_host()
        for host in new_site.hosts:
            members = host.gateway.members
            await new_site.until(
                lambda m=members, h=host: len(m.live(h.clock())) == hosts - 1
            )
        return new_site

    yield create
    for new_site in sites:
        await new_site.stop()
