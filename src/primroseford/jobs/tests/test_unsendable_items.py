"""Items that no HTTP client can send to a runner."""

from __future__ import annotations

import base64
import json
import time

import pytest
from structlog.testing import capture_logs

from primroseford.ids import JobId
from primroseford.jobs.abandonment import CLOCK_SKEW_SECONDS
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import submission
from primroseford.jobs.tests.test_jobs import submit
from primroseford.standins.fleet_objects import HOST


@pytest.mark.parametrize(
    "change",
    [
        {"headers": {"Model": "a\r\nb"}},
        {"headers": {"Mo del": "m"}},
        {"headers": {"Model": "\ud800"}},
        {"headers": {"Prompt-Prefix": "a:x, :,"}},
        {"path": "notes"},
        {"path": "\ud800"},
        {"path": "/\ud800"},
        {"path": "/notes/a b\r\n"},
        {"body": base64.b64encode(b"x" * 1000).decode()},
        {"id": "\ud800"},
    ],
    ids=repr,
)
async def test_item_that_cannot_be_sent_costs_other_items(site, change):
    """Guards against an item whose errors count against its runners."""
    jobs = service(site.hosts[0])
    items = json.loads(submission(count=1, prefix="bad"))["items"]
    body = json.dumps({"items": [items[0] | change]}).encode()
    with capture_logs() as logs:
        status, _, _ = await site.call("/notes/x", "bad", body=body)
        if status != 202:
            assert 400 <= status < 429
            return
        run = jobs.scheduler.runs.get("bad")
        (item,) = [*run.waiting, *run.running, *run.finished] or [None]
        await site.until(lambda: item.starts >= 3 or item.result)
        assert await submit(site, "good", count=4) == 202
        await site.until(lambda: "good" not in jobs.scheduler.runs)
    failed = [line for line in logs if line["event"] == "runner counts as failed"]
    assert failed == []
    assert len(jobs.views.views["good"].committed) == 4


async def test_item_that_cannot_be_sent_never_ends(site):
    """Guards against an item without an end at the time limit of its job."""
    jobs = service(site.hosts[0])
    item = Item(ItemId("bad"), "notes", {}, "", 1)
    route = jobs.gateway.tables.match(HOST, "/notes/")
    limit = route.abandon_after + CLOCK_SKEW_SECONDS
    job = Job(JobId("job1"), None, HOST, "/notes/", time.time() - limit + 1.0, (item,))
    view = jobs.views.cache(JobView(job))
    jobs.scheduler.start_job(view)
    await site.until(lambda: view.finished)
    assert [result.state for result in view.results] == [ItemState.DEAD_LETTER]
