from __future__ import annotations

from primroseford.clock import ManualClock
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.membership.service import create_membership
from primroseford.membership.state import HostInfo
from primroseford.membership.tests.fakes import FakePlatform
from primroseford.peer.handshake import digest_settings
from primroseford.peer.network import create_peer_network

SECRET = b"0123456789abcdef-secret"


async def test_hosts_find_each_other_from_seeds_while_the_platform_is_down():
    """Guards against a fleet that cannot start during an outage of the platform."""
    clock, platform = ManualClock(100.0), FakePlatform()
    platform.down = True
    members, networks, seeds = {}, [], ()
    digest = digest_settings({"limits.groups": 16})

    def resolver(name):
        return lambda host_id: members[name].resolve(host_id)

    for i in range(5):
        name = HostId(f"h{i}")
        domain = FailureDomainId("ab"[i % 2])
        info = HostInfo(name, Incarnation("1"), "127.0.0.1:0", domain)
        network = create_peer_network(
            info, SECRET, clock, resolver(name), settings_digest=digest
        )
        await network.start()
        networks.append(network)
        info = HostInfo(name, Incarnation("1"), network.address, domain)
        members[name] = create_membership(info, network, platform, clock, seeds)
        seeds = seeds or (network.address,)
    for _ in range(10):
        clock.advance(1.0)
        for member in members.values():
            await member.exchange_with_platform()
            await member.run_heartbeat_round()
    views = {tuple(h.host_id for h in m.hosts()) for m in members.values()}
    for network in networks:
        await network.stop()
    assert views == {tuple(members)}
