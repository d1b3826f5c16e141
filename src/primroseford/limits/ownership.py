"""Ownership of groups: leases, hand-over and handling of demand requests."""

from __future__ import annotations

import asyncio
from collections import defaultdict
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
HANDOVER_TIMEOUT_SECONDS = 0.5
# A candidate that does not rank first acquires a group only if it received a demand
# request for the group within this time.
RECENT_DEMAND_SECONDS = 1.0
OWNER_CANDIDATES = 3
OFFER_RETRY_SECONDS = 1.0
"""Time between two offers of a group to a higher-ranked host that did not accept it.
Meanwhile the owner keeps the group: that host may be dead but still a member."""
# A starting host that knows no other hosts ranks first for every group. With 64 groups
# its attempts to acquire leases exhausted its limit of platform calls, so that it could
# not read the list of hosts and never discovered the others.
MAX_RECONCILES_PER_PASS = 8

log = structlog.get_logger()


class Lease(Protocol):
    """A lease that the lease keeper has acquired."""

    fencing: int

    def valid(self, now: float) -> bool:
        """Return whether the lease is valid at a local time."""


class LeaseKeeper(Protocol):
    """Acquires and releases leases."""

    async def acquire(self, name: str) -> Lease | None:
        """Return the lease, or ``None`` while another host holds it."""

    async def release(self, lease: Lease) -> None:
        """Release a lease."""


class Ownership:
    """Groups whose leases this host holds, with the state of their buckets.

    The parameters are those of ``Limiter``.

    :ivar owned: lease and state by group
    :ivar last_demand_at: local time of the last request for a group not owned here
    :ivar received_handovers: handed-over state, local time of the request for it and
        of its receipt, by group
    :ivar offered_groups: groups that another host may fetch now
    :ivar handover_locks: held while a group is handed over, by group
    :ivar next_offer_at: local time before which a group is not offered again
    :ivar last_reconciled: highest group number of the last pass
    """

    def __init__(
        self,
        own: HostInfo,
        membership: Membership,
        network: PeerNetwork,
        leases: LeaseKeeper,
        limit_lookup: owners.LimitLookup,
        clock: Clock,
        groups: int,
        floor_hosts: int,
    ) -> None:
        self.own = own
        self.ranking = Ranking(membership)
        self.network = network
        self.leases = leases
        self.limit_lookup = limit_lookup
        self.clock = clock
        self.groups = groups
        self.floor_hosts = floor_hosts
        self.owned: dict[int, tuple[Lease, owners.OwnerState]] = {}
        self.last_demand_at: dict[int, float] = {}
        self.received_handovers: dict[int, tuple[Handover, float, float]] = {}
        self.offered_groups: set[int] = set()
        self.handover_locks: defaultdict[int, asyncio.Lock] = defaultdict(asyncio.Lock)
        self.next_offer_at: dict[int, float] = {}
        self.stopping = False
        self.last_reconciled = -1
        network.register(KIND_DEMAND, DemandRequest, self.answer, GrantAnswer)
        network.register(KIND_HANDOVER, Offer, self.handle_handover_request, Handover)
        network.register(KIND_OFFER, Offer, self.handle_offer, Done)

    async def answer(self, sender: HostId, message: DemandRequest) -> GrantAnswer:
        """Answer a demand request if this host owns the group.

        There is no await between the check of the lease and the grant.

        :param sender: requesting host
        :param message: its request
        """
        now = self.clock()
        owned = self.owned.get(message.group)
        if owned is None or not owned[0].valid(now):
            self.last_demand_at[message.group] = now
            return GrantAnswer(False, 0, message.sequence, [])
        return owners.answer(
            owned[1], sender, message, self.limit_lookup, self._fallback_hosts(), now
        )

    async def handle_offer(self, sender: HostId, message: Offer) -> Done:
        """Fetch the state of a group from the owner that offers it.

        :param sender: the present owner
        :param message: number of the group
        :raises PrimrosefordError: INVALID_VALUE if there is no such group, or
            HOST_STOPPING
        """
        group = message.group
        if not 0 <= group < self.groups:
            raise PrimrosefordError(
                ResultCode.INVALID_VALUE, "the group does not exist"
            )
        if self.stopping:
            raise PrimrosefordError(ResultCode.HOST_STOPPING, "the host is stopping")
        requested_at = self.clock()
        handover = await self.network.call(
            sender, KIND_HANDOVER, Offer(group), HANDOVER_TIMEOUT_SECONDS
        )
        self.received_handovers[group] = (handover, requested_at, self.clock())
        self.last_demand_at[group] = self.clock()
        return Done(True)

    async def handle_handover_request(self, sender: HostId, message: Offer) -> Handover:
        """Return the state of an offered group and give up its ownership.

        :param sender: the next owner
        :param message: number of the group
        :raises PrimrosefordError: LEASE_LOST if the group is not offered
        """
        owned = self.owned.get(message.group)
        now = self.clock()
        if (
            message.group not in self.offered_groups
            or not owned
            or not owned[0].valid(now)
        ):
            raise PrimrosefordError(
                ResultCode.LEASE_LOST, "the group is not offered by this host"
            )
        del self.owned[message.group]
        return owners.hand_over(owned[1], self._fallback_hosts(), now)

    async def reconcile(self) -> None:
        """Acquire the groups of this host and offer the others to their next owners.

        Each pass handles at most ``MAX_RECONCILES_PER_PASS`` groups, round robin.
        """
        due = [group for group in range(self.groups) if self._needs_reconcile(group)]
        # Groups after the last one of the previous pass come first.
        due.sort(key=lambda group: (group <= self.last_reconciled, group))
        due = due[:MAX_RECONCILES_PER_PASS]
        if due:
            self.last_reconciled = due[-1]
            await asyncio.gather(*(self._reconcile_group(group) for group in due))

    async def hand_over_all(self) -> None:
        """Hand over all groups before a graceful shutdown."""
        self.stopping = True
        for group in list(self.owned):
            await self._hand_over(group, self.ranking.live(group))

    def _needs_reconcile(self, group: int) -> bool:
        """Return whether a group may have to be acquired, offered or dropped."""
        ranked = self.ranking.live(group)
        first = bool(ranked) and ranked[0] == self.own.host_id
        owned = self.owned.get(group)
        if owned is not None:
            return not first or not owned[0].valid(self.clock())
        return first or group in self.last_demand_at

    async def _reconcile_group(self, group: int) -> None:
        now = self.clock()
        owned = self.owned.get(group)
        if owned is not None and not owned[0].valid(now):
            log.warning("limits lease expired", group=group)
            del self.owned[group]
            owned = None
        ranked = self.ranking.live(group)
        first = bool(ranked) and ranked[0] == self.own.host_id
        if owned is not None:
            if not first and ranked and now >= self.next_offer_at.get(group, now):
                await self._hand_over(group, ranked)
            return
        recent_demand = (
            now - self.last_demand_at.get(group, float("-inf")) < RECENT_DEMAND_SECONDS
        )
        if not self.stopping and (
            first or recent_demand and self._is_candidate(ranked)
        ):
            await self._acquire_group(group)

    async def _acquire_group(self, group: int) -> None:
        try:
            lease = await self.leases.acquire(f"limits-{group}")
        except PrimrosefordError as error:
            log.warning("limits lease not acquired", group=group, code=int(error.code))
            return
        now = self.clock()
        if lease is None or not lease.valid(now):
            return
        handover, requested_at, received_at = self.received_handovers.pop(
            group, (None, 0.0, 0.0)
        )
        if handover is not None and handover.fencing + 1 == lease.fencing:
            state = owners.create_handed_over_state(
                handover, lease.fencing, requested_at, received_at
            )
        else:
            state = owners.create_empty_state(group, lease.fencing, now)
        self.owned[group] = (lease, state)

    async def _hand_over(self, group: int, ranked: list[HostId]) -> None:
        """Offer a group to the next owner, then release its lease.

        If the next owner does not fetch the state, this host keeps the group unless
        it is stopping. Otherwise the group would be acquired without state and would
        grant nothing at first. A pass and the stop of this host may hand over the same
        group; the second one waits for the first.
        """
        async with self.handover_locks[group]:
            if group in self.owned:
                await self._offer_and_release(group, ranked)

    async def _offer_and_release(self, group: int, ranked: list[HostId]) -> None:
        lease, _ = self.owned[group]
        others = [name for name in ranked if name != self.own.host_id]
        self.offered_groups.add(group)
        try:
            if others and lease.valid(self.clock()):
                await self.network.call(
                    others[0], KIND_OFFER, Offer(group), 2 * HANDOVER_TIMEOUT_SECONDS
                )
        except PrimrosefordError as error:
            log.warning(
                "hand-over of a limits group failed", group=group, code=int(error.code)
            )
        finally:
            self.offered_groups.discard(group)
        if group in self.owned and not self.stopping:
            self.next_offer_at[group] = self.clock() + OFFER_RETRY_SECONDS
            return
        # Stop granting before the lease is released.
        self.owned.pop(group, None)
        try:
            await self.leases.release(lease)
        except PrimrosefordError as error:
            log.warning("limits lease not released", group=group, code=int(error.code))

    def _fallback_hosts(self) -> owners.FallbackHosts:
        hosts = self.ranking.names()
        return owners.FallbackHosts(hosts, max(len(hosts), self.floor_hosts))

    def _is_candidate(self, ranked: list[HostId]) -> bool:
        return self.own.host_id in ranked[:OWNER_CANDIDATES]
