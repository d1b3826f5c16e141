"""Limiter of a host: admits requests and exchanges demand and grants with owners."""

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
    from primroseford.limits.owner import LimitLookup
    from primroseford.limits.ownership import LeaseKeeper
    from primroseford.membership.service import Membership
    from primroseford.membership.state import HostInfo
    from primroseford.peer.network import PeerNetwork

CALL_TIMEOUT_SECONDS = 0.3
OWNER_CANDIDATES = 3
TICK_SECONDS = 0.02
RETRY_SECONDS = 0.05
KEEPALIVE_SECONDS = 2.0
# Longest wait of a request once the owner has confirmed the shortage.
SHORTAGE_WAIT_SECONDS = 0.5
# Longest wait while the owner is unknown: a takeover takes the rest of the old lease
# and the lifetime of a grant. It also applies for RECOVERY_SECONDS after a takeover,
# while the backlog is served.
OUTAGE_WAIT_SECONDS = 8.0
RECOVERY_SECONDS = 10.0
MAX_WAITERS_PER_ACCOUNT = 10_000


class Limiter(Service):
    """Fleet-wide token buckets of organisations.

    :param own: this host
    :param membership: hosts of the fleet
    :param network: connections to the other hosts
    :param leases: leases of the groups
    :param limit_lookup: limits of organisations
    :param clock: local time
    :param groups: number of groups that organisations are hashed to, equal on every
        host
    :param floor_hosts: lower bound of the number of hosts by which rate and burst are
        divided for the fallback allowance of a host
    :param metrics: registry of the counters
    """

    def __init__(
        self,
        own: HostInfo,
        membership: Membership,
        network: PeerNetwork,
        leases: LeaseKeeper,
        limit_lookup: LimitLookup,
        clock: Clock,
        groups: int,
        floor_hosts: int,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.own = own
        self.membership = membership
        self.network = network
        self.limit_lookup = limit_lookup
        self.clock = clock
        self.floor_hosts = floor_hosts
        self.ownership = Ownership(
            own, membership, network, leases, limit_lookup, clock, groups, floor_hosts
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
        """Take tokens; wait for a limited time if there are too few.

        :param organisation: organisation whose tokens are taken
        :param amount: number of tokens, one for each request or batch item
        :param deadline: local time at which waiting ends
        :param batch: whether the tokens are for batch items, which have a lower
            priority than online requests
        :raises PrimrosefordError: RATE_LIMITED with ``retry_after``, or
            HOST_STOPPING
        """
        if self.should_stop:
            raise _stopping()
        limit = self.limit_lookup(organisation)
        if limit is None or amount > limit.rate_and_burst(batch)[1]:
            raise self._refusal("never", limit, batch, amount)
        now = self.clock()
        key = BucketKey(organisation, batch)
        group = self.groups[self.group_of(organisation)]
        account = requester.get_account(group.state, key, now)
        requester.record_use(account, amount, now)
        if not group.waiters.get(key):
            taken = self._take_tokens(group, account, limit, key, amount, now)
            if taken is not None:
                # The exchange runs every tick and tokens are held for five ticks.
                # Waking it for each request would double the cost of a request.
                if group.task is None or group.task.done():
                    self._ensure_exchange(group)
                return Permit(taken, self.clock)
        waiting = group.waiters.setdefault(key, deque())
        if len(waiting) >= MAX_WAITERS_PER_ACCOUNT:
            raise self._refusal("queue_full", limit, batch, amount)
        future = asyncio.get_running_loop().create_future()
        waiting.append(Waiter(key, amount, now, deadline, future))
        account.waiting += amount
        self._ensure_exchange(group)
        return await _await_permit(future)

    def group_of(self, organisation: OrganisationId) -> int:
        """Return the number of the group that an organisation is hashed to."""
        return xxhash.xxh3_64_intdigest(organisation.encode()) % len(self.groups)

    def owner_of(self, group: int) -> HostId | None:
        """Return the host that last answered as the owner, or a candidate.

        :param group: number of the group
        """
        return self._likely_owner(self.groups[group])

    def owns(self, group: int) -> bool:
        """Return whether this host holds a valid lease of a group.

        :param group: number of the group
        """
        owned = self.ownership.owned.get(group)
        return owned is not None and owned[0].valid(self.clock())

    async def on_stop(self) -> None:
        """Hand over the owned groups and refuse the waiting requests."""
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
        """Acquire and hand over groups according to the ranking."""
        while not self.should_stop:
            await self.ownership.reconcile()
            await self.sleep(0.25)

    @Service.task
    async def keep_alive(self) -> None:
        """Renew the promise to each owner not to use the fallback allowance."""
        while not self.should_stop:
            now = self.clock()
            for group in self.groups:
                busy = group.task is not None and not group.task.done()
                if not busy and now - group.state.answered_at >= KEEPALIVE_SECONDS:
                    self._ensure_exchange(group, force=True)
            await self.sleep(KEEPALIVE_SECONDS / 4)

    def _ensure_exchange(self, group: Group, force: bool = False) -> None:
        if group.task is None or group.task.done():
            group.task = asyncio.create_task(self._exchange(group, force))
        else:
            group.wake.set()

    async def _exchange(self, group: Group, force: bool) -> None:
        while True:
            now = self.clock()
            force = force or now - group.requested_at >= KEEPALIVE_SECONDS
            request = requester.next_request(group.state, now, force)
            force = request is not None and await self._send_request(group, request)
            self._serve_waiters(group)
            if not force and not any(
                account.held_grants or account.waiting
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

    async def _send_request(self, group: Group, request: DemandRequest) -> bool:
        """Send a request; return whether a new owner needs an echo of its answer."""
        owner = self._likely_owner(group)
        group.requested_at = self.clock()
        answer = None
        try:
            if owner == self.own.host_id:
                answer = await self.ownership.answer(owner, request)
            elif owner is not None:
                answer = await self.network.call(
                    owner, KIND_DEMAND, request, CALL_TIMEOUT_SECONDS
                )
        except PrimrosefordError:
            answer = None
        now = self.clock()
        if answer is None or not answer.owner:
            group.state.pending.pop(request.sequence, None)
            group.failed_attempts = (
                0 if group.state.owner is not None else group.failed_attempts + 1
            )
            group.state.owner = None
            await asyncio.sleep(RETRY_SECONDS)
            return False
        return self._apply(group, owner, answer, now)

    def _apply(
        self, group: Group, owner: HostId, answer: GrantAnswer, now: float
    ) -> bool:
        group.failed_attempts = 0
        return requester.apply_answer(group.state, owner, answer, now)

    def _likely_owner(self, group: Group) -> HostId | None:
        ranking = self.ownership.ranking
        if group.state.owner in ranking.names():
            return group.state.owner
        ranked = ranking.remaining(group.state.group)[:OWNER_CANDIDATES]
        return ranked[group.failed_attempts % len(ranked)] if ranked else None

    def _take_tokens(
        self,
        group: Group,
        account: requester.Account,
        limit: Limit,
        key: BucketKey,
        amount: int,
        now: float,
    ) -> list[requester.TakenTokens] | None:
        taken = requester.take_tokens(account, amount, now)
        if taken is not None or now < group.state.fallback_from:
            return taken
        if key.batch and limit.batch_rate is None:
            # A separate batch allowance would double this host's part of the bucket.
            return None
        divisor = max(len(self.membership.hosts()), self.floor_hosts)
        rate, burst = limit.rate_and_burst(key.batch)
        return requester.take_fallback(
            group.state, account, amount, rate / divisor, burst / divisor, now
        )

    def _serve_waiters(self, group: Group) -> None:
        now = self.clock()
        for key, waiting in list(group.waiters.items()):
            account = requester.get_account(group.state, key, now)
            limit = self.limit_lookup(key.organisation)
            while waiting and self._serve_waiter(
                group, account, limit, waiting[0], now
            ):
                account.waiting -= waiting.popleft().amount
            if not waiting:
                del group.waiters[key]

    def _serve_waiter(
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
            taken = self._take_tokens(group, account, limit, key, amount, now)
            if taken is not None:
                waiter.future.set_result(Permit(taken, self.clock))
                return True
            if now - waiter.queued_at < self._max_wait(group, account, now):
                return False
        error = self._refusal("short", limit, key.batch, amount)
        waiter.future.set_exception(error)
        return True

    def _max_wait(self, group: Group, account: requester.Account, now: float) -> float:
        state = group.state
        settled = now - state.owner_since > RECOVERY_SECONDS
        reached = now - state.answered_at < SHORTAGE_WAIT_SECONDS
        confirmed = account.shortage_since is not None and reached and settled
        return SHORTAGE_WAIT_SECONDS if confirmed else OUTAGE_WAIT_SECONDS

    def _refusal(
        self, reason: str, limit: Limit | None, batch: bool, amount: int
    ) -> PrimrosefordError:
        self.refused.labels(reason).inc()
        rate = limit.rate_and_burst(batch)[0] if limit is not None else 0.0
        return PrimrosefordError(
            ResultCode.RATE_LIMITED,
            "the organisation's rate limit is exceeded",
            retry_after=amount / rate if rate > 0 else None,
        )


async def _await_permit(future: asyncio.Future[Permit]) -> Permit:
    """Wait for a permit; refund it if the caller is cancelled when it arrives."""
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
    limit_lookup: LimitLookup,
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
        limit_lookup,
        clock,
        groups,
        floor_hosts,
        metrics or Metrics(),
    )
