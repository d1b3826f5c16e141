from __future__ import annotations

import asyncio

import pytest

from primroseford.jobs import recorder
from primroseford.jobs.store import CHECKPOINTS
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submit
from primroseford.standins.fleet_runner import event_version
from primroseford.standins.fleet_runner import versioned_token

EVENTS = 100
FIELDS = {"events": EVENTS, "event_seconds": 0.02}
TWO_OF_EACH = ("v1", "v1", "v2", "v2")
LOADED_SLOTS = 2
"""Slots that requests of the last host use on the runners of a version, out of
eight."""


def assert_whole(result: dict) -> str:
    """Check that a text is whole and of one version; return the version."""
    assert result["state"] == "complete"
    lines = result["text"].split("\n")
    version = event_version(lines[0])
    assert {event_version(line) for line in lines} == {version}
    token = versioned_token("token", version)
    assert lines == [f"{token} {number}" for number in range(1, EVENTS + 1)]
    return version


def load_runners(site, version: str) -> None:
    """Reserve slots on all runners of a version at the last host.

    The least loaded runners are then those of the other versions.
    """
    allocator = site.hosts[-1].gateway.allocator
    for runner in site.runners:
        if runner.version == version:
            allocator.runners[runner.name].online += LOADED_SLOTS


async def item_with_events(site, count: int = 10):
    """Wait for an item with events and return it and its runner."""
    run = service(site.hosts[0]).scheduler.runs["job1"]
    await site.until(lambda: any(len(item.data) >= count for item in run.running))
    item = next(item for item in run.running if len(item.data) >= count)
    return item, next(r for r in site.runners if r.name == item.runner)


def runs_of(site, item: str) -> list:
    """Return the runs of an item at the present runners."""
    runs = [run for r in site.runners for run in r.received if run.request_id == item]
    return sorted(runs, key=lambda run: run.at)


@pytest.mark.parametrize("cause", ["crashed", "restarted as another version"])
@pytest.mark.parametrize("count", [1, 6])
async def test_text_after_a_crash_is_of_one_version(create_versions_site, count, cause):
    """Guards against a text with events of two versions after a runner crashed."""
    site = await create_versions_site(TWO_OF_EACH, **FIELDS)
    assert await submit(site, "job1", count=count) == 202
    _, runner = await item_with_events(site)
    load_runners(site, runner.version)
    if cause == "crashed":
        runner.crash()
    else:
        other = "v2" if runner.version == "v1" else "v1"
        await site.restart_runner(runner.name, version=other, **FIELDS)
    for result in await read_all(site, "job1"):
        assert_whole(result)


@pytest.mark.parametrize("cause", ["planned stop", "killed"])
async def test_text_of_a_job_that_is_taken_over_is_of_one_version(
    create_versions_site, monkeypatch, cause
):
    """Guards against a text with events of two versions after a takeover.

    A host that stops hands its progress over; that of a killed host is in a checkpoint.
    """
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    site = await create_versions_site(TWO_OF_EACH, 2, **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    await site.until(lambda: stored(site, CHECKPOINTS))
    load_runners(site, runner.version)
    if cause == "killed":
        await site.kill_host(0)
    else:
        site.hosts[0].gateway.stopping = True
    (result,) = await read_all(site, "job1", host=1)
    assert assert_whole(result) == runner.version
    assert "Last-Event-Id" in runs_of(site, "it0")[-1].headers


@pytest.mark.parametrize("cause", ["planned stop", "killed"])
async def test_item_whose_version_is_gone_at_a_takeover_starts_again(
    create_versions_site, monkeypatch, cause
):
    """Guards against progress of one version that a host resumes at another."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    site = await create_versions_site(("v1",), 2, **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    await site.until(lambda: stored(site, CHECKPOINTS))
    if cause == "killed":
        await site.kill_host(0)
    else:
        site.hosts[0].gateway.stopping = True
    site.remove_runner(runner)
    await site.add_runner("i-2", version="v2", **FIELDS)
    (result,) = await read_all(site, "job1", host=1)
    assert assert_whole(result) == "v2"


@pytest.mark.parametrize("at_event", [1, 10])
async def test_item_whose_version_is_gone_starts_again(create_versions_site, at_event):
    """Guards against a text that goes on at another version, and a lost item."""
    site = await create_versions_site(("v1", "v2"), **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site, at_event)
    site.remove_runner(runner)
    async with asyncio.timeout(15):
        (result,) = await read_all(site, "job1")
    assert assert_whole(result) != runner.version
    assert "Last-Event-Id" not in runs_of(site, "it0")[-1].headers
