"""Tests of batch jobs on complete hosts under pairs of failures."""

from __future__ import annotations

import asyncio

ITEMS = 6


async def check_results(fleet, name: str, job: str) -> None:
    """Assert that each item has exactly one result, read through a host."""

    async def completed() -> bool:
        return (await fleet.read_job(name, job)).get("status") == "completed"

    await fleet.until(completed)
    found = await fleet.read_job(name, job)
    assert found["request_counts"] == {"total": ITEMS, "completed": ITEMS, "failed": 0}
    lines = await fleet.read_file(name, found["output_file_id"])
    assert sorted(line["custom_id"] for line in lines) == [
        f"item-{n}" for n in range(ITEMS)
    ]


async def test_job_resent_after_its_host_was_lost(fleet):
    """Guards against an acknowledged job that is lost, or duplicated by a resend."""
    await fleet.start()
    plain = await fleet.submit("a", ITEMS)
    keyed = await fleet.submit("a", ITEMS, "night-1")
    assert plain[0] == keyed[0] == 200
    await fleet.kill("a")
    assert await fleet.submit("b", ITEMS) == plain
    sends = [fleet.submit(name, ITEMS, "night-1") for name in fleet.hosts]
    assert await asyncio.gather(*sends) == [keyed, keyed]
    assert len(fleet.platform.state.objects["jobs"]) == 2
    for _, job in (plain, keyed):
        await check_results(fleet, "b", job)
