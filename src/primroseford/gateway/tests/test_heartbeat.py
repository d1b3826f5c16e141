from __future__ import annotations

from dataclasses import replace

import pytest

from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.gateway.spending_reports import ReportedSpending
from primroseford.peer.codec import encode
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import configuration


def limited_configuration(rate: float) -> dict:
    """Return a configuration with a rate limit for the only organisation."""
    tenant = {"name": "caroni", "api_keys": [KEY], "rate_per_s": rate, "burst": rate}
    return configuration(2, tenants=[tenant])


async def wait_until_joined(site, count: int) -> None:
    """Wait until all hosts receive heartbeats from each other."""
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == count - 1)


@pytest.mark.parametrize("restarted", [False, True])
async def test_earlier_admissions_do_not_count_on_a_new_host(site, restarted):
    """Guards against refusals within the rate after the start of another host."""
    site.put("config", "main", limited_configuration(1000.0))
    await site.until(lambda: site.hosts[0].gateway.tables.version == 2)
    for number in range(30):
        assert (await site.call("/once/whole", f"id-{number}"))[0] == 200
    site.hosts[0].gateway.quotas.admitted["caroni"] = 100_000
    reported = ReportedSpending(100_000, 100_000, 0.0)
    site.hosts[0].services[0].spending.reported["caroni"] = reported
    if restarted:
        site.hosts[0].services[0].incarnation = "anew"
    await site.add_host()
    await wait_until_joined(site, 2)
    assert (await site.call("/once/whole", "last"))[0] == 200
    quotas = site.hosts[1].gateway.quotas
    await site.until(lambda: "caroni" in quotas.buckets)
    assert quotas.buckets["caroni"].level > -10


async def test_heartbeat_of_an_older_version_is_accepted(site):
    """Guards against ignored heartbeats between versions during a rolling upgrade."""
    other = await site.add_host()
    await wait_until_joined(site, 2)
    older = other.services[0].heartbeat()
    older.confirmed_ms_ago = None
    gateway = site.hosts[0].gateway
    before = gateway.confirmed_at
    site.hosts[0].services[0].receive(encode(older))
    assert gateway.members.peers["host-1"].heartbeat.sequence == older.sequence
    assert gateway.confirmed_at == before


@pytest.mark.parametrize("leaving", [False, True])
async def test_loads_of_a_lost_host_are_removed(site, leaving):
    """Guards against slots that count as used by a lost host."""
    other = await site.add_host()
    await wait_until_joined(site, 2)
    other.gateway.allocator.runners["i-1"].online = 5
    other.gateway.stopping = leaving
    other.gateway.allocator.changed = True
    seen = site.hosts[0].gateway.allocator.runners["i-1"]
    await site.until(lambda: seen.peers == {"host-1": (5, 0)})
    other.services[0].transport.close()
    await site.until(lambda: not seen.peers)
    assert site.hosts[0].gateway.allocator.hosts == 1


async def test_hosts_share_one_rate(site):
    """Guards against hosts that each admit the full rate."""
    await site.add_host()
    await wait_until_joined(site, 2)
    site.put("config", "main", limited_configuration(5.0))
    for host in site.hosts:
        await site.until(lambda h=host: h.gateway.tables.version == 2)
    statuses = []
    for number in range(40):
        status, headers, _ = await site.call(
            "/once/whole", f"id-{number}", host=number % 2
        )
        statuses.append(status)
        assert status == 200 or float(headers["Retry-After"]) > 0
    assert statuses.count(200) <= 5 + 8
    assert set(statuses) == {200, 429}


@pytest.mark.parametrize(
    ("version", "confirmed"), [(1, True), (0, False)], ids=["same", "older"]
)
async def test_hosts_share_confirmations_of_the_configuration(site, version, confirmed):
    """Guards against 503 for unknown keys between the watch calls of one host."""
    other = await site.add_host()
    await wait_until_joined(site, 2)
    tables = replace(other.gateway.tables, version=version)
    gateway = site.hosts[0].gateway
    for duty in (*site.hosts[0].services, *other.services):
        if isinstance(duty, PlatformWatcher):
            await duty.stop()
    other.gateway.tables = tables
    other.gateway.confirmed_at = other.clock() - 1.0
    gateway.confirmed_at = gateway.clock() - 100.0
    heard = gateway.members.peers["host-1"].heartbeat.sequence
    await site.until(
        lambda: gateway.members.peers["host-1"].heartbeat.sequence > heard + 2
    )
    assert (gateway.clock() - gateway.confirmed_at < 5.0) == confirmed
