"""Decides which host runs a job: after the start of a host, and while calls hang."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import JobProgress
from primroseford.gateway.members import Members
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs import ownership as ownership_module
from primroseford.jobs import service as service_module
from primroseford.jobs.ownership import FIRST_SCAN_DELAY_SECONDS
from primroseford.jobs.ownership import ORPHAN_GRACE_SECONDS
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.service import CANCELLATION_SCAN_SECONDS
from primroseford.jobs.service import JobService
from primroseford.jobs.state import Item
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView

SHORT_TIMEOUT_SECONDS = 0.02
MAX_RECONCILE_SECONDS = 5.0
"""Generous bound on a step whose calls hang, with the short timeout of these tests."""


class CountingStore:
    """Store without jobs that counts its scans."""

    def __init__(self):
        self.scans = 0

    async def list_jobs(self):
        self.scans += 1
        return []


@pytest.mark.parametrize(
    ("age", "scans"),
    [
        (0.0, 0),
        (FIRST_SCAN_DELAY_SECONDS - 0.1, 0),
        (FIRST_SCAN_DELAY_SECONDS + 0.1, 1),
    ],
)
async def test_started_host_takes_over_jobs_before_it_has_heard_from_others(
    clock, age, scans
):
    """Guards against a job that two hosts run, since one has just started.

    A host that has heard from no other host counts itself as the scanner.
    """
    store = CountingStore()
    gateway = SimpleNamespace(
        clock=clock, stopping=False, members=Members(HostId("host-1"))
    )
    views = SimpleNamespace(views={})
    scheduler = SimpleNamespace(runs={})
    ownership = JobOwnership(gateway, store, None, views, scheduler, 120.0)
    clock.advance(age)
    await ownership.reconcile()
    assert store.scans == scans


def create_view(job: str) -> JobView:
    """Return the view of a job of one item."""
    items = (Item("it0", "/notes/it0", {}, "", 1),)
    return JobView(Job(JobId(job), None, "vans.example", "/notes/", 0.0, items))


async def hang(*_) -> None:
    """Wait for ever, as a call without a response."""
    await asyncio.Event().wait()


class FakeHost:
    """A host's ownership whose calls can hang or fail, by job.

    :ivar started: jobs that it has taken over
    :ivar hanging: jobs of which reads hang
    """

    def __init__(self, clock):
        self.clock = clock
        self.started: list[str] = []
        self.hanging: set[str] = set()
        self.gateway = SimpleNamespace(
            clock=clock, stopping=False, members=Members(HostId("host-1")), tables=None
        )
        self.store = SimpleNamespace(
            list_jobs=self.list_jobs,
            refresh=lambda view: self.read(view.job.id),
            load_progress=self.load_progress,
        )
        self.views = SimpleNamespace(
            views={}, get=lambda job: None, load_latest=self.read
        )
        self.scheduler = SimpleNamespace(runs={}, start_job=self.start_job)
        peers = SimpleNamespace(take_over=self.load_progress)
        self.ownership = JobOwnership(
            self.gateway, self.store, peers, self.views, self.scheduler, 120.0
        )

    async def list_jobs(self) -> list:
        return []

    async def load_progress(self, _) -> dict:
        return {}

    async def read(self, job: str) -> JobView:
        if job in self.hanging:
            await hang()
        return create_view(job)

    def start_job(self, view: JobView, _) -> None:
        self.started.append(view.job.id)
        self.scheduler.runs[view.job.id] = SimpleNamespace(
            view=view, committer=object(), stopped=False
        )

    def report(self, *jobs: str) -> None:
        """Receive the only heartbeat of another host, which reports jobs."""
        reports = [JobProgress(job, 3, "", "/notes/", 1) for job in jobs]
        heartbeat = Heartbeat("host-2", "i", "h:1", "a", 1, False, jobs=reports)
        self.gateway.members.receive(heartbeat, self.clock())

    async def reconcile(self) -> None:
        """Run one step, which must end."""
        async with asyncio.timeout(MAX_RECONCILE_SECONDS):
            await self.ownership.reconcile()


@pytest.fixture
def host(clock, monkeypatch):
    """A host whose calls time out soon."""
    for module, name in (
        (ownership_module, "RECONCILE_TIMEOUT_SECONDS"),
        (ownership_module, "SCAN_TIMEOUT_SECONDS"),
        (service_module, "RECONCILE_TIMEOUT_SECONDS"),
    ):
        monkeypatch.setattr(module, name, SHORT_TIMEOUT_SECONDS)
    return FakeHost(clock)


async def test_orphan_waits_for_a_read_that_hangs(clock, host):
    """Guards against a step that never ends, after which no job is taken over."""
    host.start_job(create_view("mine"), {})
    host.report("mine", "theirs")
    host.scheduler.stop_job = lambda run, reason: None
    host.hanging.add("mine")
    clock.advance(10.0)
    await host.reconcile()
    clock.advance(ORPHAN_GRACE_SECONDS)
    await host.reconcile()
    assert host.started == ["mine", "theirs"]


async def test_orphan_waits_for_the_takeover_of_another_that_hangs(clock, host):
    """Guards against one job that cannot be loaded and keeps all others waiting."""
    host.report("job1", "job2", "job3")
    clock.advance(10.0)
    await host.reconcile()
    host.hanging.add(next(iter(host.ownership.orphans)))
    (hanging,) = host.hanging
    clock.advance(ORPHAN_GRACE_SECONDS)
    for _ in range(2):
        await host.reconcile()
    assert {*host.started} == {"job1", "job2", "job3"} - {hanging}
    assert hanging in host.ownership.orphans


@pytest.mark.parametrize("hangs", [False, True])
async def test_orphan_waits_for_a_scan_that_never_succeeds(clock, host, hangs):
    """Guards against a host that takes nothing over, since its first scan fails."""

    async def fail() -> list:
        raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "no response")

    host.store.list_jobs = hang if hangs else fail
    host.report("job1")
    clock.advance(10.0)
    for _ in range(4):
        await host.reconcile()
        clock.advance(ORPHAN_GRACE_SECONDS)
    assert host.started == ["job1"]


async def test_orphan_waits_for_a_scan_of_cancellations_that_hangs(clock, host):
    """Guards against the same, since the cancellations are read before each step."""
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    host.store.cancelled_jobs = hang
    host.report("job1")
    clock.advance(CANCELLATION_SCAN_SECONDS + 10.0)
    for _ in range(4):
        async with asyncio.timeout(MAX_RECONCILE_SECONDS):
            await service._reconcile()
        clock.advance(CANCELLATION_SCAN_SECONDS)
    assert host.started == ["job1"]
