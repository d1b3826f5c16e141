"""Jobs of a host that sends heartbeats while its job service stands still."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroseford.gateway.members import Members
from primroseford.gateway.state import GatewayMetrics
from primroseford.gateway.trial_turns import TrialTurns
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs.run import JobRun
from primroseford.jobs.scheduler import STALL_SECONDS
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.service import JobService
from primroseford.jobs.state import Item
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.tests.memory import create_bodies
from primroseford.metrics import Metrics
from primroseford.quarantine.state import Quarantine

JOB = JobId("job1")


def create_service(clock) -> JobService:
    """Return a job service that runs one job, of which no task has been started."""
    members, quarantine = Members(HostId("host-1")), Quarantine(clock)
    gateway = SimpleNamespace(
        bodies=create_bodies(clock),
        clock=clock,
        stopping=False,
        members=members,
        metrics=GatewayMetrics(Metrics()),
        tables=None,
        configured=True,
        quarantine=quarantine,
        trial_turns=TrialTurns(members, quarantine, clock),
    )
    service = JobService(gateway, None, None, None, 120.0, 1.0)
    service.scheduler = create_scheduler(gateway)
    return service


def create_scheduler(gateway) -> JobScheduler:
    """Return a scheduler that runs one job without items that could start."""
    scheduler = JobScheduler(gateway, None)
    items = (Item("it0", "/notes/it0", {}, "", 1),)
    job = Job(JOB, None, "vans.example", "/notes/", 0.0, items)
    scheduler.runs[JOB] = JobRun(JobView(job))
    return scheduler


@pytest.mark.parametrize(
    ("silent_seconds", "reported"),
    [(0.0, {JOB}), (STALL_SECONDS - 0.1, {JOB}), (STALL_SECONDS + 0.1, set())],
)
def test_job_is_reported_as_running_while_the_scheduler_stands_still(
    clock, silent_seconds, reported
):
    """Guards against a job that no other host takes over, since its host claims it.

    The heartbeats of that host go on, whatever its scheduler does.
    """
    service = create_service(clock)
    clock.advance(silent_seconds)
    assert service.reported_jobs().keys() == reported


def test_waiting_items_are_reported_while_the_scheduler_stands_still(clock):
    """Guards against hosts that leave slots to a host that starts no items."""
    service = create_service(clock)
    service.scheduler.estimator.waiting_items = lambda: (3, 1)
    assert service.waiting_items() == (3, 1)
    clock.advance(STALL_SECONDS + 0.1)
    assert service.waiting_items() == (0, 0)


def test_job_is_reported_again_after_the_scheduler_has_run(clock):
    """Guards against a host that keeps a job to itself after a pause of its process."""
    service = create_service(clock)
    clock.advance(STALL_SECONDS + 0.1)
    assert not service.reported_jobs()
    run = service.scheduler.runs.pop(JOB)
    service.scheduler.reschedule()
    service.scheduler.runs[JOB] = run
    assert service.reported_jobs().keys() == {JOB}


@pytest.mark.parametrize("configured", [False, True])
def test_host_without_a_configuration_claims_its_jobs(clock, configured):
    """Guards against jobs of a host that starts no item: no other takes them over."""
    service = create_service(clock)
    service.gateway.configured = configured
    assert service.is_stalled() is not configured
    assert service.reported_jobs().keys() == ({JOB} if configured else set())
    service.gateway.configured = True
    assert not service.is_stalled()
    assert service.reported_jobs().keys() == {JOB}
