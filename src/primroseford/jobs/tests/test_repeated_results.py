"""Segments that repeat an item, which no host should write."""

from __future__ import annotations

import pytest

from primroseford.ids import JobId
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.state import encode_result
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.store import segment_name
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import submit

FIRST = ItemResult(ItemId("it0"), ItemState.COMPLETE, "first")
SECOND = ItemResult(ItemId("it0"), ItemState.DEAD_LETTER)
OTHER = ItemResult(ItemId("it1"), ItemState.COMPLETE, "other")
UNKNOWN = ItemResult(ItemId("none"), ItemState.COMPLETE, "unknown")


@pytest.mark.parametrize(
    ("segments", "listed"),
    [
        ([[FIRST], [FIRST]], [FIRST]),
        ([[FIRST, FIRST]], [FIRST]),
        ([[FIRST], [SECOND]], [FIRST]),
        ([[FIRST], [SECOND, OTHER]], [FIRST, OTHER]),
        ([[FIRST], [UNKNOWN]], [FIRST]),
    ],
)
def test_repeated_result_counts_as_one_of_another_item(segments, listed):
    """Guards against a job that is finished although an item has no result.

    The first result of an item stays at its position; a repeat is not listed.
    """
    items = tuple(Item(ItemId(f"it{n}"), "/notes/x", {}, "", 1) for n in range(2))
    view = JobView(Job(JobId("job1"), None, "vans.example", "/notes/", 0.0, items))
    for segment in segments:
        view.append(segment)
    assert view.results == listed
    assert view.finished == (len(listed) == 2)
    assert view.waiting_tokens() == 2 - len(listed)
    assert view.segments == len(segments)
    assert view.segment_ends[-1] == len(listed)


async def test_stored_segment_that_repeats_an_item_ends_its_job(site):
    """Guards against a last item that nobody runs after a repeat in a segment."""
    for runner in site.runners:
        runner.faults.silent = True
    assert await submit(site, "job1", count=2) == 202
    jobs = service(site.hosts[0])
    for number in range(2):
        name = segment_name(JobId("job1"), number)
        content = {"results": [encode_result(FIRST)]}
        await jobs.store.client.create(SEGMENTS, name, content, purpose="job results")
    run = jobs.scheduler.runs["job1"]
    await jobs.store.refresh(run.view)
    for runner in site.runners:
        runner.faults.silent = False
    assert [r["id"] for r in await read_all(site, "job1")] == ["it0", "it1"]
    await site.until(lambda: not jobs.scheduler.runs)
