"""Removal of old jobs, and what else a host does beside it."""

from __future__ import annotations

import base64
import json

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.jobs.store import JOBS
from primroseford.jobs.store import PARTS
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submission
from primroseford.jobs.tests.test_jobs import submit

PART_BYTES = 400_000
"""Length of a body of which each makes a part of a job."""


async def until_finished(site, job: str) -> None:
    """Wait for the end of a job; no caller's read makes a host look for it."""
    await site.until(lambda: stored(site, JOBS)[job]["status"] == {"finished": True})


async def submit_with_parts(site, job: str) -> None:
    """Submit a job of four parts and read its results."""
    body = json.loads(submission(4, prefix=job))
    for item in body["items"]:
        item["body"] = base64.b64encode(b"x" * PART_BYTES).decode()
    content = json.dumps(body).encode()
    assert (await site.call("/notes/x", job, body=content))[0] == 202
    await read_all(site, job)
    jobs = service(site.hosts[0])
    await site.until(lambda: job not in jobs.scheduler.runs)
    await until_finished(site, job)


async def interrupt_removal(site, writes: int) -> None:
    """Scan with all jobs past their retention; the store fails after some writes."""
    ownership = service(site.hosts[0]).ownership
    ownership.retention_seconds = -1000.0
    site.platform.faults.down_after_writes = writes
    try:
        await ownership.scan()
    except PrimrosefordError:
        pass
    site.platform.faults.down = False
    site.platform.faults.down_after_writes = 0


async def submit_and_lose_host(site, job: str) -> None:
    """Submit a job that no runner serves yet, and replace its host by another one."""
    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, job) == 202
    for host_service in site.hosts[0].services:
        await host_service.stop()
    for runner in site.runners:
        runner.faults.silent = False
    await site.add_host()


@pytest.mark.parametrize("writes", range(1, 8))
async def test_interrupted_removal_is_never_completed(site, writes):
    """Guards against a removal that fails for ever after an interruption (LOST)."""
    await submit_with_parts(site, "old")
    await interrupt_removal(site, writes)
    await service(site.hosts[0]).ownership.scan()
    for kind in (JOBS, PARTS, SEGMENTS):
        assert not stored(site, kind)


async def test_interrupted_removal_stops_all_takeovers(site):
    """Guards against accepted jobs that no host takes over after a restart (LOST)."""
    await submit_with_parts(site, "old")
    await interrupt_removal(site, 4)
    service(site.hosts[0]).ownership.retention_seconds = 1000.0
    stored(site, JOBS)["old"]["spec"]["content"]["submitted"] -= 200.0
    await submit_and_lose_host(site, "job1")
    service(site.hosts[1]).ownership.retention_seconds = 100.0
    await until_finished(site, "job1")


BAD_JOBS = {
    "no fields": {},
    "no submission time": {"submitted": "yesterday", "items": [], "parts": 1},
    "missing part": {
        "submitted": 0.0,
        "items": [],
        "parts": 2,
        "organisation": None,
        "host": "h",
        "prefix": "/x/",
    },
    "unreadable items": {
        "submitted": 4e9,
        "items": [["it0"], 3],
        "parts": 1,
        "organisation": None,
        "host": "h",
        "prefix": "/x/",
    },
}


@pytest.mark.parametrize("content", BAD_JOBS.values(), ids=BAD_JOBS)
async def test_one_unreadable_job_stops_all_takeovers(site, content):
    """Guards against a loop over all jobs that ends at the first that fails (LOST)."""
    spec = {"operation": "", "labels": {}, "content": content}
    site.platform.state.create(JOBS, {"metadata": {"name": "a-bad"}, "spec": spec})
    await submit_and_lose_host(site, "job1")
    await until_finished(site, "job1")
