"""Batch service of a host: job index, feeders, online load messages, retention."""

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
from primroseford.batch.retention import remove_expired
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

EXPIRE_INTERVAL_SECONDS = 2.0
STALE_POLL_SECONDS = 10.0
FRESH_POLL_SECONDS = 600.0
"""At this interval, 1,500 hosts use 2.5 of the platform's 2,000 reads a second."""
JITTER = (0.5, 1.5)
RETENTION_INTERVAL_SECONDS = 3600.0
RETENTION_KEY = "batch-collector"
RETENTION_SECONDS = 7 * 86_400.0

log = structlog.get_logger()


class BatchService(Service):
    """Runs the feeders of the runners that rendezvous hashing assigns to this host.

    :param host: name of this host
    :param context: dependencies that the feeders share
    :param membership: live hosts, with ``hosts()`` and ``on_change(callback)``
    :param rank: ``rank_hosts(key, hosts)``, highest rank first
    :param peers: network to other hosts, with ``send`` and ``register``
    :param own_in_flight: this host's online requests in flight on a runner
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
        own_in_flight: Callable[[str], int],
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
        self.stop_count = 0
        self.random = random or Random()
        self.polled_at = -math.inf
        self.jitter = 1.0
        first = int(context.jobs.wall_clock() * 1_000_000)
        self.sender = LoadSender(own_in_flight, self._send_load, first)
        self.online_changed = asyncio.Event()

    async def on_start(self) -> None:
        """Register message handlers and callbacks, and start the feeders."""
        self.peers.register(ONLINE_LOAD, OnlineLoad, self._on_online_load)
        self.membership.on_change(self._on_hosts_changed)
        self.context.configuration.on_change(lambda _: self._assign_feeders())
        self.context.load.on_change(self._wake_feeder)
        self.context.index.on_change(self._on_jobs_changed)
        self._assign_feeders()

    async def on_stop(self) -> None:
        """Stop the feeders and store their results."""
        await asyncio.gather(*(feeder.stop() for feeder in self.feeders.values()))
        await asyncio.gather(*self.tasks.values(), return_exceptions=True)

    def online_load_changed(self, runner: str) -> None:
        """Handle a change of this host's online requests on a runner.

        :param runner: name of the runner
        """
        self.context.load.changed(runner)
        self.sender.mark_changed(runner)
        self.online_changed.set()

    def assigned_engines(self) -> list[tuple[Pool, Runner]]:
        """Return the engines whose feeders run on this host, with their pools."""
        found = [(feeder.pool, feeder.runner) for feeder in self.feeders.values()]
        return [pair for pair in found if pair[0].runner_kind is PoolKind.ENGINE]

    async def end_job(self, job: str) -> None:
        """End a job on this host; others receive its end with the configuration.

        :param job: id of the job, whose final state is durable
        """
        self.context.index.end(job)

    async def _send_load(self, runner: str, message: OnlineLoad) -> None:
        feeder_host = self.placement.host_for(runner)
        if feeder_host is not None and feeder_host != self.host:
            self.peers.send(feeder_host, ONLINE_LOAD, message)

    async def _on_online_load(self, sender: str, message: OnlineLoad) -> None:
        self.context.load.record(sender, message)

    def _on_hosts_changed(self, *_: object) -> None:
        self.context.claimer.record_live(self.context.live())
        self.context.load.retain_hosts(
            {info.host_id for info in self.membership.hosts()}
        )
        self.sender.resend()
        self.online_changed.set()
        self._assign_feeders()

    def _assign_feeders(self) -> None:
        """Start and stop feeders according to the hosts and tables."""
        assigned = {}
        for pool in self.context.configuration.current().pools.values():
            for runner in pool.runners:
                ready = runner.state is RunnerState.READY
                if ready and self.placement.host_for(runner.name) == self.host:
                    assigned[runner.name] = (pool, runner)
        for name in self.feeders.keys() - assigned.keys():
            feeder = self.feeders.pop(name)
            # The key is unique, since a second feeder of the runner may stop before
            # the first one has stopped.
            self.stop_count += 1
            self.tasks[f"{name}/stop-{self.stop_count}"] = asyncio.create_task(
                feeder.stop()
            )
        for name, (pool, runner) in assigned.items():
            if name in self.feeders:
                self.feeders[name].pool, self.feeders[name].runner = pool, runner
                continue
            feeder = self.feeders[name] = RunnerFeeder(self.context, pool, runner)
            self.tasks[name] = asyncio.create_task(feeder.run())
        done = [name for name, task in self.tasks.items() if task.done()]
        for name in done:
            del self.tasks[name]
        self._wake_all()

    def _wake_feeder(self, runner: str) -> None:
        if runner in self.feeders:
            self.feeders[runner].wake.set()

    def _on_jobs_changed(self) -> None:
        self.context.claimer.discard_ended_jobs(self.context.index.jobs)
        self._wake_all()

    def _wake_all(self) -> None:
        for feeder in self.feeders.values():
            feeder.wake.set()

    @Service.task
    async def send_online_load(self) -> None:
        """Send changes of this host's online load, at most once every 20 ms."""
        while not self.should_stop:
            await self.wait(self.online_changed.wait())
            self.online_changed.clear()
            await self.sender.flush()
            await self.sleep(SEND_INTERVAL_SECONDS)

    @Service.task
    async def poll_and_expire_jobs(self) -> None:
        """Expire overdue jobs, and list the active jobs at intervals."""
        while not self.should_stop:
            try:
                if self.poll_due():
                    await self.poll()
                await self.expire_due()
            except PrimrosefordError as error:
                log.warning("active jobs not listed or expired", code=int(error.code))
            await self.sleep(EXPIRE_INTERVAL_SECONDS)

    def poll_due(self) -> bool:
        """Return whether the active jobs should be listed now.

        Jobs and their ends arrive with the configuration. The list is read at the
        start, every 10 s while the configuration is stale, and every 600 s otherwise.
        """
        now = self.context.clock()
        age = self.context.configuration.freshness(now)
        fresh = age is not None and age <= FRESHNESS_LIMIT_SECONDS
        interval = FRESH_POLL_SECONDS if fresh else STALE_POLL_SECONDS
        # Jitter spreads the lists of many hosts.
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
        known_before = set(index.jobs)
        index.replace(await self.context.jobs.active(), known_before)

    async def expire_due(self) -> None:
        """Expire the overdue jobs that are assigned to this host.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        jobs = self.context.jobs
        for name, job in list(self.context.index.jobs.items()):
            if (
                jobs.wall_clock() >= job.due_at
                and self.placement.host_for(name) == self.host
            ):
                await jobs.finish(name, JobState.EXPIRED)
                await self.end_job(name)

    @Service.task
    async def run_retention(self) -> None:
        """Run retention every hour on the one host that it is assigned to."""
        spread = zlib.crc32(self.host.encode()) % int(RETENTION_INTERVAL_SECONDS)
        await self.sleep(spread)
        while not self.should_stop:
            if self.placement.host_for(RETENTION_KEY) == self.host:
                try:
                    jobs = self.context.jobs
                    await remove_expired(
                        jobs.files, jobs.wall_clock(), self.retention_seconds
                    )
                except PrimrosefordError as error:
                    log.warning("retention run failed", code=int(error.code))
            await self.sleep(RETENTION_INTERVAL_SECONDS)
