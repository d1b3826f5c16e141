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
from primroseford.gateway.members import preferred_host
from primroseford.gateway.rendezvous import ranked
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs import ownership as ownership_module
from primroseford.jobs import service as service_module
from primroseford.jobs.ownership import FALLBACK_TAKEOVER_SECONDS
from primroseford.jobs.ownership import FIRST_SCAN_DELAY_SECONDS
from primroseford.jobs.ownership import ORPHAN_GRACE_SECONDS
from primroseford.jobs.ownership import RECONCILE_STALL_SECONDS
from primroseford.jobs.ownership import SCANNER_ROLE
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.run import JobRun
from primroseford.jobs.scheduler import STALL_SECONDS
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.service import JobService
from primroseford.jobs.state import Item
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.tests.memory import create_bodies
from primroseford.platform.settings import DEFAULT_CANCEL_SECONDS

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
        clock=clock,
        stopping=False,
        members=Members(HostId("host-1")),
        configured=True,
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
    :ivar reported: jobs that it reports to be ended
    :ivar hanging: jobs of which reads hang
    :ivar cancelled: jobs that the store names as cancelled
    """

    def __init__(self, clock):
        self.clock = clock
        self.sequence = 0
        self.started: list[str] = []
        self.has_room = True
        self.hanging: set[str] = set()
        self.cancelled: set[str] = set()
        self.gateway = SimpleNamespace(
            clock=clock,
            stopping=False,
            bodies=create_bodies(clock),
            members=Members(HostId("host-1")),
            tables=None,
            configured=True,
        )
        self.store = SimpleNamespace(
            list_jobs=self.list_jobs,
            refresh=lambda view: self.read(view.job.id),
            load_progress=self.load_progress,
        )
        self.views = SimpleNamespace(
            views={},
            get=lambda job: None,
            is_ended=lambda job: False,
            has_room=lambda: self.has_room,
            put=lambda view: None,
            load_latest=self.read,
        )
        self.reported: list[str] = []
        self.scheduler = SimpleNamespace(
            runs={},
            start_job=self.start_job,
            stop_job=self.stop_job,
            hands_on=lambda _: False,
            report_stopped=lambda view: self.reported.append(view.job.id),
        )
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
        view = create_view(job)
        view.cancelled = job in self.cancelled
        return view

    def start_job(self, view: JobView, _) -> None:
        self.started.append(view.job.id)
        self.scheduler.runs[view.job.id] = SimpleNamespace(
            view=view, committer=object(), stopped=False
        )

    def stop_job(self, run, _) -> None:
        del self.scheduler.runs[run.view.job.id]

    def report(self, *jobs: str, host: str = "host-2", beat=(), **fields) -> None:
        """Receive the next heartbeat of another host, which reports jobs.

        :param beat: other fields of the heartbeat
        :param fields: other fields of the reports
        """
        self.sequence += 1
        reports = [JobProgress(job, 3, "", "/notes/", 1, **fields) for job in jobs]
        beat = {"leaving": False, "jobs": reports} | dict(beat)
        heartbeat = Heartbeat(host, "i", "h:1", "a", self.sequence, **beat)
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
    """Guards against the same, while the cancellations are read."""
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    host.store.cancelled_jobs = hang
    host.report("job1")
    clock.advance(DEFAULT_CANCEL_SECONDS + 10.0)
    for _ in range(4):
        async with asyncio.timeout(MAX_RECONCILE_SECONDS):
            await asyncio.gather(service._find_cancellations(), service._reconcile())
        clock.advance(DEFAULT_CANCEL_SECONDS)
    assert host.started == ["job1"]


@pytest.mark.parametrize("stopped", [False, True])
async def test_host_stops_for_a_host_that_has_stopped(clock, host, stopped):
    """Guards against a job that no host runs, since each has stopped for the other."""
    names = [job for job in map(str, range(20)) if not is_preferred(host, job)]
    for job in names:
        host.start_job(create_view(job), {})
    host.report(*names, stopped=stopped)
    await host.reconcile()
    assert host.scheduler.runs.keys() == (set(names) if stopped else set())


def is_preferred(host: FakeHost, job: str) -> bool:
    """Return whether this host is preferred for a job over the other one."""
    own = host.gateway.members.own
    return preferred_host(job, [own, HostId("host-2")]) == own


async def test_stopped_job_is_taken_over_after_its_last_report(clock, host):
    """Guards against a wait for the end of the reports, and a job dropped with them."""
    job = next(job for job in map(str, range(20)) if is_preferred(host, job))
    host.report(job, stopped=True)
    await host.reconcile()
    host.report()
    clock.advance(ORPHAN_GRACE_SECONDS)
    await host.reconcile()
    assert host.started == [job]


async def test_ended_job_is_looked_up_by_each_host(clock, host):
    """Guards against store calls of every host for a job that has ended meanwhile."""
    host.cancelled.add("job1")
    host.gateway.members.orphaned.add("job1")
    await host.reconcile()
    clock.advance(ORPHAN_GRACE_SECONDS)
    await host.reconcile()
    assert host.reported == ["job1"] and not host.started
    host.gateway.members.orphaned.add("job2")
    await host.reconcile()
    host.report("job2", stopped=True, ended=True)
    clock.advance(ORPHAN_GRACE_SECONDS)
    await host.reconcile()
    assert not host.started and "job2" not in host.ownership.orphans


def test_stopped_job_is_unknown_to_its_last_host(clock):
    """Guards against the same, if no other host has heard of the job."""
    members = Members(HostId("host-1"))
    scheduler = JobScheduler(SimpleNamespace(clock=clock, members=members), None)
    for job, cancelled in (("open", False), ("cancelled", True)):
        view = create_view(job)
        view.cancelled = cancelled
        scheduler.runs[JobId(job)] = run = JobRun(view)
        scheduler.stop_job(run, "another host runs it")
    assert members.known_jobs() == {"open"}
    reports = scheduler.reported_jobs()
    assert all(report.stopped for report in reports.values())
    assert [job for job, report in reports.items() if report.ended] == ["cancelled"]


def job_with_order(*hosts: str) -> str:
    """Return a job for which the hosts are preferred in this order."""
    names = [HostId(host) for host in hosts]
    return next(
        job for job in map(str, range(1000)) if ranked(job, names, str, 3) == names
    )


@pytest.mark.parametrize(
    ("order", "stalled", "turns"),
    [
        (("host-1", "host-4", "host-5"), (), 0),
        (("host-4", "host-1", "host-5"), (), 1),
        (("host-4", "host-5", "host-1"), (), 2),
        (("host-4", "host-5", "host-1"), ("host-4",), 1),
        (("host-4", "host-5", "host-1"), ("host-4", "host-5"), 0),
    ],
)
async def test_orphan_waits_for_hosts_that_do_nothing(
    clock, host, order, stalled, turns
):
    """Guards against a job that only silent hosts are to take over.

    The heartbeats of the others go on, whatever their job services do. One of them is
    the scanner.
    """
    job = job_with_order(*order)
    assert preferred_host(SCANNER_ROLE, map(HostId, order)) != "host-1"
    host.gateway.members.orphaned.add(JobId(job))
    started_at = clock()
    while not host.started and clock() - started_at < 60.0:
        for name in ("host-4", "host-5"):
            host.report(host=name, beat={"jobs_stalled": name in stalled})
        await host.reconcile()
        clock.advance(0.25)
    waited = clock() - started_at
    due = ORPHAN_GRACE_SECONDS + turns * FALLBACK_TAKEOVER_SECONDS
    assert host.started == [job]
    assert due <= waited <= due + 0.5


async def test_host_whose_steps_hang_counts_as_working(clock, host):
    """Guards against a host that is waited for, though its steps do not end."""
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    host.report("job1")
    clock.advance(10.0)
    await host.reconcile()
    assert service.ownership.is_stalled(clock()) is False
    clock.advance(RECONCILE_STALL_SECONDS + 0.1)
    service.scheduler.stepped_at = clock()
    assert service.is_stalled()
    await host.reconcile()
    assert not service.is_stalled()
    clock.advance(STALL_SECONDS + 0.1)
    await host.reconcile()
    assert service.is_stalled()


async def test_host_without_a_configuration_takes_jobs_over(clock, host):
    """Guards against open items of a job whose host can start none (LOST).

    A scan of this host would keep the others from finding the jobs that it finds.
    """
    scans = []
    host.store.list_jobs = lambda: scans.append(clock()) or host.list_jobs()
    host.gateway.configured = False
    host.gateway.members.orphaned.add(JobId("job1"))
    for _ in range(100):
        await host.reconcile()
        clock.advance(0.25)
    assert not host.started and not scans
    assert host.ownership.scan_age(clock()) is None
    host.gateway.configured = True
    for _ in range(8):
        await host.reconcile()
        clock.advance(0.25)
    assert host.started == ["job1"] and scans
