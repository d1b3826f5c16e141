"""Reviews of many groups by a host that ranks first for all of them."""

from __future__ import annotations

from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.limits.ownership import REVIEWS_AT_ONCE
from primroseford.limits.ownership import Ownership
from primroseford.limits.tests.fakes import FakeLease
from primroseford.limits.tests.test_ranking import FakeMembership
from primroseford.membership.state import HostInfo


class NoNetwork:
    """A peer network that sends nothing."""

    def register(self, *_):
        """Handle no messages."""


class CountingKeeper:
    """Refuses the leases that others hold and counts the attempts."""

    def __init__(self):
        self.tried = []
        self.free = True

    async def acquire(self, name):
        """Return a lease if it is free."""
        self.tried.append(name)
        return FakeLease(name, 1, 100.0) if self.free else None


async def test_attempts_to_take_leases_are_bounded_and_reach_every_group():
    """Guards against a new host that spends all platform calls on leases."""
    own = HostInfo(HostId("h"), Incarnation("1"), "", FailureDomainId("d"))
    keeper = CountingKeeper()
    ownership = Ownership(
        own, FakeMembership((own,)), NoNetwork(), keeper, None, lambda: 1.0, 64, 9
    )
    keeper.free = False
    for _ in range(8):
        before = len(keeper.tried)
        await ownership.reconcile()
        assert len(keeper.tried) - before <= REVIEWS_AT_ONCE
    assert len(set(keeper.tried)) == 64
    keeper.free = True
    for _ in range(8):
        await ownership.reconcile()
    assert len(ownership.owned) == 64
