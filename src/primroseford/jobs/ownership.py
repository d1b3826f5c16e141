"""Which host runs a job: take-over of jobs that nobody runs, and of doubled ones.

A job belongs to the host that accepted it. No lease guards this: two hosts that run the
same job waste work, but each number of a result segment can be created only once.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import preferred_host
from primroseford.ids import JobId
from primroseford.jobs.store import is_finished

if TYPE_CHECKING:
    from primroseford.gateway.state import Gateway
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.scheduler import JobScheduler
    from primroseford.jobs.store import JobStore
    from primroseford.jobs.views import JobViews

SCAN_SECONDS = 4.0
"""Time between two looks at all stored jobs by one host of the fleet."""
FIRST_SCAN_SECONDS = 0.8
"""Age of this process at its first scan: by then the peers' heartbeats tell what they
run."""
ORPHAN_SECONDS = 0.5
"""Time for which nobody must run a job before it is taken over: a heartbeat that was
lost must not start a job twice."""
SCANNER_SECONDS = 4.0
"""Time after which the host that looks at all stored jobs takes an orphan over if the
preferred host has not."""
RETENTION_MARGIN_SECONDS = 30.0
"""Time beyond its retention for which a finished job stays, since the hosts' times of
day differ."""
SCAN_DUTY = "scan"
"""Name by which the hosts agree on the one that looks at all stored jobs."""

log = structlog.get_logger()


class JobOwnership:
    """Finds the jobs that this host must run or stop.

    :param peers: jobs that other hosts run
    :param retention: seconds for which a job stays readable
    :ivar orphans: jobs that nobody seems to run, and since when
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        views: JobViews,
        scheduler: JobScheduler,
        retention: float,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.views = views
        self.scheduler = scheduler
        self.retention = retention
        self.orphans: dict[JobId, float] = {}
        self.scanned_at = 0.0
        self.started_at = gateway.clock()
        self.first_scan_done = False

    async def look(self) -> None:
        """Look for jobs to run or to stop.

        :raises PrimrosefordError: as the store's calls do
        """
        if self.gateway.stopping:
            return
        now = self.gateway.clock()
        self._stop_doubled(now)
        await self._read_doubled()
        first = not self.first_scan_done and (
            now - self.started_at >= FIRST_SCAN_SECONDS
        )
        due = now - self.scanned_at >= SCAN_SECONDS
        if first or (due and self.is_scanner(now)):
            self.scanned_at = now
            await self.scan(now)
            self.first_scan_done = True
        for job in self.gateway.members.known_jobs() | set(self.views.views):
            if self._is_over(job):
                self.gateway.members.orphaned.discard(job)
                continue
            self.note_orphan(job, now)
        await self.take_orphans(now)

    def _stop_doubled(self, now: float) -> None:
        for job, run in list(self.scheduler.runs.items()):
            others = self.gateway.members.running(job, now)
            if others:
                own = self.gateway.members.own
                if preferred_host(job, [own, *others]) != own:
                    self.scheduler.stop_job(run, "another host runs it")

    async def _read_doubled(self) -> None:
        """Take what other hosts have listed of the jobs that this host runs.

        :raises PrimrosefordError: as the store's calls do
        """
        for job, run in list(self.scheduler.runs.items()):
            if self.gateway.members.segments(job) > run.view.segments:
                await self.store.refresh(run.view)
            # Readers add what is listed as well.
            if run.committer is None:
                run.drop_listed()
                if run.view.finished and not run.stopped:
                    self.scheduler.stop_job(run, "another host finished it")

    def is_scanner(self, now: float) -> bool:
        """Return whether this host is the one to look at all stored jobs."""
        hosts = self.gateway.members.hosts(now)
        return preferred_host(SCAN_DUTY, hosts) == self.gateway.members.own

    async def scan(self, now: float) -> None:
        """Look at all stored jobs: for orphans, and for those to remove."""
        for found in await self.store.stored():
            age = time.time() - float(found.spec["submitted"])
            if age > self.retention + RETENTION_MARGIN_SECONDS and (
                is_finished(found) or age > 2 * self.retention
            ):
                await self.store.remove(found)
            elif not is_finished(found) and not self._is_over(JobId(found.name)):
                self.note_orphan(found.name, now)

    def _is_over(self, job: JobId) -> bool:
        """Return whether this host knows that a job is finished or ended."""
        view = self.views.get(job)
        return view is not None and (view.finished or view.ended)

    def note_orphan(self, job: JobId, now: float) -> None:
        """Note whether nobody runs a job."""
        if job in self.scheduler.runs or self.gateway.members.running(job, now):
            self.orphans.pop(job, None)
        else:
            self.orphans.setdefault(job, now)

    async def take_orphans(self, now: float) -> None:
        """Take over the jobs that this host is the one to run."""
        for job, since in list(self.orphans.items()):
            self.note_orphan(job, now)
            if job not in self.orphans or not self._is_to_take(job, since, now):
                continue
            del self.orphans[job]
            try:
                await self._take(job, now)
            except PrimrosefordError as error:
                if error.code is ResultCode.NOT_FOUND:
                    # It was removed, or never accepted.
                    self.gateway.members.orphaned.discard(job)
                    continue
                self.orphans[job] = since
                raise

    def _is_to_take(self, job: JobId, since: float, now: float) -> bool:
        members = self.gateway.members
        if now - since < ORPHAN_SECONDS and not members.leaving_with(job, now):
            return False
        if preferred_host(job, members.hosts(now)) == members.own:
            return True
        return now - since > SCANNER_SECONDS and self.is_scanner(now)

    async def _take(self, job: JobId, now: float) -> None:
        view = await self.views.latest(job)
        if view.ended or self.gateway.members.running(job, now):
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
            listed=len(view.listed),
            items_in_progress=len(progress),
        )
        self.scheduler.start_job(view, progress)
