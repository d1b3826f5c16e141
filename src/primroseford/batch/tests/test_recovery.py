from __future__ import annotations

import asyncio

import pytest

from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import JOBS
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import check_complete
from primroseford.batch.tests.fleet import raise_unavailable
from primroseford.batch.tests.fleet import started
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode


async def test_job_is_resent_through_other_hosts_after_a_loss():
    """Guards against an acknowledged job lost or duplicated when its host fails."""
    fleet = Fleet()
    name = await fleet.accept(20)
    lost = fleet.host("lost")
    await lost.refresh()
    lost.start()
    await lost.kill()
    fleet.live.discard("lost")
    again = await asyncio.gather(*(fleet.accept(20) for _ in range(3)))
    assert set(again) == {name}
    hosts = [await started(fleet, host) for host in ("b", "c")]
    await fleet.until_state(name, "completed")
    for host in hosts:
        await host.feeder.stop()
    await check_complete(fleet, name, 20)
    assert max(fleet.runner.runs.values()) == 1
    assert len(fleet.state.objects[JOBS]) == len(fleet.state.objects["files"]) == 1


async def test_cancel_fails_in_an_outage_and_the_job_continues():
    """Guards against a cancellation that is acknowledged without being stored."""
    fleet = Fleet()
    name = await fleet.accept(20)
    host = await started(fleet, "a")
    caller = fleet.store()
    caller.client.fault = lambda *_: raise_unavailable()
    with pytest.raises(PrimrosefordError) as caught:
        await caller.cancel("org-0", name)
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    with pytest.raises(PrimrosefordError) as caught:
        await fleet.store().cancel("org-0", name)
    assert caught.value.code is ResultCode.JOB_FINISHED


async def test_rate_limit_delays_items_and_fails_none():
    """Guards against items that fail because their organisation exceeds its rate."""
    fleet = Fleet()
    name = await fleet.accept(20)
    host = await started(fleet, "a")
    real_acquire, refused = host.limiter.acquire, 0

    async def acquire(*arguments, batch):
        nonlocal refused
        refused += 1
        if refused % 3:
            raise PrimrosefordError(ResultCode.RATE_LIMITED, "over the rate")
        return await real_acquire(*arguments, batch=batch)

    host.limiter.acquire = acquire
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    assert len(await fleet.results(name)) == 20
    assert host.limiter.acquired == 20


async def test_cancel_while_an_item_waits_for_its_token():
    """Guards against an item that is sent after its job was cancelled."""
    fleet = Fleet(repeatable=False)
    name = await fleet.accept(3)
    host = fleet.host("a")
    await host.refresh()
    real_acquire, requested, gate = (
        host.limiter.acquire,
        asyncio.Event(),
        asyncio.Event(),
    )

    async def acquire(*arguments, batch):
        requested.set()
        await gate.wait()
        return await real_acquire(*arguments, batch=batch)

    host.limiter.acquire = acquire
    host.start()
    await asyncio.wait_for(requested.wait(), 20.0)
    await fleet.store().cancel("org-0", name)
    host.feeder.context.index.end(name)
    gate.set()

    async def idle() -> bool:
        return not host.feeder.in_flight_items and not host.feeder.claimed_chunks

    await fleet.until(idle)
    await host.feeder.stop()
    assert not fleet.runner.runs
    assert host.limiter.acquired == host.limiter.refunded == 1
    codes = {r["error"]["code"] for r in await fleet.results(name, False)}
    assert codes == {str(int(ResultCode.JOB_CANCELLED))}


async def test_resent_put_that_conflicts_with_itself_keeps_the_claim():
    """Guards against a holder that drops its chunk after a conflict with its own write.

    An HTTP client resends a PUT, and the second one conflicts with the first.
    """
    fleet = Fleet(repeatable=False)
    name = await fleet.accept(5)
    host = fleet.host("a")
    await host.refresh()

    def fault(verb, kind, after):
        if after and verb == "update" and kind == CHUNK_STATES:
            raise PrimrosefordError(ResultCode.VERSION_CONFLICT, "changed")

    host.client.fault = fault
    host.start()
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    assert len(await fleet.results(name)) == 5
    await check_complete(fleet, name, 5)
