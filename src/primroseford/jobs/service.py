"""Service that runs the batch jobs of one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.periodic import run_part
from primroseford.gateway.periodic import run_periodically
from primroseford.jobs.cancellations import CancellationSource
from primroseford.jobs.cancellations import JobCancellations
from primroseford.jobs.ownership import RECONCILE_TIMEOUT_SECONDS
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.preemption import preempt_item
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import JobView
from primroseford.jobs.views import JobViews
from primroseford.platform.settings import DEFAULT_CANCEL_SECONDS

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
CANCELLATION_CHECK_SECONDS = 0.1
"""Interval at which this host decides whether to scan for cancellations: a small part
of the time in which they must take effect."""

log = structlog.get_logger()


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
    :param cancel_seconds: time in which a cancellation must take effect
    :ivar announce: sends a heartbeat at once
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
        cancel_seconds: float = DEFAULT_CANCEL_SECONDS,
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
        self.cancellations = JobCancellations(gateway.members, cancel_seconds)
        self.announce: Callable[[], None] = lambda: None

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
        """Find orphaned and duplicate jobs."""
        await run_periodically(self, lambda: RECONCILE_SECONDS, self._reconcile)

    async def _reconcile(self) -> None:
        self.views.memory.update_charges()
        await self.ownership.reconcile()

    @Service.task
    async def find_cancellations(self) -> None:
        """Find cancellations that no heartbeat has reported.

        The steps that find orphaned jobs may wait much longer for the store.
        """
        await run_periodically(
            self, lambda: CANCELLATION_CHECK_SECONDS, self._find_cancellations
        )

    async def _find_cancellations(self) -> None:
        await run_part(self.update_cancellations, RECONCILE_TIMEOUT_SECONDS)

    async def update_cancellations(self) -> None:
        """Scan for cancellations if that is due, and report those of open jobs.

        :raises PrimrosefordError: as the store's calls do
        """
        self.cancellations.observe(bool(self.scheduler.runs), self.gateway.clock())
        if self._is_cancellation_scan_due():
            await self._scan_cancellations()
        self._report_stored_cancellations()

    def _is_cancellation_scan_due(self) -> bool:
        now = self.gateway.clock()
        # The rank costs more to compute than whether a scan is due at any rank.
        if not self.cancellations.is_scan_due(0, now):
            return False
        rank = self.ownership.scanner_rank(now)
        return rank is not None and self.cancellations.is_scan_due(rank, now)

    async def _scan_cancellations(self) -> None:
        cancellations = self.cancellations
        began_at = self.gateway.clock()
        age = cancellations.scan_age(began_at)
        cancellations.begin_scan(began_at)
        stored = await self.store.cancelled_jobs()
        cancellations.complete_scan(stored)
        log.info(
            "cancellations scanned",
            rank=self.ownership.scanner_rank(began_at),
            stored=len(stored),
            seconds_since_last=None if age is None else round(age, 2),
            seconds=round(self.gateway.clock() - began_at, 3),
        )
        self._report_stored_cancellations()
        self.announce()

    def _report_stored_cancellations(self) -> None:
        for job in self.cancellations.unreported(self.gateway.clock()):
            self.cancel_job(job, CancellationSource.SCAN)
        for job in self.scheduler.runs.keys() & self.cancellations.stored:
            self.cancel_job(job, CancellationSource.SCAN)

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

    def cancellation_scan_age(self) -> float | None:
        """Return the age in seconds of the last scan for cancellations made here."""
        return self.cancellations.scan_age(self.gateway.clock())

    def reported_cancellations(self) -> list[JobId]:
        """Return the cancelled jobs that heartbeats report."""
        return self.cancellations.reported(self.gateway.clock())

    def cancel_job(self, job: JobId, source: CancellationSource) -> None:
        """Stop a job whose cancellation is stored, and report it to the other hosts.

        They are told of a caller's call at once: this host may be lost right after its
        response.
        """
        is_new = self.cancellations.report(job, self.gateway.clock())
        self.gateway.allocator.changed = True
        self.apply_cancellation(job, source)
        if is_new and source is CancellationSource.CALLER:
            self.announce()

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
