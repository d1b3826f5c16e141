"""Decides which jobs this host hands on, since only other hosts reach their runners."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.slot_allocator import SUSPECT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId
    from primroseford.ids import PoolName

UNREACHED_SECONDS = 5.0
"""Time without data from any runner of a pool, all of which this host suspects, after
which other hosts run the pool's jobs if they can."""
LAPSE_SECONDS = SUSPECT_SECONDS
"""Time for which a suspicion counts after its end, since it may lapse until the probe
that renews it has timed out."""
PEER_LAPSE_SECONDS = 3.0
"""The same for the suspicions that another host reports, whose heartbeats may be late
or lost."""


@dataclass
class PoolReach:
    """Whether hosts reach the runners of a pool.

    :param lost_since: local time in seconds since which this host reaches none of them;
        None while it reaches some
    :param lost_elsewhere: local time at which each other host last reached none of them
    """

    lost_since: float | None = None
    lost_elsewhere: dict[HostId, float] = field(default_factory=dict)

    def update(
        self, runners: Sequence[RunnerState], hosts: Iterable[HostId], now: float
    ) -> None:
        """Apply the present suspicions.

        :param runners: runners of the pool that accept work
        :param hosts: other hosts that can run jobs
        :param now: local time in seconds
        """
        if not runners or any(r.suspect_until + LAPSE_SECONDS <= now for r in runners):
            self.lost_since = None
        else:
            since = now if self.lost_since is None else self.lost_since
            self.lost_since = max(since, *(runner.last_byte for runner in runners))
        for host in hosts:
            if all(host in runner.suspected_by for runner in runners):
                self.lost_elsewhere[host] = now

    def is_reached_elsewhere(self, hosts: Iterable[HostId], now: float) -> bool:
        """Return whether another host alone may reach runners of the pool.

        A host without work for the pool has no suspicions, and gets some if it takes a
        job over in vain: so a job passes each host once at most while none reaches any.

        :param hosts: other hosts that can run jobs
        :param now: local time in seconds
        """
        if self.lost_since is None or now - self.lost_since < UNREACHED_SECONDS:
            return False
        lost_at = self.lost_elsewhere
        return any(now - lost_at.get(h, -math.inf) > PEER_LAPSE_SECONDS for h in hosts)


class RunnerReach:
    """Pools whose jobs this host hands on.

    :ivar pools: the pools with jobs of this host, and those that it does not reach
    :ivar handed_on: pools of which other hosts, but not this one, may reach runners
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.pools: dict[PoolName, PoolReach] = {}
        self.handed_on: set[PoolName] = set()

    def update(self, used: Iterable[PoolName]) -> None:
        """Decide again about the pools.

        :param used: pools with jobs of this host
        """
        now, members = self.gateway.clock(), self.gateway.members
        used = set(used)
        for pool in used:
            self.pools.setdefault(pool, PoolReach())
        if not self.pools:
            return
        hosts = [host for host in members.working(now) if host != members.own]
        self.handed_on = set()
        for pool, reach in list(self.pools.items()):
            reach.update(self.gateway.allocator.pool_runners(pool), hosts, now)
            if reach.is_reached_elsewhere(hosts, now):
                self.handed_on.add(pool)
            elif reach.lost_since is None and pool not in used:
                del self.pools[pool]
