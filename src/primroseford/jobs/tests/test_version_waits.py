"""Items whose version has ready runners on which they cannot go on."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.jobs import versions as versions_module
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import submit
from primroseford.jobs.tests.test_software_versions import EVENTS
from primroseford.jobs.tests.test_software_versions import FIELDS
from primroseford.jobs.tests.test_software_versions import assert_whole
from primroseford.jobs.tests.test_software_versions import item_with_events
from primroseford.jobs.tests.test_software_versions import runs_of
from primroseford.jobs.waiting import WaitReason


async def test_item_waits_while_its_version_is_full(create_versions_site, monkeypatch):
    """Guards against a text that goes on at another version as its own is full.

    It waits for room, keeps its events, and then starts again from nothing.
    """
    monkeypatch.setattr(versions_module, "MAX_VERSION_WAIT_SECONDS", 1000.0)
    site = await create_versions_site(("v1", "v2"), **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    item, runner = await item_with_events(site)
    allocator = site.hosts[0].gateway.allocator
    state = allocator.runners[runner.name]
    state.online += state.entry.slots
    item.task.cancel()
    await site.until(lambda: item.version_full_since is not None)
    assert item.wait_reason is WaitReason.VERSION_FULL
    assert (item.version, item.starts) == (runner.version, 1)
    monkeypatch.setattr(versions_module, "MAX_VERSION_WAIT_SECONDS", 0.0)
    (result,) = await read_all(site, "job1")
    assert assert_whole(result) != runner.version
    assert "Last-Event-Id" not in runs_of(site, "it0")[-1].headers
    assert item.starts == 2 and len(item.data) == EVENTS


@pytest.mark.parametrize("cause", ["unreachable", "silent", "refuses"])
async def test_only_runner_of_a_version_stays_listed(create_versions_site, cause):
    """Guards against an item that is sent to a dead runner as long as it is listed."""
    site = await create_versions_site(("v1", "v2"), **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    if cause == "unreachable":
        runner.crash()
    else:
        setattr(runner.faults, "silent" if cause == "silent" else "refuse", True)
        for transport in list(runner.transports):
            transport.abort()
    async with asyncio.timeout(15):
        (result,) = await read_all(site, "job1")
    assert assert_whole(result) != runner.version
    assert "Last-Event-Id" not in runs_of(site, "it0")[-1].headers
