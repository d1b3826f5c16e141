"""The duty of batch jobs on one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.periodic import run_periodically
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.scheduler import TOLD_SECONDS
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import JobView
from primroseford.jobs.views import JobViews

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.gateway.state import Gateway
    from primroseford.ids import JobId
    from primroseford.ids import RunnerName
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.results_watch import Listed
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobReport
    from primroseford.jobs.state import Progress
    from primroseford.jobs.store import JobStore

TICK_SECONDS = 0.05
"""Time between two looks at the places: online requests of a wave wait for batch to
step back at most this long and one heartbeat."""
IDLE_TICK_SECONDS = 0.1
"""The same while this host runs no job; a job's start looks at the places itself."""
PEAK_TICK_SECONDS = 0.25
"""Time between two looks at the online requests in flight, which change in a second."""
DIRECTORY_SECONDS = 0.25
"""Time between two looks for jobs that nobody runs."""
ENDS_SECONDS = 2.0
"""Time between two looks of one host of the fleet for ended jobs, for ends of which no
heartbeat told: two thirds of the time in which an end takes effect."""

log = structlog.get_logger()


class JobService(Service):
    """Accepts, runs, takes over and ends jobs.

    :param store: jobs in the platform's store
    :param peers: jobs that other hosts run
    :param listed: returns what one host's watch knows of a job's segments
    :param retention: seconds for which a job stays readable
    :param settle: seconds after which results that were read anywhere must be seen
    :ivar ends: jobs that callers ended here, and until when the heartbeats tell of it
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        listed: Callable[[JobId], Awaitable[Listed | None]],
        retention: float,
        settle: float,
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.store = store
        self.scheduler = JobScheduler(gateway, store)
        self.views = JobViews(
            gateway, store, peers, self.scheduler.runs, listed, settle
        )
        self.ownership = JobOwnership(
            gateway, store, peers, self.views, self.scheduler, retention
        )
        self.ends: dict[JobId, float] = {}
        self.ends_at = 0.0

    @Service.task
    async def schedule(self) -> None:
        """Start and pause items as the places allow."""
        await run_periodically(
            self,
            lambda: TICK_SECONDS if self.scheduler.runs else IDLE_TICK_SECONDS,
            self.scheduler.adjust,
        )

    @Service.task
    async def note_peaks(self) -> None:
        """Note now and then how many online requests are in flight."""
        await run_periodically(
            self, lambda: PEAK_TICK_SECONDS, self.scheduler.room.note_peaks
        )

    @Service.task
    async def look_for_jobs(self) -> None:
        """Find jobs that nobody runs, and ends that were taken elsewhere."""
        await run_periodically(self, lambda: DIRECTORY_SECONDS, self._look)

    async def _look(self) -> None:
        await self._look_for_ends()
        await self.ownership.look()

    async def _look_for_ends(self) -> None:
        now = self.gateway.clock()
        running = self.gateway.members.known_jobs() | self.scheduler.runs.keys()
        due = now - self.ends_at >= ENDS_SECONDS
        if due and running and self.ownership.is_scanner(now):
            self.ends_at = now
            for job in await self.store.ended_jobs() & running:
                self.note_end(job)

    async def on_stop(self) -> None:
        """Stop all items; other hosts take the jobs over."""
        for run in list(self.scheduler.runs.values()):
            self.scheduler.stop_job(run, "host stops")
        for task in list(self.scheduler.recorder.background):
            task.cancel()

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the jobs that this host runs, and those that it ran until lately."""
        return self.scheduler.reported_jobs()

    async def hand_over(self, job: JobId) -> dict[ItemId, Progress]:
        """Stop a job that another host takes over, and return how far its items are."""
        return await self.scheduler.hand_over(job)

    def waiting_items(self) -> tuple[int, int]:
        """Return how many items wait that can be in time, and how many others."""
        return self.scheduler.outlook.waiting()

    def reported_cancellations(self) -> list[JobId]:
        """Return the jobs that callers ended lately at this host."""
        now = self.gateway.clock()
        return [job for job, until in self.ends.items() if until > now]

    def note_end(self, job: JobId) -> None:
        """Stop a job that its caller ended here, and tell the other hosts."""
        now = self.gateway.clock()
        self.ends = {j: until for j, until in self.ends.items() if until > now}
        self.ends[job] = now + TOLD_SECONDS
        self.gateway.allocator.changed = True
        self.apply_cancellation(job)

    def apply_cancellation(self, job: JobId) -> None:
        """Take note of a job that its caller ended at another host."""
        view = self.views.get(job)
        if view is not None:
            view.ended = True
        run = self.scheduler.runs.get(job)
        if run is not None:
            self.scheduler.stop_job(run, "ended by its caller")

    def preempt_item(self, runner: RunnerName) -> None:
        """Pause an item on a runner for an online request that waits there."""
        preempt_item(self.scheduler, runner)

    async def accept(self, job: Job) -> None:
        """Store a job and run it here.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if it is surely not accepted,
            JOB_OUTCOME_UNKNOWN if it may be
        """
        # Before the job was created nobody can have listed anything.
        checked_at = self.gateway.clock()
        try:
            new = await self.store.accept(job)
        except PrimrosefordError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise
            self.ownership.note_orphan(job.id, self.gateway.clock())
            raise PrimrosefordError(
                ResultCode.JOB_OUTCOME_UNKNOWN,
                "whether the job was accepted is not known",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error
        log.info("job accepted", job=job.id, new=new, items=len(job.items))
        if new:
            view = JobView(job, checked_at=checked_at)
            self.scheduler.start_job(self.views.remember(view))
        else:
            self.ownership.note_orphan(job.id, self.gateway.clock())
