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
from primroseford.jobs.abandonment import abandon_at
from primroseford.jobs.abandonment import abandon_items
from primroseford.jobs.batch_capacity import BatchCapacity
from primroseford.jobs.deadlines import DeadlineEstimator
from primroseford.jobs.forecast import URGENT_SLACK_SECONDS
from primroseford.jobs.holding import held_parts
from primroseford.jobs.holding import is_held
from primroseford.jobs.isolation import MAX_REASON_LENGTH
from primroseford.jobs.isolation import Isolation
from primroseford.jobs.preemption import preempt_items
from primroseford.jobs.preemption import preempt_late_items
from primroseford.jobs.reach import RunnerReach
from primroseford.jobs.recorder import JobRecorder
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import JobRun
from primroseford.jobs.run import RunOutcome
from primroseford.jobs.run import run_item
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Progress
from primroseford.jobs.stopped import StoppedJob
from primroseford.jobs.versions import TextVersions
from primroseford.jobs.versions import record_run_end
from primroseford.jobs.waiting import WAIT_LOG_INTERVAL_SECONDS
from primroseford.jobs.waiting import WaitLog
from primroseford.jobs.waiting import WaitReason

if TYPE_CHECKING:
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import JobId
    from primroseford.ids import PoolName
    from primroseford.jobs.state import ItemId
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobReport
    from primroseford.jobs.state import JobView
    from primroseford.jobs.store import JobStore

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
STALL_SECONDS = 2.0
"""Time without a step after which the scheduler stands still. Heartbeats do not report
its jobs then, so that other hosts take them over."""
HANDOVER_TIMEOUT_SECONDS = 0.3
"""Timeout for the last commit of a job that is handed over: the other host waits for
the response, and a write takes a few ms."""

log = structlog.get_logger()


class JobScheduler:
    """Scheduler of the jobs that this host runs.

    :param store: jobs in the platform's store
    :ivar runs: jobs by id
    :ivar recently_stopped: stopped jobs that heartbeats still report
    :ivar stepped_at: local time of the last periodic step in seconds
    :ivar was_stalled: whether the last report found the scheduler standing still
    """

    def __init__(self, gateway: Gateway, store: JobStore) -> None:
        self.gateway = gateway
        self.store = store
        self.runs: dict[JobId, JobRun] = {}
        self.recently_stopped: dict[JobId, StoppedJob] = {}
        self.recorder = JobRecorder(gateway, store, self._finish)
        self.estimator = DeadlineEstimator(gateway, self.runs)
        self.isolation = Isolation(gateway.clock)
        self.capacity = BatchCapacity(gateway, self.estimator)
        self.text_versions = TextVersions(gateway, self.capacity)
        self.reach = RunnerReach(gateway)
        self.wait_log = WaitLog(gateway)
        self.wait_logged_at = -math.inf
        self.stepped_at = gateway.clock()
        self.was_stalled = False

    def is_stalled(self, now: float) -> bool:
        """Return whether the scheduler starts no items: it stands still or must wait.

        :param now: local time in seconds
        """
        return not self.gateway.configured or now - self.stepped_at > STALL_SECONDS

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the reports of the jobs that this host runs or stopped recently.

        A scheduler that starts no items runs no jobs.
        """
        now = self.gateway.clock()
        stalled = bool(self.runs) and self.is_stalled(now)
        if stalled != self.was_stalled:
            self.was_stalled = stalled
            log.warning(
                "scheduler stands still" if stalled else "scheduler runs again",
                jobs=len(self.runs),
                seconds=round(now - self.stepped_at, 1),
                configured=self.gateway.configured,
            )
        self.recently_stopped = {
            job: stopped
            for job, stopped in self.recently_stopped.items()
            if stopped.until > now
        }
        reports = {
            job: stopped.latest_report()
            for job, stopped in self.recently_stopped.items()
        }
        if stalled:
            return reports
        return reports | {
            job: run.view.report()
            for job, run in self.runs.items()
            if not self.hands_on(run.view.job)
        }

    def hands_on(self, job: Job) -> bool:
        """Return whether only other hosts may reach the runners of a job.

        This host runs it until one of them does, but does not report it as running.
        """
        if not self.reach.handed_on:
            return False
        route = self.route_of(job)
        if route is None:
            return False
        return all(pool in self.reach.handed_on for pool, _ in route.pools)

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
                self.text_versions.check_restored(item)
        run = self.runs[job.id] = JobRun(view, waiting, deadline=deadline)
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
        self.report_stopped(run.view)
        if not run.view.ended:
            # It stays known here until it is reported or seen as ended.
            self.gateway.members.orphaned.add(job)
        for item in run.running:
            if item.task is not None:
                item.task.cancel()
        log.info("job stopped", job=job, why=reason, listed=len(run.view.committed))

    def report_stopped(self, view: JobView) -> None:
        """Report for some time a job that this host does not run, with its results."""
        seconds = FINISHED_REPORT_SECONDS if view.finished else STOPPED_REPORT_SECONDS
        until = self.gateway.clock() + seconds
        self.recently_stopped[view.job.id] = StoppedJob(view, until)

    def _finish(self, run: JobRun) -> None:
        self.stop_job(run, "finished")

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a job, or None if it no longer exists."""
        tables = self.gateway.tables
        return tables.match(job.host, job.prefix) if tables else None

    def reschedule(self) -> None:
        """Preempt, start and abandon items, and store their progress."""
        self.stepped_at = self.gateway.clock()
        self.gateway.metrics.uncommitted_items.set(
            sum(len(run.finished) for run in self.runs.values())
        )
        with self.isolation.step("reach"):
            self._update_reach()
        if self.runs:
            with self.isolation.step("preempt_items"):
                preempt_items(self)
            with self.isolation.step("preempt_late_items"):
                preempt_late_items(self)
            with self.isolation.step("start_items"):
                self.start_items()
            abandon_items(self)
            self.recorder.save_progress(self.runs.values())
            self.recorder.resume_commits(self.runs.values())
        quarantine = self.gateway.quarantine
        self.gateway.trial_turns.hold(held_parts(quarantine, self.runs.values()))
        self.wait_log.write(self.runs.values())

    def _update_reach(self) -> None:
        routes = [self.route_of(run.view.job) for run in self.runs.values()]
        before = self.reach.handed_on
        self.reach.update(pool for r in routes if r for pool, _ in r.pools)
        if self.reach.handed_on != before:
            self.gateway.allocator.changed = True
            log.warning("pools not reached", pools=sorted(self.reach.handed_on))

    def start_items(self) -> None:
        """Start waiting items in order of rank while slots are free.

        Each item that is not started gets the reason for its wait.
        """
        now = self.gateway.clock()
        self.text_versions.renew()
        startable = []
        for run in self.runs.values():
            for index, item in enumerate(run.waiting):
                if item.waiting_since is None:
                    item.waiting_since = now
                try:
                    reason = self._find_obstacle(item, now)
                    if reason is None:
                        self._check_text_version(item, now)
                        rank = self.estimator.rank(item, now)
                        startable.append((rank, index, run, item))
                    else:
                        item.wait_reason = reason
                except Exception as error:
                    self.isolation.delay_item("rank", item, error)
        self.capacity.renew()
        startable.sort(key=lambda entry: entry[:2])
        full_pools: set[PoolName] = set()
        for *_, run, item in startable:
            try:
                self._start_item(run, item, now, full_pools)
            except Exception as error:
                self.isolation.delay_item("start_items", item, error)
        self._log_waiting(full_pools, now)

    def _start_item(
        self, run: JobRun, item: ItemRun, now: float, full_pools: set[PoolName]
    ) -> None:
        """Start an item on a runner with a free slot, or set the reason for its wait.

        :param now: local time in seconds
        :param full_pools: pools in which items wait for slots
        """
        capacity, estimator = self.capacity, self.estimator
        route = self.route_of(item.job)
        if route is None:
            item.wait_reason = WaitReason.ROUTE_MISSING
            return
        pool = choose_pool(route, self.gateway.random)
        if pool in full_pools and not item.held:
            item.wait_reason = WaitReason.POOL_FULL
            return
        self.gateway.request_limiter.ask_for_batch(pool)
        # A trial may crash its runner, which should have little else to do then.
        # Only one host has its turn, so that a trial needs no share of the starts.
        is_trial = item.held
        urgent = 0 <= estimator.slack(item, now) < URGENT_SLACK_SECONDS

        def may_start() -> bool:
            return is_trial or capacity.may_start(pool, item, route.due, urgent)

        obstacle = self.text_versions.check_room(item, pool, may_start, now)
        if obstacle is not None:
            item.wait_reason = obstacle
            return
        version = item.required_version
        runner = capacity.choose_limited_runner(pool, item.tried, is_trial, version)
        is_budgeted = runner is None and not is_trial
        if is_budgeted and not may_start():
            item.wait_reason = WaitReason.NO_START_LEFT
            # Urgent items may still start in a pool that is full for other items.
            if urgent:
                full_pools.add(pool)
            return
        if runner is None:
            runner = capacity.choose_runner(
                pool,
                item.tried,
                is_trial,
                version,
                estimator.max_time_factor(item, now),
            )
        if runner is None and item.tried:
            item.tried.clear()
            runner = capacity.choose_runner(pool, (), is_trial, version)
        if runner is None:
            item.wait_reason = WaitReason.POOL_FULL
            if version is None:
                full_pools.add(pool)
            return
        if is_held(self.gateway.quarantine, item):
            # An item that was started before it is the one that is tried.
            item.wait_reason = WaitReason.QUARANTINED
            return
        self._run_on(run, item, route, runner, now)
        if is_budgeted:
            capacity.budget.record_start(pool)

    def _run_on(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        runner: RunnerState,
        now: float,
    ) -> None:
        """Start a run of an item on a runner.

        :param now: local time in seconds
        """
        abandon_time = now + max(1.0, abandon_at(item.job, route) - time.time())
        item.discard_unresumable_events()
        self.gateway.quarantine.begin_trial(item.shared_parts)
        self.gateway.allocator.reserve(runner, batch=True)
        # Nothing that can fail may stand between the reservation and the callback. The
        # callback releases the slot, since a task that is cancelled before its first
        # step runs none of its code.
        item.task = asyncio.create_task(
            run_item(self.gateway, route, item, runner, abandon_time)
        )
        item.task.add_done_callback(
            partial(self._handle_run_end, run, item, route, runner)
        )
        run.waiting.remove(item)
        run.running.add(item)
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

    def _check_text_version(self, item: ItemRun, now: float) -> None:
        """Drop the text of an item that no runner of its version can continue."""
        if item.required_version is not None:
            self.text_versions.check_ready(item, self.route_of(item.job), now)

    def _find_obstacle(self, item: ItemRun, now: float) -> WaitReason | None:
        """Return why an item may not start, whatever capacity is free; None if it may.

        :param now: local time in seconds
        """
        if self.gateway.stopping:
            return WaitReason.HOST_STOPPING
        if self.gateway.tables is None:
            return WaitReason.NO_CONFIGURATION
        # An item that is released has no retry delay any more.
        if item.held and is_held(self.gateway.quarantine, item):
            return WaitReason.QUARANTINED
        if item.not_before > now:
            return WaitReason.RETRY_DELAY
        held = is_held(self.gateway.quarantine, item)
        return WaitReason.QUARANTINED if held else None

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

    def _handle_run_end(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        runner: RunnerState,
        task: asyncio.Task[RunOutcome],
    ) -> None:
        item.task = None
        run.running.discard(item)
        try:
            try:
                if not task.cancelled():
                    outcome = self._outcome_of(item, task)
                    self._handle_outcome(item, route, outcome, runner)
            finally:
                self.gateway.allocator.release(runner, batch=True)
        except Exception as error:
            log.exception(
                "end of an item's run not handled",
                item=item.item.id,
                job=item.job.id,
                reason=repr(error)[:MAX_REASON_LENGTH],
            )
            delay = self._retry_delay(item, RunOutcome.BROKEN)
            item.not_before = self.gateway.clock() + delay
        self._return_item(run, item)

    @staticmethod
    def _outcome_of(item: ItemRun, task: asyncio.Task[RunOutcome]) -> RunOutcome:
        if task.exception() is None:
            return task.result()
        log.error(
            "item run failed unexpectedly",
            item=item.item.id,
            job=item.job.id,
            exc_info=task.exception(),
        )
        return RunOutcome.BROKEN

    def _return_item(self, run: JobRun, item: ItemRun) -> None:
        """Put an item whose run has ended into the list of its job where it belongs."""
        if run.stopped or item.item.id in run.view.committed:
            return
        if item.result is None:
            run.waiting.append(item)
            return
        run.finished.append(item)
        log.info(
            "item finished",
            item=item.item.id,
            job=item.job.id,
            runner=item.runner,
            state=item.result.value,
            events=len(item.data),
            failures=item.failures,
        )
        self.recorder.schedule_commit(run)
        self.start_items()

    def _handle_outcome(
        self,
        item: ItemRun,
        route: Route,
        outcome: RunOutcome,
        runner: RunnerState,
    ) -> None:
        now, key = self.gateway.clock(), runner.entry.key
        self.gateway.metrics.items.labels(outcome.value).inc()
        if outcome is RunOutcome.COMPLETE:
            item.result = ItemState.COMPLETE
            self.capacity.budget.record_end(runner.entry.pool)
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
        if item.result is None:
            record_run_end(item, key, outcome is RunOutcome.REFUSED, now)

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
