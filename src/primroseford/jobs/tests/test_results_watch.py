"""The watch of listed results before a stand-in of the platform's store."""

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
    """A running watch that somebody has asked for."""
    built = ResultsWatch(client, boottime)
    assert built.listed(JOB) is None
    await built.start()
    yield built
    await built.stop()


async def list_segment(client, number: int) -> None:
    """Create a segment."""
    name = segment_name(JOB, number)
    await client.create(SEGMENTS, name, {"results": []})


async def test_watch_counts_what_is_listed_since_it_began(client, watch, eventually):
    """Guards against results that no host hears of."""
    await list_segment(client, 0)
    await eventually(lambda: watch.listed(JOB) is not None)
    begun = watch.listed(JOB)
    assert begun.began_at >= begun.confirmed_at
    for number in (1, 2):
        await list_segment(client, number)
    created_at = boottime()
    await eventually(lambda: watch.listed(JOB).confirmed_at > created_at)
    assert watch.listed(JOB).segments == 3
    assert watch.listed(JobId("other")).segments == 0
    assert watch.listed(JOB).began_at == begun.began_at


@pytest.mark.parametrize(
    ("fault", "began_anew"),
    [("cut_watches", False), ("expire_watches", True)],
)
async def test_watch_goes_on_after_a_break(
    platform, client, watch, eventually, fault, began_anew
):
    """Guards against segments that are missed while a watch is broken."""
    await eventually(lambda: watch.listed(JOB) is not None)
    begun = watch.listed(JOB)
    setattr(platform.faults, fault, 1)
    await eventually(lambda: getattr(platform.faults, fault) == 0)
    await list_segment(client, 0)
    created_at = boottime()
    await eventually(
        lambda: watch.listed(JOB) and watch.listed(JOB).confirmed_at > created_at
    )
    found = watch.listed(JOB)
    assert (found.began_at > begun.began_at) == began_anew
    assert began_anew or found.segments == 1


async def test_watch_confirms_nothing_while_the_store_is_away(
    platform, watch, eventually
):
    """Guards against an old answer that passes for a new one."""
    await eventually(lambda: watch.listed(JOB) is not None)
    platform.faults.down = True
    away_at = boottime()
    await eventually(lambda: boottime() - away_at > 0.7)
    assert watch.listed(JOB).confirmed_at <= away_at


async def test_watch_ends_when_nobody_asks(watch, eventually, monkeypatch):
    """Guards against calls to the store for nobody."""
    await eventually(lambda: watch.listed(JOB) is not None)
    monkeypatch.setattr(results_watch, "IDLE_SECONDS", 0.0)
    await eventually(lambda: watch.version is None)


async def test_host_that_does_not_answer_tells_nothing(session, watch):
    """Guards against a read that fails with its question to another host."""
    read = create_segment_status_reader(session, watch, lambda: "http://127.0.0.1:9")
    assert await read(JOB) is None
