"""In-memory lease service and fleets of limiters over loopback."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from primroseford.clock import boottime
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.limits.service import create_limiter
from primroseford.membership.state import HostInfo
from primroseford.metrics import Metrics
from primroseford.peer.network import create_peer_network

LEASE_SECONDS = 3.0
SECRET = b"0123456789abcdef-secret"


@dataclass
class FakeLease:
    """A lease that its keeper renews until the host is killed."""

    name: str
    fencing: int
    until: float

    def valid(self, now):
        """Return whether the lease has not expired."""
        return now < self.until


class FakeLeaseTable:
    """The latest lease of each name in the fleet."""

    def __init__(self):
        self.leases = {}
        self.down = False


class FakeLeaseKeeper:
    """Leases of one host, renewed by ``renew``."""

    def __init__(self, table, clock):
        self.table = table
        self.clock = clock
        self.held_leases = []

    async def acquire(self, name):
        """Return the lease unless another one is valid."""
        now = self.clock()
        current = self.table.leases.get(name)
        if self.table.down or (current is not None and current.valid(now)):
            return None
        fencing = current.fencing + 1 if current else 1
        lease = FakeLease(name, fencing, now + LEASE_SECONDS)
        self.table.leases[name] = lease
        self.held_leases.append(lease)
        return lease

    async def release(self, lease):
        """Release a lease."""
        lease.until = 0.0
        if lease in self.held_leases:
            self.held_leases.remove(lease)

    def renew(self):
        """Renew the leases that are still valid."""
        now = self.clock()
        for lease in self.held_leases:
            if lease.valid(now) and not self.table.down:
                lease.until = now + LEASE_SECONDS


class StaticMembership:
    """A membership whose hosts the test sets."""

    def __init__(self, infos):
        self.infos = infos

    def hosts(self):
        """Return the hosts sorted by name."""
        return tuple(sorted(self.infos.values(), key=lambda info: info.host_id))


class LimiterFleet:
    """Limiters on one event loop with real peer connections."""

    def __init__(self, limit_lookup, groups=16, clock=boottime):
        self.limit_lookup = limit_lookup
        self.groups = groups
        self.clock = clock
        self.infos = {}
        self.membership = StaticMembership(self.infos)
        self.table = FakeLeaseTable()
        self.limiters = {}
        self.keepers = {}
        self.networks = {}
        self.renewal_task = None

    async def start(self, count):
        """Start ``count`` hosts, named ``h00``, ``h01`` and so on."""
        for i in range(count):
            name = HostId(f"h{i:02}")
            self.infos[name] = HostInfo(
                name, Incarnation("1"), "127.0.0.1:0", FailureDomainId("abc"[i % 3])
            )
            network = create_peer_network(
                self.infos[name], SECRET, self.clock, self._address, metrics=Metrics()
            )
            self.networks[name] = network
            self.keepers[name] = FakeLeaseKeeper(self.table, self.clock)
            self.limiters[name] = create_limiter(
                self.infos[name],
                self.membership,
                network,
                self.keepers[name],
                self.limit_lookup,
                self.clock,
                groups=self.groups,
                floor_hosts=count,
            )
            await network.start()
        for limiter in self.limiters.values():
            await limiter.start()
        self.renewal_task = asyncio.create_task(self._renew())

    async def wait_for_grants(self, organisations):
        """Wait until every organisation's owner has granted a token."""
        for name in self.limiters:
            for organisation in organisations:
                deadline = self.clock() + 30
                permit = await self.limiters[name].acquire(organisation, 1, deadline)
                permit.refund()
        # Requests wait longer for tokens shortly after a takeover. With ``owner_since``
        # in the past, that does not apply.
        for limiter in self.limiters.values():
            for group in limiter.groups:
                group.state.owner_since = float("-inf")

    def owner_of(self, organisation):
        """Return the name of the host that owns an organisation's group."""
        for name, limiter in self.limiters.items():
            if limiter.group_of(organisation) in limiter.ownership.owned:
                return name
        return None

    async def kill(self, name):
        """Stop a host without handing over its groups."""
        limiter = self.limiters.pop(name)
        self.keepers.pop(name)
        limiter.ownership.owned.clear()
        limiter.ownership.stopping = True
        await self.networks.pop(name).stop()
        await limiter.stop()

    async def stop(self):
        """Stop all limiters and networks."""
        self.renewal_task.cancel()
        self.membership.infos = {}
        for limiter in self.limiters.values():
            limiter.ownership.owned.clear()
            await limiter.stop()
        for network in self.networks.values():
            await network.stop()

    def _address(self, host_id):
        network = self.networks.get(host_id)
        return network.address if network else None

    async def _renew(self):
        while True:
            for keeper in list(self.keepers.values()):
                keeper.renew()
            await asyncio.sleep(LEASE_SECONDS / 3)
