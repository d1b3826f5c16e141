"""The limiter of a host: waits for tokens and talks to the owners of groups."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import xxhash
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.limits import requester
from primroseford.limits.bucket import BucketKey
from primroseford.limits.ownership import KIND_DEMAND
from primroseford.limits.ownership import Ownership
from primroseford.limits.waiting import Group
from primroseford.limits.waiting import Permit
from primroseford.limits.waiting import Waiter
from primroseford.metrics import Metrics

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.ids import OrganisationId
    from primroseford.limits.bucket import Limit
    from primroseford.limits.gen.messages.ttypes import DemandRequest
    from primroseford.limits.gen.messages.ttypes import GrantAnswer
    from primroseford.limits.owner import LimitOf
    from primroseford.limits.ownership import LeaseKeeper
    from primroseford.membership.service import Membership
    from primroseford.membership.state import HostInfo
    from primroseford.peer.network import PeerNetwork

CALL_SECONDS = 0.3
CANDIDATES = 3
TICK_SECONDS = 0.02
RETRY_SECONDS = 0.05
KEEPALIVE_SECONDS = 2.0
# A request waits this long once the owner has confirmed the shortage.
BRIEF_WAIT_SECONDS = 0.5
# While the owner is unknown a request waits longer, because a takeover lasts for
# the old lease and the longest grant; the backlog drains for a while after it.
OUTAGE_WAIT_SECONDS = 8.0
RECOVERY_SECONDS = 10.0
MAX_WAITERS = 10_000


class Limiter(Service):
    """Fleet-wide token buckets of organisations.

    :param own: this host
    :param membership: hosts of the fleet
    :param network: connections to the other hosts
    :param leases: leases of the groups
    :param limit_of: limits of organisations
    :param clock: local time
    :param groups: number of groups, equal on every host
    :param floor_hosts: least number that a floor divides the rate by
    :param metrics: where the counters are kept
    """

    def __init__(
        self,
        own: HostInfo,
        membership: Membership,
        network: PeerNetwork,
        leases: LeaseKeeper,
        limit_of: LimitOf,
        clock: Clock,
        groups: int,
        floor_hosts: int,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.own = own
        self.membership = membership
        self.network = network
        self.limit_of = limit_of
        self.clock = clock
        self.floor_hosts = floor_hosts
        self.ownership = Ownership(
            own, membership, network, leases, limit_of, clock, groups, floor_hosts
        )
        now = clock()
        self.groups = [
            Group(requester.create_requester(i, own.incarnation, now))
            for i in range(groups)
        ]
        self.refused = metrics.counter(
            "limits_refused", "Requests refused by the limits", ("reason",)
        )

    async def acquire(
        self,
        organisation: OrganisationId,
        amount: int,
        deadline: float,
        batch: bool = False,
    ) -> Permit:
        """Return tokens, after a short wait if there are none at the moment.

        :param organisation: whose tokens
        :param amount: one for each request or batch item
        :param deadline: local time after which the tokens are of no use
        :param batch: whether the work is batch, which comes behind online
        :raises PrimrosefordError: RATE_LIMITED with ``retry_after``, or
            HOST_STOPPING
        """
        if self.should_stop:
            raise _stopping()
        limit = self.limit_of(organisation)
        if limit is None or amount > limit.part(batch)[1]:
            raise self._refusal("never", limit, batch, amount)
        now = self.clock()
        key = BucketKey(organisation, batch)
        group = self.groups[self.group_of(organisation)]
        account = requester.account_of(group.state, key, now)
        requester.note_use(account, amount, now)
        if not group.waiters.get(key):
            taken = self._take(group, account, limit, key, amount, now)
            if taken is not None:
                # The task looks again every tick, and tokens are held for five ticks;
                # waking it for each request would double the work of a request.
                if group.task is None or group.task.done():
                    self._pump(group)
                return Permit(taken, self.clock)
        waiting = group.waiters.setdefault(key, deque())
        if len(waiting) >= MAX_WAITERS:
            raise self._refusal("queue_full", limit, batch, amount)
        future = asyncio.get_running_loop().create_future()
        waiting.append(Waiter(key, amount, now, deadline, future))
        account.waiting += amount
        self._pump(group)
        return await _granted(future)

    def group_of(self, organisation: OrganisationId) -> int:
        """Return the number of the group of an organisation."""
        return xxhash.xxh3_64_intdigest(organisation.encode()) % len(self.groups)

    def owner_of(self, group: int) -> HostId | None:
        """Return the host that probably owns a group.

        :param group: number of the group
        """
        return self._owner(self.groups[group])

    def owns(self, group: int) -> bool:
        """Return whether this host holds a group's lease at this moment.

        :param group: number of the group
        """
        held = self.ownership.owned.get(group)
        return held is not None and held[0].valid(self.clock())

    async def on_stop(self) -> None:
        """Hand over the groups and end the requests to owners."""
        await self.ownership.hand_over_all()
        for group in self.groups:
            if group.task is not None:
                group.task.cancel()
            for waiting in group.waiters.values():
                for waiter in waiting:
                    if not waiter.future.done():
                        waiter.future.set_exception(_stopping())
            group.waiters.clear()

    @Service.task
    async def keep_leases(self) -> None:
        """Take and hand over groups as the ranking proposes."""
        while not self.should_stop:
            await self.ownership.reconcile()
            await self.sleep(0.25)

    @Service.task
    async def keep_alive(self) -> None:
        """Renew the promise to each owner that this host uses no floor."""
        while not self.should_stop:
            now = self.clock()
            for group in self.groups:
                busy = group.task is not None and not group.task.done()
                if not busy and now - group.state.answered_at >= KEEPALIVE_SECONDS:
                    self._pump(group, force=True)
            await self.sleep(KEEPALIVE_SECONDS / 4)

    def _pump(self, group: Group, force: bool = False) -> None:
        if group.task is None or group.task.done():
            group.task = asyncio.create_task(self._run(group, force))
        else:
            group.wake.set()

    async def _run(self, group: Group, force: bool) -> None:
        while True:
            now = self.clock()
            force = force or now - group.asked_at >= KEEPALIVE_SECONDS
            request = requester.next_request(group.state, now, force)
            force = request is not None and await self._ask(group, request)
            self._settle(group)
            if not force and not any(
                account.held or account.waiting
                for account in group.state.accounts.values()
            ):
                return
            if request is None:
                group.wake.clear()
                await self._pause(group)

    async def _pause(self, group: Group) -> None:
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await group.wake.wait()
        except TimeoutError:
            pass

    async def _ask(self, group: Group, request: DemandRequest) -> bool:
        """Send a request; return whether a new owner must be acknowledged."""
        owner = self._owner(group)
        group.asked_at = self.clock()
        answer = None
        try:
            if owner == self.own.host_id:
                answer = await self.ownership.answer(owner, request)
            elif owner is not None:
                answer = await self.network.call(
                    owner, KIND_DEMAND, request, CALL_SECONDS
                )
        except PrimrosefordError:
            answer = None
        now = self.clock()
        if answer is None or not answer.owner:
            group.state.pending.pop(request.sequence, None)
            group.turn = 0 if group.state.owner is not None else group.turn + 1
            group.state.owner = None
            await asyncio.sleep(RETRY_SECONDS)
            return False
        return self._apply(group, owner, answer, now)

    def _apply(
        self, group: Group, owner: HostId, answer: GrantAnswer, now: float
    ) -> bool:
        group.turn = 0
        return requester.apply_answer(group.state, owner, answer, now)

    def _owner(self, group: Group) -> HostId | None:
        ranking = self.ownership.ranking
        if group.state.owner in ranking.names():
            return group.state.owner
        ranked = ranking.staying(group.state.group)[:CANDIDATES]
        return ranked[group.turn % len(ranked)] if ranked else None

    def _take(
        self,
        group: Group,
        account: requester.Account,
        limit: Limit,
        key: BucketKey,
        amount: int,
        now: float,
    ) -> list[requester.Taken] | None:
        taken = requester.take(account, amount, now)
        if taken is not None or now < group.state.floor_from:
            return taken
        if key.batch and limit.batch_rate is None:
            # A second floor of the same bucket would double the share.
            return None
        divisor = max(len(self.membership.hosts()), self.floor_hosts)
        rate, burst = limit.part(key.batch)
        return requester.take_floor(
            group.state, account, amount, rate / divisor, burst / divisor, now
        )

    def _settle(self, group: Group) -> None:
        now = self.clock()
        for key, waiting in list(group.waiters.items()):
            account = requester.account_of(group.state, key, now)
            limit = self.limit_of(key.organisation)
            while waiting and self._settle_first(
                group, account, limit, waiting[0], now
            ):
                account.waiting -= waiting.popleft().amount
            if not waiting:
                del group.waiters[key]

    def _settle_first(
        self,
        group: Group,
        account: requester.Account,
        limit: Limit | None,
        waiter: Waiter,
        now: float,
    ) -> bool:
        if waiter.future.done():
            return True
        key, amount = waiter.key, waiter.amount
        if limit is not None and now < waiter.deadline:
            taken = self._take(group, account, limit, key, amount, now)
            if taken is not None:
                waiter.future.set_result(Permit(taken, self.clock))
                return True
            if now - waiter.since < self._patience(group, account, now):
                return False
        error = self._refusal("short", limit, key.batch, amount)
        waiter.future.set_exception(error)
        return True

    def _patience(self, group: Group, account: requester.Account, now: float) -> float:
        state = group.state
        settled = now - state.owner_since > RECOVERY_SECONDS
        reached = now - state.answered_at < BRIEF_WAIT_SECONDS
        confirmed = account.short_since is not None and reached and settled
        return BRIEF_WAIT_SECONDS if confirmed else OUTAGE_WAIT_SECONDS

    def _refusal(
        self, reason: str, limit: Limit | None, batch: bool, amount: int
    ) -> PrimrosefordError:
        self.refused.labels(reason).inc()
        rate = limit.part(batch)[0] if limit is not None else 0.0
        return PrimrosefordError(
            ResultCode.RATE_LIMITED,
            "the organisation's rate is used up",
            retry_after=amount / rate if rate > 0 else None,
        )


async def _granted(future: asyncio.Future[Permit]) -> Permit:
    """Wait for a permit; it is given back if the caller leaves at that moment."""
    try:
        return await future
    except asyncio.CancelledError:
        if future.done() and not future.cancelled() and not future.exception():
            future.result().refund()
        raise


def _stopping() -> PrimrosefordError:
    return PrimrosefordError(ResultCode.HOST_STOPPING, "the host is stopping")


def create_limiter(
    own: HostInfo,
    membership: Membership,
    network: PeerNetwork,
    leases: LeaseKeeper,
    limit_of: LimitOf,
    clock: Clock,
    *,
    groups: int = 16,
    floor_hosts: int = 9,
    metrics: Metrics | None = None,
) -> Limiter:
    """Return the limiter of a host; see ``Limiter`` for the parameters."""
    return Limiter(
        own,
        membership,
        network,
        leases,
        limit_of,
        clock,
        groups,
        floor_hosts,
        metrics or Metrics(),
    )
