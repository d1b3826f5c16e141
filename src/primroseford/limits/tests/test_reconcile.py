"""Reconcile passes of a host that ranks first for many groups."""

from __future__ import annotations

import asyncio

from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.limits.ownership import MAX_RECONCILES_PER_PASS
from primroseford.limits.ownership import Ownership
from primroseford.limits.tests.fakes import FakeLease
from primroseford.limits.tests.test_ranking import FakeMembership
from primroseford.membership.state import HostInfo


class NoNetwork:
    """A peer network that sends nothing."""

    def register(self, *_):
        """Handle no messages."""


class SlowNetwork(NoNetwork):
    """A peer network on which every call takes a while; the peer fetches nothing."""

    async def call(self, *_):
        """Return after a while."""
        await asyncio.sleep(0.01)


class CountingKeeper:
    """Records the attempts to acquire leases; refuses them while ``free`` is off."""

    def __init__(self):
        self.attempted_names = []
        self.released_names = []
        self.free = True

    async def acquire(self, name):
        """Return a lease if it is free."""
        self.attempted_names.append(name)
        return FakeLease(name, 1, 100.0) if self.free else None

    async def release(self, lease):
        """Record a released lease."""
        self.released_names.append(lease.name)


async def test_lease_attempts_are_bounded_and_reach_every_group():
    """Guards against a new host that spends its limit of platform calls on leases."""
    own = HostInfo(HostId("h"), Incarnation("1"), "", FailureDomainId("d"))
    keeper = CountingKeeper()
    ownership = Ownership(
        own, FakeMembership((own,)), NoNetwork(), keeper, None, lambda: 1.0, 64, 9
    )
    keeper.free = False
    for _ in range(8):
        before = len(keeper.attempted_names)
        await ownership.reconcile()
        assert len(keeper.attempted_names) - before <= MAX_RECONCILES_PER_PASS
    assert len(set(keeper.attempted_names)) == 64
    keeper.free = True
    for _ in range(8):
        await ownership.reconcile()
    assert len(ownership.owned) == 64


async def test_stop_ends_at_a_group_that_a_pass_hands_over():
    """Guards against a stop that leaves services and sockets open (KeyError)."""
    own, other = (
        HostInfo(HostId(name), Incarnation("1"), "", FailureDomainId("d"))
        for name in ("h", "other")
    )
    membership, keeper = FakeMembership((own,)), CountingKeeper()
    ownership = Ownership(
        own, membership, SlowNetwork(), keeper, None, lambda: 1.0, 8, 9
    )
    await ownership.reconcile()
    assert len(ownership.owned) == 8
    membership.current = (own, other)
    offering = asyncio.create_task(ownership.reconcile())
    await asyncio.sleep(0)
    await ownership.hand_over_all()
    await offering
    assert not ownership.owned
    assert sorted(keeper.released_names) == [f"limits-{n}" for n in range(8)]
