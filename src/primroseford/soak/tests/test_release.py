"""Hosts in separate processes, one of which misses that a new version joins."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from primroseford.proof.resuming_caller import CallerStream
from primroseford.proof.resuming_caller import read_stream
from primroseford.soak.fleet import SoakFleet
from primroseford.soak.plan import LinkFault

START_SECONDS = 30.0
OUT_OF_STEP_SECONDS = 2.0
"""Time for which a host is out of step before streams begin."""
BEGIN_SECONDS = 0.35
"""Time in which streams get their first events, a third of their duration."""
STREAMS = 16
"""One for each slot of the runners of the new version."""
READY_POLL_SECONDS = 0.1
TRIES = 4


async def wait_until_ready(session: aiohttp.ClientSession, fleet: SoakFleet) -> None:
    """Wait until all hosts are ready."""
    async with asyncio.timeout(START_SECONDS):
        for host in fleet.hosts:
            while True:
                try:
                    async with session.get(host.readiness) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    # The host does not listen yet.
                    pass
                await asyncio.sleep(READY_POLL_SECONDS)


def hide_begin(stream: CallerStream) -> None:
    """Let the caller not name the request that began its stream."""
    stream.began = ""


async def read_streams_of_release(
    session: aiohttp.ClientSession, fleet: SoakFleet, out_of_step: str, named: bool
) -> list[CallerStream]:
    """Begin streams at a new version, kill their host, and resume them at another.

    :param out_of_step: what the other host is while the version joins: ``paused`` or
        ``cut off`` from the store
    :param named: whether callers name the request that began their stream
    """
    first, _, last = fleet.hosts
    if out_of_step == "paused":
        last.pause()
    else:
        fleet.store_links[2].set_fault(LinkFault.SILENT)
    for runner in fleet.runners:
        runner.proxy.set_fault(LinkFault.RESET)
    for _ in range(2):
        await fleet.add_runner("v2")
    await asyncio.sleep(OUT_OF_STEP_SECONDS)
    urls = [first.ingress, last.ingress, last.ingress, last.ingress]
    tasks = [
        asyncio.create_task(
            read_stream(
                session,
                urls,
                "/pick/x",
                f"s{number}",
                TRIES,
                (lambda stream: None) if named else hide_begin,
            )
        )
        for number in range(STREAMS)
    ]
    await asyncio.sleep(BEGIN_SECONDS)
    await first.kill()
    for runner in fleet.runners[:2]:
        runner.proxy.set_fault(LinkFault.NONE)
    last.resume()
    return await asyncio.gather(*tasks)


@pytest.mark.parametrize("named", [True, False], ids=["begin named", "not named"])
@pytest.mark.parametrize("out_of_step", ["paused", "cut off"])
async def test_streams_of_a_release_go_on_at_the_old_version(
    tmp_path, out_of_step, named
):
    """Guards against a host that goes by the versions it knew before the release."""
    fleet = SoakFleet(tmp_path)
    try:
        await fleet.start(3, 2, "v1")
        async with aiohttp.ClientSession() as session:
            await wait_until_ready(session, fleet)
            streams = await read_streams_of_release(session, fleet, out_of_step, named)
    finally:
        await fleet.stop()
    begun = [stream for stream in streams if stream.events]
    assert len(begun) > STREAMS / 2
    assert [stream.versions for stream in begun] == [["v2"]] * len(begun)
    if named and out_of_step == "paused":
        assert all(stream.complete for stream in begun)
