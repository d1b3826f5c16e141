"""Preempts running items for online requests, or late ones for items still on time.

A preempted item keeps its events; its next run resumes after the last of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.placement import round_by_chance
from primroseford.jobs.forecast import choose_preempted
from primroseford.jobs.forecast import late_items_to_preempt

if TYPE_CHECKING:
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.scheduler import JobScheduler

log = structlog.get_logger()


def preempt_items(scheduler: JobScheduler) -> None:
    """Preempt items in the pools that a wave of online requests fills."""
    capacity = scheduler.capacity
    capacity.renew()
    for pool, items in _running_by_pool(scheduler).items():
        if pool in capacity.budget.preempted:
            continue
        preempted = 0
        for runners, count in capacity.preemptions(pool):
            capacity.budget.forbid_starts(pool)
            candidates = [item for item in items if item.runner in runners]
            for item in _cheapest_to_preempt(scheduler, candidates, count):
                item.task.cancel()
                preempted += 1
        if preempted:
            log.info("items paused", pool=pool, count=preempted)


def preempt_late_items(scheduler: JobScheduler) -> None:
    """Preempt late items while items wait that can meet their deadline."""
    capacity, estimator, gateway = (
        scheduler.capacity,
        scheduler.estimator,
        scheduler.gateway,
    )
    capacity.renew()
    now = gateway.clock()
    late_by_pool = {}
    for pool, items in _running_by_pool(scheduler).items():
        runners = capacity.runners_without_limit(pool)
        late_by_pool[pool] = [
            item
            for item in items
            if item.runner in runners and estimator.slack(item, now) < 0
        ]
    if not any(late_by_pool.values()):
        return
    feasible = estimator.feasible_items()
    for pool, late in late_by_pool.items():
        load = capacity.pool_load(pool)
        is_free = load["online"] + load["batch"] < load["slots"] - feasible
        if pool in capacity.budget.late_preempted or is_free:
            continue
        share = late_items_to_preempt(len(late), feasible, load["batch"])
        count = round_by_chance(share, gateway.random)
        if not count:
            continue
        capacity.budget.late_preempted.add(pool)
        late.sort(key=lambda item: estimator.slack(item, now))
        for item in late[:count]:
            item.task.cancel()
        log.info("late items preempted", pool=pool, count=count, ready=feasible)


def preempt_item(scheduler: JobScheduler, runner: RunnerName) -> None:
    """Preempt one item on a runner for an online request that waits there."""
    scheduler.capacity.renew()
    for pool, items in _running_by_pool(scheduler).items():
        on_runner = [item for item in items if item.runner == runner]
        if not on_runner:
            continue
        # The slots that still count as free are needed for the wave.
        scheduler.capacity.budget.forbid_starts(pool)
        (item,) = _cheapest_to_preempt(scheduler, on_runner, 1)
        item.task.cancel()
        # So that the next waiting request preempts another item.
        item.task = None
        log.info("item preempted", runner=runner, item=item.item.id, job=item.job.id)
        return


def _running_by_pool(scheduler: JobScheduler) -> dict[PoolName, list[ItemRun]]:
    """Return the running items that may be preempted by the first pool of their route.

    A trial ends soon, and the next one would be due much later.
    """
    pools: dict[PoolName, list[ItemRun]] = {}
    for run in scheduler.runs.values():
        route = scheduler.route_of(run.view.job)
        if route is None:
            continue
        running = [
            item for item in run.running if item.task is not None and not item.in_trial
        ]
        if running:
            pools.setdefault(route.pools[0][0], []).extend(running)
    return pools


def _cheapest_to_preempt(
    scheduler: JobScheduler, items: list[ItemRun], count: int
) -> list[ItemRun]:
    """Return the items to preempt: late ones, then those with the most slack."""
    now = scheduler.gateway.clock()
    slacks = [scheduler.estimator.slack(item, now) for item in items]
    return [items[number] for number in choose_preempted(slacks, count)]
