"""Jobs of hosts that work, but cannot start items: other hosts could."""

from __future__ import annotations

import aiohttp
import pytest

from primroseford.gateway.members import preferred_host
from primroseford.jobs.tests.test_jobs import join
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import submit
from primroseford.platform.configuration import CONFIGURATION_KIND
from primroseford.platform.configuration import CONFIGURATION_NAME
from primroseford.standins.fleet_objects import configuration


class UnreachableSession:
    """HTTP session of a host that is cut from all runners, and from nothing else."""

    async def request(self, *_, **__):
        raise aiohttp.ClientConnectionError("cut off")

    def get(self, *_, **__):
        raise aiohttp.ClientConnectionError("cut off")


def job_preferred_by(host, hosts) -> str:
    """Return the id of a job that one of the hosts is to take over first."""
    names = [other.gateway.members.own for other in hosts]
    own = host.gateway.members.own
    return next(
        job
        for job in (f"job{number}" for number in range(100))
        if preferred_host(job, names) == own
    )


def record_starts(scheduler) -> list[str]:
    """Return the list of the jobs that a scheduler starts from now on."""
    started = []
    start_job = scheduler.start_job

    def record(view, *progress) -> None:
        started.append(view.job.id)
        start_job(view, *progress)

    scheduler.start_job = record
    return started


@pytest.mark.parametrize("readable", [True, False])
async def test_job_is_kept_by_a_host_without_a_configuration(site, readable):
    """Guards against open items of a job that a host takes over and cannot run (LOST).

    Hosts that run when a configuration is stored that they cannot read keep the one
    before. A host that starts then has none; it is not ready, and stays so.
    """
    await join(site)
    for runner in site.runners:
        runner.events, runner.event_seconds = 40, 0.02
    changed = configuration(2) if readable else {"routes": "unreadable"}
    site.put(CONFIGURATION_KIND, CONFIGURATION_NAME, changed)
    started = await site.add_host(wait_ready=readable)
    owner, other = site.hosts[:2]
    for host in (owner, other):
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == 2)
    members = started.gateway.members
    await site.until(lambda: len(members.live(started.clock())) == 2)
    assert other.gateway.ready and started.gateway.ready == readable
    job = job_preferred_by(started, [other, started])
    started_jobs = record_starts(service(started).scheduler)
    assert await submit(site, job) == 202
    await site.until(lambda: sum(runner.open for runner in site.runners) == 3)
    await site.until(lambda: job in started.gateway.members.known_jobs())
    for host_service in owner.services:
        await host_service.stop()
    taker = started if readable else other
    await site.until(lambda: job in service(taker).scheduler.runs)
    results = await read_all(site, job, host=1)
    assert len({result["id"] for result in results}) == 3
    if not readable:
        assert started_jobs == [] and job not in service(started).scheduler.runs


@pytest.mark.parametrize("is_cut", [False, True])
async def test_job_is_kept_by_a_host_that_reaches_no_runner(site, is_cut):
    """Guards against items that wait for their host while others have free runners."""
    await join(site)
    owner = site.hosts[0]
    session = owner.gateway.session
    if is_cut:
        owner.gateway.session = UnreachableSession()
    try:
        assert await submit(site, "job1") == 202
        results = await read_all(site, "job1", host=1)
    finally:
        owner.gateway.session = session
    assert len({result["id"] for result in results}) == 3


async def test_job_stays_at_a_host_that_reaches_no_runner(site):
    """Guards against a job that is kept from a host that reaches runners again.

    Both hosts are cut off. One of them keeps the job until the other one is not.
    """
    await join(site)
    sessions = [host.gateway.session for host in site.hosts]
    schedulers = [service(host).scheduler for host in site.hosts]
    starts = [record_starts(scheduler) for scheduler in schedulers]
    for host in site.hosts:
        host.gateway.session = UnreachableSession()
    try:
        assert await submit(site, "job1") == 202
        await site.until(lambda: starts[1])
        await site.until(lambda: sum("job1" in s.runs for s in schedulers) == 1)
        assert starts == [["job1"], ["job1"]]
        other = 0 if "job1" in schedulers[1].runs else 1
        site.hosts[other].gateway.session = sessions[other]
        results = await read_all(site, "job1", host=1)
    finally:
        for host, session in zip(site.hosts, sessions, strict=True):
            host.gateway.session = session
    assert len({result["id"] for result in results}) == 3
    assert starts[other] == ["job1", "job1"] and starts[1 - other] == ["job1"]
