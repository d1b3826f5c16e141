"""Which running items step back for online requests, or for items with more time.

A paused item keeps its events and goes on where it stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.placement import round_by_chance
from primroseford.jobs.forecast import choose_to_pause
from primroseford.jobs.forecast import late_to_yield

if TYPE_CHECKING:
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName
    from primroseford.jobs.run import ItemRun
    from primroseford.jobs.scheduler import JobScheduler

log = structlog.get_logger()


def pause_items(scheduler: JobScheduler) -> None:
    """Step back in the pools that a wave of online requests fills."""
    room = scheduler.room
    room.renew()
    for pool, items in _running(scheduler).items():
        if pool in room.pace.paused:
            continue
        count = room.items_to_preempt(pool)
        if not count:
            continue
        room.pace.stop(pool)
        for item in _least_lost(scheduler, items, count):
            item.task.cancel()
        log.info("items paused", pool=pool, count=min(count, len(items)))


def yield_late_items(scheduler: JobScheduler) -> None:
    """Pause items that will be late while others wait that can be in time."""
    room, outlook, gateway = scheduler.room, scheduler.outlook, scheduler.gateway
    room.renew()
    now = gateway.clock()
    late_items = {
        pool: [item for item in items if outlook.spare(item, now) < 0]
        for pool, items in _running(scheduler).items()
    }
    if not any(late_items.values()):
        return
    ready = outlook.ready()
    for pool, late in late_items.items():
        load = room.load(pool)
        is_free = load["online"] + load["batch"] < load["slots"] - ready
        if pool in room.pace.yielded or is_free:
            continue
        share = late_to_yield(len(late), ready, load["batch"])
        count = round_by_chance(share, gateway.random)
        if not count:
            continue
        room.pace.yielded.add(pool)
        late.sort(key=lambda item: outlook.spare(item, now))
        for item in late[:count]:
            item.task.cancel()
        log.info("late items yield", pool=pool, count=count, ready=ready)


def preempt_item(scheduler: JobScheduler, runner: RunnerName) -> None:
    """Pause one item on a runner for an online request that waits there."""
    scheduler.room.renew()
    for pool, items in _running(scheduler).items():
        there = [item for item in items if item.runner == runner]
        if not there:
            continue
        # What still counts as free is the room that the wave takes.
        scheduler.room.pace.stop(pool)
        (item,) = _least_lost(scheduler, there, 1)
        item.task.cancel()
        # The next request that waits there is for another item.
        item.task = None
        log.info("item steps back", runner=runner, item=item.item.id, job=item.job.id)
        return


def _running(scheduler: JobScheduler) -> dict[PoolName, list[ItemRun]]:
    """Return the running items by the first pool of their route."""
    pools: dict[PoolName, list[ItemRun]] = {}
    for run in scheduler.runs.values():
        route = scheduler.route_of(run.view.job)
        if route is None:
            continue
        running = [item for item in run.running if item.task is not None]
        if running:
            pools.setdefault(route.pools[0][0], []).extend(running)
    return pools


def _least_lost(
    scheduler: JobScheduler, items: list[ItemRun], count: int
) -> list[ItemRun]:
    """Return the items that lose the least by a pause."""
    now = scheduler.gateway.clock()
    spares = [scheduler.outlook.spare(item, now) for item in items]
    return [items[number] for number in choose_to_pause(spares, count)]
