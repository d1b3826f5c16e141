"""Batch jobs on whole hosts under pairs of failures."""

from __future__ import annotations

import asyncio

import pytest

ITEMS = 6


async def check_results(fleet, name: str, job: str) -> None:
    """Check that each item has one result that can be read through a host."""

    async def completed() -> bool:
        return (await fleet.read_job(name, job)).get("status") == "completed"

    await fleet.until(completed)
    found = await fleet.read_job(name, job)
    assert found["request_counts"] == {"total": ITEMS, "completed": ITEMS, "failed": 0}
    lines = await fleet.read_file(name, found["output_file_id"])
    assert sorted(line["custom_id"] for line in lines) == [
        f"item-{n}" for n in range(ITEMS)
    ]
    assert len(fleet.platform.state.objects["jobs"]) == 1


@pytest.mark.parametrize(("key", "parallel"), [("", 2), ("night-1", 1)])
async def test_job_resent_after_its_host_was_lost(fleet, key, parallel):
    """Guards against an acknowledged job that is lost, or doubled by a resend."""
    await fleet.start()
    status, job = await fleet.submit("a", ITEMS, key)
    assert status == 200
    await fleet.kill("a")
    names = list(fleet.hosts)[:parallel]
    sends = [fleet.submit(name, ITEMS, key) for name in names]
    assert await asyncio.gather(*sends) == [(200, job)] * parallel
    await check_results(fleet, "b", job)


async def test_holder_killed_while_answers_are_lost(fleet):
    """Guards against items lost or doubled in a takeover with lost answers."""
    fleet.repeatable = False
    await fleet.start(a="d0", b="d0", c="d0")
    fleet.engines[0].settings.token_seconds = 0.05
    _, job = await fleet.submit("a", ITEMS)
    await fleet.until(lambda: fleet.engines[0].state.run_counts)
    chunk = fleet.platform.state.objects["chunkstates"][f"{job}-0"]["spec"]
    for view in fleet.views.values():
        view.faults.lose_write_answers = 3
    await fleet.kill(chunk["holder"])
    name = next(iter(fleet.hosts))

    async def ended() -> bool:
        return (await fleet.read_job(name, job)).get("status") == "completed"

    await fleet.until(ended)
    found = await fleet.read_job(name, job)
    lines = []
    for file in (found["output_file_id"], found["error_file_id"]):
        lines += await fleet.read_file(name, file) if file else []
    ids = sorted(line["custom_id"] for line in lines)
    assert ids == [f"item-{n}" for n in range(ITEMS)]
    assert max(fleet.engines[0].state.run_counts.values()) == 1
