from __future__ import annotations

import asyncio

import pytest

from primroseford.batch.feeder import RunnerFeeder
from primroseford.batch.state import RESULT_PARTS
from primroseford.batch.tests.fleet import STEP_SECONDS
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import check_complete
from primroseford.batch.tests.fleet import raise_unavailable
from primroseford.batch.tests.fleet import started


async def host_with_blocked_runner(fleet: Fleet, name: str, count: int):
    """Return a running host whose runner blocks after ``count`` items of its chunk."""
    host = fleet.host(name)
    fleet.runner.block_after = count
    await host.refresh()
    host.start()

    async def reached() -> bool:
        return fleet.runner.blocked_count > 0

    await fleet.until(reached)
    return host


@pytest.mark.parametrize("repeatable", [True, False])
async def test_stopped_feeder_releases_its_chunk_at_once(repeatable):
    """Guards against a chunk taken over only 120 s after its feeder has moved."""
    fleet = Fleet(repeatable=repeatable)
    name = await fleet.accept(40)
    first = await host_with_blocked_runner(fleet, "a", 20)
    stop = asyncio.create_task(first.feeder.stop())
    await asyncio.sleep(0)
    fleet.runner.block_after = None
    fleet.runner.gate.set()
    await stop
    stopped_at = fleet.clock()
    second = await started(fleet, "b")
    await fleet.until_state(name, "completed")
    assert fleet.clock() - stopped_at < 5.0
    takeovers = second.feeder.context.counters.takeovers
    assert takeovers.labels("released")._value.get() == 1
    await second.feeder.stop()
    await check_complete(fleet, name, 40)
    assert len(await fleet.results(name)) == 40
    if not repeatable:
        assert max(fleet.runner.runs.values()) == 1


@pytest.mark.parametrize("steps", range(5))
async def test_holder_that_is_not_in_the_membership_yet_keeps_its_chunk(steps):
    """Guards against repeated takeovers of a chunk while the membership converges.

    :param steps: steps of the clock before the test; the compared times stay exact
    """
    fleet = Fleet()
    for _ in range(steps):
        fleet.clock.advance(STEP_SECONDS)
    name = await fleet.accept(40)
    first = await host_with_blocked_runner(fleet, "a", 20)
    second = fleet.host("b")
    claimer, live = second.feeder.context.claimer, {"b"}
    job = second.feeder.context.jobs
    header, _ = await job.read(name)
    for visible, seconds, claimed in [
        (False, 9.0, False),
        (True, 0.0, False),
        (False, 0.0, False),
        (False, 9.0, False),
        (False, 1.0, True),
    ]:
        fleet.clock.advance(seconds)
        found = await claimer.claim(name, header, live | ({"a"} if visible else set()))
        assert (found is not None) is claimed
    await first.kill()


async def test_feeders_of_one_host_do_not_claim_each_others_chunk():
    """Guards against two feeders of a host that run the same chunk after an outage."""
    fleet = Fleet()
    name = await fleet.accept(40)
    first = await host_with_blocked_runner(fleet, "a", 20)
    context = first.feeder.context
    first.client.fault = lambda verb, kind, after: (
        raise_unavailable() if (verb, kind) == ("create", RESULT_PARTS) else None
    )
    other = RunnerFeeder(context, first.feeder.pool, first.feeder.runner)
    task = asyncio.create_task(other.run())
    lists_before = first.client.calls["list"]

    async def searched() -> bool:
        fleet.clock.advance(30.0)
        claimed = other.claimed_chunks or len(first.feeder.claimed_chunks) > 1
        return claimed or first.client.calls["list"] >= lists_before + 10

    await fleet.until(searched)
    assert [len(feeder.claimed_chunks) for feeder in (first.feeder, other)] == [1, 0]
    first.client.fault = lambda *_: None
    fleet.runner.block_after = None
    fleet.runner.gate.set()
    await fleet.until_state(name, "completed")
    for feeder in (first.feeder, other):
        await feeder.stop()
    await task
    await check_complete(fleet, name, 40)
    assert max(fleet.runner.runs.values()) == 1
