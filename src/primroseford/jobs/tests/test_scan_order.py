"""Which host scans all stored jobs for those that no host knows."""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import host_rank
from primroseford.ids import HostId
from primroseford.jobs.ownership import FALLBACK_SCAN_SECONDS
from primroseford.jobs.ownership import FALLBACK_TAKEOVER_SECONDS
from primroseford.jobs.ownership import SCAN_INTERVAL_SECONDS
from primroseford.jobs.ownership import SCANNER_ROLE
from primroseford.jobs.tests.test_ownership import FakeHost
from primroseford.jobs.tests.test_ownership import job_with_order

PEERS = ("host-4", "host-5")
"""Other hosts, which are preferred as scanners."""
STEP_SECONDS = 0.25


class ScanningHost(FakeHost):
    """A host that has made its first scan, and counts the further ones.

    :ivar scans: local times of its scans
    :ivar stored: names of the open jobs in the store
    :ivar reaches_store: whether this host reaches the store
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.scans: list[float] = []
        self.stored: list[str] = []
        self.reaches_store = True
        self.ownership.reaches_store = lambda: self.reaches_store
        self.ownership.first_scan_done = True
        self.ownership.complete_scan_at = clock()

    async def list_jobs(self) -> list:
        self.scans.append(self.clock())
        spec = {"submitted": time.time()}
        return [SimpleNamespace(name=n, spec=spec, status=None) for n in self.stored]

    async def run(self, seconds: float, **beat) -> None:
        """Run steps while the other hosts send heartbeats with these fields."""
        end = self.clock() + seconds
        while self.clock() < end:
            for name in PEERS:
                self.report(host=name, beat={"reaches_store": True} | beat)
            await self.reconcile()
            self.clock.advance(STEP_SECONDS)


@pytest.fixture
def host(clock):
    """A host that is the last one in the order of scanners."""
    assert host_rank(SCANNER_ROLE, HostId("host-1"), map(HostId, PEERS)) == 2
    return ScanningHost(clock)


@pytest.mark.parametrize(
    ("beat", "turns"),
    [
        ({}, 2),
        ({"jobs_stalled": True}, 0),
        ({"reaches_store": False}, 0),
        ({"leaving": True}, 0),
    ],
)
async def test_job_waits_for_a_scanner_that_does_nothing(clock, host, beat, turns):
    """Guards against a stored job that only a silent host would find."""
    started_at = clock()
    due = SCAN_INTERVAL_SECONDS + turns * FALLBACK_SCAN_SECONDS
    await host.run(due + 2 * STEP_SECONDS, **beat)
    (scan,) = host.scans
    assert due <= scan - started_at <= due + STEP_SECONDS


async def test_scan_of_another_host_is_repeated(clock, host):
    """Guards against a scan by each host of the fleet."""
    await host.run(60.0, job_scan_age_ms=int(SCAN_INTERVAL_SECONDS * 1000))
    assert not host.scans


async def test_host_without_the_store_scans_for_the_others(clock, host):
    """Guards against a scanner that waits for a store that others reach."""
    host.reaches_store = False
    await host.run(60.0)
    assert not host.scans
    await host.run(SCAN_INTERVAL_SECONDS, reaches_store=False)
    assert len(host.scans) == 1


async def test_failed_scan_counts_as_complete(clock, host):
    """Guards against hosts that wait for the scans of one that reads nothing."""

    async def fail() -> list:
        raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "no response")

    host.store.list_jobs = fail
    await host.run(30.0)
    assert host.ownership.scan_age(clock()) == 30.0
    host.store.list_jobs = host.list_jobs
    await host.run(SCAN_INTERVAL_SECONDS)
    assert host.ownership.scan_age(clock()) == clock() - host.scans[-1]
    await host.run(STEP_SECONDS, job_scan_age_ms=0)
    assert host.ownership.scan_age(clock()) is None


async def test_job_found_by_a_scan_waits_for_hosts_that_do_not_know_it(clock, host):
    """Guards against a job that only the scanner knows and leaves to the others."""
    job = job_with_order("host-4", "host-5", "host-1")
    host.stored.append(job)
    await host.run(SCAN_INTERVAL_SECONDS + 2 * FALLBACK_SCAN_SECONDS + STEP_SECONDS)
    assert len(host.scans) == 1 and not host.started
    await host.run(FALLBACK_TAKEOVER_SECONDS + 1.0, job_scan_age_ms=0)
    assert host.started == [job]
