"""Schedules the items of this host's jobs: starts them by rank while slots are free,
and handles the outcome of their runs."""

from __future__ import annotations

import asyncio
import math
import time
from functools import partial
from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.tables import choose_pool
from primroseford.jobs.batch_capacity import BatchCapacity
from primroseford.jobs.deadlines import DeadlineEstimator
from primroseford.jobs.forecast import URGENT_SLACK_SECONDS
from primroseford.jobs.preemption import preempt_items
from primroseford.jobs.preemption import preempt_late_items
from primroseford.jobs.recorder import JobRecorder
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import JobRun
from primroseford.jobs.run import RunOutcome
from primroseford.jobs.run import run_item
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Progress
from primroseford.jobs.versions import TextVersions
from primroseford.jobs.versions import record_run_end
from primroseford.jobs.waiting import WAIT_LOG_INTERVAL_SECONDS
from primroseford.jobs.waiting import WaitLog
from primroseford.jobs.waiting import WaitReason

if TYPE_CHECKING:
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import JobId
    from primroseford.ids import PoolName
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobReport
    from primroseford.jobs.state import JobView
    from primroseford.jobs.store import JobStore

CLOCK_SKEW_SECONDS = 3.0
"""Allowance for the difference between the hosts' wall clocks before an item is
abandoned."""
REFUSED_RETRY_SECONDS = 0.1
"""Retry delay after a runner refused an item: about one interval of the heartbeats that
report the runner's load."""
INTERRUPTED_RETRY_SECONDS = 0.05
"""Retry delay after an interrupted run, so that a failing pool is not retried at
once."""
INTERRUPTED_RETRY_FACTOR = 4
"""Factor by which that delay grows with each further run that ends before its first
event: the item itself may be what ends its runners."""
MAX_INTERRUPTED_RETRY_SECONDS = 5.0
FAILED_RETRY_SECONDS = 0.3
"""Retry delay after a failure reported by the runner, which may be transient."""
STOPPED_REPORT_SECONDS = 3.0
"""How long heartbeats report a job after this host stopped it, so that the host that
takes it over is known before the job counts as an orphan."""
FINISHED_REPORT_SECONDS = 15.0
"""How long heartbeats report a finished job, so that other hosts read its results from
this host instead of the store: a few times the interval between a caller's reads."""
HANDOVER_TIMEOUT_SECONDS = 0.3
"""Timeout for the last commit of a job that is handed over: the other host waits for
the response, and a write takes a few ms."""

log = structlog.get_logger()


class JobScheduler:
    """Scheduler of the jobs that this host runs.

    :param store: jobs in the platform's store
    :ivar runs: jobs by id
    :ivar recently_stopped: stopped jobs that heartbeats still report, each with the
        local time at which reporting ends
    """

    def __init__(self, gateway: Gateway, store: JobStore) -> None:
        self.gateway = gateway
        self.store = store
        self.runs: dict[JobId, JobRun] = {}
        self.recently_stopped: dict[JobId, tuple[JobView, float]] = {}
        self.recorder = JobRecorder(gateway, store, self._finish)
        self.estimator = DeadlineEstimator(gateway, self.runs)
        self.capacity = BatchCapacity(gateway, self.estimator)
        self.text_versions = TextVersions(gateway, self.capacity)
        self.wait_log = WaitLog(gateway)
        self.wait_logged_at = -math.inf

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the reports of the jobs that this host runs or stopped recently."""
        now = self.gateway.clock()
        self.recently_stopped = {
            job: entry for job, entry in self.recently_stopped.items() if entry[1] > now
        }
        reports = {
            job: view.report() for job, (view, _) in self.recently_stopped.items()
        }
        return reports | {job: run.view.report() for job, run in self.runs.items()}

    def start_job(
        self, view: JobView, progress: dict[ItemId, Progress] | None = None
    ) -> None:
        """Start running a job on this host.

        :param progress: progress of the items at the host that ran the job before
        """
        job = view.job
        if job.id in self.runs or view.finished or view.cancelled:
            return
        route = self.route_of(job)
        age = max(0.0, time.time() - job.submitted)
        deadline = self.gateway.clock() + (route.due if route else 0.0) - age
        waiting = [
            ItemRun(job, item, deadline)
            for item in job.items
            if item.id not in view.committed
        ]
        for item in waiting:
            item_progress = (progress or {}).get(item.item.id)
            if item_progress is not None:
                item.restore(item_progress)
                self.text_versions.check_restored(item, route)
        run = self.runs[job.id] = JobRun(view, waiting)
        run.checkpoint_at = self.gateway.clock()
        run.checkpoint_events = sum(len(item.data) for item in waiting)
        self.gateway.allocator.changed = True
        log.info(
            "job started", job=job.id, items=len(job.items), listed=len(view.committed)
        )
        self.start_items()

    async def hand_over(self, job: JobId) -> dict[ItemId, Progress]:
        """Stop a job that another host takes over; return the progress of its items.

        Finished items are committed first, so that the other host does not run them
        again and has every result that callers may have read.
        """
        run = self.runs.get(job)
        if run is None:
            return {}
        progress = run.progress()
        self.stop_job(run, "handed over")
        if run.committer is not None:
            run.urgent.set()
            await asyncio.wait({run.committer}, timeout=HANDOVER_TIMEOUT_SECONDS)
        return progress

    def stop_job(self, run: JobRun, reason: str) -> None:
        """Stop running a job on this host.

        :param reason: reason for the log
        """
        job = run.view.job.id
        run.stopped = True
        self.runs.pop(job, None)
        seconds = (
            FINISHED_REPORT_SECONDS if run.view.finished else STOPPED_REPORT_SECONDS
        )
        self.recently_stopped[job] = (run.view, self.gateway.clock() + seconds)
        for item in run.running:
            if item.task is not None:
                item.task.cancel()
        log.info("job stopped", job=job, why=reason, listed=len(run.view.committed))

    def _finish(self, run: JobRun) -> None:
        self.stop_job(run, "finished")

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a job, or None if it no longer exists."""
        tables = self.gateway.tables
        return tables.match(job.host, job.prefix) if tables else None

    def reschedule(self) -> None:
        """Preempt, start and abandon items, and store their progress."""
        self.gateway.metrics.uncommitted_items.set(
            sum(len(run.finished) for run in self.runs.values())
        )
        if self.runs:
            preempt_items(self)
            preempt_late_items(self)
            self.start_items()
            self.abandon_items()
            self.recorder.save_progress(self.runs.values())
        self.wait_log.write(self.runs.values())

    def start_items(self) -> None:
        """Start waiting items in order of rank while slots are free.

        Each item that is not started gets the reason for its wait.
        """
        capacity, estimator = self.capacity, self.estimator
        now = self.gateway.clock()
        self.text_versions.renew()
        startable = []
        for run in self.runs.values():
            for index, item in enumerate(run.waiting):
                if item.waiting_since is None:
                    item.waiting_since = now
                reason = self._find_obstacle(item, now)
                if reason is None:
                    if item.required_version is not None:
                        route = self.route_of(item.job)
                        self.text_versions.check_ready(item, route, now)
                    startable.append((estimator.rank(item, now), index, run, item))
                else:
                    item.wait_reason = reason
        capacity.renew()
        startable.sort(key=lambda entry: entry[:2])
        full_pools: set[PoolName] = set()
        for *_, run, item in startable:
            route = self.route_of(item.job)
            if route is None:
                item.wait_reason = WaitReason.ROUTE_MISSING
                continue
            pool = choose_pool(route, self.gateway.random)
            if pool in full_pools:
                item.wait_reason = WaitReason.POOL_FULL
                continue
            self.gateway.request_limiter.ask_for_batch(pool)
            urgent = 0 <= estimator.slack(item, now) < URGENT_SLACK_SECONDS
            may_start = partial(capacity.may_start, pool, item, route.due, urgent)
            obstacle = self.text_versions.check_room(item, pool, may_start, now)
            if obstacle is not None:
                item.wait_reason = obstacle
                continue
            version = item.required_version
            runner = capacity.choose_limited_runner(pool, item.tried, version=version)
            is_limited = runner is not None
            if not is_limited and not may_start():
                item.wait_reason = WaitReason.NO_START_LEFT
                # Urgent items may still start in a pool that is full for other items.
                if urgent:
                    full_pools.add(pool)
                continue
            if not is_limited:
                runner = capacity.choose_runner(pool, item.tried, version=version)
            if runner is None and item.tried:
                item.tried.clear()
                runner = capacity.choose_runner(pool, version=version)
            if runner is None:
                item.wait_reason = WaitReason.POOL_FULL
                if version is None:
                    full_pools.add(pool)
                continue
            if self._is_held(item):
                # An item that was started before it is the one that is tried.
                item.wait_reason = WaitReason.QUARANTINED
                continue
            self.gateway.quarantine.begin_trial(item.shared_parts)
            self.gateway.allocator.reserve(runner, batch=True)
            if not is_limited:
                capacity.budget.record_start(pool)
            run.waiting.remove(item)
            run.running.add(item)
            item.discard_unresumable_events()
            item.started_at, item.events_at_start = now, len(item.data)
            item.runner = runner.entry.key.name
            item.waiting_since = item.version_full_since = None
            item.starts += 1
            log.info(
                "item started",
                item=item.item.id,
                job=item.job.id,
                runner=item.runner,
                version=runner.entry.version,
                start=item.starts,
            )
            abandon_time = now + max(1.0, self.abandon_at(item, route) - time.time())
            item.task = asyncio.create_task(
                run_item(self.gateway, route, item, runner, abandon_time)
            )
            # The callback releases the slot, since a task that is cancelled before its
            # first step runs none of its code.
            item.task.add_done_callback(
                partial(self._handle_run_end, run, item, route, runner)
            )
        self._log_waiting(full_pools, now)

    def _find_obstacle(self, item: ItemRun, now: float) -> WaitReason | None:
        """Return why an item may not start, whatever capacity is free; None if it may.

        :param now: local time in seconds
        """
        if self.gateway.stopping:
            return WaitReason.HOST_STOPPING
        if self.gateway.tables is None:
            return WaitReason.NO_CONFIGURATION
        if item.not_before > now:
            return WaitReason.RETRY_DELAY
        return WaitReason.QUARANTINED if self._is_held(item) else None

    def _is_held(self, item: ItemRun) -> bool:
        """Return whether an item waits because its prompt is quarantined."""
        record = self.gateway.quarantine.blocking_record(item.shared_parts)
        if item.held != (record is not None):
            item.held = record is not None
            log.info(
                "item held" if item.held else "item released",
                item=item.item.id,
                job=item.job.id,
                part=record.part if record else None,
            )
        return item.held

    def _log_waiting(self, pools: set[PoolName], now: float) -> None:
        """Log at intervals the load of the pools in which items wait for slots."""
        if not pools or now - self.wait_logged_at < WAIT_LOG_INTERVAL_SECONDS:
            return
        self.wait_logged_at = now
        for pool in pools:
            log.info(
                "items waiting for slots",
                pool=pool,
                waiting=self.estimator.waiting_items(),
                running=sum(len(run.running) for run in self.runs.values()),
                waiting_elsewhere=self.estimator.peer_waiting_items(),
                **self.capacity.pool_load(pool),
            )

    def abandon_at(self, item: ItemRun, route: Route) -> float:
        """Return the Unix time at which an item is abandoned."""
        return item.job.submitted + route.abandon_after + CLOCK_SKEW_SECONDS

    def _handle_run_end(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        runner: RunnerState,
        task: asyncio.Task[RunOutcome],
    ) -> None:
        self.gateway.allocator.release(runner, batch=True)
        item.task = None
        run.running.discard(item)
        if task.cancelled():
            if not run.stopped and item.item.id not in run.view.committed:
                run.waiting.append(item)
            return
        if task.exception() is None:
            outcome = task.result()
        else:
            log.error(
                "item run failed unexpectedly",
                item=item.item.id,
                job=item.job.id,
                exc_info=task.exception(),
            )
            outcome = RunOutcome.BROKEN
        self.gateway.metrics.items.labels(outcome.value).inc()
        pool = runner.entry.pool
        if outcome is RunOutcome.COMPLETE:
            self.capacity.budget.record_end(pool)
        self._handle_outcome(run, item, route, outcome, runner.entry.key)

    def _handle_outcome(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        outcome: RunOutcome,
        key: RunnerKey,
    ) -> None:
        now = self.gateway.clock()
        if outcome is RunOutcome.COMPLETE:
            item.result = ItemState.COMPLETE
            events = len(item.data)
            self.estimator.forecast(item).observe(
                events, events - item.events_at_start, now - item.started_at
            )
        elif outcome is RunOutcome.INVALID:
            item.result = ItemState.DEAD_LETTER
        elif outcome is RunOutcome.FAILED:
            item.failures += 1
            item.tried.add(key)
            item.not_before = now + FAILED_RETRY_SECONDS
            if item.failures >= route.max_attempts:
                item.result = ItemState.DEAD_LETTER
        else:
            item.tried.add(key)
            item.not_before = now + self._retry_delay(item, outcome)
        if run.stopped or item.item.id in run.view.committed:
            return
        if item.result is None:
            record_run_end(item, key, outcome is RunOutcome.REFUSED, now)
            run.waiting.append(item)
            return
        log.info(
            "item finished",
            item=item.item.id,
            job=item.job.id,
            runner=key.name,
            state=item.result.value,
            events=len(item.data),
            failures=item.failures,
        )
        run.finished.append(item)
        self.recorder.schedule_commit(run)
        self.start_items()

    @staticmethod
    def _retry_delay(item: ItemRun, outcome: RunOutcome) -> float:
        """Return the seconds until an item runs again that was refused or broke off."""
        if outcome is RunOutcome.REFUSED:
            return REFUSED_RETRY_SECONDS
        if len(item.data) > item.events_at_start:
            item.interruptions = 0
        delay = INTERRUPTED_RETRY_SECONDS * INTERRUPTED_RETRY_FACTOR**item.interruptions
        if delay >= MAX_INTERRUPTED_RETRY_SECONDS:
            return MAX_INTERRUPTED_RETRY_SECONDS
        item.interruptions += 1
        return delay

    def abandon_items(self) -> None:
        """Dead-letter items past their time limit or with a removed route.

        These are the waiting ones and those whose result the store refuses.
        """
        now = time.time()
        for run in list(self.runs.values()):
            job = run.view.job
            route = self.route_of(job)
            if route is None:
                should_abandon = self._is_route_removed(job)
            else:
                should_abandon = (
                    now >= job.submitted + route.abandon_after + CLOCK_SKEW_SECONDS
                )
            refused = [item for item in run.finished if item.commit_after is not None]
            if not should_abandon or not (run.waiting or refused):
                continue
            for item in [*run.waiting, *refused]:
                item.result, item.commit_after = ItemState.DEAD_LETTER, None
            log.warning(
                "items abandoned",
                job=run.view.job.id,
                count=len(run.waiting) + len(refused),
                refused=len(refused),
                reason="time" if route else "route",
            )
            run.finished += run.waiting
            run.waiting = []
            self.recorder.schedule_commit(run)

    def _is_route_removed(self, job: Job) -> bool:
        """Return whether a job's route is known to be removed.

        A host that has just started has no configuration yet, and after a network
        partition its configuration may be older than the job. So the platform must have
        confirmed the configuration after the job was submitted.
        """
        gateway = self.gateway
        if gateway.tables is None:
            return False
        confirmed_ago = gateway.clock() - gateway.confirmed_at
        return confirmed_ago + CLOCK_SKEW_SECONDS < time.time() - job.submitted
