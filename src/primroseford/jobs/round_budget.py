"""Limits what a host decides about batch items between two rounds of load reports."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import PoolName


@dataclass
class RoundBudget:
    """Starts and preemptions that this host may still do in this heartbeat round.

    The load reports of other hosts are as old as their heartbeats. If every host
    decided repeatedly on the same reports, all would overshoot several times.

    :ivar renewed_at: local time of the last renewal in seconds
    :ivar starts: items that may still start, by pool
    :ivar urgent_starts: the same for items whose slack is nearly used up
    :ivar preempted: pools in which items were preempted in this round
    :ivar late_preempted: pools in which late items were preempted for items that can
        meet their deadline, in this round
    """

    renewed_at: float = -math.inf
    starts: dict[PoolName, int] = field(default_factory=dict)
    urgent_starts: dict[PoolName, int] = field(default_factory=dict)
    preempted: set[PoolName] = field(default_factory=set)
    late_preempted: set[PoolName] = field(default_factory=set)

    def record_start(self, pool: PoolName) -> None:
        """Count an item of a pool that has started."""
        self.starts[pool] -= 1
        self.urgent_starts[pool] -= 1

    def record_end(self, pool: PoolName) -> None:
        """Count an item of a pool that has completed: its slot is known to be free."""
        for starts in (self.starts, self.urgent_starts):
            if pool in starts:
                starts[pool] += 1

    def forbid_starts(self, pool: PoolName) -> None:
        """Allow no further starts in a pool in which items are preempted."""
        self.preempted.add(pool)
        self.starts[pool] = self.urgent_starts[pool] = 0

    def renew(self, now: float, interval: float) -> None:
        """Reset the budget once all other hosts have had time to report their loads.

        :param now: local time in seconds
        :param interval: heartbeat interval in seconds
        """
        if now - self.renewed_at >= interval:
            self.renewed_at = now
            self.starts.clear()
            self.urgent_starts.clear()
            self.preempted.clear()
            self.late_preempted.clear()
