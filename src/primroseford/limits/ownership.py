"""The groups that this host owns: leases, hand-over and answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.limits import owner as owners
from primroseford.limits.gen.messages.ttypes import DemandRequest
from primroseford.limits.gen.messages.ttypes import Done
from primroseford.limits.gen.messages.ttypes import GrantAnswer
from primroseford.limits.gen.messages.ttypes import Handover
from primroseford.limits.gen.messages.ttypes import Offer
from primroseford.limits.ranking import Ranking

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.membership.service import Membership
    from primroseford.membership.state import HostInfo
    from primroseford.peer.network import PeerNetwork

KIND_DEMAND = 200
KIND_HANDOVER = 201
KIND_OFFER = 202
HANDOVER_SECONDS = 0.5
# A host below the first rank takes a group only if requests came to it lately.
WANTED_SECONDS = 1.0
CANDIDATES = 3
OFFER_RETRY_SECONDS = 1.0
"""Time between two offers of a group to a host of a higher rank that did not take it,
so that an owner keeps its group while that host is dead but still a member."""
# A host that does not know the others yet ranks first for every group. With 64 groups
# its attempts to take leases used up its platform calls, so that it could not read the
# list of hosts and never found the others.
REVIEWS_AT_ONCE = 8

log = structlog.get_logger()


class Lease(Protocol):
    """A lease as the lease keeper hands it out."""

    fencing: int

    def valid(self, now: float) -> bool:
        """Return whether the lease is in force."""


class LeaseKeeper(Protocol):
    """Takes and gives up leases."""

    async def acquire(self, name: str) -> Lease | None:
        """Return the lease, or nothing while another host holds it."""

    async def release(self, lease: Lease) -> None:
        """Give up a lease."""


class Ownership:
    """Buckets of the groups whose leases this host holds.

    The parameters are those of ``Limiter``.
    """

    def __init__(
        self,
        own: HostInfo,
        membership: Membership,
        network: PeerNetwork,
        leases: LeaseKeeper,
        limit_of: owners.LimitOf,
        clock: Clock,
        groups: int,
        floor_hosts: int,
    ) -> None:
        self.own = own
        self.ranking = Ranking(membership)
        self.network = network
        self.leases = leases
        self.limit_of = limit_of
        self.clock = clock
        self.groups = groups
        self.floor_hosts = floor_hosts
        self.owned: dict[int, tuple[Lease, owners.OwnerState]] = {}
        self.wanted: dict[int, float] = {}
        self.received: dict[int, tuple[Handover, float, float]] = {}
        self.offered: set[int] = set()
        self.offer_after: dict[int, float] = {}
        self.stopping = False
        self.last_reviewed = -1
        network.register(KIND_DEMAND, DemandRequest, self.answer, GrantAnswer)
        network.register(KIND_HANDOVER, Offer, self.give, Handover)
        network.register(KIND_OFFER, Offer, self.receive, Done)

    async def answer(self, sender: HostId, message: DemandRequest) -> GrantAnswer:
        """Answer a request; there is no await between the lease check and the grant.

        :param sender: requesting host
        :param message: its request
        """
        now = self.clock()
        found = self.owned.get(message.group)
        if found is None or not found[0].valid(now):
            self.wanted[message.group] = now
            return GrantAnswer(False, 0, message.sequence, [])
        return owners.answer(
            found[1], sender, message, self.limit_of, self._roster(), now
        )

    async def receive(self, sender: HostId, message: Offer) -> Done:
        """Fetch the state of a group from the owner that offers it.

        :param sender: the owner
        :param message: the group
        :raises PrimrosefordError: INVALID_VALUE if there is no such group, or
            HOST_STOPPING
        """
        group = message.group
        if not 0 <= group < self.groups:
            raise PrimrosefordError(ResultCode.INVALID_VALUE, "there is no such group")
        if self.stopping:
            raise PrimrosefordError(ResultCode.HOST_STOPPING, "the host is stopping")
        asked_at = self.clock()
        found = await self.network.call(
            sender, KIND_HANDOVER, Offer(group), HANDOVER_SECONDS
        )
        self.received[group] = (found, asked_at, self.clock())
        self.wanted[group] = self.clock()
        return Done(True)

    async def give(self, sender: HostId, message: Offer) -> Handover:
        """Return the state of a group that this host has offered and owns no more.

        :param sender: the next owner
        :param message: the group
        :raises PrimrosefordError: LEASE_LOST if the group is not offered
        """
        found = self.owned.get(message.group)
        now = self.clock()
        if message.group not in self.offered or not found or not found[0].valid(now):
            raise PrimrosefordError(ResultCode.LEASE_LOST, "the group is not offered")
        del self.owned[message.group]
        return owners.hand_over(found[1], self._roster(), now)

    async def reconcile(self) -> None:
        """Take the groups that are due here and hand over the others, in turns."""
        due = [group for group in range(self.groups) if self._due(group)]
        # Those that had no turn in the last review come first.
        due.sort(key=lambda group: (group <= self.last_reviewed, group))
        due = due[:REVIEWS_AT_ONCE]
        if due:
            self.last_reviewed = due[-1]
            await asyncio.gather(*(self._review(group) for group in due))

    async def hand_over_all(self) -> None:
        """Hand over every group before a planned stop."""
        self.stopping = True
        for group in list(self.owned):
            await self._hand_over(group, self.ranking.live(group))

    def _due(self, group: int) -> bool:
        """Return whether a review of a group may have something to do."""
        ranked = self.ranking.live(group)
        first = bool(ranked) and ranked[0] == self.own.host_id
        found = self.owned.get(group)
        if found is not None:
            return not first or not found[0].valid(self.clock())
        return first or group in self.wanted

    async def _review(self, group: int) -> None:
        now = self.clock()
        found = self.owned.get(group)
        if found is not None and not found[0].valid(now):
            log.warning("limits lease lapsed", group=group)
            del self.owned[group]
            found = None
        ranked = self.ranking.live(group)
        first = bool(ranked) and ranked[0] == self.own.host_id
        if found is not None:
            if not first and ranked and now >= self.offer_after.get(group, now):
                await self._hand_over(group, ranked)
            return
        wanted = now - self.wanted.get(group, float("-inf")) < WANTED_SECONDS
        if not self.stopping and (first or wanted and self._candidate(ranked)):
            await self._take(group)

    async def _take(self, group: int) -> None:
        try:
            lease = await self.leases.acquire(f"limits-{group}")
        except PrimrosefordError as error:
            log.warning("limits lease not taken", group=group, code=int(error.code))
            return
        now = self.clock()
        if lease is None or not lease.valid(now):
            return
        message, asked_at, received_at = self.received.pop(group, (None, 0.0, 0.0))
        if message is not None and message.fencing + 1 == lease.fencing:
            state = owners.open_handed_over(
                message, lease.fencing, asked_at, received_at
            )
        else:
            state = owners.create_empty_state(group, lease.fencing, now)
        self.owned[group] = (lease, state)

    async def _hand_over(self, group: int, ranked: list[HostId]) -> None:
        """Offer a group to the next owner and release its lease.

        An owner that does not stop keeps the group if the next owner does not fetch
        it: a released group would be taken again, empty and closed at first.
        """
        lease, _ = self.owned[group]
        others = [name for name in ranked if name != self.own.host_id]
        self.offered.add(group)
        try:
            if others and lease.valid(self.clock()):
                await self.network.call(
                    others[0], KIND_OFFER, Offer(group), 2 * HANDOVER_SECONDS
                )
        except PrimrosefordError as error:
            log.warning("hand-over failed", group=group, code=int(error.code))
        finally:
            self.offered.discard(group)
        if group in self.owned and not self.stopping:
            self.offer_after[group] = self.clock() + OFFER_RETRY_SECONDS
            return
        # The lease must not be free while this host still grants.
        self.owned.pop(group, None)
        try:
            await self.leases.release(lease)
        except PrimrosefordError as error:
            log.warning("lease not released", group=group, code=int(error.code))

    def _roster(self) -> owners.FallbackHosts:
        hosts = self.ranking.names()
        return owners.FallbackHosts(hosts, max(len(hosts), self.floor_hosts))

    def _candidate(self, ranked: list[HostId]) -> bool:
        return self.own.host_id in ranked[:CANDIDATES]
