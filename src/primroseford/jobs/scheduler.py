"""Runs the items of this host's jobs: starts them in their order while there is room,
and takes what their runs come to."""

from __future__ import annotations

import asyncio
import math
import time
from functools import partial
from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.tables import choose_pool
from primroseford.jobs.batch_capacity import BatchRoom
from primroseford.jobs.deadlines import Outlook
from primroseford.jobs.forecast import URGENT_SECONDS
from primroseford.jobs.preemption import pause_items
from primroseford.jobs.preemption import yield_late_items
from primroseford.jobs.recorder import JobRecorder
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import JobRun
from primroseford.jobs.run import RunEnd
from primroseford.jobs.run import run_item
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Progress

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

GIVE_UP_MARGIN_SECONDS = 3.0
"""Margin beyond the time at which an item may be given up, since the hosts' times of
day differ."""
REFUSED_PAUSE_SECONDS = 0.1
"""Pause of an item that a runner refused: about one interval of the heartbeats that
tell of the runner's load."""
BROKEN_PAUSE_SECONDS = 0.05
"""Pause of an item whose run broke off, so that a broken pool is not tried at once."""
FAILED_PAUSE_SECONDS = 0.3
"""Pause after a runner's own failure, which may pass."""
TOLD_SECONDS = 3.0
"""How long a job that was stopped stays in the heartbeats, so that its next host is
known before it is missed."""
TOLD_FINISHED_SECONDS = 15.0
"""The same of a finished job, for readers at other hosts, who ask this host instead of
the store: a few times the pause between a caller's reads."""
HAND_OVER_SECONDS = 0.3
"""Longest wait for the last results of a job that is handed over: the other host waits
for the answer, and a write takes a few ms."""
WAIT_LOG_SECONDS = 2.0
"""Shortest time between two log lines about items that wait for a place."""

log = structlog.get_logger()


class JobScheduler:
    """The jobs that this host runs.

    :param store: jobs in the platform's store
    :ivar runs: jobs by id
    :ivar told: jobs that were stopped lately, of which the heartbeats still tell, and
        until when
    """

    def __init__(self, gateway: Gateway, store: JobStore) -> None:
        self.gateway = gateway
        self.store = store
        self.runs: dict[JobId, JobRun] = {}
        self.told: dict[JobId, tuple[JobView, float]] = {}
        self.recorder = JobRecorder(gateway, store, self._finish)
        self.outlook = Outlook(gateway, self.runs)
        self.room = BatchRoom(gateway, self.outlook)
        self.wait_logged_at = -math.inf

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return the jobs that this host runs, and those that it ran until lately."""
        now = self.gateway.clock()
        self.told = {j: t for j, t in self.told.items() if t[1] > now}
        told = {job: view.told() for job, (view, _) in self.told.items()}
        return told | {job: run.view.told() for job, run in self.runs.items()}

    def start_job(
        self, view: JobView, progress: dict[ItemId, Progress] | None = None
    ) -> None:
        """Run a job on this host.

        :param progress: how far another host got with its items
        """
        job = view.job
        if job.id in self.runs or view.finished or view.ended:
            return
        route = self.route_of(job)
        age = max(0.0, time.time() - job.submitted)
        due = self.gateway.clock() + (route.due if route else 0.0) - age
        waiting = [
            ItemRun(job, item, due) for item in job.items if item.id not in view.listed
        ]
        for item in waiting:
            done = (progress or {}).get(item.item.id)
            if done is not None:
                item.data, item.last_event = list(done.data), done.last_event
                item.resumable = len(item.data)
                item.failures = done.failures
        run = self.runs[job.id] = JobRun(view, waiting)
        run.checkpoint_at = self.gateway.clock()
        run.checkpoint_events = sum(len(item.data) for item in waiting)
        self.gateway.allocator.changed = True
        log.info(
            "job started", job=job.id, items=len(job.items), listed=len(view.listed)
        )
        self.place_items()

    async def hand_over(self, job: JobId) -> dict[ItemId, Progress]:
        """Stop a job that another host takes over, and return how far its items are.

        Finished items are listed first, so that the other host does not run them again
        and knows what callers may have read.
        """
        run = self.runs.get(job)
        if run is None:
            return {}
        progress = run.progress()
        self.stop_job(run, "handed over")
        if run.committer is not None:
            run.urgent.set()
            await asyncio.wait({run.committer}, timeout=HAND_OVER_SECONDS)
        return progress

    def stop_job(self, run: JobRun, why: str) -> None:
        """Run a job on this host no more."""
        job = run.view.job.id
        run.stopped = True
        self.runs.pop(job, None)
        seconds = TOLD_FINISHED_SECONDS if run.view.finished else TOLD_SECONDS
        self.told[job] = (run.view, self.gateway.clock() + seconds)
        for item in run.running:
            if item.task is not None:
                item.task.cancel()
        log.info("job stopped", job=job, why=why, listed=len(run.view.listed))

    def _finish(self, run: JobRun) -> None:
        self.stop_job(run, "finished")

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a job, if it still exists."""
        tables = self.gateway.tables
        return tables.match(job.host, job.prefix) if tables else None

    def adjust(self) -> None:
        """Pause, start and give up items, and store their progress."""
        if self.runs:
            pause_items(self)
            yield_late_items(self)
            self.place_items()
            self.give_up_items()
            self.recorder.save_progress(self.runs.values())

    def place_items(self) -> None:
        """Start items while there is room, in the order of their rank."""
        if self.gateway.stopping or self.gateway.tables is None:
            return
        room, outlook = self.room, self.outlook
        room.renew()
        now = self.gateway.clock()
        ready = [
            (outlook.rank(item, now), number, run, item)
            for run in self.runs.values()
            for number, item in enumerate(run.waiting)
            if item.not_before <= now
        ]
        ready.sort(key=lambda entry: entry[:2])
        full: set[PoolName] = set()
        for *_, run, item in ready:
            route = self.route_of(item.job)
            if route is None:
                continue
            pool = choose_pool(route, self.gateway.random)
            if pool in full:
                continue
            urgent = 0 <= outlook.spare(item, now) < URGENT_SECONDS
            if not room.may_start(pool, item, route.due, urgent):
                if urgent:
                    full.add(pool)
                continue
            runner = room.choose(pool, item.tried)
            if runner is None and item.tried:
                item.tried.clear()
                runner = room.choose(pool)
            if runner is None:
                full.add(pool)
                continue
            self.gateway.allocator.reserve(runner, batch=True)
            room.pace.started(pool)
            run.waiting.remove(item)
            run.running.add(item)
            item.go_on()
            item.started_at, item.events_before = now, len(item.data)
            item.runner = runner.entry.key.name
            until = now + max(1.0, self.give_up_at(item, route) - time.time())
            item.task = asyncio.create_task(
                run_item(self.gateway, route, item, runner, until)
            )
            # A task that is cancelled before its first step runs no code of its own.
            item.task.add_done_callback(
                partial(self._run_ended, run, item, route, runner)
            )
        self._log_waiting(full, now)

    def _log_waiting(self, pools: set[PoolName], now: float) -> None:
        """Log now and then why items wait."""
        if not pools or now - self.wait_logged_at < WAIT_LOG_SECONDS:
            return
        self.wait_logged_at = now
        for pool in pools:
            log.info(
                "items wait",
                pool=pool,
                waiting=self.outlook.waiting(),
                running=sum(len(run.running) for run in self.runs.values()),
                waiting_elsewhere=self.outlook.waiting_elsewhere(),
                **self.room.load(pool),
            )

    def give_up_at(self, item: ItemRun, route: Route) -> float:
        """Return the Unix time at which an item is given up."""
        return item.job.submitted + route.abandon_after + GIVE_UP_MARGIN_SECONDS

    def _run_ended(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        runner: RunnerState,
        task: asyncio.Task[RunEnd],
    ) -> None:
        self.gateway.allocator.release(runner, batch=True)
        item.task = None
        run.running.discard(item)
        if task.cancelled():
            if not run.stopped and item.item.id not in run.view.listed:
                run.waiting.append(item)
            return
        if task.exception() is None:
            end = task.result()
        else:
            log.error(
                "item run failed",
                item=item.item.id,
                job=item.job.id,
                exc_info=task.exception(),
            )
            end = RunEnd.BROKEN
        self.gateway.metrics.items.labels(end.value).inc()
        pool = runner.entry.pool
        if end is RunEnd.COMPLETE:
            self.room.pace.freed(pool)
        self._judge(run, item, route, end, runner.entry.key)

    def _judge(
        self, run: JobRun, item: ItemRun, route: Route, end: RunEnd, key: RunnerKey
    ) -> None:
        now = self.gateway.clock()
        if end is RunEnd.COMPLETE:
            item.result = ItemState.COMPLETE
            events = len(item.data)
            self.outlook.forecast(item).observe(
                events, events - item.events_before, now - item.started_at
            )
        elif end is RunEnd.INVALID:
            item.result = ItemState.DEAD_LETTER
        elif end is RunEnd.FAILED:
            item.failures += 1
            item.tried.add(key)
            item.not_before = now + FAILED_PAUSE_SECONDS
            if item.failures >= route.max_attempts:
                item.result = ItemState.DEAD_LETTER
        else:
            refused = end is RunEnd.REFUSED
            item.tried.add(key)
            pause = REFUSED_PAUSE_SECONDS if refused else BROKEN_PAUSE_SECONDS
            item.not_before = now + pause
        if run.stopped or item.item.id in run.view.listed:
            return
        if item.result is None:
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
        self.recorder.commit_soon(run)
        self.place_items()

    def give_up_items(self) -> None:
        """Give up the items whose time is over or whose route is gone."""
        now = time.time()
        for run in list(self.runs.values()):
            job = run.view.job
            route = self.route_of(job)
            if route is None:
                over = self._is_route_gone(job)
            else:
                over = (
                    now >= job.submitted + route.abandon_after + GIVE_UP_MARGIN_SECONDS
                )
            if not over or not run.waiting:
                continue
            for item in run.waiting:
                item.result = ItemState.DEAD_LETTER
            log.warning(
                "items given up",
                job=run.view.job.id,
                count=len(run.waiting),
                reason="time" if route else "route",
            )
            run.finished += run.waiting
            run.waiting = []
            self.recorder.commit_soon(run)

    def _is_route_gone(self, job: Job) -> bool:
        """Return whether a job surely has no route any more.

        A host that has started lately has no configuration yet, and one that was cut
        off has an older one than the host that accepted the job.
        """
        gateway = self.gateway
        if gateway.tables is None:
            return False
        confirmed_ago = gateway.clock() - gateway.confirmed_at
        return confirmed_ago + GIVE_UP_MARGIN_SECONDS < time.time() - job.submitted
