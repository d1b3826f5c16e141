"""Hosts that were cut off or stood still while runners of a new version joined."""

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

OUT_OF_STEP = 2
"""Number of the host that is cut off; the two others stay in touch."""


async def create_site(create_versions_site):
    """Return a site of three hosts and the last one's own view of the store."""
    site = await create_versions_site(("v1", "v1"), 2, **FIELDS)
    view = await site.add_view()
    await site.add_host(platform=view.url)
    for host in site.hosts:
        members = host.gateway.members
        await site.until(lambda m=members, h=host: len(m.live(h.clock())) == 2)
    return site, view


async def add_new_version(site) -> None:
    """Let runners of a new version join; the hosts in touch prefer them."""
    for name in ("i-3", "i-4"):
        await site.add_runner(name, version="v2", **FIELDS)
    for host in site.hosts[:OUT_OF_STEP]:
        runners = host.gateway.allocator.runners
        await site.until(lambda known=runners: len(known) == 4)
    load_runners(site, "v1")


async def read_killed_stream(site) -> CallerStream:
    """Begin a stream of v2 at the first host, and kill the host at its second event."""
    tasks: list[asyncio.Task] = []

    def kill(_) -> None:
        tasks.append(site.create_kill(0))

    stream = await read_stream(
        site.session, host_urls(site)[:1], "/pick/x", "s", 1, at_event(2, kill)
    )
    await tasks[0]
    assert stream.versions == ["v2"] and not stream.complete
    return stream


@pytest.mark.parametrize("names_begin", [True, False], ids=["begin named", "not named"])
@pytest.mark.parametrize(
    ("cut_seconds", "is_back"),
    [(0.0, False), (1.5, False), (1.5, True), (4.0, False), (4.0, True)],
    ids=[
        "cut off just now",
        "cut off",
        "just back",
        "cut off for long",
        "just back after long",
    ],
)
async def test_host_out_of_step_continues_a_stream_at_another_version(
    create_versions_site, cut_seconds, is_back, names_begin
):
    """Guards against a stream of a version that the host has not heard of.

    The host that began the stream is killed. A host that is just back has the state of
    one that stood still.
    """
    site, view = await create_site(create_versions_site)
    site.cut_off(OUT_OF_STEP, view)
    await add_new_version(site)
    await asyncio.sleep(cut_seconds)
    stream = await read_killed_stream(site)
    if not names_begin:
        stream.began = ""
    if is_back:
        site.reconnect(view)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(
            site.session, host_urls(site)[OUT_OF_STEP], "/pick/x", "s.1", stream
        )
    assert stream.versions == ["v2"]
    if stream.statuses[-1] == 200:
        assert_whole(stream)
    else:
        assert stream.statuses[-1] == 503 and float(stream.retry_after) > 0


@pytest.mark.parametrize("cut_seconds", [0.5, 1.5, 4.0])
async def test_host_that_is_back_refuses_a_stream_that_it_could_serve(
    create_versions_site, cut_seconds
):
    """Guards against a refusal for want of runners that the others have listed."""
    site, view = await create_site(create_versions_site)
    site.cut_off(OUT_OF_STEP, view)
    await add_new_version(site)
    await asyncio.sleep(cut_seconds)
    stream = await read_killed_stream(site)
    site.reconnect(view)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(
            site.session, host_urls(site)[OUT_OF_STEP], "/pick/x", "s.1", stream
        )
    assert_whole(stream)


@pytest.mark.parametrize("cut_seconds", [2.5, 6.0])
async def test_host_out_of_step_misses_a_version_that_has_left(
    create_versions_site, cut_seconds
):
    """Guards against a stream of a version that came and went while the host was cut.

    The caller does not name the request that began it.
    """
    site, view = await create_site(create_versions_site)
    site.cut_off(OUT_OF_STEP, view)
    await add_new_version(site)
    stream = await read_killed_stream(site)
    stream.began = ""
    for runner in site.runners[2:]:
        site.remove_runner(runner)
    await asyncio.sleep(cut_seconds)
    site.reconnect(view)
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(
            site.session, host_urls(site)[OUT_OF_STEP], "/pick/x", "s.1", stream
        )
    assert stream.statuses[-1] == 503 and stream.versions == ["v2"]


async def test_host_out_of_step_knows_an_earlier_attempt_only(create_versions_site):
    """Guards against the version of an attempt that did not begin the stream.

    The host hears of the first attempt, at v1, is cut off, and misses that the second
    one, at v2, brings the first event.
    """
    site, view = await create_site(create_versions_site)
    await add_new_version(site)
    allocator = site.hosts[0].gateway.allocator
    last = site.hosts[OUT_OF_STEP].gateway
    await site.until(lambda: len(last.allocator.runners) == 4)
    for name in ("i-3", "i-4"):
        allocator.runners[name].online += 2
    for runner in site.runners[:2]:
        runner.faults.silent = True
    begun = asyncio.create_task(read_killed_stream(site))
    await site.until(lambda: site.runners[0].received or site.runners[1].received)
    await asyncio.sleep(0.05)
    site.cut_off(OUT_OF_STEP, view)
    load_runners(site, "v1", 3)
    for runner in site.runners[:2]:
        runner.faults.silent = False
        for transport in list(runner.transports):
            transport.abort()
    stream = await begun
    async with asyncio.timeout(AT_ONCE_SECONDS):
        await send_try(
            site.session, host_urls(site)[OUT_OF_STEP], "/pick/x", "s.1", stream
        )
    assert stream.versions == ["v2"]


async def test_host_out_of_step_begins_a_stream_at_a_runner_that_came_back(
    create_versions_site,
):
    """Guards against a stream that is recorded with the version of an old entry.

    The runner has registered as another version, and breaks the stream off.
    """
    site, view = await create_site(create_versions_site)
    site.cut_off(OUT_OF_STEP, view)
    back = await site.restart_unlisted("i-1", version="v2", **FIELDS)
    site.register(back)
    gateway = site.hosts[OUT_OF_STEP].gateway
    await site.until(lambda: not gateway.members.live(gateway.clock()))
    gateway.allocator.runners["i-2"].online += 2
    back.faults.cut_after, back.faults.cuts = 3, 1
    url = host_urls(site)[OUT_OF_STEP]
    async with asyncio.timeout(AT_ONCE_SECONDS):
        stream = await read_stream(site.session, [url], "/pick/x", "s", 1)
    assert len(stream.versions) == 1
