from __future__ import annotations

import asyncio

import pytest

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.limits.bucket import Limit
from primroseford.limits.tests.fakes import LimiterFleet

LIMITS = {"small": Limit(5.0, 5.0), "large": Limit(200.0, 100.0, 20.0, 10.0)}


@pytest.fixture
async def fleet():
    """Return three limiters over loopback with full buckets."""
    fleet = LimiterFleet(LIMITS.get, groups=4)
    await fleet.start(3)
    await fleet.wait_for_grants(LIMITS)
    bucket_full = asyncio.Event()
    asyncio.get_running_loop().call_later(1.5, bucket_full.set)
    await bucket_full.wait()
    yield fleet
    await fleet.stop()


async def acquire(fleet, host, name, amount=1, batch=False):
    limiter = fleet.limiters[host]
    return await limiter.acquire(name, amount, boottime() + 10, batch)


async def test_skewed_burst_inside_the_limit_is_not_refused(fleet):
    """Guards against refusals inside the rate when one host gets all traffic."""
    await asyncio.gather(*(acquire(fleet, "h01", "large") for _ in range(100)))


async def test_shortage_is_refused_with_a_time_to_retry(fleet):
    """Guards against callers that wait forever or get no time to retry."""
    calls = (acquire(fleet, "h00", "small") for _ in range(40))
    results = await asyncio.gather(*calls, return_exceptions=True)
    errors = [r for r in results if isinstance(r, PrimrosefordError)]
    assert {e.code for e in errors} == {ResultCode.RATE_LIMITED}
    assert all(e.retry_after > 0 for e in errors)
    assert len(results) - len(errors) >= 5


@pytest.mark.parametrize(("name", "amount"), [("unknown", 1), ("small", 6)])
async def test_impossible_request_is_refused_at_once(fleet, name, amount):
    """Guards against a wait for tokens that can never be granted."""
    with pytest.raises(PrimrosefordError) as caught:
        await acquire(fleet, "h00", name, amount)
    assert caught.value.code is ResultCode.RATE_LIMITED


async def test_refunded_token_serves_another_request(fleet):
    """Guards against a rate used up by requests that did not run."""
    for _ in range(10):
        for permit in [await acquire(fleet, "h02", "small") for _ in range(5)]:
            permit.refund()
            permit.refund()


async def test_separate_batch_limit_does_not_use_online_tokens(fleet):
    """Guards against batch that uses online tokens although it has its own."""
    await asyncio.gather(
        *(acquire(fleet, "h01", "large", batch=True) for _ in range(10)),
        *(acquire(fleet, "h01", "large") for _ in range(100)),
    )


async def test_planned_stop_hands_over_without_refusals(fleet):
    """Guards against refused requests when an owner stops as planned."""
    name = fleet.owner_of("large")
    others = [host for host in fleet.limiters if host != name]
    await fleet.limiters[name].ownership.hand_over_all()
    await asyncio.gather(*(acquire(fleet, others[0], "large") for _ in range(50)))
    assert fleet.owner_of("large") in others


async def test_stop_ends_waiting_requests(fleet):
    """Guards against requests that hang when their host stops."""
    calls = [asyncio.create_task(acquire(fleet, "h00", "small", 5)) for _ in range(8)]
    await asyncio.sleep(0)
    await fleet.kill("h00")
    results = await asyncio.wait_for(asyncio.gather(*calls, return_exceptions=True), 10)
    codes = {r.code for r in results if isinstance(r, PrimrosefordError)}
    assert codes <= {ResultCode.HOST_STOPPING, ResultCode.RATE_LIMITED}
    assert ResultCode.HOST_STOPPING in codes
