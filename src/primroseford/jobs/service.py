"""Service that runs the batch jobs of one host."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.periodic import run_part
from primroseford.gateway.periodic import run_periodically
from primroseford.jobs.ownership import RECONCILE_TIMEOUT_SECONDS
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.scheduler import STOPPED_REPORT_SECONDS
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import JobView
from primroseford.jobs.views import JobViews

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.gateway.host_memory import Holding
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId
    from primroseford.ids import JobId
    from primroseford.ids import RunnerName
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.results_watch import SegmentStatus
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobReport
    from primroseford.jobs.state import Progress
    from primroseford.jobs.store import JobStore

TICK_SECONDS = 0.05
"""Interval of the scheduler: online requests of a wave wait for the preemption of batch
items at most this long plus one heartbeat interval."""
IDLE_TICK_SECONDS = 0.1
"""The same while this host runs no job; the start of a job triggers the scheduler."""
PEAK_SAMPLE_SECONDS = 0.25
"""Interval at which online requests in flight are sampled; they change within a
second."""
RECONCILE_SECONDS = 0.25
"""Interval at which orphaned and duplicate jobs are looked for."""
CANCELLATION_SCAN_SECONDS = 2.0
"""Interval at which one host of the fleet scans for cancellations that no heartbeat
reported: two thirds of the time in which a cancellation must take effect."""
CANCELLATION_TURN_SECONDS = 10.0
"""Time without a scan of its own by which a host that runs jobs waits longer for each
host before it in the order of scanners: those may find nothing, and do not tell. All
turns of N hosts cost ln(N) / 10 calls per second."""

log = structlog.get_logger()


class CancellationSource(Enum):
    """How a host learns that a job was cancelled."""

    CALLER = "caller"
    HEARTBEAT = "heartbeat"
    SCAN = "scan"


class JobService(Service):
    """Accepts, runs, takes over and cancels jobs.

    :param store: jobs in the platform's store
    :param peers: reads jobs from the hosts that run them
    :param read_segment_status: returns the status of a job's segments from the watch of
        the one host that follows them
    :param retention_seconds: time for which a job stays readable
    :param settle_seconds: time after which a result that any host has returned must be
        returned by all
    :param reaches_store: whether this host can reach the platform's store directly
    :ivar cancellations: jobs cancelled at this host, each with the local time until
        which heartbeats report it
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        read_segment_status: Callable[[JobId], Awaitable[SegmentStatus | None]],
        retention_seconds: float,
        settle_seconds: float,
        reaches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.store = store
        self.scheduler = JobScheduler(gateway, store)
        self.views = JobViews(
            gateway,
            store,
            peers,
            self.scheduler.runs,
            read_segment_status,
            settle_seconds,
        )
        self.ownership = JobOwnership(
            gateway,
            store,
            peers,
            self.views,
            self.scheduler,
            retention_seconds,
            reaches_store,
        )
        self.cancellations: dict[JobId, float] = {}
        self.cancellations_scanned_at = gateway.clock()

    @Service.task
    async def schedule(self) -> None:
        """Preempt, start and abandon items periodically."""
        await run_periodically(
            self,
            lambda: TICK_SECONDS if self.scheduler.runs else IDLE_TICK_SECONDS,
            self.scheduler.reschedule,
        )

    @Service.task
    async def record_peaks(self) -> None:
        """Sample the online requests in flight periodically."""
        await run_periodically(
            self, lambda: PEAK_SAMPLE_SECONDS, self.scheduler.capacity.record_peaks
        )

    @Service.task
    async def reconcile_jobs(self) -> None:
        """Find orphaned and duplicate jobs, and cancellations by other hosts."""
        await run_periodically(self, lambda: RECONCILE_SECONDS, self._reconcile)

    async def _reconcile(self) -> None:
        self.views.memory.update_charges()
        await run_part(self._scan_cancellations, RECONCILE_TIMEOUT_SECONDS)
        await self.ownership.reconcile()

    async def _scan_cancellations(self) -> None:
        now = self.gateway.clock()
        if self._is_cancellation_scan_due(now):
            seconds_since_last = now - self.cancellations_scanned_at
            self.cancellations_scanned_at = now
            running = self.gateway.members.known_jobs() | self.scheduler.runs.keys()
            stored = await self.store.cancelled_jobs()
            log.info(
                "cancellations scanned",
                rank=self.ownership.scanner_rank(now),
                stored=len(stored),
                known=len(stored & running),
                seconds_since_last=round(seconds_since_last, 2),
                seconds=round(self.gateway.clock() - now, 3),
            )
            for job in stored & running:
                self.cancel_job(job, CancellationSource.SCAN)

    def _is_cancellation_scan_due(self, now: float) -> bool:
        """Return whether this host must look for cancellations now."""
        rank = self.ownership.scanner_rank(now)
        if rank is None:
            return False
        runs = self.scheduler.runs
        if rank > 0 and not runs:
            # The turns begin with the first job.
            self.cancellations_scanned_at = now
            return False
        if not runs and not self.gateway.members.known_jobs():
            return False
        interval = CANCELLATION_SCAN_SECONDS + rank * CANCELLATION_TURN_SECONDS
        return now - self.cancellations_scanned_at >= interval

    async def on_stop(self) -> None:
        """Stop all items; other hosts take over the jobs."""
        for run in list(self.scheduler.runs.values()):
            self.scheduler.stop_job(run, "host stops")
        for task in list(self.scheduler.recorder.background):
            task.cancel()

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the reports of the jobs that this host runs or stopped recently."""
        return self.scheduler.reported_jobs()

    async def hand_over(self, job: JobId) -> dict[ItemId, Progress]:
        """Stop a job that another host takes over; return its items' progress."""
        return await self.scheduler.hand_over(job)

    def waiting_items(self) -> tuple[int, int]:
        """Count waiting items: those that can meet their deadline, and late ones.

        Other hosts leave slots to them, so those of a scheduler that stands still do
        not count.
        """
        if self.scheduler.is_stalled(self.gateway.clock()):
            return 0, 0
        return self.scheduler.estimator.waiting_items()

    def is_stalled(self) -> bool:
        """Return whether this host can neither run jobs nor take them over.

        It stands still, or has no configuration.
        """
        now = self.gateway.clock()
        return self.scheduler.is_stalled(now) or self.ownership.is_stalled(now)

    def scan_age(self) -> float | None:
        """Return the age in seconds of the newest scan of all jobs, if made here."""
        return self.ownership.scan_age(self.gateway.clock())

    def reported_cancellations(self) -> list[JobId]:
        """Return the jobs that were recently cancelled at this host."""
        now = self.gateway.clock()
        return [job for job, until in self.cancellations.items() if until > now]

    def cancel_job(self, job: JobId, source: CancellationSource) -> None:
        """Stop a job whose cancellation is stored, and report it to the other hosts."""
        now = self.gateway.clock()
        self.cancellations = {
            j: until for j, until in self.cancellations.items() if until > now
        }
        self.cancellations[job] = now + STOPPED_REPORT_SECONDS
        self.gateway.allocator.changed = True
        self.apply_cancellation(job, source)

    def apply_cancellation(
        self,
        job: JobId,
        source: CancellationSource = CancellationSource.HEARTBEAT,
        reported_by: HostId | None = None,
    ) -> None:
        """Mark a job as cancelled, and stop it if this host runs it.

        :param source: how this host learned of the cancellation
        :param reported_by: host whose heartbeat reported it
        """
        self.gateway.members.note_ended(job)
        view = self.views.get(job)
        if view is not None:
            view.cancelled = True
        run = self.scheduler.runs.get(job)
        if run is not None:
            log.info(
                "cancellation learned",
                job=job,
                source=source.value,
                reported_by=reported_by,
            )
            self.scheduler.stop_job(run, "cancelled by its caller")

    def preempt_item(self, runner: RunnerName) -> None:
        """Preempt an item on a runner for an online request that waits there."""
        preempt_item(self.scheduler, runner)

    async def accept(self, job: Job, reservation: Holding) -> None:
        """Store a job and run it here.

        :param reservation: its charge to the memory budget until this host runs it
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if it is certainly not accepted,
            JOB_OUTCOME_UNKNOWN if it may be accepted
        """
        # No results can be committed before the job is created.
        complete_as_of = self.gateway.clock()
        try:
            new = await self.store.accept(job)
        except PrimrosefordError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise
            self.ownership.update_orphan(job.id, self.gateway.clock())
            raise PrimrosefordError(
                ResultCode.JOB_OUTCOME_UNKNOWN,
                "it is unknown whether the job was accepted",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error
        finally:
            self.views.memory.release(reservation)
        log.info("job accepted", job=job.id, new=new, items=len(job.items))
        if new:
            view = JobView(job, complete_as_of=complete_as_of)
            self.scheduler.start_job(self.views.cache(view))
        else:
            self.ownership.update_orphan(job.id, self.gateway.clock())
