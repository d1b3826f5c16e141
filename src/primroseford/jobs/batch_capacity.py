"""How many batch items of this host may run in a pool, and on which runner.

Answers waves of online requests: items take what the lulls leave, and the peaks of the
last waves are left free while there is time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primroseford.gateway.placement import HEADROOM
from primroseford.gateway.placement import batch_runner
from primroseford.gateway.placement import batch_start_limit
from primroseford.gateway.placement import items_to_preempt
from primroseford.jobs.peaks import Peaks
from primroseford.jobs.round_budget import Pace

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.placement import RunnerLoad
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import PoolName
    from primroseford.jobs.deadlines import Outlook
    from primroseford.jobs.run import ItemRun


class BatchRoom:
    """Room for this host's items.

    :param outlook: which items can be in time
    :ivar pace: what may be decided on the loads that are known now
    :ivar peaks: online requests in flight lately, by pool
    """

    def __init__(self, gateway: Gateway, outlook: Outlook) -> None:
        self.gateway = gateway
        self.outlook = outlook
        self.pace = Pace()
        self.peaks: dict[PoolName, Peaks] = {}

    def renew(self) -> None:
        """Take the loads anew if the other hosts have told theirs meanwhile."""
        self.pace.renew(self.gateway.clock(), self.gateway.members.interval)

    def note_peaks(self) -> None:
        """Note how many online requests are in flight in each pool."""
        online: dict[PoolName, int] = {}
        for runner in self.gateway.allocator.runners.values():
            pool = runner.entry.pool
            online[pool] = online.get(pool, 0) + runner.load().online
        now = self.gateway.clock()
        for pool, count in online.items():
            self.peaks.setdefault(pool, Peaks()).note(count, now)

    def load(self, pool: PoolName) -> dict[str, int]:
        """Return what is known of a pool's load, by the names of the log's fields."""
        loads = [runner.load() for runner in self.gateway.allocator.usable(pool)]
        return {
            "runners": len(loads),
            "slots": sum(load.slots for load in loads),
            "online": sum(load.online for load in loads),
            "batch": sum(load.batch for load in loads),
            "queued": len(self.gateway.allocator.queues.get(pool, ())),
        }

    def may_start(
        self, pool: PoolName, item: ItemRun, due: float, urgent: bool
    ) -> bool:
        """Return whether one more item of a pool may start on the loads that are known.

        :param due: seconds after its submission in which a job of its route is due
        :param urgent: whether the item takes any free slot
        """
        pace, random = self.pace, self.gateway.random
        if pool not in pace.starts:
            loads = self._loads(pool)
            part = self.outlook.own_part()
            batch = self.load(pool)["batch"]
            needed = self.outlook.needed_slots(item, batch, due)
            limit = max(self._calm_slots(pool), needed)
            pace.starts[pool] = batch_start_limit(loads, part, random, limit)
            pace.urgent_starts[pool] = batch_start_limit(loads, part, random, math.inf)
        return (pace.urgent_starts if urgent else pace.starts)[pool] > 0

    def choose(
        self, pool: PoolName, tried: Collection[RunnerKey] = ()
    ) -> RunnerState | None:
        """Return a runner on which an item may start now."""
        loads = self._loads(pool, tried)
        allocator = self.gateway.allocator
        if not loads:
            return None
        best = batch_runner(loads, self.gateway.random, allocator.hosts)
        return None if best is None else allocator.runners[best.key.name]

    def items_to_preempt(self, pool: PoolName) -> int:
        """Return how many own items must step back for online requests."""
        loads = [runner.load() for runner in self.gateway.allocator.usable(pool)]
        return items_to_preempt(loads, self.gateway.random)

    def _calm_slots(self, pool: PoolName) -> float:
        """Return the slots that the last peaks of online requests leave."""
        peaks = self.peaks.get(pool)
        peak = peaks.highest(self.gateway.clock()) if peaks is not None else 0
        runners = self.gateway.allocator.usable(pool)
        return (1 - HEADROOM) * sum(runner.entry.slots for runner in runners) - peak

    def _loads(
        self, pool: PoolName, tried: Collection[RunnerKey] = ()
    ) -> list[RunnerLoad]:
        """Return the loads of the runners that may take items."""
        allocator = self.gateway.allocator
        return [] if allocator.queues.get(pool) else allocator.open_loads(pool, tried)
