from __future__ import annotations

import pytest

from primroseford.gateway import quarantine_store
from primroseford.gateway.members import preferred_host
from primroseford.gateway.quarantine_store import QUARANTINE_KIND
from primroseford.quarantine.state import QuarantineRecord

PART = "deadly/part:1"
"""An id that is no valid name of an object."""


@pytest.fixture
async def quarantined(site, monkeypatch):
    """A site of two hosts that have quarantined a part and stored it."""
    monkeypatch.setattr(quarantine_store, "POLL_SECONDS", 0.2)
    await site.add_host()
    for host in site.hosts:
        gateway = host.gateway
        await site.until(lambda gateway=gateway: gateway.members.peers)
        trial_at = gateway.clock() + 30.0
        gateway.quarantine.apply(QuarantineRecord(PART, 1, trial_at, 30.0))
    await site.until(lambda: stored(site))
    return site


def stored(site) -> dict:
    """Return the stored quarantines by name."""
    return site.platform.state.objects.get(QUARANTINE_KIND, {})


def active(host) -> set[str]:
    """Return the parts that a host has quarantined."""
    return host.gateway.quarantine.active()


async def test_quarantine_is_forgotten_when_all_hosts_restart(quarantined):
    """Guards against deadly requests after a restart of the whole fleet."""
    for host in quarantined.hosts:
        await host.stop()
    host = await quarantined.add_host()
    await quarantined.until(lambda: active(host) == {PART})
    record = host.gateway.quarantine.records[PART]
    assert 20.0 < record.trial_at - host.gateway.clock() <= 30.5


async def test_quarantine_that_an_operator_removed_goes_on(quarantined):
    """Guards against an operator who cannot lift a wrong quarantine."""
    (name,) = stored(quarantined)
    # The host that polls must have seen the object before it is removed.
    services = [
        service
        for host in quarantined.hosts
        for service in host.services
        if isinstance(service, quarantine_store.QuarantineStore)
    ]
    for service in services:
        await service.find_removed()
    quarantined.platform.state.delete(QUARANTINE_KIND, name, None)
    await quarantined.until(lambda: not any(map(active, quarantined.hosts)))
    assert not stored(quarantined)


async def test_quarantine_goes_on_after_the_host_that_read_it_was_lost(quarantined):
    """Guards against an operator's removal that only a lost host could notice."""
    site = quarantined
    hosts = [host.gateway.members.own for host in site.hosts]
    polling = preferred_host(QUARANTINE_KIND, hosts)
    part = next(
        name
        for name in map("part:{}".format, range(100))
        if preferred_host(name, hosts) == polling
    )
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, clock=host.clock: m.live(clock()))
    others = {*stored(site)}
    for host in site.hosts:
        trial_at = host.gateway.clock() + 30.0
        host.gateway.quarantine.apply(QuarantineRecord(part, 1, trial_at, 30.0))
    await site.until(lambda: len(stored(site)) == 2)
    (name,) = stored(site).keys() - others
    (lost,) = [h for h in site.hosts if h.gateway.members.own == polling]
    (other,) = [h for h in site.hosts if h is not lost]
    # The object is removed between two polls of the host that is lost.
    for service in lost.services:
        if isinstance(service, quarantine_store.QuarantineStore):
            service.client = None
    site.platform.state.delete(QUARANTINE_KIND, name, None)
    await lost.stop()
    site.hosts.remove(lost)
    await site.until(lambda: part not in active(other))


async def test_lifted_quarantine_stays_in_the_store(quarantined):
    """Guards against a quarantine that comes back with the next restart."""
    host = quarantined.hosts[0]
    host.gateway.quarantine.record_served([PART])
    await quarantined.until(lambda: not any(map(active, quarantined.hosts)))
    await quarantined.until(lambda: not stored(quarantined))


@pytest.mark.parametrize("spec", [{}, {"part": "x"}, {"part": "x", "generation": "y"}])
async def test_malformed_quarantine_stops_a_host(site, spec):
    """Guards against a host that does not start because of another writer's object."""
    site.put(QUARANTINE_KIND, "other", spec)
    host = await site.add_host()
    assert not active(host)
