"""Tests of the segment watch against a stand-in of the platform's store."""

from __future__ import annotations

import pytest

from primroseford.clock import boottime
from primroseford.ids import JobId
from primroseford.jobs import results_watch
from primroseford.jobs.results_watch import ResultsWatch
from primroseford.jobs.results_watch import create_segment_status_reader
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.store import segment_name

JOB = JobId("job1")


@pytest.fixture
async def watch(client):
    """A running watch with a pending status request."""
    built = ResultsWatch(client, boottime)
    assert built.status(JOB) is None
    await built.start()
    yield built
    await built.stop()


async def create_segment(client, number: int) -> None:
    """Create an empty result segment."""
    name = segment_name(JOB, number)
    await client.create(SEGMENTS, name, {"results": []})


async def test_watch_counts_segments_created_since_its_start(client, watch, eventually):
    """Guards against segments that the watch misses."""
    await create_segment(client, 0)
    await eventually(lambda: watch.status(JOB) is not None)
    started = watch.status(JOB)
    assert started.watched_since >= started.confirmed_at
    for number in (1, 2):
        await create_segment(client, number)
    created_at = boottime()
    await eventually(lambda: watch.status(JOB).confirmed_at > created_at)
    assert watch.status(JOB).segments == 3
    assert watch.status(JobId("other")).segments == 0
    assert watch.status(JOB).watched_since == started.watched_since


@pytest.mark.parametrize(
    ("fault", "restarts"),
    [("cut_watches", False), ("expire_watches", True)],
)
async def test_watch_recovers_from_a_fault(
    platform, client, watch, eventually, fault, restarts
):
    """Guards against segments that are missed while a watch is interrupted."""
    await eventually(lambda: watch.status(JOB) is not None)
    started = watch.status(JOB)
    setattr(platform.faults, fault, 1)
    await eventually(lambda: getattr(platform.faults, fault) == 0)
    await create_segment(client, 0)
    created_at = boottime()
    await eventually(
        lambda: watch.status(JOB) and watch.status(JOB).confirmed_at > created_at
    )
    found = watch.status(JOB)
    assert (found.watched_since > started.watched_since) == restarts
    assert restarts or found.segments == 1


async def test_watch_confirms_nothing_while_the_store_is_down(
    platform, watch, eventually
):
    """Guards against an old confirmation that is treated as new."""
    await eventually(lambda: watch.status(JOB) is not None)
    platform.faults.down = True
    down_at = boottime()
    await eventually(lambda: boottime() - down_at > 0.7)
    assert watch.status(JOB).confirmed_at <= down_at


async def test_watch_stops_without_requests(watch, eventually, monkeypatch):
    """Guards against watch calls to the store without demand."""
    await eventually(lambda: watch.status(JOB) is not None)
    monkeypatch.setattr(results_watch, "IDLE_SECONDS", 0.0)
    await eventually(lambda: watch.version is None)


async def test_unreachable_watch_host_yields_no_status(session, watch):
    """Guards against a read that fails because another host is unreachable."""
    read = create_segment_status_reader(session, watch, lambda: "http://127.0.0.1:9")
    assert await read(JOB) is None


@pytest.mark.parametrize("name", ["foreign", "job1.", "job1.x", ".", "job1.1.x"])
async def test_watch_ends_at_a_foreign_name(client, watch, eventually, name):
    """Guards against reads that no watch confirms, since one object ended it."""
    await eventually(lambda: watch.status(JOB) is not None)
    await client.create(SEGMENTS, name, {"results": []})
    await create_segment(client, 0)
    created_at = boottime()
    await eventually(lambda: watch.status(JOB).confirmed_at > created_at)
    assert watch.status(JOB).segments == 1
