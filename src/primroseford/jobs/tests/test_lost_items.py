"""Errors after which the host of a job must go on to work on each of its items."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from primroseford.jobs import scheduler as scheduler_module
from primroseford.jobs.recorder import JobRecorder
from primroseford.jobs.run import ItemRun
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.tests.test_jobs import TEXT
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submit
from primroseford.jobs.tests.test_waiting import create_gateway
from primroseford.jobs.tests.test_waiting import create_run
from primroseford.jobs.waiting import missing_items


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


@pytest.mark.parametrize(
    ("step", "end"),
    [
        ("release", "complete"),
        ("release", "failed"),
        ("release", "cancelled"),
        ("observe", "complete"),
    ],
)
async def test_error_at_the_end_of_a_run_loses_the_item(site, step, end, monkeypatch):
    """Guards against an item in no list of its job after an error in a callback."""
    scheduler = service(site.hosts[0]).scheduler
    for runner in site.runners:
        runner.event_seconds = 0.1
        runner.faults.status = 500 if end == "failed" else 200
    run, item = await start_run(site)
    owner = {
        "release": scheduler.gateway.allocator,
        "observe": scheduler.estimator.forecast(item),
    }[step]
    calls = fail_first(monkeypatch, owner, step, RuntimeError("a fault"))
    if end == "cancelled":
        item.task.cancel()
    await site.until(lambda: calls)
    assert not missing_items(run)
    for runner in site.runners:
        runner.faults.status = 200
    assert [r["id"] for r in await read_all(site, "job1")] == ["it0"]
    await site.until(lambda: not scheduler.runs)


async def start_run(site):
    """Submit a job of one item; return the job and the item once it runs."""
    run = service(site.hosts[0]).scheduler.runs
    assert await submit(site, "job1", count=1) == 202
    await site.until(lambda: run["job1"].running)
    (item,) = run["job1"].running
    return run["job1"], item


async def test_item_that_is_in_no_list_is_never_run(site):
    """Guards against an item that its host has lost and that only a line names."""
    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, "job1", count=3) == 202
    run = service(site.hosts[0]).scheduler.runs["job1"]
    await site.until(lambda: len(run.running) == 3)
    await site.until(lambda: run.waiting)
    lost = run.waiting.pop()
    for runner in site.runners:
        runner.faults.silent = False
    results = await read_all(site, "job1")
    assert sorted(r["id"] for r in results) == ["it0", "it1", "it2"]
    assert {r["id"]: r["text"] for r in results}[lost.item.id] == TEXT


async def test_error_of_one_item_keeps_all_others_waiting(site, monkeypatch):
    """Guards against a host that starts no item because one cannot be ranked."""
    scheduler = service(site.hosts[0]).scheduler
    rank, failing = scheduler.estimator.rank, True

    def rank_others(item, now):
        if failing and item.item.id == "it0":
            raise RuntimeError("a fault")
        return rank(item, now)

    monkeypatch.setattr(scheduler.estimator, "rank", rank_others)
    assert await submit(site, "job1", count=3) == 202
    await site.until(lambda: len(scheduler.runs["job1"].view.committed) == 2)
    failing = False
    assert len(await read_all(site, "job1")) == 3


@pytest.mark.parametrize(
    "step", ["preempt_items", "preempt_late_items", "abandon_items"]
)
async def test_error_of_a_step_ends_the_other_steps(site, step, monkeypatch):
    """Guards against items that are never started while another step fails."""
    for runner in site.runners:
        runner.faults.status = 500
    fail_first(monkeypatch, scheduler_module, step, RuntimeError("a fault"), 10_000)
    assert await submit(site, "job1", count=1) == 202
    jobs = service(site.hosts[0])
    await site.until(lambda: stored(site, SEGMENTS))
    assert [r["state"] for r in await read_all(site, "job1")] == ["dead_letter"]
    await site.until(lambda: not jobs.scheduler.runs)


async def test_progress_of_one_job_keeps_that_of_others(clock, monkeypatch):
    """Guards against one job whose progress cannot be encoded."""
    recorder = JobRecorder(create_gateway(clock), None, None)
    runs = [create_run(clock), create_run(clock)]
    clock.advance(10.0)
    calls = [fail_first(monkeypatch, r, "progress", RuntimeError("a")) for r in runs]
    recorder.save_progress(runs)
    assert [len(call) for call in calls] == [1, 1]


@pytest.mark.parametrize("step", ["record_start", "discard_unresumable_events"])
async def test_error_after_the_reservation_leaks_the_slot(site, step, monkeypatch):
    """Guards against a slot that stays reserved for an item that does not run."""
    scheduler = service(site.hosts[0]).scheduler
    error = RuntimeError("a fault")
    owner = scheduler.capacity.budget if step == "record_start" else ItemRun
    calls = fail_first(monkeypatch, owner, step, error)
    assert await submit(site, "job1", count=1) == 202
    assert len(await read_all(site, "job1")) == 1
    assert calls
    runners = scheduler.gateway.allocator.runners.values()
    assert [runner.batch for runner in runners] == [0, 0]


async def _do_nothing() -> None:
    """Replace a step."""
