"""Errors after which the host of a job must go on to work on each of its items."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import submit


def fail_first(monkeypatch, owner, name: str, error: Exception, count: int = 1) -> list:
    """Have the first calls of a method raise an error; return a list of all calls."""
    method = getattr(owner, name)
    calls = []

    def call(*args, **fields):
        calls.append(args)
        if len(calls) <= count:
            raise error
        return method(*args, **fields)

    monkeypatch.setattr(owner, name, call)
    return calls


@pytest.mark.parametrize(
    "error", [ValueError("no such state"), RuntimeError("a fault")], ids=repr
)
async def test_unexpected_error_of_a_write_ends_the_writes_of_a_job(
    site, error, monkeypatch
):
    """Guards against finished items that wait for a writer until another one finishes.

    No item of the job is left to finish after the error.
    """
    jobs = service(site.hosts[0])
    calls = fail_first(monkeypatch, jobs.store, "commit", error, count=2)
    with capture_logs() as logs:
        assert await submit(site, "job1", count=1) == 202
        await site.until(lambda: len(calls) == 3)
    assert [r["id"] for r in await read_all(site, "job1")] == ["it0"]
    await site.until(lambda: not jobs.scheduler.runs)
    lines = [line for line in logs if line["event"] == "results not committed"]
    assert [(line["job"], line["count"]) for line in lines] == [("job1", 1)] * 2


async def test_finished_job_is_never_stopped_after_an_error(site, monkeypatch):
    """Guards against a job that heartbeats report though all of it is committed."""
    jobs = service(site.hosts[0])
    monkeypatch.setattr(jobs.ownership, "_read_duplicates", _do_nothing)
    fail_first(monkeypatch, jobs.scheduler.recorder, "finish", RuntimeError("a fault"))
    assert await submit(site, "job1", count=1) == 202
    await site.until(lambda: not jobs.scheduler.runs)
    assert len(await read_all(site, "job1")) == 1


async def _do_nothing() -> None:
    """Replace a step."""
