"""Decides which host runs a job: takes over orphaned jobs and stops duplicate runs.

The host that accepted a job runs it. No lease guards this: two hosts that run the same
job waste work, but each result segment can be created only once.
"""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import host_rank
from primroseford.gateway.members import preferred_host
from primroseford.gateway.periodic import run_part
from primroseford.ids import JobId
from primroseford.jobs.store import is_finished
from primroseford.platform.objects import DECODING_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from primroseford.gateway.state import Gateway
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.scheduler import JobScheduler
    from primroseford.jobs.store import JobStore
    from primroseford.jobs.views import JobViews
    from primroseford.platform.objects import PlatformObject

SCAN_INTERVAL_SECONDS = 4.0
"""Interval at which one host of the fleet scans all stored jobs."""
FALLBACK_SCAN_SECONDS = 4.0
"""Time for which each preferred scanner may complete a scan that is due, before the
next host in the order scans."""
FIRST_SCAN_DELAY_SECONDS = 0.8
"""Age of this process at its first scan: by then the peers' heartbeats have reported
which jobs they run."""
ORPHAN_GRACE_SECONDS = 0.5
"""Time for which no host must report a job before it is taken over, so that a lost
heartbeat does not start the job twice."""
FALLBACK_TAKEOVER_SECONDS = 4.0
"""Time for which each host that is preferred for an orphan may take it over, before the
next host in the order of the job does."""
RECONCILE_STALL_SECONDS = 3.0
"""Time without progress of the steps after which this host takes no jobs over. The
other hosts leave it out of the order."""
RETENTION_MARGIN_SECONDS = 30.0
"""Extra time for which a finished job is retained, since the hosts' wall clocks
differ."""
SCANNER_ROLE = "scan"
"""Rendezvous hashing key that selects the scanner: the host that scans all stored
jobs."""
UNAVAILABLE_CODES = frozenset(
    {ResultCode.PLATFORM_UNAVAILABLE, ResultCode.CALLS_LIMITED}
)
"""Codes of calls to a store that does not answer or refuses this host's calls."""
MAX_REASON_LENGTH = 200
RECONCILE_TIMEOUT_SECONDS = 4.0
"""Timeout of one part of a step: two calls without a response. What a part has not
reached follows in the next step."""
SCAN_TIMEOUT_SECONDS = 10.0
"""The same for the scan of all jobs, whose objects include their items."""
ORPHAN_LOG_INTERVAL_SECONDS = 2.0
"""Minimum time between two log lines about jobs that no host runs."""

log = structlog.get_logger()


class JobOwnership:
    """Takes over and stops jobs of this host.

    :param peers: reads jobs from the hosts that run them
    :param retention_seconds: time for which a job stays readable
    :param reaches_store: whether this host can reach the platform's store directly
    :ivar orphans: jobs that no live host reports, each with the local time since when
    :ivar scanned: the open jobs of the last scan, of which only this host may know
    :ivar scanned_at: local time of the last scan in seconds, complete or not
    :ivar complete_scan_at: local time at which the last complete scan began
    :ivar advanced_at: local time of the last progress of the steps in seconds
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        views: JobViews,
        scheduler: JobScheduler,
        retention_seconds: float,
        reaches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.views = views
        self.scheduler = scheduler
        self.retention_seconds = retention_seconds
        self.reaches_store = reaches_store
        self.orphans: dict[JobId, float] = {}
        self.scanned: set[JobId] = set()
        self.scanned_at = self.advanced_at = gateway.clock()
        self.complete_scan_at = -math.inf
        self.orphans_logged_at = -math.inf
        self.first_scan_done = False

    async def reconcile(self) -> None:
        """Take over orphaned jobs and stop duplicate runs.

        Each part has a timeout, and no failure of one keeps the others from running.
        """
        if self.gateway.stopping:
            return
        self._stop_duplicates(self._advance())
        await run_part(self._read_duplicates, RECONCILE_TIMEOUT_SECONDS)
        if self._is_scan_due(self._advance()):
            await run_part(self.scan, SCAN_TIMEOUT_SECONDS)
        now = self._advance()
        for job in self.gateway.members.known_jobs() | set(self.views.views):
            if self._is_done(job):
                self.gateway.members.orphaned.discard(job)
            self.update_orphan(job, now)
        self._log_orphans(now)
        await run_part(self.take_over_orphans, RECONCILE_TIMEOUT_SECONDS)

    def _advance(self) -> float:
        """Note the progress of a step, and return the local time in seconds."""
        self.advanced_at = self.gateway.clock()
        return self.advanced_at

    def is_stalled(self, now: float) -> bool:
        """Return whether the steps stand still.

        :param now: local time in seconds
        """
        return now - self.advanced_at > RECONCILE_STALL_SECONDS

    def _is_scan_due(self, now: float) -> bool:
        """Return whether this host must scan all stored jobs now.

        Without a configuration it cannot take over the jobs that it finds, and the
        others would rely on its scan.
        """
        if not self.gateway.configured:
            return False
        since_scan = now - self.scanned_at
        if not self.first_scan_done:
            return since_scan >= FIRST_SCAN_DELAY_SECONDS
        if since_scan < SCAN_INTERVAL_SECONDS:
            return False
        members = self.gateway.members
        scanners = members.scanners(self.reaches_store(), now)
        if members.own not in scanners:
            return False
        newest = max(self.complete_scan_at, members.newest_scan())
        rank = host_rank(SCANNER_ROLE, members.own, scanners)
        return now - newest >= SCAN_INTERVAL_SECONDS + rank * FALLBACK_SCAN_SECONDS

    def scan_age(self, now: float) -> float | None:
        """Return the age in seconds of the newest known scan, if this host made it.

        Ages of other hosts are not passed on: each hop would make them look younger.

        :param now: local time in seconds
        """
        if self.complete_scan_at <= self.gateway.members.newest_scan():
            return None
        return now - self.complete_scan_at

    def _log_orphans(self, now: float) -> None:
        """Log at intervals the job that no host has run for the longest time."""
        if now - self.orphans_logged_at < ORPHAN_LOG_INTERVAL_SECONDS:
            return
        grace_ended = [
            (since, job)
            for job, since in self.orphans.items()
            if now - since >= ORPHAN_GRACE_SECONDS
        ]
        if not grace_ended:
            return
        self.orphans_logged_at = now
        since, job = min(grace_ended)
        hosts = self.gateway.members.working(now)
        log.warning(
            "jobs without a host",
            count=len(grace_ended),
            job=job,
            seconds=round(now - since, 1),
            preferred=preferred_host(job, hosts),
            scanner=preferred_host(SCANNER_ROLE, hosts),
        )

    def _stop_duplicates(self, now: float) -> None:
        for job, run in list(self.scheduler.runs.items()):
            others = self.gateway.members.running(job, now)
            if others:
                own = self.gateway.members.own
                if self.scheduler.hands_on(run.view.job):
                    self.scheduler.stop_job(run, "another host may reach its runners")
                elif preferred_host(job, [own, *others]) != own:
                    self.scheduler.stop_job(run, "another host runs it")

    async def _read_duplicates(self) -> None:
        """Read results that other hosts committed for the jobs of this host.

        :raises PrimrosefordError: as the store's calls do
        """
        for job, run in list(self.scheduler.runs.items()):
            if self.gateway.members.segments(job) > run.view.segments:
                with self._isolate_errors(job):
                    await self.store.refresh(run.view)
            # Reads of callers also add committed results to the view.
            if run.committer is None:
                run.drop_committed()
                if run.view.finished and not run.stopped:
                    self.scheduler.stop_job(run, "another host finished it")

    def scanner_rank(self, now: float) -> int | None:
        """Return how many hosts scan before this one; None if it does not scan.

        :param now: local time in seconds
        """
        members = self.gateway.members
        scanners = members.scanners(self.reaches_store(), now)
        if not self.gateway.configured or members.own not in scanners:
            return None
        return host_rank(SCANNER_ROLE, members.own, scanners)

    async def scan(self) -> None:
        """Scan all stored jobs for orphans and for jobs past their retention.

        :raises PrimrosefordError: as the store's calls do
        """
        now = self.scanned_at = self.gateway.clock()
        expired = []
        opened = set()
        for stored in await self.store.list_jobs():
            with self._isolate_errors(JobId(stored.name)):
                if self._is_expired(stored):
                    expired.append(stored)
                elif not is_finished(stored):
                    opened.add(JobId(stored.name))
                    self.update_orphan(JobId(stored.name), now)
        self.first_scan_done = True
        self.complete_scan_at = now
        self.scanned = opened
        for stored in expired:
            with self._isolate_errors(JobId(stored.name)):
                await self.store.remove(stored)

    def _is_expired(self, stored: PlatformObject) -> bool:
        """Return whether a stored job is past its retention."""
        age = time.time() - float(stored.spec["submitted"])
        return age > self.retention_seconds + RETENTION_MARGIN_SECONDS and (
            is_finished(stored) or age > 2 * self.retention_seconds
        )

    @contextmanager
    def _isolate_errors(self, job: JobId) -> Iterator[None]:
        """Log an error that concerns one job, so that the others are still handled.

        :raises PrimrosefordError: if the store does not answer, which concerns all
        """
        try:
            yield
        except PrimrosefordError as error:
            if error.code in UNAVAILABLE_CODES:
                raise
            log.error("job skipped", job=job, code=error.code.name, reason=str(error))
        except DECODING_ERRORS as error:
            log.error("job skipped", job=job, reason=repr(error)[:MAX_REASON_LENGTH])

    def _is_done(self, job: JobId) -> bool:
        """Return whether a job is known here to be finished or cancelled."""
        return job in self.gateway.members.ended or self.views.is_ended(job)

    def update_orphan(self, job: JobId, now: float) -> None:
        """Add a job to the orphans, or remove it if some host runs it or it is done."""
        if (
            job in self.scheduler.runs
            or self._is_done(job)
            or self.gateway.members.running(job, now)
        ):
            self.orphans.pop(job, None)
        else:
            self.orphans.setdefault(job, now)

    async def take_over_orphans(self) -> None:
        """Take over the orphans that this host is responsible for.

        A job that fails is tried again after the others.

        :raises PrimrosefordError: as the store's calls do
        """
        for job, since in list(self.orphans.items()):
            now = self._advance()
            self.update_orphan(job, now)
            if job not in self.orphans or not self._should_take_over(job, since, now):
                continue
            del self.orphans[job]
            with self._isolate_errors(job):
                try:
                    await self._take_over(job, now)
                except PrimrosefordError as error:
                    if error.code is ResultCode.NOT_FOUND:
                        # The job was removed, or never accepted.
                        self.gateway.members.orphaned.discard(job)
                        continue
                    self.orphans[job] = since
                    raise
                except asyncio.CancelledError:
                    self.orphans[job] = since
                    raise

    def _should_take_over(self, job: JobId, since: float, now: float) -> bool:
        if not self.gateway.configured:
            return False
        view = self.views.get(job)
        if view is not None and self.scheduler.hands_on(view.job):
            return False
        members = self.gateway.members
        grace = 0.0 if members.leaving_with(job, now) else ORPHAN_GRACE_SECONDS
        if now - since < grace:
            return False
        rank = host_rank(job, members.own, members.working(now))
        if job in self.scanned:
            rank = min(rank, 1)
        if now - since < grace + rank * FALLBACK_TAKEOVER_SECONDS:
            return False
        # Another host in the order, or this one later, takes it over.
        return self.views.has_room()

    async def _take_over(self, job: JobId, now: float) -> None:
        view = await self.views.load_latest(job)
        if view.ended:
            # The other hosts that know the job need not look it up.
            self.scheduler.report_stopped(view)
        if view.cancelled or self.gateway.members.running(job, now):
            return
        if view.finished:
            await self.store.mark_finished(job)
            return
        progress = await self.peers.take_over(view)
        if not progress:
            progress = await self.store.load_progress(job)
        log.info(
            "job taken over",
            job=job,
            listed=len(view.committed),
            items_in_progress=len(progress),
        )
        self.views.put(view)
        self.scheduler.start_job(view, progress)
