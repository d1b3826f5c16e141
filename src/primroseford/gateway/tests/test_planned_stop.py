"""Requests that reach a host during its planned stop."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

LATE_SECONDS = 3.1
"""Time after the signal at which the host still listens, but would be gone before the
route's timeout of 5 s has passed."""


async def drain_with_request(site, path: str, seconds: float) -> int | type:
    """Stop a host, and send a request after a time that its runner never answers.

    :param seconds: time from the begin of the stop to the request; negative for a
        request before it
    :returns: status of the response, or the type of the error
    """
    for runner in site.runners:
        runner.faults.silent = True

    async def call() -> int | type:
        try:
            return (await site.call(path, "late", Deadline_Ms="60000"))[0]
        except aiohttp.ClientError as error:
            return type(error)

    pending = asyncio.create_task(call()) if seconds < 0 else None
    await asyncio.sleep(max(0.0, -seconds))

    async def stop() -> None:
        await site.hosts[0].drain()
        await site.hosts[0].stop()

    stopping = asyncio.create_task(stop())
    if pending is None:
        await asyncio.sleep(seconds)
        pending = asyncio.create_task(call())
    result = await pending
    await stopping
    return result


def sent(site) -> int:
    """Return how many requests have reached runners."""
    return sum(len(runner.received) for runner in site.runners)


@pytest.mark.parametrize("path", ["/once/whole", "/ping/whole", "/nudge/x"])
async def test_late_request_is_passed_on_and_cut_at_the_end_of_the_grace(site, path):
    """Guards against requests that the host is not sure to answer in time (LOST)."""
    assert await drain_with_request(site, path, LATE_SECONDS) == 503
    assert not sent(site)


@pytest.mark.parametrize("seconds", [-0.2, 0.5, 2.7])
async def test_open_request_is_cut_without_answer_at_the_end_of_the_grace(
    site, seconds
):
    """Guards against requests that end with their connection and no answer (LOST)."""
    assert await drain_with_request(site, "/once/whole", seconds) == 504
    assert sent(site) == 1


async def test_late_request_that_ends_in_time_is_refused(site):
    """Guards against refusals of requests for which there is time."""

    async def call() -> int:
        return (await site.call("/ping/whole", "late", Deadline_Ms="1000"))[0]

    stopping = asyncio.create_task(site.hosts[0].drain())
    await asyncio.sleep(LATE_SECONDS)
    assert await call() == 200
    await stopping
