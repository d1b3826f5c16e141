"""Limits how many batch items of this host run in a pool, and chooses their runners.

Items use the slots that online requests leave free. Slots for the peaks of recent waves
of online requests stay free as long as batch can meet its deadlines without them.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import NamedTuple

from primroseford.gateway.placement import HEADROOM
from primroseford.gateway.placement import RATE_LIMITED_HEADROOM_SLOTS
from primroseford.gateway.placement import batch_runner
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import items_to_preempt
from primroseford.gateway.placement import items_to_preempt_on
from primroseford.gateway.placement import trial_runner
from primroseford.jobs.peaks import Peaks
from primroseford.jobs.round_budget import RoundBudget

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from primroseford.gateway.placement import RunnerLoad
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName
    from primroseford.ids import SoftwareVersion
    from primroseford.jobs.deadlines import DeadlineEstimator
    from primroseford.jobs.run import ItemRun


class Preemption(NamedTuple):
    """Items of this host that must end for online requests.

    :param runners: runners on which any of the items may run
    """

    runners: frozenset[RunnerName]
    count: int


class BatchCapacity:
    """Free capacity of the pools for this host's items.

    :param estimator: estimates which items can meet their deadline
    :ivar budget: starts and preemptions left in this heartbeat round
    :ivar peaks: recent peaks of online requests in flight, by pool
    """

    def __init__(self, gateway: Gateway, estimator: DeadlineEstimator) -> None:
        self.gateway = gateway
        self.estimator = estimator
        self.budget = RoundBudget()
        self.peaks: dict[PoolName, Peaks] = {}

    def renew(self) -> None:
        """Renew the budget once the other hosts have had time to report their loads."""
        self.budget.renew(self.gateway.clock(), self.gateway.members.interval)

    def record_peaks(self) -> None:
        """Record how many online requests are in flight in each pool."""
        online: dict[PoolName, int] = {}
        for runner in self.gateway.allocator.runners.values():
            pool = runner.entry.pool
            online[pool] = online.get(pool, 0) + runner.load().online
        now = self.gateway.clock()
        for pool, count in online.items():
            self.peaks.setdefault(pool, Peaks()).record(count, now)

    def pool_load(self, pool: PoolName) -> dict[str, int]:
        """Return a pool's load as last reported, keyed by the names of log fields."""
        loads = [runner.load() for runner in self.gateway.allocator.usable(pool)]
        return {
            "runners": len(loads),
            "slots": sum(load.slots for load in loads),
            "online": sum(load.online for load in loads),
            "batch": sum(load.batch for load in loads),
            "queued": len(self.gateway.allocator.queues.get(pool, ())),
        }

    def may_start(
        self, pool: PoolName, item: ItemRun, time_limit: float, urgent: bool
    ) -> bool:
        """Return whether one more item may start in a pool in this heartbeat round.

        :param time_limit: seconds from a job's submission to its deadline
        :param urgent: whether the item may use any free slot
        """
        budget, random = self.budget, self.gateway.random
        if pool not in budget.starts:
            loads = self._eligible_loads(pool)
            share = self.estimator.own_share()
            batch = self.pool_load(pool)["batch"]
            needed = self.estimator.needed_slots(item, batch, time_limit)
            limit = max(self._off_peak_slots(pool), needed)
            limit -= self._limited_items(pool)
            budget.starts[pool] = batch_start_limit(loads, share, random, limit)
            budget.urgent_starts[pool] = batch_start_limit(
                loads, share, random, math.inf
            )
        return (budget.urgent_starts if urgent else budget.starts)[pool] > 0

    def choose_runner(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey] = (),
        trial: bool = False,
        version: SoftwareVersion | None = None,
        max_factor: float = math.inf,
    ) -> RunnerState | None:
        """Return a runner with a free slot for an item, or None.

        :param tried: runner instances that failed the item
        :param trial: whether the item is tried despite a quarantine
        :param version: the only software version that may run it; ``None`` for any
        :param max_factor: largest time factor of a runner with which it ends in time
        """
        loads = self._eligible_loads(pool, tried, version=version)
        return self._choose(pool, loads, trial, max_factor)

    def choose_limited_runner(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey] = (),
        trial: bool = False,
        version: SoftwareVersion | None = None,
    ) -> RunnerState | None:
        """Return a runner with a limit for which a token is on hand, or None.

        The token stands for a start, so that no budget applies. An item there leaves
        the slots of the other runners to online requests.

        :param tried: runner instances that failed the item
        :param version: the only software version that may run it; ``None`` for any
        """
        loads = self._eligible_loads(pool, tried, limited=True, version=version)
        loads = [load for load in loads if load.free > RATE_LIMITED_HEADROOM_SLOTS]
        return self._choose(pool, loads, trial)

    def _choose(
        self,
        pool: PoolName,
        loads: Sequence[RunnerLoad],
        trial: bool,
        max_factor: float = math.inf,
    ) -> RunnerState | None:
        allocator = self.gateway.allocator
        if not loads:
            return None
        if trial:
            best = trial_runner(loads)
        elif pool in allocator.slowness_pools:
            best = allocator.choose_by_speed(pool, loads, True, max_factor)
        else:
            best = batch_runner(loads, self.gateway.random, allocator.hosts)
        return None if best is None else allocator.runners[best.key.name]

    def preemptions(self, pool: PoolName) -> list[Preemption]:
        """Return how many items of this host must be preempted for online requests."""
        allocator, random = self.gateway.allocator, self.gateway.random
        loads = [allocator.load(runner) for runner in allocator.usable(pool)]
        shared = [load for load in loads if not load.is_rate_limited]
        found = [self._shared_preemption(shared)]
        queue = allocator.queues.get(pool)
        if queue and not found[0].count:
            # The free slots of the pool are of no use to requests for a full version.
            for version in queue.versions:
                usable = allocator.usable(pool, version)
                keys = {runner.entry.key for runner in usable}
                found.append(
                    self._shared_preemption(
                        [load for load in shared if load.key in keys]
                    )
                )
        found += [
            Preemption(frozenset({load.key.name}), items_to_preempt_on(load, random))
            for load in loads
            if load.is_rate_limited
        ]
        return [preemption for preemption in found if preemption.count]

    def _shared_preemption(self, loads: Sequence[RunnerLoad]) -> Preemption:
        """Return how many items end on runners of which any may free its slots."""
        names = frozenset(load.key.name for load in loads)
        return Preemption(names, items_to_preempt(loads, self.gateway.random))

    def runners_without_limit(self, pool: PoolName) -> set[RunnerName]:
        """Return the runners on which an item can start without a token."""
        allocator = self.gateway.allocator
        return {
            runner.entry.key.name
            for runner in allocator.usable(pool)
            if not allocator.load(runner).is_rate_limited
        }

    def _off_peak_slots(self, pool: PoolName) -> float:
        """Return the slots outside the headroom and the recent peak of online load."""
        peaks = self.peaks.get(pool)
        peak = peaks.highest(self.gateway.clock()) if peaks is not None else 0
        allocator = self.gateway.allocator
        loads = [allocator.load(runner) for runner in allocator.usable(pool)]
        return (1 - HEADROOM) * sum(load.usable_slots for load in loads) - peak

    def _limited_items(self, pool: PoolName) -> int:
        """Return how many items are in flight on runners with a limit."""
        allocator = self.gateway.allocator
        return sum(
            runner.load().batch
            for runner in allocator.usable(pool)
            if allocator.tokens.is_limited(runner.entry.key)
        )

    def _eligible_loads(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey] = (),
        limited: bool = False,
        version: SoftwareVersion | None = None,
    ) -> list[RunnerLoad]:
        """Return the loads of the runners that may receive items.

        There are none that an online request in the queue of the pool could use.

        :param limited: whether to return the runners with a limit, or the others
        :param version: only those of this software version; ``None`` for any
        """
        allocator = self.gateway.allocator
        queue = allocator.queues.get(pool)
        if queue and queue.unversioned:
            return []
        loads = [
            load
            for load in allocator.open_loads(pool, tried, batch=True, version=version)
            if allocator.tokens.is_limited(load.key) == limited
        ]
        if not queue:
            return loads
        return [
            load
            for load in loads
            if not queue.has_waiter_for(allocator.runners[load.key.name].entry.version)
        ]
