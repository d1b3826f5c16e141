from __future__ import annotations

from random import Random

from primroseford.batch.placement import Placement
from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState


class Hosts:
    """Membership that a test changes."""

    def __init__(self) -> None:
        self.current: tuple[HostInfo, ...] = ()

    def hosts(self) -> tuple[HostInfo, ...]:
        """Return the hosts."""
        return self.current


def test_cached_assignments_equal_a_ranking_of_all_hosts():
    """Guards against a cached assignment that is not updated when hosts change."""
    random, hosts = Random(5), Hosts()
    placement = Placement(hosts, rank_hosts)
    keys = [f"runner-{n}" for n in range(40)]
    for _ in range(200):
        hosts.current = tuple(
            HostInfo(f"h{n}", str(random.random() < 0.1), f"a{n}", "d", state)
            for n in range(9)
            for state in [random.choice(list(HostState))]
            if random.random() < 0.9
        )
        live = [host for host in hosts.current if host.state is HostState.LIVE]
        for key in random.sample(keys, 25):
            expected = rank_hosts(key, live)[0].host_id if live else None
            assert placement.host_for(key) == expected
