"""Requests that a host accepted before the edit that drains a runner."""

from __future__ import annotations

import asyncio

from primroseford.online.tests.conftest import until

REQUESTS = 12
HEDGED = {"repeatable": True, "hedge_after_seconds": 0.5}


class WaitingLimiter:
    """Limiter that grants no token until ``open`` is set."""

    def __init__(self):
        self.waiting = 0
        self.open = asyncio.Event()

    async def acquire(self, organisation, amount, deadline, batch=False):
        self.waiting += 1
        await self.open.wait()


def drain(rig, number):
    rig.pool["runners"][number]["state"] = "leaving"
    rig.apply()


def received(rig, number):
    return len(rig.engines[number].state.seen_headers)


async def send(rig):
    async with rig.post() as answer:
        await answer.read()
        return answer.status


async def test_request_that_waited_for_a_token_reaches_a_drained_runner(rig):
    """Guards against the pool of the request's arrival in place of the one in force."""
    limiter = WaitingLimiter()
    await rig.start(2, limiter=limiter)
    tasks = [asyncio.create_task(send(rig)) for _ in range(REQUESTS)]
    await until(lambda: limiter.waiting == REQUESTS)
    drain(rig, 0)
    limiter.open.set()
    assert await asyncio.gather(*tasks) == [200] * REQUESTS
    assert received(rig, 0) == 0


async def start_on_both_runners(rig, route):
    """Send requests that both of two runners hold; drain the first runner.

    :returns: the tasks, and the number of requests that the drained runner has
    """
    await rig.start(2, route=route)
    for engine in rig.engines:
        engine.faults.hold_at_token = 0
    tasks = [asyncio.create_task(send(rig)) for _ in range(REQUESTS)]
    await until(lambda: received(rig, 0) + received(rig, 1) == REQUESTS)
    before = received(rig, 0)
    assert 0 < before < REQUESTS
    drain(rig, 0)
    return tasks, before


async def cancel_all(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_retry_reaches_a_runner_drained_since_the_first_attempt(rig):
    """Guards against a retry by the pool of the request's arrival."""
    tasks, before = await start_on_both_runners(rig, {"repeatable": True})
    faults = rig.engines[1].faults
    faults.cut_after_tokens, faults.hold_at_token = 0, -1
    await until(lambda: received(rig, 0) + received(rig, 1) > REQUESTS)
    faults.cut_after_tokens = -1
    await until(
        lambda: (
            received(rig, 0) > before
            or sum(task.done() for task in tasks) == REQUESTS - before
        )
    )
    assert received(rig, 0) == before
    await cancel_all(tasks)


async def test_hedge_reaches_a_runner_drained_since_the_first_attempt(rig):
    """Guards against a hedged attempt by the pool of the request's arrival."""
    tasks, before = await start_on_both_runners(rig, HEDGED)
    # The requests of the drained runner are sent to the other one as well.
    await until(lambda: received(rig, 1) > REQUESTS - before)
    await asyncio.sleep(HEDGED["hedge_after_seconds"])
    assert received(rig, 0) == before
    await cancel_all(tasks)
