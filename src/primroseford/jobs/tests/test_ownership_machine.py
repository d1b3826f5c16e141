"""Model of the hosts that run jobs: real ownership and schedulers, stubbed items."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import structlog
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from primroseford.clock import ManualClock
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import JobProgress
from primroseford.gateway.members import MAX_AGE_MS
from primroseford.gateway.members import Members
from primroseford.gateway.state import GatewayMetrics
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs.cancellations import CancellationSource
from primroseford.jobs.service import RECONCILE_SECONDS
from primroseford.jobs.service import JobService
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.store import FINISHED
from primroseford.jobs.tests.memory import create_bodies
from primroseford.jobs.waiting import missing_items
from primroseford.metrics import Metrics

HOSTS = 4
ITEMS = 3
MAX_JOBS = 4
EXAMPLES = 100
RULES = 25
SETTLE_SECONDS = 40.0
"""Bound on the time after the last fault: all turns of a scan, then of a takeover, with
the time after which a host counts as lost or its job service as standing still."""
STOP_SECONDS = 1.0
"""Duration of a planned stop."""

hosts = st.integers(0, HOSTS - 1)


class Store:
    """Stored jobs as one host reaches them.

    :param shared: jobs of all hosts; each has its job, segments and flags
    :ivar cut: whether this host's calls fail
    """

    def __init__(self, shared: dict, clock):
        self.shared = shared
        self.clock = clock
        self.cut = False

    def check(self) -> None:
        if self.cut:
            raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "cut off")

    def find(self, job: JobId) -> SimpleNamespace:
        self.check()
        if job not in self.shared:
            raise PrimrosefordError(ResultCode.NOT_FOUND, "no such job")
        return self.shared[job]

    async def accept(self, job: Job) -> bool:
        self.check()
        self.shared[job.id] = SimpleNamespace(
            job=job, segments=[], cancelled=False, finished=False
        )
        return True

    async def load(self, job: JobId) -> JobView:
        view = JobView(self.find(job).job)
        await self.refresh(view)
        view.cancelled = self.find(job).cancelled
        return view

    async def refresh(self, view: JobView) -> None:
        for segment in self.find(view.job.id).segments[view.segments :]:
            view.append(segment)
        view.complete_as_of = self.clock()

    async def commit(self, view: JobView, results: list, answer_lost: bool) -> None:
        segments = self.find(view.job.id).segments
        if len(segments) == view.segments:
            segments.append(results)
        if not answer_lost:
            await self.refresh(view)

    async def cancel(self, job: JobId) -> None:
        self.find(job).cancelled = True

    async def is_cancelled(self, job: JobId) -> bool:
        return self.find(job).cancelled

    async def cancelled_jobs(self) -> set[JobId]:
        self.check()
        return {job for job, stored in self.shared.items() if stored.cancelled}

    async def load_progress(self, job: JobId) -> dict:
        self.find(job)
        return {}

    async def mark_finished(self, job: JobId) -> None:
        self.find(job).finished = True

    async def list_jobs(self) -> list:
        self.check()
        return [
            SimpleNamespace(
                name=job,
                spec={"submitted": stored.job.submitted},
                status={FINISHED: stored.finished},
            )
            for job, stored in self.shared.items()
        ]


class Peers:
    """Reads of jobs from other hosts, which all fail."""

    async def load(self, job: JobId) -> None: ...

    async def refresh(self, view: JobView, confirm: bool = False) -> None: ...

    async def take_over(self, view: JobView) -> dict:
        return {}


class Process:
    """One process of a host.

    :ivar schedules: whether its scheduler runs
    :ivar reconciles: whether its reconcile step runs
    :ivar tells: whether its heartbeats tell that its job service stands still
    :ivar stops_at: local time of the end of its planned stop
    """

    def __init__(self, name: str, incarnation: int, shared: dict, clock):
        self.clock = clock
        self.incarnation = str(incarnation)
        self.sequence = 0
        self.schedules = self.reconciles = self.tells = True
        self.stops_at: float | None = None
        self.store = Store(shared, clock)
        self.gateway = SimpleNamespace(
            bodies=create_bodies(clock),
            clock=clock,
            stopping=False,
            tables=None,
            configured=True,
            members=Members(HostId(name)),
            metrics=GatewayMetrics(Metrics()),
            allocator=SimpleNamespace(changed=False),
            request_limiter=None,
        )
        self.service = JobService(
            self.gateway,
            self.store,
            Peers(),
            None,
            1e6,
            1.0,
            lambda: not self.store.cut,
        )

    @property
    def working(self) -> bool:
        return self.schedules and self.reconciles and not self.gateway.stopping

    @property
    def runs(self) -> dict:
        return self.service.scheduler.runs

    async def step(self) -> None:
        if self.schedules:
            self.service.scheduler.stepped_at = self.clock()
        if self.reconciles:
            await self.service._reconcile()
            await self.service._find_cancellations()

    async def commit(self, answer_lost: bool) -> None:
        """Commit one item of each job, as the recorder does."""
        for run in list(self.runs.values()):
            try:
                await self.store.refresh(run.view)
                run.drop_committed()
                if run.waiting:
                    item = run.waiting[0].item.id
                    result = [ItemResult(item, ItemState.COMPLETE, "")]
                    await self.store.commit(run.view, result, answer_lost)
                run.drop_committed()
                if run.view.finished:
                    self.service.scheduler.stop_job(run, "finished")
                    await self.store.mark_finished(run.view.job.id)
            except PrimrosefordError:
                continue

    def heartbeat(self) -> Heartbeat:
        self.sequence += 1
        service = self.service
        reports = [
            JobProgress(
                job, r.segments, "", r.prefix, r.waiting_tokens, r.stopped, r.ended
            )
            for job, r in service.reported_jobs().items()
        ]
        age = service.scan_age()
        cancellation_scan_age = service.cancellation_scan_age()
        name = self.gateway.members.own
        return Heartbeat(
            name,
            self.incarnation,
            f"{name}:1",
            "a",
            self.sequence,
            self.gateway.stopping,
            jobs=reports,
            reaches_store=not self.store.cut,
            ended_jobs=service.reported_cancellations(),
            jobs_stalled=self.tells and service.is_stalled(),
            job_scan_age_ms=_age_ms(age),
            cancellation_scan_age_ms=_age_ms(cancellation_scan_age),
        )

    def receive(self, heartbeat: Heartbeat) -> None:
        try:
            self.gateway.members.receive(heartbeat, self.clock())
        except ValueError:
            return
        for job in heartbeat.ended_jobs:
            self.service.apply_cancellation(JobId(job))


def _age_ms(seconds: float | None) -> int:
    return MAX_AGE_MS if seconds is None else int(seconds * 1000)


class OwnershipMachine(RuleBasedStateMachine):
    """Some hosts under faults, after which each open item is at a working host."""

    def __init__(self):
        super().__init__()
        structlog.configure(
            wrapper_class=structlog.make_filtering_bound_logger("critical")
        )
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock(100.0)
        self.jobs: dict[JobId, SimpleNamespace] = {}
        self.processes: dict[int, Process] = {}
        self.started = 0
        self.cut_links: set[tuple[int, int]] = set()
        self.delays: dict[tuple[int, int], float] = {}
        self.messages: list[tuple[float, int, Heartbeat]] = []

    @initialize()
    def start(self):
        for number in range(HOSTS):
            self.restart(number)
        self.advance(8)
        for number in range(MAX_JOBS // 2):
            self.submit(number)
        self.advance(2)

    @rule(number=hosts)
    def restart(self, number):
        self.started += 1
        self.processes[number] = Process(
            f"host-{number}", self.started, self.jobs, self.clock
        )

    @rule(number=hosts)
    def kill(self, number):
        self.processes.pop(number, None)

    @rule(number=hosts)
    def stop(self, number):
        process = self.processes.get(number)
        if process is not None and process.stops_at is None:
            process.gateway.stopping = True
            process.stops_at = self.clock() + STOP_SECONDS

    @rule(number=hosts, schedules=st.booleans(), tells=st.booleans())
    def hang(self, number, schedules, tells):
        """Hang the reconcile step, and perhaps the scheduler."""
        process = self.processes.get(number)
        if process is not None:
            process.schedules, process.reconciles = schedules, False
            process.tells = tells

    @rule(number=hosts)
    def recover(self, number):
        process = self.processes.get(number)
        if process is not None:
            process.schedules = process.reconciles = process.tells = True

    @rule(number=hosts, cut=st.booleans())
    def cut_store(self, number, cut):
        process = self.processes.get(number)
        if process is not None:
            process.store.cut = cut

    @rule(sender=hosts, receiver=hosts, cut=st.booleans())
    def cut_link(self, sender, receiver, cut):
        (self.cut_links.add if cut else self.cut_links.discard)((sender, receiver))

    @rule(sender=hosts, receiver=hosts, seconds=st.sampled_from([0.0, 0.7, 4.0]))
    def delay_link(self, sender, receiver, seconds):
        self.delays[sender, receiver] = seconds

    @rule(number=hosts)
    def submit(self, number):
        process = self.processes.get(number)
        if process is None or process.store.cut or len(self.jobs) >= MAX_JOBS:
            return
        items = tuple(Item(ItemId(f"it{n}"), "/x", {}, "", 0) for n in range(ITEMS))
        name = JobId(f"job{len(self.jobs)}")
        job = Job(name, None, "vans.example", "/", time.time(), items)
        reservation = process.service.views.memory.reserve(job)
        self.loop.run_until_complete(process.service.accept(job, reservation))

    @rule(number=hosts, answer_lost=st.booleans())
    def commit(self, number, answer_lost):
        process = self.processes.get(number)
        if process is not None and process.schedules:
            self.loop.run_until_complete(process.commit(answer_lost))

    @rule(number=hosts, job=st.integers(0, MAX_JOBS - 1))
    def commit_late(self, number, job):
        """Do a write that a host, running the job or not, had sent before."""
        process = self.processes.get(number)
        view = process and process.service.views.get(JobId(f"job{job}"))
        if view is None or view.finished or process.store.cut:
            return
        item = next(i.id for i in view.job.items if i.id not in view.committed)
        result = [ItemResult(item, ItemState.COMPLETE, "")]
        self.loop.run_until_complete(process.store.commit(view, result, True))

    @rule(number=hosts, job=st.integers(0, MAX_JOBS - 1), heard=st.booleans())
    def cancel(self, number, job, heard):
        name, process = JobId(f"job{job}"), self.processes.get(number)
        if name in self.jobs and process is not None:
            self.jobs[name].cancelled = True
            if heard:
                process.service.cancel_job(name, CancellationSource.CALLER)

    @rule(steps=st.sampled_from([1, 3, 16, 80]))
    def advance(self, steps):
        for _ in range(steps):
            self.step()

    def step(self) -> None:
        """Deliver heartbeats, run a step of each host and send its heartbeat."""
        self.clock.advance(RECONCILE_SECONDS)
        now = self.clock()
        due = [message for message in self.messages if message[0] <= now]
        self.messages = [message for message in self.messages if message[0] > now]
        for _, receiver, heartbeat in due:
            if receiver in self.processes:
                self.processes[receiver].receive(heartbeat)
        for number, process in list(self.processes.items()):
            process.gateway.members.remove_lost(now)
            self.loop.run_until_complete(process.step())
            ends = process.stops_at is not None and process.stops_at <= now
            if ends:
                for run in list(process.runs.values()):
                    process.service.scheduler.stop_job(run, "host stops")
            heartbeat = process.heartbeat()
            for other in range(HOSTS):
                link = number, other
                if other != number and link not in self.cut_links:
                    self.messages.append(
                        (now + self.delays.get(link, 0.0), other, heartbeat)
                    )
            if ends:
                del self.processes[number]

    def teardown(self) -> None:
        """End the faults, except of hosts whose job services hang, and check all jobs.

        A hanging host never recovers by itself, so the others must do without it.
        """
        self.cut_links.clear()
        self.delays.clear()
        for process in self.processes.values():
            process.store.cut = False
        if not any(process.working for process in self.processes.values()):
            self.restart(0)
        self.advance(round(SETTLE_SECONDS / RECONCILE_SECONDS))
        for job, stored in self.jobs.items():
            if stored.cancelled:
                self.check_cancelled(job)
            elif sum(map(len, stored.segments)) < ITEMS:
                self.check_open(job)
        self.loop.close()
        structlog.reset_defaults()

    def check_cancelled(self, job: JobId) -> None:
        """Assert that no host whose steps run still runs a job."""
        hosts = [p for p in self.processes.values() if p.reconciles]
        assert not [p for p in hosts if job in p.runs], f"{job} runs on"

    def check_open(self, job: JobId) -> None:
        """Assert that a host whose scheduler works runs a job, with all its items.

        A host whose reconcile step hangs still runs its jobs, and does not notice that
        another one does too.
        """
        hosts = self.processes.values()
        running = [p for p in hosts if p.schedules and job in p.runs]
        assert running, f"{job} runs at no working host"
        assert len([p for p in running if p.working]) <= 1
        for process in running:
            assert missing_items(process.runs[job]) == []
        listed = [r.id for segment in self.jobs[job].segments for r in segment]
        assert len(listed) == len({*listed})


TestOwnership = OwnershipMachine.TestCase
TestOwnership.__doc__ = """Guards against an open item that no working host has."""
TestOwnership.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=RULES, deadline=None
)
