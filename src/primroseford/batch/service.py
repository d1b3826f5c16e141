"""The batch service of a host: job index, feeders, load messages, collection."""

from __future__ import annotations

import asyncio
import math
import zlib
from random import Random
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.batch.feeder import RunnerFeeder
from primroseford.batch.gen.ttypes import OnlineLoad
from primroseford.batch.load import ONLINE_LOAD
from primroseford.batch.load import SEND_INTERVAL_SECONDS
from primroseford.batch.load import LoadSender
from primroseford.batch.placement import Placement
from primroseford.batch.retention import collect
from primroseford.batch.state import JobState
from primroseford.configuration.freshness import FRESHNESS_LIMIT_SECONDS
from primroseford.configuration.tables import PoolKind
from primroseford.configuration.tables import RunnerState
from primroseford.errors import PrimrosefordError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.batch.feeder import FeederContext
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Runner

EXPIRE_SECONDS = 2.0
STALE_POLL_SECONDS = 10.0
FRESH_POLL_SECONDS = 600.0
"""1,500 hosts that list this often take 2.5 of the platform's 2,000 reads a second."""
JITTER = (0.5, 1.5)
COLLECT_SECONDS = 3600.0
COLLECTOR_KEY = "batch-collector"
RETENTION_SECONDS = 7 * 86_400.0

log = structlog.get_logger()


class BatchService(Service):
    """Runs the feeders for which this host ranks first.

    :param host: name of this host
    :param context: what the feeders share
    :param membership: live hosts, with ``hosts()`` and ``on_change(callback)``
    :param rank: ``rank_hosts(key, hosts)``, the highest first
    :param peers: network to other hosts, with ``send`` and ``register``
    :param own_online: this host's online requests in flight on a runner
    :param retention_seconds: how long files, jobs and results are kept
    :param random: source of jitter
    """

    def __init__(
        self,
        host: str,
        context: FeederContext,
        membership,
        rank: Callable,
        peers,
        own_online: Callable[[str], int],
        retention_seconds: float = RETENTION_SECONDS,
        random: Random | None = None,
    ) -> None:
        super().__init__()
        self.host = host
        self.context = context
        self.membership = membership
        self.placement = Placement(membership, rank)
        self.peers = peers
        self.retention_seconds = retention_seconds
        self.feeders: dict[str, RunnerFeeder] = {}
        self.tasks: dict[str, asyncio.Task] = {}
        self.stops = 0
        self.random = random or Random()
        self.polled_at = -math.inf
        self.jitter = 1.0
        first = int(context.jobs.wall() * 1_000_000)
        self.sender = LoadSender(own_online, self._send_load, first)
        self.online_changed = asyncio.Event()

    async def on_start(self) -> None:
        """Register messages and callbacks."""
        self.peers.register(ONLINE_LOAD, OnlineLoad, self._take_load)
        self.membership.on_change(self._hosts_changed)
        self.context.configuration.on_change(lambda _: self._adjust())
        self.context.load.on_change(self._wake)
        self.context.index.on_change(self._jobs_changed)
        self._adjust()

    async def on_stop(self) -> None:
        """Stop the feeders; their results are stored."""
        await asyncio.gather(*(feeder.stop() for feeder in self.feeders.values()))
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def online_load_changed(self, runner: str) -> None:
        """Note that this host's online requests on a runner changed.

        :param runner: name of the runner
        """
        self.context.load.changed(runner)
        self.sender.changed(runner)
        self.online_changed.set()

    def assigned_engines(self) -> list[tuple[Pool, Runner]]:
        """Return the engines that this host feeds, with their pools."""
        found = [(feeder.pool, feeder.runner) for feeder in self.feeders.values()]
        return [pair for pair in found if pair[0].runner_kind is PoolKind.ENGINE]

    async def end_job(self, job: str) -> None:
        """Stop a job here; other hosts learn of it with the configuration.

        :param job: id of the job, whose end is durable
        """
        self.context.index.end(job)

    async def _send_load(self, runner: str, message: OnlineLoad) -> None:
        feeder = self.placement.first(runner)
        if feeder is not None and feeder != self.host:
            self.peers.send(feeder, ONLINE_LOAD, message)

    async def _take_load(self, sender: str, message: OnlineLoad) -> None:
        self.context.load.record(sender, message)

    def _hosts_changed(self, *_: object) -> None:
        self.context.claimer.note_live(self.context.live())
        self.context.load.keep({info.host_id for info in self.membership.hosts()})
        self.sender.resend()
        self.online_changed.set()
        self._adjust()

    def _adjust(self) -> None:
        """Start and stop feeders after a change of hosts or tables."""
        wanted = {}
        for pool in self.context.configuration.current().pools.values():
            for runner in pool.runners:
                ready = runner.state is RunnerState.READY
                if ready and self.placement.first(runner.name) == self.host:
                    wanted[runner.name] = (pool, runner)
        for name in self.feeders.keys() - wanted.keys():
            feeder = self.feeders.pop(name)
            # Unique, since a feeder may stop again before an earlier one has ended.
            self.stops += 1
            self.tasks[f"{name}/stop-{self.stops}"] = asyncio.create_task(feeder.stop())
        for name, (pool, runner) in wanted.items():
            if name in self.feeders:
                self.feeders[name].pool, self.feeders[name].runner = pool, runner
                continue
            feeder = self.feeders[name] = RunnerFeeder(self.context, pool, runner)
            self.tasks[name] = asyncio.create_task(feeder.run())
        done = [name for name, task in self.tasks.items() if task.done()]
        for name in done:
            del self.tasks[name]
        self._wake_all()

    def _wake(self, runner: str) -> None:
        if runner in self.feeders:
            self.feeders[runner].wake.set()

    def _jobs_changed(self) -> None:
        self.context.claimer.forget_ended(self.context.index.jobs)
        self._wake_all()

    def _wake_all(self) -> None:
        for feeder in self.feeders.values():
            feeder.wake.set()

    @Service.task
    async def send_loads(self) -> None:
        """Send this host's online load on change, at most once every 20 ms."""
        while not self.should_stop:
            await self.wait(self.online_changed.wait())
            self.online_changed.clear()
            await self.sender.flush()
            await self.sleep(SEND_INTERVAL_SECONDS)

    @Service.task
    async def follow_jobs(self) -> None:
        """Expire jobs that are due, and list the active jobs when that is due."""
        while not self.should_stop:
            try:
                if self.poll_due():
                    await self.poll()
                await self.expire_due()
            except PrimrosefordError as error:
                log.warning("jobs not followed", code=int(error.code))
            await self.sleep(EXPIRE_SECONDS)

    def poll_due(self) -> bool:
        """Return whether the active jobs should be listed now.

        The configuration brings jobs and their ends. The list is read at a start,
        while the configuration is not fresh, and seldom otherwise.
        """
        now = self.context.clock()
        age = self.context.configuration.freshness(now)
        fresh = age is not None and age <= FRESHNESS_LIMIT_SECONDS
        interval = FRESH_POLL_SECONDS if fresh else STALE_POLL_SECONDS
        # Jitter keeps many hosts from listing at the same time.
        if now - self.polled_at < interval * self.jitter:
            return False
        self.polled_at = now
        self.jitter = self.random.uniform(*JITTER)
        return True

    async def poll(self) -> None:
        """List the active jobs once.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        index = self.context.index
        asked = set(index.jobs)
        index.replace(await self.context.jobs.active(), asked)

    async def expire_due(self) -> None:
        """Expire the jobs past due for which this host ranks first.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        jobs = self.context.jobs
        for name, job in list(self.context.index.jobs.items()):
            if jobs.wall() >= job.due_at and self.placement.first(name) == self.host:
                await jobs.finish(name, JobState.EXPIRED)
                await self.end_job(name)

    @Service.task
    async def collect_expired(self) -> None:
        """Remove what is no longer kept, on the host that ranks first for it."""
        spread = zlib.crc32(self.host.encode()) % int(COLLECT_SECONDS)
        await self.sleep(spread)
        while not self.should_stop:
            if self.placement.first(COLLECTOR_KEY) == self.host:
                try:
                    jobs = self.context.jobs
                    await collect(jobs.files, jobs.wall(), self.retention_seconds)
                except PrimrosefordError as error:
                    log.warning("collection not finished", code=int(error.code))
            await self.sleep(COLLECT_SECONDS)
