"""Jobs within the memory budget of a host."""

from __future__ import annotations

import base64
import gc
import json
import weakref

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.host_memory import MB
from primroseford.gateway.host_memory import SMALL_BYTES
from primroseford.ids import JobId
from primroseford.jobs.job_memory import JobMemory
from primroseford.jobs.ownership import FALLBACK_TAKEOVER_SECONDS
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.store import JOBS
from primroseford.jobs.store import PARTS
from primroseford.jobs.tests.memory import create_bodies
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submission
from primroseford.jobs.tests.test_jobs import submit
from primroseford.jobs.tests.test_ownership import host  # noqa: F401

JOB_BYTES = 3_900_000


def create_job(name: str, size: int = JOB_BYTES) -> Job:
    """Return a job of one item.

    :param size: length of the item's body in base64
    """
    items = (Item(ItemId("it0"), "/notes/x", {}, "x" * size, 1),)
    return Job(JobId(name), None, "h", "/notes/", 0.0, items)


def large_submission(job: str) -> bytes:
    """Return the request body of a job of four items that have 400,000 bytes each."""
    body = json.loads(submission(4, prefix=job))
    for item in body["items"]:
        item["body"] = base64.b64encode(b"x" * 400_000).decode()
    return json.dumps(body).encode()


@pytest.fixture
def memory(clock) -> JobMemory:
    """Return the memory of a host with 160 MB that runs no job."""
    return JobMemory(create_bodies(clock, 160), set())


def test_cached_jobs_stay_within_their_part(memory):
    """Guards against cached jobs whose number alone is limited."""
    for number in range(40):
        memory.put(JobView(create_job(f"job{number}")))
        assert memory.memory.jobs <= memory.memory.job_budget
    assert memory.memory.jobs == sum(v.held_bytes for v in memory.views.values())
    assert 1 < len(memory.views) < 40


def test_least_recently_used_job_is_dropped_first(memory):
    """Guards against the loss of a job that callers read all the time."""
    memory.put(JobView(create_job("read")))
    for number in range(20):
        memory.touch(JobId("read"))
        memory.put(JobView(create_job(f"job{number}")))
    assert "read" in memory.views and "job0" not in memory.views


def test_running_jobs_stay_and_others_are_refused(memory):
    """Guards against a host that drops what it runs, or accepts more than it holds."""
    accepted = 0
    with pytest.raises(PrimrosefordError) as caught:
        for number in range(40):
            job = create_job(f"job{number}")
            reservation = memory.reserve(job)
            memory.release(reservation)
            memory.put(JobView(job))
            memory.runs.add(job.id)
            accepted += 1
    assert caught.value.code is ResultCode.HOST_MEMORY_SHORT
    assert caught.value.http_status == 503 and caught.value.retry_after
    assert memory.views.keys() == memory.runs and len(memory.runs) == accepted > 1
    assert memory.memory.jobs <= memory.memory.job_budget
    assert not memory.has_room()
    memory.runs.clear()
    assert memory.has_room()
    memory.reserve(create_job("next"))


def test_jobs_that_are_being_accepted_count(memory):
    """Guards against submissions at the same time that are all accepted."""
    with pytest.raises(PrimrosefordError):
        for number in range(40):
            memory.reserve(create_job(f"job{number}"))
    assert memory.memory.jobs <= memory.memory.job_budget


@pytest.mark.parametrize("memory_mb", [None, 32, 64, 128, 160])
def test_single_job_is_accepted_on_any_host(clock, memory_mb):
    """Guards against a budget that a single job within the limits exceeds."""
    memory = JobMemory(create_bodies(clock, memory_mb), set())
    for number in range(5):
        job = create_job(f"job{number}")
        memory.release(memory.reserve(job))
        memory.put(JobView(job))


def test_cached_jobs_give_way_to_bodies(memory):
    """Guards against refusals of callers while memory holds what can be read again."""
    for number in range(6):
        memory.put(JobView(create_job(f"job{number}")))
    bodies = memory.bodies
    bodies.charge(bodies.hold(), 40 * MB)
    assert len(memory.views) < 6
    assert memory.memory.large <= 0.75 * memory.memory.budget


def test_results_of_running_jobs_leave_the_part_for_small_requests(memory):
    """Guards against jobs that grow with their results until no request is served."""
    view = JobView(create_job("job0"))
    memory.put(view)
    memory.runs.add(view.job.id)
    text = "x" * (2 * memory.memory.budget)
    view.append([ItemResult(ItemId("it0"), ItemState.COMPLETE, text)])
    memory.update_charges()
    assert memory.memory.jobs > memory.memory.budget
    for _ in range(100):
        memory.bodies.charge(memory.bodies.hold(), SMALL_BYTES)


def test_dropped_job_that_has_ended_stays_known_as_ended(memory):
    """Guards against repeated reads of a cancelled job that a scan finds open."""
    ended = JobView(create_job("ended"), cancelled=True)
    for view in (ended, JobView(create_job("open"))):
        memory.put(view)
    for number in range(20):
        memory.put(JobView(create_job(f"job{number}")))
    assert "ended" in memory.ended and "open" not in memory.ended
    memory.put(ended)
    assert "ended" not in memory.ended


async def test_refused_job_is_not_stored(site):
    """Guards against a 503 for a job of which a part runs."""
    for runner in site.runners:
        runner.faults.silent = True
    jobs = service(site.hosts[0])
    site.hosts[0].gateway.bodies.memory.budget = 12 * MB
    statuses = {}
    for number in range(6):
        body = large_submission(f"job{number}")
        answer = await site.call("/notes/x", f"job{number}", body=body)
        statuses[f"job{number}"] = answer[0]
        if answer[0] != 202:
            assert answer[0] == 503 and float(answer[1]["Retry-After"]) > 0
    accepted = {job for job, status in statuses.items() if status == 202}
    assert 0 < len(accepted) < 6
    assert set(stored(site, JOBS)) == accepted == set(jobs.scheduler.runs)
    assert {name.rpartition(".")[0] for name in stored(site, PARTS)} == accepted
    assert not jobs.views.memory.reserved


async def test_dropped_job_is_read_again_and_its_memory_is_free(site):
    """Guards against results that are lost, and against references to a dropped job."""
    assert await submit(site, "job1") == 202
    before = await read_all(site, "job1")
    jobs = service(site.hosts[0])
    await site.until(lambda: not jobs.scheduler.runs)
    reference = weakref.ref(jobs.views.views["job1"])
    jobs.views.cache(JobView(create_job("job2", 10)))
    assert jobs.views.memory.drop_one()
    gc.collect()
    assert reference() is None
    assert jobs.reported_jobs()[JobId("job1")].ended
    assert await submit(site, "job1") == 202
    assert await read_all(site, "job1") == before


async def test_host_without_memory_leaves_orphans_to_others(clock, host):  # noqa: F811
    """Guards against a host that exceeds its memory by a takeover, and a lost job."""
    host.has_room = False
    host.report("job1")
    clock.advance(10.0)
    for _ in range(4):
        await host.reconcile()
        clock.advance(FALLBACK_TAKEOVER_SECONDS)
    assert host.started == []
    host.has_room = True
    await host.reconcile()
    assert host.started == ["job1"]
