"""Who gets a place on a runner: loads and verdicts of all hosts, and the queue before a
pool's runners."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import choose_cached_runner
from primroseford.gateway.placement import choose_runner
from primroseford.gateway.placement import expected_wait
from primroseford.gateway.placement import sample_runners
from primroseford.gateway.runner_state import RunnerState
from primroseford.gateway.runners import RunnerStage
from primroseford.online.fair_queue import FairQueue

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from primroseford.clock import Clock
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.placement import RunnerLoad
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.runners import RunnerKey
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import RunnerName

SUSPECT_SECONDS = 1.0
"""Time for which a runner that failed gets no online requests; a successful probe or
answer ends it early."""
FULL_SECONDS = 0.1
"""Time for which a runner that refused a request counts as full: about one interval
of the heartbeats that tell of its load."""
MAX_SUSPECTED_SHARE = 1 / 2
"""Part of a pool that may count as failed because other hosts say so: more than what
fails together in one failure domain or release, also two of five runners."""
FIRST_EVENT_WEIGHT = 0.1
"""Weight of one request in the running mean of the time to its first event."""
SERVICE_SECONDS = 0.7
"""First estimate of the time that an online request holds a slot: a stream of 34
events at 21 ms, the workload of letter 1."""
SERVICE_WEIGHT = 0.05
"""Weight of one request in the running mean of that time."""
NO_RUNNER_RETRY_SECONDS = 0.5
"""Retry-After while a pool has no usable runner: half of the time in which a failed
runner is probed again."""


@dataclass(eq=False)
class Waiter:
    """A request in the queue of a pool.

    :param shared: key of the large shared part of its prompt, if it has one
    """

    future: asyncio.Future[RunnerState]
    tried: Collection[RunnerKey]
    shared: str


class SlotAllocator:
    """Places of all pools as one host sees them.

    :param domain: failure domain of this host
    :param clock: local time
    :ivar ready: runners that take new work, by pool
    :ivar changed: whether own loads changed since the last heartbeat
    """

    def __init__(self, domain: FailureDomainId, clock: Clock, random: Random) -> None:
        self.domain = domain
        self.clock = clock
        self.random = random
        self.runners: dict[RunnerName, RunnerState] = {}
        self.ready: dict[PoolName, list[RunnerState]] = {}
        self.queues: dict[PoolName, FairQueue[Waiter]] = {}
        self.peer_waiting: dict[HostId, int] = {}
        self.named_by: dict[HostId, set[RunnerName]] = {}
        self.service_seconds: dict[PoolName, float] = {}
        self.first_seconds: dict[PoolName, float] = {}
        self.changed = False

    @property
    def hosts(self) -> int:
        """Number of hosts that place requests, this one included."""
        return 1 + len(self.peer_waiting)

    def set_runners(self, entries: dict[RunnerName, RunnerEntry]) -> None:
        """Take the runners of the list; a restart under a known name starts anew."""
        for name in [n for n in self.runners if n not in entries]:
            del self.runners[name]
        for name, entry in entries.items():
            known = self.runners.get(name)
            if known is not None and known.entry.key == entry.key:
                known.entry = entry
            else:
                self.runners[name] = RunnerState(entry)
        self.ready = {}
        for runner in self.runners.values():
            if runner.entry.stage is RunnerStage.READY:
                self.ready.setdefault(runner.entry.pool, []).append(runner)
        self.grant()

    def pool_runners(self, pool: PoolName) -> list[RunnerState]:
        """Return the runners of a pool that take new work."""
        return self.ready.get(pool, [])

    def usable(self, pool: PoolName) -> list[RunnerState]:
        """Return the runners of a pool that do not count as failed.

        If other hosts suspect a large part of the pool, only this host's own suspicions
        count, and if all count as failed, all are returned: wrong suspicions must not
        end a service.
        """
        ready = self.pool_runners(pool)
        now = self.clock()
        trusted = [r for r in ready if r.suspect_until <= now]
        sound = [r for r in trusted if not r.suspected_by]
        if len(sound) < (1 - MAX_SUSPECTED_SHARE) * len(ready):
            sound = trusted
        return sound or ready

    def open_loads(
        self, pool: PoolName, tried: Collection[RunnerKey]
    ) -> list[RunnerLoad]:
        """Return the loads of the runners of a pool that may get something new.

        :param tried: starts of runners that failed what is to be placed
        """
        now = self.clock()
        return [
            runner.load()
            for runner in self.usable(pool)
            if runner.full_until <= now and runner.entry.key not in tried
        ]

    def _choose(
        self, pool: PoolName, tried: Collection[RunnerKey], shared: str = ""
    ) -> RunnerState | None:
        loads = self.open_loads(pool, tried)
        sampled = sample_runners(loads, self.hosts, self.random)
        best = choose_runner(sampled, self.domain, self.random)
        if best is None and len(sampled) < len(loads):
            best = choose_runner(loads, self.domain, self.random)
        if best is None:
            return None
        if shared:
            best = choose_cached_runner(shared, loads, best) or best
        return self.runners[best.key.name]

    async def acquire(
        self,
        pool: PoolName,
        organisation: str,
        deadline: float,
        tried: Collection[RunnerKey] = (),
        shared: str = "",
    ) -> RunnerState:
        """Return a runner on which an online place is now taken.

        :param organisation: whose turn it must be; empty on public routes
        :param deadline: local time in seconds
        :param tried: starts of runners that failed this request
        :param shared: key of the large shared part of its prompt, if it has one
        :raises PrimrosefordError: POOL_UNAVAILABLE or DEADLINE_UNREACHABLE
        """
        queue = self.queues.get(pool)
        if not queue:
            runner = self._choose(pool, tried, shared)
            if runner is not None:
                self.reserve(runner)
                return runner
        self._check_wait(pool, deadline, tried)
        queue = self.queues.setdefault(pool, FairQueue())
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(future, tried, shared)
        queue.push(organisation, waiter)
        self.changed = True
        try:
            async with asyncio.timeout(deadline - self.clock()):
                return await waiter.future
        except TimeoutError:
            self._give_back(waiter)
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                "no runner was free before the deadline",
                retry_after=self.expected_wait(pool),
            ) from None
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            queue.remove(organisation, waiter)

    def _give_back(self, waiter: Waiter) -> None:
        """Give back the place that a request was given just as it stopped waiting."""
        future = waiter.future
        if future.done() and not future.cancelled() and not future.exception():
            self.release(future.result())

    def expected_wait(self, pool: PoolName) -> float:
        """Return the seconds until a request that comes now gets a place."""
        loads = [runner.load() for runner in self.usable(pool)]
        ahead = len(self.queues.get(pool, ())) + sum(self.peer_waiting.values())
        seconds = self.service_seconds.get(pool, SERVICE_SECONDS)
        return expected_wait(ahead, loads, seconds)

    def _check_wait(
        self, pool: PoolName, deadline: float, tried: Collection[RunnerKey]
    ) -> None:
        if not any(r.entry.key not in tried for r in self.pool_runners(pool)):
            raise PrimrosefordError(
                ResultCode.POOL_UNAVAILABLE,
                "no runner is left for the request",
                retry_after=self.add_jitter(NO_RUNNER_RETRY_SECONDS),
            )
        wait = self.expected_wait(pool)
        if self.clock() + wait >= deadline:
            raise PrimrosefordError(
                ResultCode.DEADLINE_UNREACHABLE,
                "no runner will be free before the deadline",
                retry_after=self.add_jitter(wait),
            )

    def add_jitter(self, seconds: float) -> float:
        """Return a time around the given one, so that callers return apart."""
        return seconds * (0.75 + self.random.random() / 2)

    def reserve(self, runner: RunnerState, batch: bool = False) -> None:
        """Take a place on a runner."""
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
    ) -> None:
        """Give a place back and let waiting requests have it.

        :param seconds: time that a completed online request held it
        """
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
        """Take the time from the sending of a request to its first event."""
        pool = runner.entry.pool
        mean = self.first_seconds.get(pool, seconds)
        self.first_seconds[pool] = mean + FIRST_EVENT_WEIGHT * (seconds - mean)

    def suspect(self, runner: RunnerState) -> bool:
        """Give a runner no online requests for a while.

        :returns: whether it did not count as failed before
        """
        now = self.clock()
        fresh = runner.suspect_until <= now
        runner.suspect_until = now + SUSPECT_SECONDS
        self.changed = True
        return fresh

    def clear_suspicion(self, runner: RunnerState) -> None:
        """Let a runner have requests again after a sign of life."""
        now = self.clock()
        runner.last_byte = now
        if runner.suspect_until > now:
            runner.suspect_until = now
            self.changed = True

    def refused(self, runner: RunnerState) -> None:
        """Note that a runner said that it is full."""
        runner.full_until = self.clock() + FULL_SECONDS

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take the loads that another host tells; :meth:`grant` uses what they free."""
        host = heartbeat.host
        named: set[RunnerName] = set()
        for told in heartbeat.loads:
            runner = self.runners.get(told.runner)
            if runner is None:
                continue
            named.add(told.runner)
            runner.take_peer(host, told.online, told.batch)
            if told.suspected:
                runner.suspected_by.add(host)
            else:
                runner.suspected_by.discard(host)
        for name in self.named_by.get(host, set()) - named:
            self._forget_load(host, name)
        self.named_by[host] = named
        self.peer_waiting[host] = heartbeat.waiting

    def forget_host(self, host: HostId) -> None:
        """Drop what a lost host told."""
        self.peer_waiting.pop(host, None)
        for name in self.named_by.pop(host, ()):
            self._forget_load(host, name)

    def _forget_load(self, host: HostId, name: RunnerName) -> None:
        runner = self.runners.get(name)
        if runner is not None:
            runner.forget_peer(host)
            runner.suspected_by.discard(host)

    def waiting(self) -> int:
        """Return how many online requests wait on this host."""
        return sum(len(queue) for queue in self.queues.values())

    def grant(self) -> None:
        """Hand free places to waiting requests."""
        for pool, queue in self.queues.items():
            while queue:
                runner = self._choose(pool, ())
                if runner is None:
                    break
                waiter = queue.pop()
                if waiter.future.done():
                    continue
                runner = self._choose(pool, waiter.tried, waiter.shared) or runner
                self.reserve(runner)
                waiter.future.set_result(runner)
