"""Assigns runner slots to online requests, with a fair queue per pool."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.fair_queue import FairQueue
from primroseford.routing.tracker import AttemptResult

if TYPE_CHECKING:
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.configuration.tables import Pool
    from primroseford.routing.runner_selection import RunnerView
    from primroseford.routing.tracker import RunnerTracker

RECHECK_SECONDS = 0.05
"""Interval of checks for runners that become available again without a released slot,
such as after an ejection."""
INTERVAL_EWMA_WEIGHT = 0.1
UNAVAILABLE_RETRY_SECONDS = 1.0


@dataclass(eq=False)
class Waiter:
    """A request that waits for a slot."""

    future: asyncio.Future[RunnerView]
    prefix: str | None
    tried: list[RunnerView]


class PoolQueue:
    """Queue of one pool and the rate at which slots are granted.

    :ivar grant_interval: mean seconds between grants while requests wait; 0 is unknown
    :ivar last_grant_at: local time of the last grant in seconds while requests wait
    """

    def __init__(self) -> None:
        self.queue: FairQueue[Waiter] = FairQueue()
        self.grant_interval = 0.0
        self.last_grant_at: float | None = None


class SlotAllocator:
    """Grants slots on runners, fairly between organisations.

    :param store: configuration in force
    :param tracker: state of the runners
    """

    def __init__(self, store: ConfigurationStore, tracker: RunnerTracker) -> None:
        self.store = store
        self.tracker = tracker
        self.pool_queues: dict[str, PoolQueue] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(
        self,
        pool: Pool,
        organisation: str,
        prefix: str | None,
        deadline: float,
        tried: list[RunnerView],
    ) -> RunnerView:
        """Reserve a slot and return its runner, waiting for one if necessary.

        :param organisation: organisation whose queue the request joins; empty for open
            routes
        :param deadline: local time in seconds
        :param tried: runners that already failed this request
        :raises PrimrosefordError: POOL_UNAVAILABLE, QUEUE_FULL or
            DEADLINE_UNREACHABLE
        """
        pool_queue = self.pool_queues.get(pool.name)
        if pool_queue is None or not pool_queue.queue:
            view = self.tracker.choose(pool, prefix, tried)
            if view is not None:
                self.tracker.start(view, prefix)
                return view
        pool_queue = self.pool_queues.setdefault(pool.name, PoolQueue())
        self._check_wait(pool, pool_queue, organisation, deadline)
        waiter = Waiter(asyncio.get_running_loop().create_future(), prefix, tried)
        pool_queue.queue.push(organisation, waiter)
        self._set_timer()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            granted = waiter.future.done() and not waiter.future.cancelled()
            if granted and waiter.future.exception() is None:
                self._release_unused(waiter.future.result())
            raise
        finally:
            pool_queue.queue.remove(organisation, waiter)

    def find_other(
        self, pool: Pool, prefix: str | None, excluded: list[RunnerView]
    ) -> RunnerView | None:
        """Return another runner with a free slot, or none while requests wait.

        :param excluded: runners that already have the request
        """
        pool_queue = self.pool_queues.get(pool.name)
        if pool_queue is not None and pool_queue.queue:
            return None
        view = self.tracker.choose(pool, prefix, excluded)
        return None if view in excluded else view

    def _check_wait(
        self, pool: Pool, pool_queue: PoolQueue, organisation: str, deadline: float
    ) -> None:
        ready_in = self.tracker.seconds_until_available(pool)
        if ready_in is None:
            raise PrimrosefordError(
                ResultCode.POOL_UNAVAILABLE,
                f"pool {pool.name!r} has no ready runner",
                retry_after=UNAVAILABLE_RETRY_SECONDS,
            )
        expected = max(
            ready_in,
            pool_queue.queue.count_ahead_of(organisation) * pool_queue.grant_interval,
        )
        if self.tracker.clock() + expected >= deadline:
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                f"pool {pool.name!r} has no free slot before the deadline",
                retry_after=max(expected, UNAVAILABLE_RETRY_SECONDS),
            )
        if len(pool_queue.queue) < pool.queue_limit:
            return
        evicted_waiter = pool_queue.queue.evict_for(organisation)
        queue_full = PrimrosefordError(
            ResultCode.QUEUE_FULL,
            f"the queue of pool {pool.name!r} is full",
            retry_after=max(expected, UNAVAILABLE_RETRY_SECONDS),
        )
        if evicted_waiter is None:
            raise queue_full
        if not evicted_waiter.future.done():
            evicted_waiter.future.set_exception(queue_full)

    def release(
        self,
        view: RunnerView,
        result: AttemptResult,
        latency: float | None = None,
        retry_after: float | None = None,
        batch: bool = False,
    ) -> None:
        """Release a slot and grant free slots to waiting requests."""
        self.tracker.finish(view, result, latency, retry_after, batch)
        self.grant()

    def _release_unused(self, view: RunnerView) -> None:
        self.release(view, AttemptResult.ABANDONED)

    def grant(self) -> None:
        """Grant free slots to waiting requests."""
        for name, pool_queue in self.pool_queues.items():
            if pool_queue.queue:
                self._grant_in_pool(name, pool_queue)
            elif pool_queue.last_grant_at is not None:
                pool_queue.last_grant_at = None

    def _grant_in_pool(self, name: str, pool_queue: PoolQueue) -> None:
        pool = self.store.current().pools.get(name)
        if pool is None or self.tracker.seconds_until_available(pool) is None:
            self._reject_all(name, pool_queue)
            return
        while pool_queue.queue:
            view = self.tracker.choose(pool, None)
            if view is None:
                return
            waiter = pool_queue.queue.pop()
            if waiter.future.done():
                continue
            view = self.tracker.choose(pool, waiter.prefix, waiter.tried) or view
            self.tracker.start(view, waiter.prefix)
            waiter.future.set_result(view)
            self._update_grant_interval(pool_queue)

    def _update_grant_interval(self, pool_queue: PoolQueue) -> None:
        now = self.tracker.clock()
        if pool_queue.last_grant_at is not None:
            gap = now - pool_queue.last_grant_at
            weight = INTERVAL_EWMA_WEIGHT if pool_queue.grant_interval else 1.0
            pool_queue.grant_interval += weight * (gap - pool_queue.grant_interval)
        pool_queue.last_grant_at = now

    def _reject_all(self, name: str, pool_queue: PoolQueue) -> None:
        while pool_queue.queue:
            waiter = pool_queue.queue.pop()
            if not waiter.future.done():
                waiter.future.set_exception(
                    PrimrosefordError(
                        ResultCode.POOL_UNAVAILABLE,
                        f"pool {name!r} has no ready runner",
                        retry_after=UNAVAILABLE_RETRY_SECONDS,
                    )
                )

    def _set_timer(self) -> None:
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RECHECK_SECONDS, self._recheck)

    def _recheck(self) -> None:
        self.timer = None
        self.grant()
        if any(pool_queue.queue for pool_queue in self.pool_queues.values()):
            self._set_timer()
