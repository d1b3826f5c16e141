"""Waiting for a place on a runner of a pool."""

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
"""How often a waiting queue looks for runners that came back by themselves."""
INTERVAL_WEIGHT = 0.1
UNAVAILABLE_RETRY_SECONDS = 1.0


@dataclass(eq=False)
class Waiter:
    """A request that waits for a place."""

    future: asyncio.Future[RunnerView]
    prefix: str | None
    tried: list[RunnerView]


class PoolWait:
    """The queue of one pool and the pace at which it moves.

    :param interval: mean seconds between places while requests wait; 0 is unknown
    """

    def __init__(self) -> None:
        self.queue: FairQueue[Waiter] = FairQueue()
        self.interval = 0.0
        self.last_at: float | None = None


class SlotAllocator:
    """Hands out places on runners, fairly between organisations.

    :param store: configuration in force
    :param tracker: state of the runners
    """

    def __init__(self, store: ConfigurationStore, tracker: RunnerTracker) -> None:
        self.store = store
        self.tracker = tracker
        self.pool_queues: dict[str, PoolWait] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(
        self,
        pool: Pool,
        organisation: str,
        prefix: str | None,
        deadline: float,
        tried: list[RunnerView],
    ) -> RunnerView:
        """Return a runner on which a place is now taken.

        :param organisation: whose turn it must be; empty for open routes
        :param deadline: local time in seconds
        :param tried: runners that already failed this request
        :raises PrimrosefordError: POOL_UNAVAILABLE, QUEUE_FULL or
            DEADLINE_UNREACHABLE
        """
        wait = self.pool_queues.get(pool.name)
        if wait is None or not wait.queue:
            view = self.tracker.choose(pool, prefix, tried)
            if view is not None:
                self.tracker.start(view, prefix)
                return view
        wait = self.pool_queues.setdefault(pool.name, PoolWait())
        self._check_wait(pool, wait, organisation, deadline)
        waiter = Waiter(asyncio.get_running_loop().create_future(), prefix, tried)
        wait.queue.push(organisation, waiter)
        self._set_timer()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            taken = waiter.future.done() and not waiter.future.cancelled()
            if taken and waiter.future.exception() is None:
                self._give_back(waiter.future.result())
            raise
        finally:
            wait.queue.remove(organisation, waiter)

    def find_other(
        self, pool: Pool, prefix: str | None, excluded: list[RunnerView]
    ) -> RunnerView | None:
        """Return a further runner with a free place that no waiting request needs.

        :param excluded: runners that have the request already
        """
        wait = self.pool_queues.get(pool.name)
        if wait is not None and wait.queue:
            return None
        view = self.tracker.choose(pool, prefix, excluded)
        return None if view in excluded else view

    def _check_wait(
        self, pool: Pool, wait: PoolWait, organisation: str, deadline: float
    ) -> None:
        pause = self.tracker.available_in(pool)
        if pause is None:
            raise PrimrosefordError(
                ResultCode.POOL_UNAVAILABLE,
                f"pool {pool.name!r} has no ready runner",
                retry_after=UNAVAILABLE_RETRY_SECONDS,
            )
        expected = max(pause, wait.queue.ahead_of(organisation) * wait.interval)
        if self.tracker.clock() + expected >= deadline:
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                f"pool {pool.name!r} has no free place before the deadline",
                retry_after=max(expected, UNAVAILABLE_RETRY_SECONDS),
            )
        if len(wait.queue) < pool.queue_limit:
            return
        evicted = wait.queue.evict_for(organisation)
        full = PrimrosefordError(
            ResultCode.QUEUE_FULL,
            f"the queue of pool {pool.name!r} is full",
            retry_after=max(expected, UNAVAILABLE_RETRY_SECONDS),
        )
        if evicted is None:
            raise full
        if not evicted.future.done():
            evicted.future.set_exception(full)

    def release(
        self,
        view: RunnerView,
        result: AttemptResult,
        latency: float | None = None,
        retry_after: float | None = None,
        batch: bool = False,
    ) -> None:
        """Give back a place and let waiting requests have it."""
        self.tracker.finish(view, result, latency, retry_after, batch)
        self.grant()

    def _give_back(self, view: RunnerView) -> None:
        self.release(view, AttemptResult.ABANDONED)

    def grant(self) -> None:
        """Hand free places to waiting requests."""
        for name, wait in self.pool_queues.items():
            if wait.queue:
                self._pump_pool(name, wait)
            elif wait.last_at is not None:
                wait.last_at = None

    def _pump_pool(self, name: str, wait: PoolWait) -> None:
        pool = self.store.current().pools.get(name)
        if pool is None or self.tracker.available_in(pool) is None:
            self._refuse_all(name, wait)
            return
        while wait.queue:
            view = self.tracker.choose(pool, None)
            if view is None:
                return
            waiter = wait.queue.pop()
            if waiter.future.done():
                continue
            view = self.tracker.choose(pool, waiter.prefix, waiter.tried) or view
            self.tracker.start(view, waiter.prefix)
            waiter.future.set_result(view)
            self._measure(wait)

    def _measure(self, wait: PoolWait) -> None:
        now = self.tracker.clock()
        if wait.last_at is not None:
            gap = now - wait.last_at
            weight = INTERVAL_WEIGHT if wait.interval else 1.0
            wait.interval += weight * (gap - wait.interval)
        wait.last_at = now

    def _refuse_all(self, name: str, wait: PoolWait) -> None:
        while wait.queue:
            waiter = wait.queue.pop()
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
        if any(wait.queue for wait in self.pool_queues.values()):
            self._set_timer()
