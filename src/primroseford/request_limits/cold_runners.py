"""Runners that are cold, and so tolerate few requests per second.

A runner is cold for some time after it starts. Its entry and its health responses say
for how long, but late. A host therefore takes a runner for cold as soon as it may have
started again, and tells the other hosts.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.request_limits.bounds import ColdLimit

MAX_COLD_SECONDS = 600.0
"""Longest time for which a runner or another host can state that a runner is cold."""
MAX_REPORTED_RUNNERS = 100
"""Runners in one heartbeat, which must fit a datagram. Heartbeats carry the load of
each busy runner as well."""


class ColdCause(Enum):
    """Why a host takes a runner for cold."""

    ENTRY = "entry"
    HEALTH = "health response"
    START = "start"
    SUSPICION = "suspicion"
    EVACUATION = "end of evacuation"
    PEER = "other host"


class ColdReport(NamedTuple):
    """A cold runner as heartbeats report it.

    :param left: remaining time in seconds
    """

    runner: RunnerKey
    left: float


@dataclass
class ColdPeriod:
    """What is known of one cold runner.

    :param known: local time in seconds until which it is cold as this host knows it
    :param assumed: the same after a suspicion, which may have been a false one
    :param peers: the same as other hosts have reported it
    """

    limit: ColdLimit
    known: float = 0.0
    assumed: float = 0.0
    peers: dict[HostId, float] = field(default_factory=dict)

    @property
    def own(self) -> float:
        """Local time in seconds until which this host takes the runner for cold."""
        return max(self.known, self.assumed)

    def until(self) -> float:
        """Return the local time in seconds until which the runner is cold."""
        return max(self.own, *self.peers.values()) if self.peers else self.own


@dataclass
class ColdRunners:
    """Cold runners, from what this host and the others have learnt.

    :param pools: limits of the pools whose runners can be cold
    :ivar periods: what is known, by runner instance
    :ivar by_peer: runners in the last report of each other host
    """

    pools: dict[PoolName, ColdLimit] = field(default_factory=dict)
    periods: dict[RunnerKey, ColdPeriod] = field(default_factory=dict)
    by_peer: dict[HostId, set[RunnerKey]] = field(default_factory=dict)

    def configure(self, pools: Mapping[PoolName, ColdLimit]) -> None:
        """Set the limits of the pools; runners of other pools are never cold."""
        self.pools = {
            pool: limit
            for pool, limit in pools.items()
            if limit.rate > 0 and limit.seconds > 0
        }

    def limit(self, runner: RunnerKey, now: float) -> ColdLimit | None:
        """Return the limit of a cold runner; ``None`` if it is not cold.

        :param now: local time in seconds
        """
        period = self.periods.get(runner)
        return period.limit if period is not None and period.until() > now else None

    def begin(
        self,
        runner: RunnerKey,
        pool: PoolName,
        now: float,
        seconds: float | None = None,
        after: float = 0.0,
        assumed: bool = False,
    ) -> bool:
        """Take a runner for cold, and return whether it was not cold before.

        :param now: local time in seconds
        :param seconds: remaining time; by default the whole time after a start
        :param after: time until the runner may start, in seconds
        :param assumed: whether it is only suspected to have failed
        """
        limit = self.pools.get(pool)
        if limit is None or seconds is not None and seconds <= 0:
            return False
        if seconds is None:
            seconds = limit.seconds
        is_new = self.limit(runner, now) is None
        period = self.periods.setdefault(runner, ColdPeriod(limit))
        until = now + after + min(seconds, MAX_COLD_SECONDS)
        if assumed:
            period.assumed = max(period.assumed, until)
        else:
            period.known = max(period.known, until)
        return is_new

    def note_statement(
        self, runner: RunnerKey, pool: PoolName, left: float, now: float
    ) -> bool:
        """Apply the remaining time that a runner states in a response to this host.

        It replaces what this host has assumed, also if it is shorter.

        :param left: remaining time in seconds; 0 if the runner is not cold
        :param now: local time in seconds
        :returns: whether the runner was not cold before
        """
        period = self.periods.get(runner)
        if period is not None:
            period.known = period.assumed = 0.0
        return self.begin(runner, pool, now, left)

    def end_assumption(self, runner: RunnerKey) -> None:
        """Stop assuming that a runner is cold, since it has stated that it is not."""
        if runner in self.periods:
            self.periods[runner].assumed = 0.0

    def replace_reports(
        self,
        host: HostId,
        reports: Mapping[RunnerKey, float],
        pools: Mapping[RunnerKey, PoolName],
        now: float,
    ) -> list[RunnerKey]:
        """Replace what another host has reported; return the newly cold runners.

        :param reports: remaining times in seconds by runner instance
        :param pools: pools of these runners
        :param now: local time in seconds
        """
        known = {
            runner: min(left, MAX_COLD_SECONDS)
            for runner, left in reports.items()
            if left > 0 and pools.get(runner) in self.pools
        }
        if len(reports) < MAX_REPORTED_RUNNERS:
            for runner in self.by_peer.pop(host, set()) - known.keys():
                if runner in self.periods:
                    self.periods[runner].peers.pop(host, None)
        found = []
        for runner, left in known.items():
            if self.limit(runner, now) is None:
                found.append(runner)
            limit = self.pools[pools[runner]]
            period = self.periods.setdefault(runner, ColdPeriod(limit))
            period.peers[host] = now + left
            self.by_peer.setdefault(host, set()).add(runner)
        return found

    def note_ask(
        self, runner: RunnerKey, pool: PoolName, host: HostId, until: float
    ) -> None:
        """Record that another host takes a runner for cold, until its next report.

        :param until: local time in seconds
        """
        period = self.periods.setdefault(runner, ColdPeriod(self.pools[pool]))
        period.peers[host] = max(until, period.peers.get(host, 0.0))
        self.by_peer.setdefault(host, set()).add(runner)

    def reports(self, now: float) -> list[ColdReport]:
        """Return what this host itself has learnt, the longest times first.

        What other hosts have reported is left out: with each repetition it would grow
        by the time that a heartbeat takes.

        :param now: local time in seconds
        """
        found = [
            ColdReport(runner, period.own - now)
            for runner, period in self.periods.items()
            if period.own > now
        ]
        found.sort(key=lambda report: -report.left)
        return found[:MAX_REPORTED_RUNNERS]

    def expire(self, listed: Collection[RunnerKey], now: float) -> list[RunnerKey]:
        """Drop the runners that are gone or no longer cold, and return them.

        :param listed: runner instances of the runner list
        :param now: local time in seconds
        """
        ended = [
            runner
            for runner, period in self.periods.items()
            if period.until() <= now or runner not in listed
        ]
        for runner in ended:
            for host in self.periods.pop(runner).peers:
                if host in self.by_peer:
                    self.by_peer[host].discard(runner)
        return ended
