"""Limits the requests in flight at the runners of a host that are ramping up."""

from __future__ import annotations

import math
import time
from enum import Enum
from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.gen.messages.ttypes import RunnerAnswers
from primroseford.gateway.gen.messages.ttypes import RunnerPace
from primroseford.gateway.members import host_rank
from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.rendezvous import weight
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.ids import RunnerName
from primroseford.pace.control import LOWEST_LIMIT
from primroseford.pace.control import Answers
from primroseford.pace.control import is_eligible
from primroseford.pace.control import own_share
from primroseford.pace.ramps import LimitReport
from primroseford.pace.ramps import Ramps
from primroseford.pace.usual_times import UsualTimes
from primroseford.request_limits.peer_uses import Process

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import FailureDomainId
    from primroseford.ids import PoolName

MAX_REPORT_INTERVALS = 3
"""Heartbeat intervals after which the report of an owner no longer counts."""
RELAY_SECONDS = 0.2
"""Longest time that a relay adds to the age of a report."""
IDLE_SECONDS = 0.3
"""Interval of the heartbeats of a host whose state does not change."""
PROBE_SECONDS = 0.5
"""Interval between probes of a failed runner, and the timeout of a probe."""
FIRST_PROBE_SECONDS = 0.1
"""Time from a suspicion to the first probe of a runner that ramps up afterwards: the
interval of the checks for failed runners."""
MAX_REPORTED_RUNNERS = 100
"""Runners in one heartbeat, which must fit a datagram."""
DRAW_RANGE = 2.0**64
"""Range of the weights of the rendezvous hash."""

log = structlog.get_logger()


class RampCause(Enum):
    """Why the limit of a runner is low."""

    START = "start"
    SUSPICION = "suspicion"
    EVACUATION = "end of evacuation"
    PEER = "other host"


class PaceWatch:
    """Ramps of the runners of this host.

    :param unix_time: Unix time in seconds, to compare with the start of a runner
    :ivar own: this process, as the source of its counts
    :ivar counts: responses of the runners since the start of this host
    :ivar cold_pools: pools with a cold time, by its length in seconds
    """

    def __init__(
        self, gateway: Gateway, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.gateway = gateway
        self.allocator = gateway.allocator
        self.unix_time = unix_time
        self.own = Process(gateway.members.own, Incarnation(""))
        self.ramps = Ramps()
        self.usual = UsualTimes()
        self.counts: dict[RunnerKey, Answers] = {}
        self.cold_pools: dict[PoolName, float] = {}
        self.has_list = False
        self.allocator.ramping = self.ramps.ramps
        self.allocator.may_use = self.may_use

    def is_paced(self, pool: PoolName) -> bool:
        """Return whether the runners of a pool are limited when they start."""
        return pool in self.cold_pools or pool in self.allocator.slowness_pools

    @property
    def max_age(self) -> float:
        """Age in seconds from which the report of an owner no longer counts."""
        interval = max(IDLE_SECONDS, self.gateway.members.interval)
        return MAX_REPORT_INTERVALS * interval + RELAY_SECONDS

    def first_probe_seconds(self, runner: RunnerState) -> float:
        """Return the time from a suspicion of a runner to the first probe in seconds.

        A runner that answers it gets few requests at first, so that it can be early.
        """
        is_paced = self.is_paced(runner.entry.pool)
        return FIRST_PROBE_SECONDS if is_paced else PROBE_SECONDS

    def note_entries(self, entries: Mapping[RunnerName, RunnerEntry]) -> None:
        """Limit the new runners of the list, before it is applied.

        A runner of the first list is limited only if it has started lately.
        """
        is_first = not self.has_list
        self.has_list = True
        for name, entry in entries.items():
            if not self.is_paced(entry.pool):
                continue
            known = self.allocator.runners.get(name)
            if known is not None and known.entry.key == entry.key:
                continue
            age = self.unix_time() - entry.key.born / 1000
            if not is_first or age < self.cold_pools.get(entry.pool, 0.0):
                self._begin(entry, RampCause.START)

    def note_suspicion(self, runner: RunnerState) -> None:
        """Limit a runner that may have failed."""
        if self.is_paced(runner.entry.pool):
            self._begin(runner.entry, RampCause.SUSPICION)

    def note_evacuation_ends(self, domains: frozenset[FailureDomainId]) -> None:
        """Limit the runners of failure domains that get requests again."""
        for runner in self.allocator.runners.values():
            entry = runner.entry
            if entry.failure_domain in domains and self.is_paced(entry.pool):
                self._begin(entry, RampCause.EVACUATION)

    def _begin(
        self, entry: RunnerEntry, cause: RampCause, seen_by: HostId | None = None
    ) -> None:
        now = self.gateway.clock()
        if self.ramps.begin(entry.key, _full_limit(entry), now):
            self._log_begin(entry.key, cause, seen_by or self.own.host)
        self.allocator.changed = True
        # Responses count from now on, also those before the next step.
        self._choose_owner(entry.key)

    def _log_begin(self, key: RunnerKey, cause: RampCause, host: HostId) -> None:
        log.info("runner is limited", runner=key.name, cause=cause.value, seen_by=host)
        self._set_gauge()

    def _end(self, key: RunnerKey, why: str) -> None:
        log.info("runner is fully used", runner=key.name, why=why)
        self._set_gauge()
        self._apply(key)
        self.allocator.changed = True

    def _set_gauge(self) -> None:
        self.gateway.metrics.paced_runners.set(len(self.ramps.ramps))

    def _limit(self, key: RunnerKey) -> float | None:
        """Return the limit of a ramping runner; ``None`` if it is unknown."""
        return self.ramps.ramps[key].limit(self.gateway.clock(), self.max_age)

    def _apply(self, key: RunnerKey) -> None:
        """Apply the limit of a runner to its load."""
        runner = self.allocator.runners.get(key.name)
        if runner is None or runner.entry.key != key:
            return
        if key not in self.ramps.ramps:
            runner.limit = math.inf
        else:
            runner.limit = self._limit(key) or LOWEST_LIMIT

    def may_use(self, runner: RunnerState) -> bool:
        """Return whether one more request of this host may be sent to a runner."""
        key = runner.entry.key
        if key not in self.ramps.ramps:
            return True
        limit, hosts = self._limit(key), self.allocator.hosts
        own = runner.online + runner.batch
        if limit is None:
            rank = host_rank(key.name, self.own.host, self.allocator.peer_waiting)
            return own < own_share(LOWEST_LIMIT, hosts, rank)
        if own + runner.peer_online + runner.peer_batch >= int(limit):
            return False
        interval = int(self.gateway.clock() / self.gateway.members.interval)
        draw = weight.__wrapped__(f"{key.name}/{interval}", self.own.host) / DRAW_RANGE
        return is_eligible(draw, limit, hosts)

    def note_answer(self, runner: RunnerState, seconds: float) -> None:
        """Apply the first event or the whole response of one request.

        :param seconds: time since the request
        """
        entry = runner.entry
        if not self.is_paced(entry.pool):
            return
        in_flight = (
            runner.online + runner.batch + runner.peer_online + runner.peer_batch
        )
        load = in_flight / entry.slots
        # A runner that is always slower than its pool is not still starting.
        expected = seconds * runner.speed.lasting
        if entry.key not in self.ramps.ramps:
            self.usual.record(entry.pool, load, expected)
            return
        is_slow = self.usual.is_slow(entry.pool, load, expected)
        self._count(entry.key, Answers(slow=1) if is_slow else Answers(in_time=1))

    def note_failure(self, runner: RunnerState) -> None:
        """Apply a failure or a refusal."""
        if runner.entry.key in self.ramps.ramps:
            self._count(runner.entry.key, Answers(failed=1))

    def _count(self, key: RunnerKey, new: Answers) -> None:
        counts = self.counts.get(key, Answers())
        self.counts[key] = Answers(*(a + b for a, b in zip(counts, new, strict=True)))
        self.allocator.changed = True
        self._note_own_answers(key)

    def _note_own_answers(self, key: RunnerKey) -> None:
        counts = self.counts.setdefault(key, Answers())
        if self.ramps.note_answers(key, self.own, counts, self.gateway.clock()):
            self._end(key, "responses in time")
        else:
            self._apply(key)

    def step(self) -> None:
        """Choose owners, end ramps, and let waiting requests use the limits."""
        ramps = self.ramps
        if not ramps.ramps and not ramps.full_until:
            return
        now = self.gateway.clock()
        listed = {r.entry.key for r in self.allocator.runners.values()}
        for key in ramps.expire(listed, now):
            self._end(key, "gone or without an owner")
        for key in self.counts.keys() - listed:
            del self.counts[key]
        for key in list(ramps.ramps):
            self._choose_owner(key)
        self.allocator.grant()

    def _choose_owner(self, key: RunnerKey) -> None:
        """Take over or give up the limit of a runner, and apply it."""
        ownership = self.gateway.request_limiter.ownership
        now = self.gateway.clock()
        self.ramps.own(key, ownership.is_owner(key), now, self.max_age)
        self._note_own_answers(key)

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add the counts of this host and the limits that it owns to its heartbeat."""
        now = self.gateway.clock()
        heartbeat.runner_answers = [
            RunnerAnswers(key.name, key.born, *self.counts.get(key, Answers()))
            for key in list(self.ramps.ramps)[:MAX_REPORTED_RUNNERS]
        ]
        paces = [
            RunnerPace(
                key.name, key.born, ramp.owned, round(1000 * (now - ramp.owned_at))
            )
            for key, ramp in self.ramps.ramps.items()
            if ramp.owned is not None
        ]
        ownership = self.gateway.request_limiter.ownership
        for key in self.ramps.full_until:
            runner = self.allocator.runners.get(key.name)
            is_listed = runner is not None and runner.entry.key == key
            if is_listed and ownership.is_owner(key):
                limit = float(_full_limit(runner.entry))
                paces.append(RunnerPace(key.name, key.born, limit, 0))
        heartbeat.paces = paces[:MAX_REPORTED_RUNNERS]

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the suspicions, counts and limits of another host."""
        if not self.cold_pools and not self.allocator.slowness_pools:
            return
        host = HostId(heartbeat.host)
        for report in heartbeat.loads or ():
            runner = self.allocator.runners.get(report.runner)
            if runner is None or not report.suspected or host in runner.suspected_by:
                continue
            if self.is_paced(runner.entry.pool):
                self._begin(runner.entry, RampCause.SUSPICION, host)
        now = self.gateway.clock()
        process = Process(host, Incarnation(heartbeat.incarnation))
        for report in heartbeat.runner_answers or ():
            runner = self._listed(report)
            counts = (report.in_time or 0, report.slow or 0, report.failed or 0)
            if runner is None or min(counts) < 0:
                continue
            key = runner.entry.key
            if self.ramps.note_answers(key, process, Answers(*counts), now):
                self._end(key, "responses in time")
        for report in heartbeat.paces or ():
            runner = self._listed(report)
            if runner is None or not 0 < (report.limit or 0) < math.inf:
                continue
            self._apply_report(runner, host, report)

    def _apply_report(
        self, runner: RunnerState, host: HostId, report: RunnerPace
    ) -> None:
        key, now = runner.entry.key, self.gateway.clock()
        age = max(0, report.age_ms or 0) / 1000
        if age > self.max_age:
            return
        limit = max(LOWEST_LIMIT, report.limit)
        was_limited = key in self.ramps.ramps
        full = _full_limit(runner.entry)
        self.ramps.note_report(key, full, host, LimitReport(limit, now - age))
        is_limited = key in self.ramps.ramps
        if is_limited and not was_limited:
            self._log_begin(key, RampCause.PEER, host)
        if was_limited and not is_limited:
            self._end(key, "reported by the owner")
        self._apply(key)

    def _listed(self, report: RunnerAnswers | RunnerPace) -> RunnerState | None:
        """Return the paced runner of a report; ``None`` if it is not listed."""
        runner = self.allocator.runners.get(RunnerName(report.runner))
        if runner is None or runner.entry.key.born != report.born:
            return None
        return runner if self.is_paced(runner.entry.pool) else None


def _full_limit(entry: RunnerEntry) -> float:
    """Return the limit at which a runner is fully used."""
    return entry.slots + MAX_RUNNER_QUEUE
