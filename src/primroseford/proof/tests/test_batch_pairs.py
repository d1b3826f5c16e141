"""Tests of batch jobs under pairs of failures, with an in-memory platform."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.batch.gen.ttypes import OnlineLoad
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import raise_unavailable

ITEMS = 12
WRITES = ("create", "update")


async def start_host(fleet: Fleet, name: str, fault=None):
    """Return a started host that has loaded the active jobs."""
    host = fleet.host(name)
    await host.refresh()
    if fault is not None:
        host.client.fault = fault
    host.start()
    return host


async def items_are_sent(fleet: Fleet, count: int = 1) -> bool:
    """Return whether at least this many items are in flight at the runner."""
    return len(fleet.runner.active) >= count


async def all_results(fleet: Fleet, job: str) -> list[str]:
    """Return the custom ids of all result lines, sorted."""
    found = await fleet.results(job) + await fleet.results(job, False)
    return sorted(line["custom_id"] for line in found)


def every_id(count: int) -> list[str]:
    """Return the expected custom ids of a job, sorted."""
    return sorted(f"item-{n}" for n in range(count))


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("kill_at", [1, 3, 6, 9])
async def test_host_killed_while_write_responses_are_lost(kill_at, repeatable):
    """Guards against lost or duplicate results of items.

    The host is killed after a write whose response is lost, and the responses to writes
    of its successor are lost, too.
    """
    fleet = Fleet(repeatable=repeatable)
    job = await fleet.accept(ITEMS)
    dead, calls, lost = asyncio.Event(), 0, 0

    def kill(verb, kind, after):
        nonlocal calls
        calls += after
        if calls >= kill_at and after:
            dead.set()
            raise_unavailable()

    def lose(verb, kind, after):
        nonlocal lost
        if after and verb in WRITES and lost < 4:
            lost += 1
            raise_unavailable()

    first = await start_host(fleet, "a", kill)
    await asyncio.wait_for(dead.wait(), 20.0)
    await first.kill()
    fleet.live.discard("a")
    second = await start_host(fleet, "b", lose)
    completion = asyncio.create_task(fleet.until_state(job, "completed"))
    while not completion.done():
        # A claim whose response was lost can be taken over only after it expires.
        fleet.clock.advance(5.0)
        await asyncio.sleep(0.005)
    await completion
    await second.feeder.stop()
    assert await all_results(fleet, job) == every_id(ITEMS)
    assert fleet.completions(job) == 1 and lost
    if not repeatable:
        assert max(fleet.runner.runs.values()) == 1


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("lost_answer", [False, True])
async def test_job_cancelled_while_its_claim_expires(repeatable, lost_answer):
    """Guards against a cancelled job whose items still run.

    Either the host that took the job over or the previous one, which resumes late,
    could continue the job.
    """
    fleet = Fleet(repeatable=repeatable)
    job = await fleet.accept(40)
    first = await start_host(fleet, "a")
    fleet.runner.gate.clear()
    await fleet.until(lambda: items_are_sent(fleet))
    first.task.cancel()
    fleet.live.discard("a")
    gate, fleet.runner.gate = fleet.runner.gate, asyncio.Event()
    second = await start_host(fleet, "b")

    async def taken_over() -> bool:
        return bool(second.feeder.claimed_chunks) and await items_are_sent(fleet)

    await fleet.until(taken_over)
    store = fleet.store()

    def lose(verb, kind, after):
        if lost_answer and after and verb in WRITES:
            store.client.fault = lambda *_: None
            raise_unavailable()

    store.client.fault = lose
    cancelled = await asyncio.gather(store.cancel("org-0", job), return_exceptions=True)
    assert len(cancelled) == 1
    assert await fleet.state_of(job) == "cancelled"
    second.feeder.context.index.end(job)
    runs = dict(fleet.runner.runs)
    fleet.runner.gate.set()
    gate.set()
    first.start()

    async def idle() -> bool:
        feeders = (first.feeder, second.feeder)
        return not any(
            f.claimed_chunks or f.tasks or f.in_flight_items for f in feeders
        )

    first.feeder.context.index.end(job)
    await fleet.until(idle)
    await first.feeder.stop()
    await second.feeder.stop()
    assert dict(fleet.runner.runs) == runs
    assert await fleet.state_of(job) == "cancelled"
    assert await all_results(fleet, job) == every_id(40)
    if not repeatable:
        assert max(runs.values()) == 1


@pytest.mark.parametrize("cancel_first", [True, False])
async def test_items_preempted_while_the_job_is_cancelled(cancel_first):
    """Guards against preempted items of a cancelled job that are started again."""
    fleet = Fleet()
    cancelled, other = await fleet.accept(40), await fleet.accept(30, "org-1")
    host = await start_host(fleet, "a")
    fleet.runner.gate.clear()
    await fleet.until(lambda: items_are_sent(fleet, 16))
    load = host.feeder.context.load
    if cancel_first:
        await fleet.store().cancel("org-0", cancelled)
    load.record("b", OnlineLoad("r", 15, 1))
    host.feeder.wake.set()
    if not cancel_first:
        await fleet.store().cancel("org-0", cancelled)
    host.feeder.context.index.end(cancelled)
    runs = {k: n for k, n in fleet.runner.runs.items() if k.startswith(cancelled)}

    async def preempted() -> bool:
        return len(fleet.runner.active) <= 1

    await fleet.until(preempted)
    load.record("b", OnlineLoad("r", 0, 2))
    fleet.runner.gate.set()
    await fleet.until_state(other, "completed")
    await host.feeder.stop()
    after = {k: n for k, n in fleet.runner.runs.items() if k.startswith(cancelled)}
    assert after == runs and set(runs.values()) == {1}
    assert await fleet.state_of(cancelled) == "cancelled"
    assert await all_results(fleet, cancelled) == every_id(40)
    assert await all_results(fleet, other) == every_id(30)
