"""Hosts that have started after others were lost, and streams that these began."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.gateway.tests.test_software_versions import AT_ONCE_SECONDS
from primroseford.gateway.tests.test_software_versions import FIELDS
from primroseford.gateway.tests.test_software_versions import assert_whole
from primroseford.gateway.tests.test_software_versions import at_event
from primroseford.gateway.tests.test_software_versions import host_urls
from primroseford.gateway.tests.test_software_versions import load_runners
from primroseford.proof.resuming_caller import CallerStream
from primroseford.proof.resuming_caller import read_stream
from primroseford.proof.resuming_caller import send_try
from primroseford.standins.fleet_objects import runner_entry

HOSTS = 6
LOST = 4
"""Hosts of six that are lost at once."""
STREAMS = 24
TRIES = 3
"""Requests that a caller sends to take its stream up, refused ones included."""


def crash(site, runner) -> None:
    """Crash a runner; its entry expires."""
    site.remove_runner(runner)


def lapse(site, runner) -> None:
    """Let the entry of a running runner expire, as in an outage of the store."""
    site.platform.state.delete("servers", runner.name, None)
    site.platform.announce()


def overwrite(site, runner) -> None:
    """Make the entry of a running runner unreadable, as another writer does."""
    site.put("servers", runner.name, runner_entry("127.0.0.1:1", slots="many"))


async def kill_all(site) -> None:
    """Kill all hosts at the same time."""
    await asyncio.gather(*(site.kill_host(n) for n in range(len(site.hosts))))


async def read_stream_until_hosts_are_lost(site) -> CallerStream:
    """Begin a stream at v2, and kill all hosts at its second event."""
    load_runners(site, "v1")
    tasks: list[asyncio.Task] = []

    def kill(_) -> None:
        tasks.append(asyncio.create_task(kill_all(site)))

    stream = await read_stream(
        site.session, host_urls(site)[:1], "/pick/x", "s", 1, at_event(2, kill)
    )
    await tasks[0]
    assert stream.versions == ["v2"] and not stream.complete
    return stream


@pytest.mark.parametrize("names_begin", [True, False], ids=["begin named", "not named"])
@pytest.mark.parametrize("leave", [crash, lapse, overwrite])
async def test_restarted_host_continues_a_stream_at_another_version(
    create_versions_site, leave, names_begin
):
    """Guards against a version that the runners of the new host's list suggest."""
    site = await create_versions_site(("v1", "v1", "v2"), 2, **FIELDS)
    stream = await read_stream_until_hosts_are_lost(site)
    if not names_begin:
        stream.began = ""
    leave(site, site.runners[2])
    host = await site.add_host(wait_ready=False)
    runners = host.gateway.allocator.runners
    await site.until(lambda: host.gateway.ready and len(runners) == 2)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(site.session, host_urls(site)[-1], "/pick/x", "s.1", stream)
    assert stream.versions == ["v2"]
    assert stream.statuses[-1] == 503 and float(stream.retry_after) > 0


async def take_up(site, number: int, stream: CallerStream) -> None:
    """Take a stream up at hosts that serve, the next one after each refusal."""
    urls = host_urls(site)[LOST:]
    for turn in range(TRIES):
        url = urls[(number + turn) % len(urls)]
        await send_try(
            site.session, url, f"/pick/{number}", f"s{number}.t{turn}", stream
        )
        if stream.complete:
            return


async def test_streams_of_lost_hosts_are_refused_for_want_of_a_record(
    create_versions_site,
):
    """Guards against refusals while hosts and runners of both versions are left."""
    site = await create_versions_site(("v1", "v1", "v2", "v2"), HOSTS, **FIELDS)
    urls = host_urls(site)
    begun = [0] * STREAMS
    streams = [
        asyncio.create_task(
            read_stream(
                site.session,
                [urls[number % LOST]],
                f"/pick/{number}",
                f"s{number}",
                1,
                lambda stream, n=number: begun.__setitem__(n, len(stream.events)),
            )
        )
        for number in range(STREAMS)
    ]
    await site.until(lambda: min(begun) >= 2)
    await asyncio.gather(*(site.kill_host(number) for number in range(LOST)))
    broken = await asyncio.gather(*streams)
    for _ in range(LOST):
        await site.add_host()
    await asyncio.gather(*(take_up(site, n, stream) for n, stream in enumerate(broken)))
    assert {len(stream.versions) for stream in broken} == {1}
    assert {stream.versions[0] for stream in broken} == {"v1", "v2"}
    for stream in broken:
        assert_whole(stream)
