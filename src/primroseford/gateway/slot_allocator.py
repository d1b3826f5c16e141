"""Assignment of runner slots to requests, from the load reports and failure suspicions
of all hosts, with a queue for each pool."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import choose_cached_runner
from primroseford.gateway.evacuations import Evacuations
from primroseford.gateway.leaving_runners import LeavingRunners
from primroseford.gateway.placement import choose_runner
from primroseford.gateway.placement import expected_wait
from primroseford.gateway.placement import sample_runners
from primroseford.gateway.runner_state import RunnerState
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_queue import SlotQueue
from primroseford.gateway.slot_queue import Waiter
from primroseford.gateway.speed_placement import choose_by_speed
from primroseford.gateway.version_history import VersionHistory
from primroseford.request_limits.observations import LimitObservations
from primroseford.request_limits.tokens import RequestTokens

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Container
    from collections.abc import Sequence
    from random import Random

    from primroseford.clock import Clock
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.placement import RunnerLoad
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import PromptPartId
    from primroseford.ids import RunnerName
    from primroseford.ids import SoftwareVersion

SUSPECT_SECONDS = 1.0
"""Time for which a failed runner gets no online requests. A successful probe or an
answer ends it early."""
RUNNER_FULL_SECONDS = 0.1
"""Time for which a runner that refused a request counts as full: about one heartbeat
interval, after which its load has been reported."""
MAX_PEER_SUSPECTED_FRACTION = 1 / 2
"""Largest fraction of a pool that may be excluded because other hosts suspect it. It is
more than fails together in one failure domain or release, and allows two of five."""
FIRST_EVENT_WEIGHT = 0.1
"""Weight of one request in the EWMA of the time to the first event."""
FIRST_EVENT_SECONDS = 0.05
"""Initial estimate of the time to the first event at a runner with a free slot: the
decoding of an event of 11 tokens and the reading of 450 prompt tokens."""
SERVICE_SECONDS = 0.7
"""Initial estimate of the time that an online request occupies a slot: a stream of 34
events at intervals of 21 ms, as in the workloads."""
SERVICE_WEIGHT = 0.05
"""Weight of one request in the EWMA of the time that a request occupies a slot."""
NO_RUNNER_RETRY_SECONDS = 0.5
"""Retry-After while a pool has no usable runner: half of the time for which a failed
runner gets no requests."""


class SlotAllocator:
    """Runner slots of all pools as one host sees them.

    :param domain: failure domain of this host
    :param clock: local time
    :ivar runners_by_address: listed runners by their addresses
    :ivar ready: runners that accept new requests, by pool
    :ivar peer_waiting: number of online requests queued at each other host
    :ivar reported_runners: runners in the last load report of each other host
    :ivar service_seconds: EWMA of the time that a request occupies a slot, by pool
    :ivar first_event_seconds: EWMA of the time to the first event, by pool
    :ivar changed: whether the load of this host changed since its last heartbeat
    :ivar tokens: tokens on hand for runners that limit their requests
    :ivar leaving: runners that have said that they leave
    :ivar evacuated: failure domains whose runners get no new work
    :ivar versions: software versions that the pools have had lately
    :ivar reads_reports: whether engines are asked for their reports before a request is
        placed
    :ivar slowness_pools: pools of which a runner has reported its slowness
    :ivar on_waiting: called with a pool when a request begins to wait for a slot
    :ivar slowness_pools: pools whose runners report how long work currently takes
    :ivar ramping: runners that are ramping up
    :ivar may_use: whether a runner that is ramping up may get one more request
    :ivar on_entries: called with a list of runners before it replaces the known one
    """

    def __init__(self, domain: FailureDomainId, clock: Clock, random: Random) -> None:
        self.domain = domain
        self.clock = clock
        self.random = random
        self.runners: dict[RunnerName, RunnerState] = {}
        self.runners_by_address: dict[str, RunnerState] = {}
        self.ready: dict[PoolName, list[RunnerState]] = {}
        self.queues: dict[PoolName, SlotQueue] = {}
        self.peer_waiting: dict[HostId, int] = {}
        self.reported_runners: dict[HostId, set[RunnerName]] = {}
        self.service_seconds: dict[PoolName, float] = {}
        self.first_event_seconds: dict[PoolName, float] = {}
        self.changed = False
        self.tokens = RequestTokens(LimitObservations(), clock)
        self.leaving = LeavingRunners()
        self.evacuated = Evacuations()
        self.versions = VersionHistory(clock)
        self.slowness_pools: set[PoolName] = set()
        self.reads_reports = False
        self.on_waiting: Callable[[PoolName], None] = lambda pool: None
        self.on_entries: Callable[[dict[RunnerName, RunnerEntry]], None] = (
            lambda entries: None
        )
        self.slowness_pools: set[PoolName] = set()
        self.ramping: Collection[RunnerKey] = ()
        self.may_use: Callable[[RunnerState], bool] = lambda runner: True

    @property
    def hosts(self) -> int:
        """Number of hosts that place requests, this one included."""
        return 1 + len(self.peer_waiting)

    def set_runners(self, entries: dict[RunnerName, RunnerEntry]) -> None:
        """Replace the list of runners; a restarted runner loses its previous state."""
        self.on_entries(entries)
        for name in [n for n in self.runners if n not in entries]:
            del self.runners[name]
        for name, entry in entries.items():
            known = self.runners.get(name)
            if known is not None and known.is_instance_of(entry):
                known.entry = entry
            else:
                self.runners[name] = RunnerState(entry)
        self.runners_by_address = {
            runner.entry.address: runner for runner in self.runners.values()
        }
        self.versions.update(entries.values())
        keys = [runner.entry.key for runner in self.runners.values()]
        self.leaving.forget(keys, self.clock())
        self.list_ready()

    def list_ready(self) -> None:
        """List the runners that accept new requests, and use free slots of new ones."""
        self.ready = {}
        for runner in self.runners.values():
            if self.accepts_work(runner):
                self.ready.setdefault(runner.entry.pool, []).append(runner)
        self._refuse_without_runner()
        self.grant()

    def accepts_work(self, runner: RunnerState) -> bool:
        """Return whether a runner may get new requests, items and health checks."""
        entry = runner.entry
        return (
            entry.stage is RunnerStage.READY
            and entry.key not in self.leaving
            and entry.failure_domain not in self.evacuated
        )

    def pool_runners(
        self, pool: PoolName, version: SoftwareVersion | None = None
    ) -> list[RunnerState]:
        """Return the runners of a pool that accept new requests.

        :param version: only those of this software version; ``None`` for any
        """
        ready = self.ready.get(pool, [])
        if version is None:
            return ready
        return [runner for runner in ready if runner.entry.has_version(version)]

    def usable(
        self, pool: PoolName, version: SoftwareVersion | None = None
    ) -> list[RunnerState]:
        """Return the runners of a pool that are not suspected to have failed.

        If other hosts suspect a large part of them, only this host's suspicions count.
        If all are suspected, all are returned: false suspicions must not make the pool,
        or the version, unavailable.

        :param version: only those of this software version; ``None`` for any
        """
        ready = self.pool_runners(pool, version)
        now = self.clock()
        trusted = [r for r in ready if r.suspect_until <= now]
        unsuspected = [r for r in trusted if not r.suspected_by]
        if len(unsuspected) < (1 - MAX_PEER_SUSPECTED_FRACTION) * len(ready):
            unsuspected = trusted
        return unsuspected or ready

    def open_loads(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey],
        batch: bool = False,
        version: SoftwareVersion | None = None,
    ) -> list[RunnerLoad]:
        """Return the loads of the runners of a pool that may get new work.

        :param tried: runner instances that failed the request or item
        :param batch: whether the work is a batch item
        :param version: only those of this software version; ``None`` for any
        """
        now, ramping = self.clock(), self.ramping
        open_runners = [
            runner
            for runner in self.usable(pool, version)
            if runner.full_until <= now
            and runner.entry.key not in tried
            and (runner.entry.key not in ramping or self.may_use(runner))
        ]
        # Most deployments have no limits, and loads are listed for each request.
        if not self.tokens.has_limits:
            return [runner.load() for runner in open_runners]
        return [
            self.load(runner)
            for runner in open_runners
            if self.tokens.may_send(runner.entry.key, batch)
        ]

    def load(self, runner: RunnerState) -> RunnerLoad:
        """Return the load of a runner, with the effect of its request limit."""
        load = runner.load()
        if not self.tokens.has_limits:
            return load
        rate = self.tokens.rate(runner.entry.key)
        if rate is None:
            return load
        seconds = self.service_seconds.get(runner.entry.pool, SERVICE_SECONDS)
        return replace(load, start_limit=rate * seconds)

    def _choose(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey],
        prefix_key: str = "",
        version: SoftwareVersion | None = None,
    ) -> RunnerState | None:
        loads = self.open_loads(pool, tried, version=version)
        if pool in self.slowness_pools:
            best = self.choose_by_speed(pool, loads)
        else:
            sampled = sample_runners(loads, self.hosts, self.random)
            best = choose_runner(sampled, self.domain, self.random)
            if best is None and len(sampled) < len(loads):
                best = choose_runner(loads, self.domain, self.random)
        if best is None:
            return None
        if prefix_key:
            best = choose_cached_runner(prefix_key, loads, best) or best
        return self.runners[best.key.name]

    def choose_by_speed(
        self,
        pool: PoolName,
        loads: Sequence[RunnerLoad],
        batch: bool = False,
        max_factor: float = math.inf,
    ) -> RunnerLoad | None:
        """Return the runner with the best expected times for a request or item.

        An item outlasts the momentary slowness of a runner, so that only the lasting
        speeds count for it.

        :param loads: loads of the candidate runners
        :param batch: whether the work is a batch item
        :param max_factor: largest time factor with which an item ends in time; slower
            runners are used if there are no others
        """
        now = self.clock()
        speeds = [self.runners[load.key.name].speed for load in loads]
        if batch:
            factors = [1.0 / speed.lasting for speed in speeds]
            if max(factors, default=0.0) > max_factor >= min(factors):
                fast = [n for n, factor in enumerate(factors) if factor <= max_factor]
                best = self.choose_by_speed(pool, [loads[n] for n in fast], batch)
                if best is not None:
                    return best
        else:
            factors = [speed.time_factor(now) for speed in speeds]
        return choose_by_speed(
            loads,
            factors,
            self.hosts,
            self.first_event_seconds.get(pool, FIRST_EVENT_SECONDS),
            self.service_seconds.get(pool, SERVICE_SECONDS),
            self.random,
            batch,
        )

    async def acquire(
        self,
        pool: PoolName,
        organisation: str,
        deadline: float,
        tried: Collection[RunnerKey] = (),
        prefix_key: str = "",
        subjects: Container[PromptPartId] = (),
        version: SoftwareVersion | None = None,
    ) -> RunnerState:
        """Reserve a slot for an online request and return its runner.

        :param organisation: queue of the organisation; empty on public routes
        :param deadline: local time in seconds
        :param tried: runner instances that failed this request
        :param prefix_key: cache key of its shared prompt prefix; empty if there is none
        :param subjects: what a quarantine of it could concern
        :param version: the only software version that may serve it; ``None`` for any
        :raises PrimrosefordError: POOL_UNAVAILABLE, STREAM_VERSION_GONE,
            DEADLINE_UNREACHABLE, or an error given to :meth:`refuse_waiting`
        """
        queue = self.queues.get(pool)
        if not queue:
            runner = self._choose(pool, tried, prefix_key, version)
            if runner is not None:
                self.reserve(runner)
                return runner
        self._check_wait(pool, deadline, tried, version)
        queue = self.queues.setdefault(pool, SlotQueue())
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future, tried, prefix_key, subjects, version)
        queue.push(organisation, waiter)
        self.changed = True
        if queue.versions:
            # The requests ahead may all wait for runners that this one does not need.
            self.grant()
        if not future.done():
            self.on_waiting(pool)
        try:
            async with asyncio.timeout(deadline - self.clock()):
                return await waiter.future
        except TimeoutError:
            self._release_unclaimed(waiter)
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                "no runner slot became free before the deadline",
                retry_after=self.expected_wait(pool, version),
            ) from None
        except asyncio.CancelledError:
            self._release_unclaimed(waiter)
            raise
        finally:
            queue.remove(organisation, waiter)

    def refuse_waiting(
        self, subject: PromptPartId, create_error: Callable[[], PrimrosefordError]
    ) -> None:
        """Refuse the waiting requests that a quarantine concerns.

        :param subject: the prompt part or the request
        :param create_error: returns the error of one request
        """
        for queue in self.queues.values():
            for waiter in list(queue):
                if subject in waiter.subjects and not waiter.future.done():
                    waiter.future.set_exception(create_error())

    def _release_unclaimed(self, waiter: Waiter) -> None:
        """Release a slot that was assigned just as its request stopped waiting."""
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result(), unused=True)

    def expected_wait(
        self, pool: PoolName, version: SoftwareVersion | None = None
    ) -> float:
        """Return the expected seconds until a newly queued request gets a slot.

        :param version: the only software version that may serve it; ``None`` for any
        """
        loads = [self.load(runner) for runner in self.usable(pool, version)]
        queue = self.queues.get(pool)
        ahead = sum(self.peer_waiting.values())
        if version is None:
            ahead += len(queue) if queue else 0
        else:
            # Requests for any version take the slots of this one only in part.
            slots = sum(runner.entry.slots for runner in self.usable(pool))
            ahead += queue.unversioned if queue else 0
            ahead *= sum(load.slots for load in loads) / max(1, slots)
            ahead += queue.versions[version] if queue else 0
        seconds = self.service_seconds.get(pool, SERVICE_SECONDS)
        return expected_wait(ahead, loads, seconds)

    def _check_wait(
        self,
        pool: PoolName,
        deadline: float,
        tried: Collection[RunnerKey],
        version: SoftwareVersion | None,
    ) -> None:
        if not self._has_untried(pool, tried, version):
            raise self._no_runner_error(version)
        wait = self.expected_wait(pool, version)
        if self.clock() + wait >= deadline:
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                "no runner slot is expected to be free before the deadline",
                retry_after=self.add_jitter(wait),
            )

    def _has_untried(
        self,
        pool: PoolName,
        tried: Collection[RunnerKey],
        version: SoftwareVersion | None,
    ) -> bool:
        runners = self.pool_runners(pool, version)
        return any(runner.entry.key not in tried for runner in runners)

    def _no_runner_error(self, version: SoftwareVersion | None) -> PrimrosefordError:
        if version is None:
            code, kind = ResultCode.POOL_UNAVAILABLE, "runner"
        else:
            code, kind = ResultCode.STREAM_VERSION_GONE, f"runner of version {version}"
        return PrimrosefordError(
            code,
            f"no {kind} is left to try for this request",
            retry_after=self.add_jitter(NO_RUNNER_RETRY_SECONDS),
        )

    def _refuse_without_runner(self) -> None:
        """Refuse the waiting requests that have no runner left.

        These are requests for a software version without a runner, and all requests if
        the pool has none in an evacuation, which may last longer than they wait.
        """
        for pool, queue in self.queues.items():
            is_evacuated = bool(self.evacuated.since) and not self.ready.get(pool)
            if not queue.versions and not is_evacuated:
                continue
            for waiter in queue:
                version = waiter.version
                if waiter.future.done() or version is None and not is_evacuated:
                    continue
                if not self._has_untried(pool, waiter.tried, version):
                    waiter.future.set_exception(self._no_runner_error(version))

    def add_jitter(self, seconds: float) -> float:
        """Add jitter of up to 25 %, so that callers do not retry together."""
        return seconds * (0.75 + self.random.random() / 2)

    def reserve(self, runner: RunnerState, batch: bool = False) -> None:
        """Reserve a slot on a runner."""
        self.tokens.spend(runner.entry.key, batch)
        if batch:
            runner.batch += 1
        else:
            runner.online += 1
        self.changed = True

    def release(
        self,
        runner: RunnerState,
        batch: bool = False,
        seconds: float | None = None,
        unused: bool = False,
    ) -> None:
        """Release a slot and assign it to a waiting request.

        :param seconds: time that a completed online request occupied the slot
        :param unused: whether nothing was sent to the runner
        """
        if unused:
            self.tokens.restore(runner.entry.key, batch)
        if batch:
            runner.batch -= 1
        else:
            runner.online -= 1
            if seconds is not None:
                pool = runner.entry.pool
                mean = self.service_seconds.get(pool, SERVICE_SECONDS)
                self.service_seconds[pool] = mean + SERVICE_WEIGHT * (seconds - mean)
        self.changed = True
        self.grant()

    def note_first_event(self, runner: RunnerState, seconds: float) -> None:
        """Update the mean time from the sending of a request to its first event."""
        pool = runner.entry.pool
        mean = self.first_event_seconds.get(pool, seconds)
        self.first_event_seconds[pool] = mean + FIRST_EVENT_WEIGHT * (seconds - mean)

    def note_slowness(self, runner: RunnerState, slowness: int) -> bool:
        """Record how slow a runner is at the moment.

        :param slowness: time that work takes there, in hundredths of the usual time
        :returns: whether it is the first such report of its pool
        """
        runner.speed.note_slowness(slowness, self.clock())
        is_first = runner.entry.pool not in self.slowness_pools
        self.slowness_pools.add(runner.entry.pool)
        return is_first

    def suspect(self, runner: RunnerState) -> bool:
        """Exclude a runner from online requests for ``SUSPECT_SECONDS``.

        :returns: whether the runner was not suspected before
        """
        now = self.clock()
        newly_suspected = runner.suspect_until <= now
        runner.suspect_until = now + SUSPECT_SECONDS
        self.changed = True
        return newly_suspected

    def clear_suspicion(self, runner: RunnerState) -> None:
        """End the suspicion of a runner that has answered."""
        now = self.clock()
        runner.last_byte = now
        if runner.suspect_until > now:
            runner.suspect_until = now
            self.changed = True

    def mark_full(self, runner: RunnerState) -> None:
        """Record that a runner refused a request because it is full."""
        runner.full_until = self.clock() + RUNNER_FULL_SECONDS
        # Requests that wait for this runner may have no other event that wakes them.
        asyncio.get_running_loop().call_later(RUNNER_FULL_SECONDS, self.grant)

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Update the loads that another host reports.

        The caller runs :meth:`grant` afterwards, to use slots that became free.
        """
        host = heartbeat.host
        reported: set[RunnerName] = set()
        for report in heartbeat.loads:
            runner = self.runners.get(report.runner)
            if runner is None:
                continue
            reported.add(report.runner)
            runner.set_peer_load(host, report.online, report.batch)
            if report.suspected:
                runner.suspected_by.add(host)
            else:
                runner.suspected_by.discard(host)
            if report.indirect:
                runner.indirect_by.add(host)
            else:
                runner.indirect_by.discard(host)
        for name in self.reported_runners.get(host, set()) - reported:
            self._remove_load(host, name)
        self.reported_runners[host] = reported
        self.peer_waiting[host] = heartbeat.waiting

    def remove_host(self, host: HostId) -> None:
        """Remove the load report of a lost host."""
        self.peer_waiting.pop(host, None)
        for name in self.reported_runners.pop(host, ()):
            self._remove_load(host, name)

    def _remove_load(self, host: HostId, name: RunnerName) -> None:
        runner = self.runners.get(name)
        if runner is not None:
            runner.remove_peer_load(host)
            runner.suspected_by.discard(host)
            runner.indirect_by.discard(host)

    def waiting(self) -> int:
        """Return how many online requests are queued on this host."""
        return sum(len(queue) for queue in self.queues.values())

    def grant(self) -> None:
        """Assign free slots to waiting requests."""
        for pool, queue in self.queues.items():
            while queue and self._grant_next(pool, queue):
                pass

    def _grant_next(self, pool: PoolName, queue: SlotQueue) -> bool:
        """Serve the first request in fair order whose software version has room.

        :returns: whether there was one
        """
        any_runner = self._choose(pool, ()) if queue.unversioned else None
        if any_runner is None and not queue.versions:
            return False
        runner: RunnerState | None = None
        full: set[SoftwareVersion | None] = set()

        def accepts(waiter: Waiter) -> bool:
            nonlocal runner
            if waiter.future.done():
                return True
            if waiter.version in full:
                return False
            runner = self._choose_for(pool, waiter, any_runner)
            if runner is None and not waiter.tried:
                full.add(waiter.version)
            return runner is not None

        waiter = queue.pop_first(accepts)
        if waiter is None:
            return False
        if not waiter.future.done():
            self.reserve(runner)
            waiter.future.set_result(runner)
        return True

    def _choose_for(
        self, pool: PoolName, waiter: Waiter, any_runner: RunnerState | None
    ) -> RunnerState | None:
        """Return the runner for a waiting request; ``None`` if it must wait.

        :param any_runner: a runner with room for requests that need no version
        """
        if waiter.version is None and any_runner is None:
            return None
        runner = self._choose(pool, waiter.tried, waiter.prefix_key, waiter.version)
        if runner is None and waiter.version is None:
            return any_runner
        return runner
