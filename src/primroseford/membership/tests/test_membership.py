from __future__ import annotations

import pytest

from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostState
from primroseford.membership.tests.fakes import MembershipFleet

NAMES = [f"h{i}" for i in range(9)]


@pytest.fixture
async def fleet():
    """Return nine hosts in three failure domains that know each other."""
    fleet = MembershipFleet()
    for i, name in enumerate(NAMES):
        fleet.add(name, "abc"[i % 3])
    await fleet.run(15)
    assert fleet.views() == {tuple(NAMES)}
    return fleet


async def test_views_and_versions_are_stable_without_changes(fleet):
    """Guards against hosts that flap while nothing changes."""
    versions = [member.version for member in fleet.members.values()]
    await fleet.run(60)
    assert fleet.views() == {tuple(NAMES)}
    assert versions == [member.version for member in fleet.members.values()]


@pytest.mark.parametrize("platform_down", [False, True])
@pytest.mark.parametrize("lost", NAMES)
async def test_dead_host_is_removed_although_it_is_listed(fleet, lost, platform_down):
    """Guards against a stale list or gossip that keeps a dead host in the views."""
    fleet.platform.down = platform_down
    fleet.kill(lost)
    await fleet.run(25)
    left = tuple(name for name in NAMES if name != lost)
    assert fleet.views() == {left}
    await fleet.run(40)
    assert fleet.views() == {left}


async def test_silent_host_is_suspected_before_its_removal(fleet):
    """Guards against a dead host that is not suspected and so gets new work."""
    fleet.kill("h4")
    states = set()
    for _ in range(8):
        await fleet.run(1)
        for member in fleet.members.values():
            states |= {h.state for h in member.hosts() if h.host_id == "h4"}
    assert HostState.SUSPECTED in states


async def test_replaced_host_with_the_same_address_takes_over(fleet):
    """Guards against two entries for one address after a replacement."""
    address = fleet.members["h2"].view.own.address
    fleet.kill("h2")
    fleet.add("h2", "c", incarnation="2", address=address)
    await fleet.run(20)
    for member in fleet.members.values():
        found = [h for h in member.hosts() if h.address == address]
        assert [h.incarnation for h in found] == ["2"]


async def test_replacement_under_another_name_drops_the_old_name(fleet):
    """Guards against an old host that keeps the address of its replacement."""
    address = fleet.members["h2"].view.own.address
    fleet.kill("h2")
    fleet.add("n1", "c", incarnation="2", address=address)
    await fleet.run(20)
    for member in fleet.members.values():
        assert [h.host_id for h in member.hosts() if h.address == address] == ["n1"]


async def test_partition_splits_and_heals(fleet):
    """Guards against groups that stay separate after a network partition."""
    for name in NAMES[:4]:
        fleet.sides[name] = 1
    fleet.platform.down = True
    await fleet.run(40)
    assert fleet.views() == {tuple(NAMES[:4]), tuple(NAMES[4:])}
    fleet.sides.clear()
    fleet.platform.down = False
    await fleet.run(30)
    assert fleet.views() == {tuple(NAMES)}


async def test_leaving_host_is_known_on_all_hosts_within_seconds(fleet):
    """Guards against new work for a host or backend server that is leaving."""
    await fleet.members["h5"].leave()
    spec = {"role": "backend", "state": "leaving", "address": "10.1.0.1:80"}
    fleet.platform.put("hosts", "backend-1", spec)
    await fleet.run(2)
    for member in fleet.members.values():
        assert member.is_leaving("backend-1")
        assert member.is_leaving("10.1.0.1:80")
    await fleet.run(4)
    for member in fleet.members.values():
        assert member.is_leaving("h5")
        assert not member.is_leaving("h6")


async def test_change_raises_the_version_and_calls_back(fleet):
    """Guards against dependants that miss a change."""
    calls = []
    member = fleet.members["h0"]
    member.on_change(lambda: calls.append(member.version))
    fleet.kill("h8")
    await fleet.run(25)
    assert calls == sorted(set(calls))
    assert calls[-1] == member.version


async def test_traffic_of_a_host_does_not_grow_with_the_fleet():
    """Guards against control traffic that grows with the number of hosts."""
    costs = {}
    for size in (9, 45):
        fleet = MembershipFleet()
        for i in range(size):
            fleet.add(f"h{i:02}", "abc"[i % 3])
        await fleet.run(20)
        fleet.sent.clear()
        await fleet.run(20)
        plain = [n for n, m in fleet.members.items() if not m.aggregator]
        costs[size] = max(fleet.sent[name] for name in plain)
    assert costs[45][0] <= costs[9][0]
    assert costs[45][1] <= costs[9][1] * 1.2


def test_ranking_moves_only_the_keys_of_a_lost_host():
    """Guards against a ranking that reshuffles all keys on each change."""
    fleet = MembershipFleet()
    hosts = [fleet.add(name).view.own for name in NAMES]
    for key in map(str, range(200)):
        ranked = rank_hosts(key, hosts)
        without = [host for host in hosts if host != ranked[3]]
        assert rank_hosts(key, reversed(without)) == ranked[:3] + ranked[4:]
