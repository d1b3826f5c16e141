"""Keeps track of the cold runners of a host, and tells the other hosts of them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.gen.messages.ttypes import ColdRunner
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.slot_allocator import SUSPECT_SECONDS
from primroseford.ids import HostId
from primroseford.ids import RunnerName
from primroseford.request_limits.bounds import ColdLimit
from primroseford.request_limits.cold_runners import MAX_REPORTED_RUNNERS
from primroseford.request_limits.cold_runners import ColdCause

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Pool
    from primroseford.ids import FailureDomainId
    from primroseford.ids import PoolName

ASK_SECONDS = 0.5
"""Time for which an owner takes a runner for cold after another host has asked for a
token as for a cold one: until the heartbeat of that host has arrived, also through a
relay."""
VOUCH_INTERVALS = 4
"""Heartbeat intervals after which an owner has heard of a suspicion and the others have
heard that it suspects the runner as well. Each way takes one, and one more by relay."""
WARM_REPORT_SECONDS = 2.0
"""Time for which an owner reports that a runner has stated that it is not cold, unless
the runner is suspected again. Others apply this after ``VOUCH_INTERVALS`` only."""

log = structlog.get_logger()


class ColdWatch:
    """Notes when runners of this host become cold, and when they no longer are.

    :param unix_time: Unix time in seconds, to compare with the start of a runner
    :ivar excess: factor by which the platform tolerates more requests
    :ivar slack: number of requests in a second that it tolerates beyond that
    :ivar has_list: whether this host has read the runner list
    :ivar warm: local time in seconds at which runners stated that they are not cold
    """

    def __init__(
        self, gateway: Gateway, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.gateway = gateway
        self.unix_time = unix_time
        self.runners = gateway.allocator.tokens.cold
        self.excess = 1.0
        self.slack = 0.0
        self.has_list = False
        self.warm: dict[RunnerKey, float] = {}

    def configure(self, pools: Mapping[PoolName, Pool]) -> None:
        """Apply the cold times of a new configuration."""
        before = set(self.runners.pools)
        self.runners.configure(
            {
                name: ColdLimit(
                    pool.cold_seconds, pool.cold_rate, self.excess, self.slack
                )
                for name, pool in pools.items()
            }
        )
        # The runner list may have been read before the configuration.
        for runner in self.gateway.allocator.runners.values():
            if runner.entry.pool in self.runners.pools.keys() - before:
                self._note_first_entry(runner.entry)
        self._set_gauge()

    def note_entries(self, entries: Mapping[RunnerName, RunnerEntry]) -> None:
        """Note the new and changed entries of the runner list, before it is applied.

        The runners of the first list were there before this host, so that they are cold
        only if their entries say so or they have started lately.
        """
        is_first = not self.has_list
        self.has_list = True
        if not self.runners.pools:
            return
        listed = self.gateway.allocator.runners
        for name, entry in entries.items():
            known = listed.get(name)
            if is_first:
                self._note_first_entry(entry)
            elif known is None or known.entry.key != entry.key:
                self._begin(entry, ColdCause.START)
                self._begin(entry, ColdCause.ENTRY, entry.cold_seconds)
            elif known.entry is not entry:
                self._begin(entry, ColdCause.ENTRY, entry.cold_seconds)

    def _note_first_entry(self, entry: RunnerEntry) -> None:
        limit = self.runners.pools.get(entry.pool)
        if limit is None:
            return
        self._begin(entry, ColdCause.ENTRY, entry.cold_seconds)
        age = max(0.0, self.unix_time() - entry.key.born / 1000)
        self._begin(entry, ColdCause.START, limit.seconds - age)

    def note_suspicion(self, runner: RunnerState) -> None:
        """Note that a runner may have failed: it is cold when it returns."""
        self.warm.pop(runner.entry.key, None)
        if self._begin(runner.entry, ColdCause.SUSPICION, after=SUSPECT_SECONDS):
            self.gateway.request_limiter.announce()

    def note_evacuation_ends(self, domains: frozenset[FailureDomainId]) -> None:
        """Note that runners of failure domains get requests again."""
        if not domains or not self.runners.pools:
            return
        for runner in self.gateway.allocator.runners.values():
            if runner.entry.failure_domain in domains:
                self._begin(runner.entry, ColdCause.EVACUATION)

    def note_statement(self, runner: RunnerState, seconds: float | None) -> None:
        """Apply the remaining time in a health response.

        :param seconds: remaining time; ``None`` if the response does not state it
        """
        entry = runner.entry
        if seconds is None or entry.pool not in self.runners.pools:
            return
        now = self.gateway.clock()
        if seconds <= 0:
            self.warm[entry.key] = now
            self.gateway.allocator.changed = True
        if self.runners.note_statement(entry.key, entry.pool, seconds, now):
            self._log_begin(entry.key, ColdCause.HEALTH, self.gateway.members.own)
            self.gateway.request_limiter.announce()

    def note_health(self, runner: RunnerState, seconds: float | None) -> None:
        """Apply the health response of a runner that counts itself as healthy.

        A runner that is not cold may leave out the remaining time. That ends only what
        was assumed after a suspicion, not a cold time that follows from a start.

        :param seconds: remaining time; ``None`` if the response does not state it
        """
        if seconds is not None:
            self.note_statement(runner, seconds)
        elif runner.entry.pool in self.runners.pools:
            key = runner.entry.key
            self.warm[key] = self.gateway.clock()
            self.gateway.allocator.changed = True
            self.runners.end_assumption(key)

    def note_ask(self, key: RunnerKey, host: HostId) -> bool:
        """Note that another host takes a runner for cold, from its message to an owner.

        :returns: whether the runner can be cold
        """
        runner = self.gateway.allocator.runners.get(key.name)
        if runner is None or runner.entry.pool not in self.runners.pools:
            return False
        now = self.gateway.clock()
        if self.runners.limit(key, now) is None:
            self.runners.note_ask(key, runner.entry.pool, host, now + ASK_SECONDS)
            self._log_begin(key, ColdCause.PEER, host)
        return True

    def _begin(
        self,
        entry: RunnerEntry,
        cause: ColdCause,
        seconds: float | None = None,
        after: float = 0.0,
    ) -> bool:
        now = self.gateway.clock()
        assumed = cause is ColdCause.SUSPICION
        if not self.runners.begin(entry.key, entry.pool, now, seconds, after, assumed):
            return False
        self._log_begin(entry.key, cause, self.gateway.members.own)
        # Tells the other hosts with the next heartbeat.
        self.gateway.allocator.changed = True
        return True

    def _log_begin(self, key: RunnerKey, cause: ColdCause, host: HostId) -> None:
        left = self.runners.periods[key].until() - self.gateway.clock()
        log.info(
            "runner is cold",
            runner=key.name,
            born=key.born,
            cause=cause.value,
            seconds=round(left, 3),
            seen_by=host,
        )
        self._set_gauge()

    def _set_gauge(self) -> None:
        self.gateway.metrics.cold_runners.set(len(self.runners.periods))

    def step(self) -> None:
        """Let requests go to the runners that are no longer cold."""
        now = self.gateway.clock()
        self.warm = {
            key: at for key, at in self.warm.items() if now - at < WARM_REPORT_SECONDS
        }
        if not self.runners.periods:
            return
        listed = {r.entry.key for r in self.gateway.allocator.runners.values()}
        ended = self.runners.expire(listed, now)
        for key in ended:
            log.info("runner is no longer cold", runner=key.name, born=key.born)
            self.gateway.request_limiter.end_limit(key)
        if ended:
            self._set_gauge()

    def checks(self, runner: RunnerState) -> bool:
        """Return whether this host checks a runner that may have restarted.

        Checks of a cold runner count as requests, so that its owner alone makes them.
        """
        limiter = self.gateway.request_limiter
        key = runner.entry.key
        return not limiter.tokens.is_cold(key) or limiter.ownership.is_owner(key)

    def is_vouched(self, runner: RunnerState, by: HostId | None = None) -> bool:
        """Return whether the owner of a cold runner has checked its instance.

        The owner suspects a cold runner when it hears that this host does, until the
        runner has told its start.

        :param by: the owner, if a message of it is applied
        """
        limiter = self.gateway.request_limiter
        key = runner.entry.key
        if not limiter.tokens.is_cold(key) or limiter.ownership.is_owner(key):
            return False
        wait = max(SUSPECT_SECONDS, VOUCH_INTERVALS * self.gateway.members.interval)
        suspected_at = runner.suspect_until - SUSPECT_SECONDS
        if by not in (None, limiter.ownership.owner_of(key)):
            return False
        is_suspected = limiter.ownership.owner_of(key) in runner.suspected_by
        return not is_suspected and self.gateway.clock() - suspected_at >= wait

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the cold runners of this host to its heartbeat."""
        heartbeat.cold_runners = [
            ColdRunner(key.name, key.born, max(1, round(left * 1000)))
            for key, left in self.runners.reports(self.gateway.clock())
        ]
        heartbeat.cold_runners += [
            ColdRunner(key.name, key.born, 0)
            for key in list(self.warm)[:MAX_REPORTED_RUNNERS]
        ]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the cold runners that another host reports."""
        if not self.runners.pools:
            return
        if not heartbeat.cold_runners and not self.runners.periods:
            return
        runners = self.gateway.allocator.runners
        reports: dict[RunnerKey, float] = {}
        pools: dict[RunnerKey, PoolName] = {}
        for report in heartbeat.cold_runners or ():
            key = RunnerKey(RunnerName(report.runner), report.born)
            known = runners.get(key.name)
            if known is None or known.entry.key != key:
                continue
            if report.left_ms:
                reports[key] = report.left_ms / 1000
                pools[key] = known.entry.pool
            elif self.is_vouched(known, HostId(heartbeat.host)):
                self.runners.end_assumption(key)
        host = HostId(heartbeat.host)
        now = self.gateway.clock()
        for key in self.runners.replace_reports(host, reports, pools, now):
            self._log_begin(key, ColdCause.PEER, host)
        self._doubt_suspected(heartbeat)

    def _doubt_suspected(self, heartbeat: Heartbeat) -> None:
        """Check the cold engines of this host that another host begins to suspect."""
        for report in heartbeat.loads or ():
            runner = self.gateway.allocator.runners.get(report.runner)
            if runner is None or not report.suspected:
                continue
            is_cold = self.gateway.allocator.tokens.is_cold(runner.entry.key)
            if is_cold and heartbeat.host not in runner.suspected_by:
                self.warm.pop(runner.entry.key, None)
                if self.checks(runner) and self.gateway.is_engine(runner.entry.pool):
                    runner.may_have_restarted = True
