"""Log lines from which an operator learns why an accepted item is not started."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from structlog.testing import capture_logs

from primroseford.gateway.members import Members
from primroseford.gateway.state import GatewayMetrics
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs.ownership import ORPHAN_GRACE_SECONDS
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.run import ItemRun
from primroseford.jobs.run import JobRun
from primroseford.jobs.scheduler import JobScheduler
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Job
from primroseford.jobs.state import JobView
from primroseford.jobs.waiting import LONG_WAIT_SECONDS
from primroseford.jobs.waiting import MAX_WAIT_LINES
from primroseford.jobs.waiting import WaitLog
from primroseford.jobs.waiting import WaitReason
from primroseford.metrics import Metrics


def create_run(clock, items: int = 3) -> JobRun:
    """Return a job whose items all wait."""
    listed = tuple(Item(f"it{n}", f"/notes/it{n}", {}, "", 1) for n in range(items))
    job = Job(JobId("job1"), None, "vans.example", "/notes/", 0.0, listed)
    waiting = [ItemRun(job, item, 0.0, waiting_since=clock()) for item in listed]
    return JobRun(JobView(job), waiting)


def create_gateway(clock, **fields) -> SimpleNamespace:
    """Return the part of a gateway that logs and metrics need."""
    metrics = GatewayMetrics(Metrics())
    return SimpleNamespace(clock=clock, metrics=metrics, **fields)


@pytest.mark.parametrize("reason", list(WaitReason))
def test_item_that_waits_leaves_no_log_line(clock, reason):
    """Guards against an item that waits for ever without a line that says why."""
    run = create_run(clock, items=1)
    run.waiting[0].wait_reason = reason
    gateway = create_gateway(clock)
    wait_log = WaitLog(gateway)
    lines = []
    for _ in range(30):
        clock.advance(0.5)
        with capture_logs() as logs:
            wait_log.write([run])
        lines += [line for line in logs if line["event"] == "item waits"]
    assert {(line["item"], line["reason"]) for line in lines} == {("it0", reason.value)}
    assert 2 <= len(lines) <= 15.0 / LONG_WAIT_SECONDS
    gauge = gateway.metrics.waiting_items.labels(reason.value)
    assert gauge._value.get() == 1


def test_items_that_wait_flood_the_log(clock):
    """Guards against a line per item and interval under overload."""
    run = create_run(clock, items=200)
    wait_log = WaitLog(create_gateway(clock))
    clock.advance(LONG_WAIT_SECONDS)
    with capture_logs() as logs:
        for _ in range(20):
            clock.advance(0.05)
            wait_log.write([run])
    assert len(logs) == MAX_WAIT_LINES
    assert {line["others"] for line in logs} == {199}


def test_item_in_no_list_of_its_job_leaves_no_log_line(clock):
    """Guards against an item that its owner has lost, which no line would name."""
    run = create_run(clock)
    lost, committed, finished = run.waiting
    run.waiting.clear()
    run.finished.append(finished)
    run.view.append([ItemResult(committed.item.id, ItemState.COMPLETE)])
    with capture_logs() as logs:
        WaitLog(create_gateway(clock)).write([run])
    assert [(line["job"], line["items"]) for line in logs] == [
        ("job1", [lost.item.id]),
    ]


@pytest.mark.parametrize(
    ("stopping", "tables", "reason"),
    [
        (True, object(), WaitReason.HOST_STOPPING),
        (False, None, WaitReason.NO_CONFIGURATION),
        (False, object(), WaitReason.RETRY_DELAY),
    ],
)
def test_item_is_not_started_for_an_unknown_reason(clock, stopping, tables, reason):
    """Guards against obstacles that ``start_items`` passes over without a word."""
    gateway = create_gateway(
        clock,
        stopping=stopping,
        tables=tables,
        members=Members(HostId("host-1")),
        request_limiter=None,
    )
    scheduler = JobScheduler(gateway, None)
    run = create_run(clock, items=1)
    item = run.waiting[0]
    item.not_before = clock() + 1.0
    item.waiting_since = None
    scheduler.runs[JobId("job1")] = run
    scheduler.start_items()
    assert item.wait_reason is reason
    assert item.waiting_since == clock()


async def test_job_without_a_host_leaves_no_log_line(clock):
    """Guards against a job that waits for a host that never takes it over.

    The other hosts know the job, and must say whom they wait for.
    """
    members = Members(HostId("host-1"))
    members.orphaned.add(JobId("job1"))
    gateway = create_gateway(clock, configured=True, stopping=False, members=members)
    views = SimpleNamespace(views={}, is_ended=lambda job: False)
    scheduler = SimpleNamespace(runs={})
    ownership = JobOwnership(gateway, None, None, views, scheduler, 120.0)
    ownership._should_take_over = lambda *_: False
    await ownership.reconcile()
    clock.advance(ORPHAN_GRACE_SECONDS)
    with capture_logs() as logs:
        await ownership.reconcile()
    (line,) = logs
    assert (line["job"], line["preferred"], line["count"]) == ("job1", "host-1", 1)
