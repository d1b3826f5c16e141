"""How often a host decides on batch while it hears the other hosts some time late."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.ids import PoolName


@dataclass
class Pace:
    """What this host may still do before it hears of the other hosts.

    Loads of other hosts are as old as their heartbeats. A host that started or paused
    items again on the same loads would do so several times over, as would all others.

    :ivar renewed_at: local time at which the loads were last taken
    :ivar starts: items that may still start, by pool
    :ivar urgent_starts: the same for items that cannot wait for more room
    :ivar paused: pools whose items stepped back since
    :ivar yielded: pools whose late items yielded to others since
    """

    renewed_at: float = -math.inf
    starts: dict[PoolName, int] = field(default_factory=dict)
    urgent_starts: dict[PoolName, int] = field(default_factory=dict)
    paused: set[PoolName] = field(default_factory=set)
    yielded: set[PoolName] = field(default_factory=set)

    def started(self, pool: PoolName) -> None:
        """Note that an item of a pool has started."""
        self.starts[pool] -= 1
        self.urgent_starts[pool] -= 1

    def freed(self, pool: PoolName) -> None:
        """Note that an item of a pool has ended: its slot is known to be free."""
        for starts in (self.starts, self.urgent_starts):
            if pool in starts:
                starts[pool] += 1

    def stop(self, pool: PoolName) -> None:
        """Let no item of a pool start, since items step back."""
        self.paused.add(pool)
        self.starts[pool] = self.urgent_starts[pool] = 0

    def renew(self, now: float, interval: float) -> None:
        """Take the loads anew if the other hosts have told theirs meanwhile."""
        if now - self.renewed_at >= interval:
            self.renewed_at = now
            self.starts.clear()
            self.urgent_starts.clear()
            self.paused.clear()
            self.yielded.clear()
