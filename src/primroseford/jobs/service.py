"""Runs the jobs of this host, and takes over those of hosts that are lost."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.loops import repeat
from primroseford.gateway.members import preferred_host
from primroseford.gateway.tables import choose_pool
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import RunEnd
from primroseford.jobs.run import run_item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import JobView
from primroseford.jobs.state import Progress
from primroseford.jobs.store import SEGMENT_BYTES
from primroseford.jobs.store import is_finished

if TYPE_CHECKING:
    from primroseford.gateway.places import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import JobId
    from primroseford.ids import OrganisationId
    from primroseford.ids import PoolName
    from primroseford.ids import Version
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.state import Job
    from primroseford.jobs.store import JobStore

TICK_SECONDS = 0.05
"""Time between two looks at the places: online requests of a wave wait for batch to
step back at most this long and one heartbeat."""
DIRECTORY_SECONDS = 0.25
"""Time between two looks for jobs that nobody runs."""
ENDS_SECONDS = 2.0
"""Time between two looks for jobs that callers ended elsewhere, for ends of which no
heartbeat told: two thirds of the time in which an end takes effect."""
SCAN_SECONDS = 4.0
"""Time between two looks at all stored jobs by one host of the fleet."""
FIRST_SCAN_SECONDS = 0.8
"""Age of this process at its first scan: by then the peers' heartbeats tell what they
run."""
ORPHAN_SECONDS = 0.5
"""Time for which nobody must run a job before it is taken over: a heartbeat that was
lost must not start a job twice."""
GIVE_UP_MARGIN_SECONDS = 3.0
"""Margin beyond the time at which an item may be given up, since the hosts' times of
day differ."""
SCANNER_SECONDS = 4.0
"""Time after which the host that looks at all stored jobs takes an orphan over if the
preferred host has not."""
CHECKPOINT_SECONDS = 2.0
"""Time between two stores of a job's progress: less than half of an item's run, at a
price of one write."""
CHECKPOINT_EVENTS = 100
"""Events since the last store for which another one is worth its write: about half of
an item."""
REFUSED_PAUSE_SECONDS = 0.1
BROKEN_PAUSE_SECONDS = 0.05
FAILED_PAUSE_SECONDS = 0.3
COMMIT_RETRY_SECONDS = 0.3
VIEWS = 256
"""Jobs that a host remembers; the oldest finished ones are read again if needed."""
TOLD_SECONDS = 3.0
"""How long a finished job stays in the heartbeats, for readers at other hosts."""
RETENTION_MARGIN_SECONDS = 30.0

log = structlog.get_logger()


@dataclass(eq=False)
class JobRun:
    """A job that this host runs.

    :param waiting: items without a run at present
    :param running: items with one
    :param finished: items with a result that is not listed yet
    :param checkpoint_version: version of the stored progress, if this host stored it
    :param checkpoint_events: events in it
    """

    view: JobView
    waiting: list[ItemRun] = field(default_factory=list)
    running: set[ItemRun] = field(default_factory=set)
    finished: list[ItemRun] = field(default_factory=list)
    committer: asyncio.Task | None = None
    checkpoint: asyncio.Task | None = None
    checkpoint_version: Version | None = None
    checkpoint_at: float = 0.0
    checkpoint_events: int = 0
    stopped: bool = False

    def progress(self) -> dict[ItemId, Progress]:
        """Return how far the items are that have begun."""
        return {
            item.item.id: Progress(list(item.data), item.last_event, item.failures)
            for item in [*self.waiting, *self.running]
            if item.data or item.failures
        }

    def drop_listed(self) -> None:
        """Forget the items that are listed, by whomever."""
        listed = self.view.listed
        self.waiting = [r for r in self.waiting if r.item.id not in listed]
        self.finished = [r for r in self.finished if r.item.id not in listed]
        for run in self.running:
            if run.item.id in listed and run.task is not None:
                run.task.cancel()


class JobService(Service):
    """Starts, pauses and lists batch items.

    :param store: jobs in the platform's store
    :param peers: jobs that other hosts run
    :param retention: seconds for which a job stays readable
    :ivar runs: jobs that this host runs
    :ivar views: jobs that this host has read
    """

    def __init__(
        self, gateway: Gateway, store: JobStore, peers: JobPeers, retention: float
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.retention = retention
        self.runs: dict[JobId, JobRun] = {}
        self.views: dict[JobId, JobView] = {}
        self.told: dict[JobId, tuple[int, float]] = {}
        self.orphans: dict[JobId, float] = {}
        self.taking: set[JobId] = set()
        self.background: set[asyncio.Task] = set()
        self.ends: dict[JobId, float] = {}
        self.ends_at = 0.0
        self.scanned_at = 0.0
        self.started_at = gateway.clock()
        self.first_scan_done = False

    def progress(self) -> dict[JobId, int]:
        """Return the jobs that this host runs, with their numbers of segments."""
        now = self.gateway.clock()
        self.told = {j: t for j, t in self.told.items() if t[1] > now}
        told = {job: count for job, (count, _) in self.told.items()}
        return told | {job: run.view.segments for job, run in self.runs.items()}

    def told_ends(self) -> list[JobId]:
        """Return the jobs that callers ended lately at this host."""
        now = self.gateway.clock()
        return [job for job, until in self.ends.items() if until > now]

    def remember(self, view: JobView) -> JobView:
        """Keep a view and return the one to use for its job."""
        known = self.views.setdefault(view.job.id, view)
        known.ended = known.ended or view.ended
        if len(self.views) > VIEWS:
            done = [j for j, v in self.views.items() if j not in self.runs]
            for job in done[: len(self.views) - VIEWS]:
                del self.views[job]
        return known

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
                item.failures = done.failures
        run = self.runs[job.id] = JobRun(view, waiting)
        run.checkpoint_at = self.gateway.clock()
        run.checkpoint_events = sum(len(item.data) for item in waiting)
        self.orphans.pop(job.id, None)
        self.gateway.places.changed = True
        log.info(
            "job started", job=job.id, items=len(job.items), listed=len(view.listed)
        )
        self.place_items()

    def hand_over(self, job: JobId) -> dict[ItemId, Progress]:
        """Stop a job that another host takes over, and return how far its items are."""
        run = self.runs.get(job)
        if run is None:
            return {}
        progress = run.progress()
        self.stop_job(run, "handed over")
        return progress

    def stop_job(self, run: JobRun, why: str) -> None:
        """Run a job on this host no more."""
        job = run.view.job.id
        run.stopped = True
        self.runs.pop(job, None)
        self.told[job] = (run.view.segments, self.gateway.clock() + TOLD_SECONDS)
        for item in run.running:
            if item.task is not None:
                item.task.cancel()
        log.info("job stopped", job=job, why=why, listed=len(run.view.listed))

    def route_of(self, job: Job) -> Route | None:
        """Return the route of a job, if it still exists."""
        tables = self.gateway.tables
        return tables.match(job.host, job.prefix) if tables else None

    @Service.task
    async def schedule(self) -> None:
        """Start and pause items as the places allow."""
        await repeat(self, lambda: TICK_SECONDS, self._adjust)

    def _adjust(self) -> None:
        if self.runs:
            self.pause_items()
            self.place_items()
            self.give_up_items()
            self.save_progress()

    def save_progress(self) -> None:
        """Store now and then how far the items are, for a host that takes over."""
        now = self.gateway.clock()
        for run in self.runs.values():
            if run.checkpoint or now - run.checkpoint_at < CHECKPOINT_SECONDS:
                continue
            progress = run.progress()
            events = sum(len(done.data) for done in progress.values())
            if events - run.checkpoint_events < CHECKPOINT_EVENTS:
                continue
            run.checkpoint_at, run.checkpoint_events = now, events
            run.checkpoint = asyncio.create_task(self._save(run, progress))
            self.keep(run.checkpoint)

    async def _save(self, run: JobRun, progress: dict[ItemId, Progress]) -> None:
        job = run.view.job.id
        try:
            run.checkpoint_version = await self.store.save_progress(
                job, progress, run.checkpoint_version
            )
        except PrimrosefordError as error:
            run.checkpoint_version = None
            log.info("progress not stored", job=job, code=error.code.name)
        finally:
            run.checkpoint = None

    def place_items(self) -> None:
        """Start items while there is room, the earliest due first."""
        if self.gateway.stopping or self.gateway.tables is None:
            return
        now = self.gateway.clock()
        ready = [
            (item.due, -len(item.data), number, run, item)
            for run in self.runs.values()
            for number, item in enumerate(run.waiting)
            if item.not_before <= now
        ]
        ready.sort(key=lambda entry: entry[:3])
        full: set[PoolName] = set()
        for *_, run, item in ready:
            route = self.route_of(item.job)
            if route is None:
                continue
            pool = choose_pool(route, self.gateway.random)
            if pool in full:
                continue
            runner = self.gateway.places.choose_for_batch(pool, item.tried)
            if runner is None and item.tried:
                item.tried.clear()
                runner = self.gateway.places.choose_for_batch(pool)
            if runner is None:
                full.add(pool)
                continue
            self.gateway.places.start(runner, batch=True)
            run.waiting.remove(item)
            run.running.add(item)
            item.started_at = now
            until = now + max(1.0, self.give_up_at(item, route) - time.time())
            item.task = asyncio.create_task(
                run_item(self.gateway, route, item, runner, until)
            )
            # A task that is cancelled before its first step runs no code of its own.
            item.task.add_done_callback(
                partial(self._run_ended, run, item, route, runner)
            )

    def give_up_at(self, item: ItemRun, route: Route) -> float:
        """Return the Unix time at which an item is given up."""
        return item.job.submitted + route.give_up + GIVE_UP_MARGIN_SECONDS

    def _run_ended(
        self,
        run: JobRun,
        item: ItemRun,
        route: Route,
        runner: RunnerState,
        task: asyncio.Task[RunEnd],
    ) -> None:
        self.gateway.places.finish(runner, batch=True)
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
        self._judge(run, item, route, end, runner.entry.key)

    def _judge(
        self, run: JobRun, item: ItemRun, route: Route, end: RunEnd, key: RunnerKey
    ) -> None:
        now = self.gateway.clock()
        if end is RunEnd.COMPLETE:
            item.result = ItemState.COMPLETE
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
        self._commit_soon(run)
        self.place_items()

    def pause_items(self) -> None:
        """Step back for online requests; paused items go on where they stopped."""
        pools: dict[PoolName, list[ItemRun]] = {}
        for run in self.runs.values():
            for item in run.running:
                route = self.route_of(item.job)
                if route is not None and item.task is not None:
                    pools.setdefault(route.pools[0][0], []).append(item)
        for pool, items in pools.items():
            count = self.gateway.places.items_to_pause(pool)
            if not count:
                continue
            # The latest started has the least to read again.
            items.sort(key=lambda item: (-item.due, -item.started_at))
            for item in items[:count]:
                item.task.cancel()
            log.info("items paused", pool=pool, count=min(count, len(items)))

    def give_up_items(self) -> None:
        """Give up the items whose time is over or whose route is gone."""
        now = time.time()
        for run in list(self.runs.values()):
            route = self.route_of(run.view.job)
            if route is not None and now < run.view.job.submitted + (
                route.give_up + GIVE_UP_MARGIN_SECONDS
            ):
                continue
            if not run.waiting:
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
            self._commit_soon(run)

    def _commit_soon(self, run: JobRun) -> None:
        if run.committer is None:
            run.committer = asyncio.create_task(self._commit(run))
            self.keep(run.committer)

    async def _commit(self, run: JobRun) -> None:
        """List finished items until none is left."""
        try:
            while run.finished:
                batch = _segment(run.finished)
                results = [
                    ItemResult(item.item.id, item.result, _text(item)) for item in batch
                ]
                try:
                    await self.store.commit(run.view, results)
                except PrimrosefordError as error:
                    log.warning(
                        "results not listed yet",
                        job=run.view.job.id,
                        code=error.code.name,
                        count=len(results),
                    )
                    await asyncio.sleep(COMMIT_RETRY_SECONDS)
                    await self._refresh(run.view)
                run.drop_listed()
                self.gateway.places.changed = True
            if run.view.finished and not run.stopped:
                self.stop_job(run, "finished")
                await self.store.mark_finished(run.view.job.id)
        except PrimrosefordError as error:
            log.warning(
                "job not marked as finished",
                job=run.view.job.id,
                code=error.code.name,
            )
        finally:
            run.committer = None

    async def _refresh(self, view: JobView) -> None:
        try:
            await self.store.refresh(view)
        except PrimrosefordError as error:
            log.info("results not readable", job=view.job.id, code=error.code.name)

    @Service.task
    async def look_for_jobs(self) -> None:
        """Find jobs that nobody runs, and ends that were taken elsewhere."""
        await repeat(self, lambda: DIRECTORY_SECONDS, self._look)

    async def _look(self) -> None:
        if self.gateway.stopping:
            return
        now = self.gateway.clock()
        if self.runs and now - self.ends_at >= ENDS_SECONDS:
            self.ends_at = now
            for job in await self.store.ended_jobs() & self.runs.keys():
                self.note_end(job)
        self._stop_doubled(now)
        first = not self.first_scan_done and (
            now - self.started_at >= FIRST_SCAN_SECONDS
        )
        scanner = preferred_host("scan", self.gateway.members.hosts(now))
        due = now - self.scanned_at >= SCAN_SECONDS
        if first or (scanner == self.gateway.members.own and due):
            self.scanned_at = now
            await self._scan(now)
            self.first_scan_done = True
        for job in self.gateway.members.known_jobs() | set(self.views):
            view = self.views.get(job)
            if view is not None and (view.finished or view.ended):
                self.gateway.members.orphaned.discard(job)
                continue
            self._note_orphan(job, now)
        await self._take_orphans(now)

    def _stop_doubled(self, now: float) -> None:
        for job, run in list(self.runs.items()):
            others = self.gateway.members.running(job, now)
            if others:
                own = self.gateway.members.own
                if preferred_host(job, [own, *others]) != own:
                    self.stop_job(run, "another host runs it")

    async def _scan(self, now: float) -> None:
        for found in await self.store.stored():
            age = time.time() - float(found.spec["submitted"])
            if age > self.retention + RETENTION_MARGIN_SECONDS and (
                is_finished(found) or age > 2 * self.retention
            ):
                await self.store.remove(found)
            elif not is_finished(found):
                self._note_orphan(found.name, now)

    def _note_orphan(self, job: JobId, now: float) -> None:
        if job in self.runs or self.gateway.members.running(job, now):
            self.orphans.pop(job, None)
        else:
            self.orphans.setdefault(job, now)

    async def _take_orphans(self, now: float) -> None:
        hosts = self.gateway.members.hosts(now)
        scanner = preferred_host("scan", hosts) == self.gateway.members.own
        for job, since in list(self.orphans.items()):
            self._note_orphan(job, now)
            if job not in self.orphans:
                continue
            leaving = self.gateway.members.leaving_with(job, now)
            if now - since < ORPHAN_SECONDS and not leaving:
                continue
            preferred = preferred_host(job, hosts) == self.gateway.members.own
            late = now - since > SCANNER_SECONDS
            if not preferred and not (scanner and late):
                continue
            del self.orphans[job]
            try:
                view = await self.latest(job)
            except PrimrosefordError as error:
                if error.code is ResultCode.NOT_FOUND:
                    continue
                self.orphans[job] = since
                raise
            if view.finished and not view.ended:
                await self.store.mark_finished(job)
            elif not view.ended and not self.gateway.members.running(job, now):
                progress = await self.peers.take_over(job)
                if not progress:
                    progress = await self.store.load_progress(job)
                log.info(
                    "job taken over",
                    job=job,
                    listed=len(view.listed),
                    items_in_progress=len(progress),
                )
                self.start_job(view, progress)

    async def on_stop(self) -> None:
        """Stop all items; other hosts take the jobs over."""
        for run in list(self.runs.values()):
            self.stop_job(run, "host stops")
        for task in list(self.background):
            task.cancel()

    def keep(self, task: asyncio.Task) -> None:
        """Hold a task until it is done; its error is its own business."""
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def read(self, job: JobId) -> JobView:
        """Return a job as this host or a host that runs it knows it, or as stored.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is None:
            found = await self.peers.load(job) or await self.store.load(job)
            view = self.remember(found)
        return view

    async def refresh(self, view: JobView) -> None:
        """Read the results that a view lacks.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        asked_at = self.gateway.clock()
        if view.job.id not in self.runs and await self.peers.refresh(view):
            view.checked_at = asked_at
        else:
            await self.store.refresh(view)

    async def latest(self, job: JobId) -> JobView:
        """Return a job with all that is listed and whether it has ended.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is None:
            return self.remember(await self.store.load(job))
        await self.store.refresh(view)
        view.ended = view.ended or await self.store.is_ended(job)
        return view

    def note_end(self, job: JobId) -> None:
        """Stop a job that its caller ended here, and tell the other hosts."""
        now = self.gateway.clock()
        self.ends = {j: until for j, until in self.ends.items() if until > now}
        self.ends[job] = now + TOLD_SECONDS
        self.gateway.places.changed = True
        self.stop_ended(job)

    def stop_ended(self, job: JobId) -> None:
        """Take note of a job that its caller ended at another host."""
        view = self.views.get(job)
        if view is not None:
            view.ended = True
        run = self.runs.get(job)
        if run is not None:
            self.stop_job(run, "ended by its caller")

    async def waiting_tokens(
        self, owner: OrganisationId | None, route: Route, enough: int
    ) -> int:
        """Return the tokens of an organisation's unlisted items on a route.

        Jobs of other hosts are read only if the number could matter.

        :param enough: number up to which an estimate from above does
        """
        for job in self.gateway.members.known_jobs() - set(self.views):
            await self.read(job)
        waiting = self._sum_waiting(owner, route)
        if waiting <= enough:
            return waiting
        for view in list(self.views.values()):
            if view.job.organisation == owner and view.job.id not in self.runs:
                await self.refresh(view)
        return self._sum_waiting(owner, route)

    def _sum_waiting(self, owner: OrganisationId | None, route: Route) -> int:
        return sum(
            view.waiting_tokens()
            for view in self.views.values()
            if view.job.organisation == owner and view.job.prefix == route.path_prefix
        )

    async def accept(self, job: Job) -> None:
        """Store a job and run it here.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if it is surely not accepted,
            JOB_OUTCOME_UNKNOWN if it may be
        """
        try:
            new = await self.store.accept(job)
        except PrimrosefordError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise
            self.orphans.setdefault(job.id, self.gateway.clock())
            raise PrimrosefordError(
                ResultCode.JOB_OUTCOME_UNKNOWN,
                "whether the job was accepted is not known",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from error
        log.info("job accepted", job=job.id, new=new, items=len(job.items))
        if new:
            self.start_job(self.remember(JobView(job)))
        else:
            self.orphans.setdefault(job.id, self.gateway.clock())


def _text(item: ItemRun) -> str:
    return item.text() if item.result is ItemState.COMPLETE else ""


def _segment(finished: list[ItemRun]) -> list[ItemRun]:
    """Return the first finished items that fit into one segment, at least one."""
    taken: list[ItemRun] = []
    size = 0
    for item in finished:
        size += sum(map(len, item.data))
        if taken and size > SEGMENT_BYTES:
            break
        taken.append(item)
    return taken
