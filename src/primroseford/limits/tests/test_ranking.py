"""Cached rankings follow changes of the hosts."""

from __future__ import annotations

from dataclasses import replace

from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.limits.ranking import Ranking
from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState


class FakeMembership:
    """A membership whose hosts a test replaces."""

    def __init__(self, hosts):
        self.current = hosts

    def hosts(self):
        """Return the same tuple until the hosts change."""
        return self.current


def test_cached_rankings_follow_each_change_of_the_hosts():
    """Guards against cached rankings that still name a host that left or is leaving."""
    hosts = tuple(
        HostInfo(HostId(f"h{n}"), Incarnation("1"), "", FailureDomainId("d"))
        for n in range(9)
    )
    membership = FakeMembership(hosts)
    ranking = Ranking(membership)
    for group in range(8):
        first = ranking.live(group)[0]
        leaving = tuple(
            replace(h, state=HostState.LEAVING) if h.host_id == first else h
            for h in hosts
        )
        gone = tuple(h for h in hosts if h.host_id != first)
        for current in (leaving, gone, hosts):
            membership.current = current
            live = [h for h in current if h.state is HostState.LIVE]
            expected = [h.host_id for h in rank_hosts(f"limits/{group}", live)]
            assert ranking.live(group) == ranking.remaining(group) == expected
            assert ranking.names() == {h.host_id for h in current}
    membership.current = tuple(replace(h, state=HostState.LEAVING) for h in hosts)
    assert not ranking.live(0)
    assert set(ranking.remaining(0)) == {h.host_id for h in hosts}
