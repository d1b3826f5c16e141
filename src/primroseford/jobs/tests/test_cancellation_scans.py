"""Which host looks for cancellations that no heartbeat has reported."""

from __future__ import annotations

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import Members
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs.cancellations import SCAN_INTERVAL_SHARE
from primroseford.jobs.cancellations import TURN_SECONDS
from primroseford.jobs.cancellations import JobCancellations
from primroseford.jobs.service import CANCELLATION_CHECK_SECONDS
from primroseford.jobs.service import JobService
from primroseford.jobs.tests.test_ownership import create_view
from primroseford.jobs.tests.test_scan_order import PEERS
from primroseford.jobs.tests.test_scan_order import STEP_SECONDS
from primroseford.jobs.tests.test_scan_order import ScanningHost
from primroseford.platform.settings import DEFAULT_CANCEL_SECONDS

MAX_SCAN_TURNS_SECONDS = 30.0
"""Generous bound on the turns of all hosts, each much longer than the limit."""
FRESH_SCAN = {"cancellation_scan_age_ms": 0}
"""Field of the heartbeats of a host that scans all the time."""


@pytest.mark.parametrize(
    ("beat", "seconds"),
    [
        ({"jobs_stalled": True}, DEFAULT_CANCEL_SECONDS),
        ({"reaches_store": False}, DEFAULT_CANCEL_SECONDS),
        ({"job_scan_age_ms": 0}, DEFAULT_CANCEL_SECONDS),
        ({}, DEFAULT_CANCEL_SECONDS),
        (FRESH_SCAN, MAX_SCAN_TURNS_SECONDS),
    ],
)
async def test_cancelled_job_runs_on_while_the_first_scanner_finds_nothing(
    clock, beat, seconds
):
    """Guards against items that start after their job has ended (UNASKED).

    The heartbeats of the hosts that are preferred as scanners go on. They find no
    cancellation: their calls fail, or they do not know the job.
    """
    host = ScanningHost(clock)
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    service.scheduler.runs = host.scheduler.runs
    service.scheduler.stop_job = host.stop_job
    service.views = host.views
    host.gateway.allocator = host.gateway

    async def cancelled_jobs() -> set[JobId]:
        return {JobId("mine")}

    host.store.cancelled_jobs = cancelled_jobs
    host.start_job(create_view("mine"), {})
    end = clock() + seconds
    while "mine" in host.scheduler.runs and clock() < end:
        for name in PEERS:
            host.report(host=name, beat={"reaches_store": True} | beat)
        await service.update_cancellations()
        clock.advance(STEP_SECONDS)
    assert "mine" not in host.scheduler.runs


@pytest.mark.parametrize(
    ("runs", "configured", "scans"),
    [(True, True, 5), (False, True, 0), (True, False, 0)],
)
async def test_cancellations_are_scanned_by_each_host(clock, runs, configured, scans):
    """Guards against a call of each host every 2 s: the last one waits for its turn."""
    host = ScanningHost(clock)
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    service.scheduler.runs = host.scheduler.runs
    host.gateway.configured = configured
    calls = []

    async def cancelled_jobs() -> set[JobId]:
        calls.append(clock())
        return set()

    host.store.cancelled_jobs = cancelled_jobs
    if runs:
        host.start_job(create_view("mine"), {})
    interval = SCAN_INTERVAL_SHARE * DEFAULT_CANCEL_SECONDS
    interval += len(PEERS) * TURN_SECONDS
    end = clock() + 5 * interval + 2.0
    while clock() < end:
        for name in PEERS:
            host.report(host=name, beat={"reaches_store": True} | FRESH_SCAN)
        await service.update_cancellations()
        clock.advance(STEP_SECONDS)
    assert len(calls) == scans


@pytest.mark.parametrize(
    ("outage", "scans"), [(0.4, 1), (0.7, 2), (DEFAULT_CANCEL_SECONDS, 3), (30.0, 20)]
)
async def test_scans_that_fail_are_repeated(clock, outage, scans):
    """Guards against a scan by each host every 0.1 s while the store is away.

    One call that fails must not delay the end of a job beyond its time.
    """
    host = ScanningHost(clock)
    service = JobService(host.gateway, host.store, None, None, 120.0, 1.0)
    service.ownership = host.ownership
    service.scheduler.runs = host.scheduler.runs
    host.start_job(create_view("mine"), {})
    calls = []

    async def fail() -> set[JobId]:
        calls.append(clock())
        raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "no response")

    host.store.cancelled_jobs = fail
    while not calls or clock() - calls[0] < outage:
        await service._find_cancellations()
        clock.advance(CANCELLATION_CHECK_SECONDS)
    assert len(calls) == scans


@pytest.mark.parametrize("cancel_seconds", [1.0, DEFAULT_CANCEL_SECONDS, 10.0])
@pytest.mark.parametrize("rank", [0, 1, 50])
def test_host_with_jobs_waits_for_a_scan_until_the_bound(cancel_seconds, rank):
    """Guards against a wait that does not follow the settings, or counts all hosts."""
    cancellations = JobCancellations(Members(HostId("host-1")), cancel_seconds)
    cancellations.observe(True, 0.0)
    assert not cancellations.is_scan_due(rank, 0.4 * cancel_seconds)
    assert cancellations.is_scan_due(rank, 0.8 * cancel_seconds)


def test_scans_stop_after_a_long_outage():
    """Guards against an error of each step once very many scans have failed."""
    cancellations = JobCancellations(Members(HostId("host-1")), DEFAULT_CANCEL_SECONDS)
    cancellations.observe(True, 0.0)
    for _ in range(5_000):
        cancellations.begin_scan(0.0)
    assert cancellations.is_scan_due(0, SCAN_INTERVAL_SHARE * DEFAULT_CANCEL_SECONDS)
