from __future__ import annotations

import asyncio

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.limiter import CallLimiter
from primroseford.platform.limiter import CallLimits
from primroseford.platform.limiter import Priority


class Timers:
    """Collects delayed calls and runs those that are due."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.entries = []

    def schedule(self, delay, callback) -> None:
        self.entries.append((self.clock() + delay, callback))

    async def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)
        due = [entry for entry in self.entries if entry[0] <= self.clock()]
        self.entries = [entry for entry in self.entries if entry not in due]
        for _, callback in due:
            callback()
        for _ in range(5):
            await asyncio.sleep(0)


@pytest.fixture
def timers(clock) -> Timers:
    return Timers(clock)


def build(timers: Timers, **limits: float) -> CallLimiter:
    return CallLimiter(CallLimits(**limits), timers.clock, timers.schedule)


async def start(limiter, priority, log):
    async def call() -> None:
        await limiter.acquire(priority)
        log.append(priority)

    task = asyncio.create_task(call())
    await asyncio.sleep(0)
    return task


async def test_claims_precede_waiting_bulk_calls(timers):
    """Guards against lease renewals that wait behind bulk calls."""
    limiter = build(timers, rate=1, burst=4, max_wait_seconds=100)
    log: list[Priority] = []
    tasks = [await start(limiter, Priority.BULK, log) for _ in range(4)]
    assert log == [Priority.BULK] * 2
    tasks += [await start(limiter, Priority.CLAIM, log) for _ in range(2)]
    tasks += [await start(limiter, Priority.READ, log)]
    assert log[2:] == [Priority.CLAIM] * 2
    for _ in range(2):
        await timers.advance(1.0)
    assert log[4:] == [Priority.READ]
    for _ in range(4):
        await timers.advance(1.0)
    assert log[5:] == [Priority.BULK] * 2
    await asyncio.gather(*tasks)


async def test_claim_does_not_wait_for_a_bulk_calls_refill(timers):
    """Guards against a claim that waits until a queued bulk call can be granted."""
    limiter = build(timers, rate=1, burst=8, max_wait_seconds=100)
    log: list[Priority] = []
    for _ in range(8):
        await limiter.acquire(Priority.CLAIM)
    bulk = await start(limiter, Priority.BULK, log)
    claim = await start(limiter, Priority.CLAIM, log)
    await timers.advance(1.0)
    assert log == [Priority.CLAIM]
    for task in (bulk, claim):
        task.cancel()


async def test_rate_is_enforced(timers):
    """Guards against a host that exceeds its rate of calls."""
    limiter = build(timers, rate=10, burst=5, max_wait_seconds=100)
    log: list[Priority] = []
    tasks = [await start(limiter, Priority.CLAIM, log) for _ in range(30)]
    assert len(log) == 5
    for _ in range(10):
        await timers.advance(0.1)
    assert 14 <= len(log) <= 15
    for task in tasks:
        task.cancel()


@pytest.mark.parametrize("limits", [{"max_waiting": 0}, {"max_wait_seconds": 0.5}])
async def test_waits_are_bounded(timers, limits):
    """Guards against an unbounded queue or wait."""
    limiter = build(timers, rate=0.1, burst=1, **limits)
    await limiter.acquire(Priority.CLAIM)
    task = asyncio.create_task(limiter.acquire(Priority.CLAIM))
    await asyncio.sleep(0)
    await timers.advance(0.6)
    with pytest.raises(PrimrosefordError) as caught:
        await task
    assert caught.value.code is ResultCode.CALLS_LIMITED


async def test_cancelled_wait_uses_no_token(timers):
    """Guards against tokens that are used for cancelled calls."""
    limiter = build(timers, rate=1, burst=1)
    log: list[Priority] = []
    await limiter.acquire(Priority.CLAIM)
    first = await start(limiter, Priority.CLAIM, log)
    second = await start(limiter, Priority.CLAIM, log)
    first.cancel()
    await timers.advance(1.0)
    await second
    assert len(log) == 1
