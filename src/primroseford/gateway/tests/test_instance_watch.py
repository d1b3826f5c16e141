"""Connections that show when the process of an idle runner ends."""

from __future__ import annotations

import pytest

from primroseford.gateway.instance_watch import WATCHING_HOSTS
from primroseford.gateway.instance_watch import InstanceWatch
from primroseford.gateway.instance_watch import create_ring
from primroseford.gateway.instance_watch import watching_hosts
from primroseford.gateway.tests.test_software_versions import FIELDS


def watches(host) -> InstanceWatch:
    """Return the service of a host that watches runners."""
    (service,) = [s for s in host.services if isinstance(s, InstanceWatch)]
    return service


def open_connections(site) -> list[int]:
    """Return the number of open connections to each runner."""
    return [len(runner.web_server.connections) for runner in site.runners]


@pytest.mark.parametrize("hosts", [1, 3])
async def test_restart_of_an_idle_runner_is_noticed_by_no_host(
    create_versions_site, hosts
):
    """Guards against streams that begin at the version of an old entry.

    No host has an exchange with the runner when it starts again.
    """
    site = await create_versions_site(("v1", "v1"), hosts, **FIELDS)
    expected = min(hosts, WATCHING_HOSTS)
    await site.until(lambda: open_connections(site) == [expected, expected])
    await site.restart_unlisted("i-1", version="v2", **FIELDS)
    lists = [host.gateway.allocator.runners for host in site.hosts]
    await site.until(lambda: all(known["i-1"].entry.is_unlisted for known in lists))
    assert not any(known["i-2"].entry.is_unlisted for known in lists)


async def test_watch_of_a_lost_host_is_taken_over_by_none(create_versions_site):
    """Guards against runners that nobody watches after a host was lost."""
    site = await create_versions_site(("v1", "v1", "v1"), 3, **FIELDS)
    await site.until(lambda: open_connections(site) == [2, 2, 2])
    await site.kill_host(0)
    left = site.hosts[1:]
    await site.until(lambda: all(len(watches(host).tasks) == 3 for host in left))


async def test_connection_to_a_runner_stays_open_after_it_has_left(
    create_versions_site,
):
    """Guards against connections that nobody uses any more."""
    site = await create_versions_site(("v1", "v1"), **FIELDS)
    await site.until(lambda: open_connections(site) == [1, 1])
    site.platform.state.delete("servers", "i-2", None)
    site.platform.announce()
    await site.until(lambda: open_connections(site) == [1, 0])
    assert set(watches(site.hosts[0]).tasks) == {"i-1"}


@pytest.mark.parametrize(
    ("hosts", "runners"), [(1, 5), (2, 5), (9, 5), (60, 45), (300, 3000)]
)
def test_runner_is_watched_by_few_hosts(hosts, runners):
    """Guards against runners without a watching host, and against a host with most."""
    names = [f"host-{number}" for number in range(hosts)]
    ring = create_ring(names)
    chosen = {f"i-{n}": watching_hosts(ring, f"i-{n}") for n in range(runners)}
    assert all(len(set(w)) == min(WATCHING_HOSTS, hosts) for w in chosen.values())
    # The loss of a host changes the watches of its own runners only.
    lost = chosen["i-0"][0]
    ring = create_ring(name for name in names if name != lost)
    for name, before in chosen.items():
        if lost not in before:
            assert watching_hosts(ring, name) == before
    if hosts > WATCHING_HOSTS:
        per_host = runners * WATCHING_HOSTS / hosts
        watched = [sum(name in w for w in chosen.values()) for name in names]
        assert max(watched) <= 5 + 8 * per_host
