"""Tests of the distribution between in-process hosts over a fake network."""

from __future__ import annotations

import asyncio

import pytest
from aiohttp import ClientSession
from aiohttp import web

from primroseford.clock import ManualClock
from primroseford.configuration.operator import add_configuration_routes
from primroseford.configuration.service import create_configuration_service
from primroseford.configuration.tests.fakes import FakeMembership
from primroseford.configuration.tests.fakes import FakeNetwork
from primroseford.configuration.tests.fakes import FakePlatform
from primroseford.configuration.tests.fakes import host_info
from primroseford.configuration.tests.fakes import rank_hosts
from primroseford.configuration.watcher import KEYS_RELIST_INTERVAL_SECONDS
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.standins.serving import serve

WAIT_SECONDS = 20


class Fleet:
    """Hosts with a shared manual clock; a pause sleeps for 10 ms of real time."""

    def __init__(self):
        self.clock = ManualClock(100.0)
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        names = [(f"h{n}", f"d{n % 3}") for n in range(9)]
        self.infos = {h: host_info(h, d) for h, d in names}
        self.membership = FakeMembership(self.infos.values())
        self.services = {}

    async def pause(self, seconds):
        await asyncio.sleep(0.01)

    async def start(self, *names):
        for name in names or self.infos:
            service = create_configuration_service(
                name,
                self.platform.client(name),
                self.network.peer(name),
                self.membership,
                rank_hosts,
                self.clock,
                self.pause,
            )
            self.services[name] = service
            await service.start()

    async def stop(self, name):
        service = self.services.pop(name)
        for key in [k for k in self.network.handlers if k[0] == name]:
            del self.network.handlers[key]
        self.membership.callbacks.remove(service.update_position)
        await service.stop()

    async def until(self, condition):
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.005)

    async def converged(self, *names):
        hosts = [self.services[n] for n in names or self.services]
        version = self.platform.version
        await self.until(
            lambda: all(s.store.current().version >= version for s in hosts)
        )

    def watchers(self, domain):
        return [
            n
            for n, s in self.services.items()
            if s.position.watches and self.infos[n].failure_domain == domain
        ]


@pytest.fixture
async def fleet():
    fleet = Fleet()
    fleet.platform.put("organisations", "caroni", {"rate": 5, "burst": 5})
    yield fleet
    fleet.network.unreachable.clear()
    for name in list(fleet.services):
        await fleet.stop(name)


async def test_edit_reaches_all_hosts_and_is_reported(fleet):
    """Guards against hosts that miss an edit or a deletion, and missing reports."""
    await fleet.start()
    await fleet.converged()
    fleet.platform.put("organisations", "hokuyo", {"rate": 5, "burst": 5})
    fleet.platform.remove("organisations", "caroni")
    await fleet.converged()
    for service in fleet.services.values():
        assert set(service.store.current().organisations) == {"hokuyo"}
    assert sum(s.position.watches for s in fleet.services.values()) == 6
    reader = next(iter(fleet.services.values()))
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            found = await reader.versions_in_force()
            if all(v and v.version == fleet.platform.version for v in found.values()):
                break
            await asyncio.sleep(0.01)
    assert set(found) == set(fleet.infos)


@pytest.mark.parametrize("victims", [1, 2])
async def test_loss_of_watchers_and_relay_parents(fleet, victims):
    """Guards against a failure domain that stalls when its watchers, which are also
    relay parents, fail: before and after the membership removes them."""
    await fleet.start()
    await fleet.converged()
    dead = fleet.watchers("d0")[:victims]
    for name in dead:
        await fleet.stop(name)
    fleet.platform.put("organisations", "hokuyo", {"rate": 5, "burst": 5})
    await fleet.converged()
    for name in dead:
        fleet.membership.remove(name)
    fleet.platform.put("organisations", "third", {"rate": 5, "burst": 5})
    await fleet.converged()
    assert len(fleet.watchers("d0")) == min(2, 3 - victims)


async def test_isolated_host_refuses_requests_as_not_run(fleet):
    """Guards against an isolated host that still admits a withdrawn key."""
    await fleet.start()
    await fleet.converged()
    fleet.platform.blocked.add("h0")
    fleet.network.unreachable.add("h0")
    host = fleet.services["h0"]
    await asyncio.sleep(0.05)
    for _ in range(7):
        fleet.clock.advance(1)
        await asyncio.sleep(0.05)
    await fleet.until(lambda: not host.admits(fleet.clock()))
    with pytest.raises(PrimrosefordError) as caught:
        host.check_admission(fleet.clock())
    assert caught.value.code is ResultCode.HOST_ISOLATED
    assert caught.value.outcome is Outcome.NOT_RUN
    others = [s for n, s in fleet.services.items() if n != "h0"]
    assert all(s.admits(fleet.clock()) for s in others)
    fleet.network.unreachable.clear()
    await fleet.until(lambda: host.admits(fleet.clock()))


async def test_five_minute_outage_with_a_host_started_in_it(fleet):
    """Guards against hosts that refuse requests, or cannot start, while the platform
    is down for all hosts."""
    await fleet.start(*list(fleet.infos)[:8])
    await fleet.converged()
    fleet.platform.down = True
    for second in range(300):
        fleet.clock.advance(1)
        await asyncio.sleep(0.005)
        if second == 150:
            await fleet.start("h8")
    await fleet.until(
        lambda: all(s.admits(fleet.clock()) for s in fleet.services.values())
    )
    started_late = fleet.services["h8"].store
    assert set(started_late.current().organisations) == {"caroni"}
    assert started_late.freshness(fleet.clock()) >= 290
    fleet.platform.down = False
    fleet.platform.put("organisations", "hokuyo", {"rate": 5, "burst": 5})
    await fleet.converged()


async def test_domain_without_platform_pulls_from_a_fresher_host(fleet):
    """Guards against a domain that stays at an old version while others advance."""
    await fleet.start()
    await fleet.converged()
    unreachable = [n for n, info in fleet.infos.items() if info.failure_domain == "d1"]
    fleet.platform.blocked.update(unreachable)
    await asyncio.sleep(0.05)
    fleet.platform.put("organisations", "hokuyo", {"rate": 5, "burst": 5})
    for _ in range(6):
        fleet.clock.advance(1)
        await asyncio.sleep(0.05)
    await fleet.converged()
    await fleet.until(
        lambda: all(
            fleet.services[n].store.freshness(fleet.clock()) < 5 for n in unreachable
        )
    )


async def test_expired_watch_is_followed_by_a_list(fleet):
    """Guards against a watch that fails forever after its version has expired."""
    await fleet.start()
    await fleet.converged()
    fleet.platform.down = True
    await asyncio.sleep(0.05)
    fleet.platform.put("organisations", "hokuyo", {"rate": 5, "burst": 5})
    fleet.platform.remove("organisations", "caroni")
    fleet.platform.events.clear()
    fleet.platform.log_start = fleet.platform.version
    fleet.platform.down = False
    await fleet.converged()
    for service in fleet.services.values():
        assert set(service.store.current().organisations) == {"hokuyo"}


async def test_operators_read_the_versions_of_all_hosts(fleet):
    """Guards against a missing report of a host that is shown as a version."""
    await fleet.start("h0", "h1")
    await fleet.converged()
    app = web.Application()
    add_configuration_routes(app, fleet.services["h0"])
    served = await serve(app)
    async with ClientSession() as session:
        async with session.get(served.url + "/versions") as answer:
            body = await answer.json()
    await served.stop()
    assert set(body) == set(fleet.infos)
    assert body["h0"]["version"] == fleet.platform.version
    assert body["h8"] is None


async def test_withdrawal_whose_event_was_lost_takes_effect_within_seconds(fleet):
    """Guards against a withdrawn key that stays valid because its event was lost."""
    spec = {"organisation": "o", "hash": "0" * 64, "withdrawn": False}
    fleet.platform.put("keys", "k", spec)
    await fleet.start()
    await fleet.converged()
    fleet.platform.put("keys", "k", spec | {"withdrawn": True})
    fleet.platform.events.pop()
    fleet.platform.put("organisations", "o", {"rate": 1, "burst": 1})
    await fleet.converged()
    services = fleet.services.values()
    assert not any(s.store.current().keys["k"].withdrawn for s in services)
    lists = fleet.platform.lists
    first = len(lists)
    watchers = {host for host, kind in lists if kind == "keys"}
    fleet.clock.advance(KEYS_RELIST_INTERVAL_SECONDS + 1)
    # Only a list finds the change whose event was lost; other calls may come first.
    await fleet.until(
        lambda: watchers <= {host for host, kind in lists[first:] if kind == "keys"}
    )
    fleet.platform.put("organisations", "p", {"rate": 1, "burst": 1})
    await fleet.until(
        lambda: all(s.store.current().keys["k"].withdrawn for s in services)
    )
