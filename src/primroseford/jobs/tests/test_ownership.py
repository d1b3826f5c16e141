"""Decides which host runs a job, right after the start of a host."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from primroseford.gateway.members import Members
from primroseford.ids import HostId
from primroseford.jobs.ownership import FIRST_SCAN_DELAY_SECONDS
from primroseford.jobs.ownership import JobOwnership


class CountingStore:
    """Store without jobs that counts its scans."""

    def __init__(self):
        self.scans = 0

    async def list_jobs(self):
        self.scans += 1
        return []


@pytest.mark.parametrize(
    ("age", "scans"),
    [
        (0.0, 0),
        (FIRST_SCAN_DELAY_SECONDS - 0.1, 0),
        (FIRST_SCAN_DELAY_SECONDS + 0.1, 1),
    ],
)
async def test_started_host_takes_over_jobs_before_it_has_heard_from_others(
    clock, age, scans
):
    """Guards against a job that two hosts run, since one has just started.

    A host that has heard from no other host counts itself as the scanner.
    """
    store = CountingStore()
    gateway = SimpleNamespace(
        clock=clock, stopping=False, members=Members(HostId("host-1"))
    )
    views = SimpleNamespace(views={})
    scheduler = SimpleNamespace(runs={})
    ownership = JobOwnership(gateway, store, None, views, scheduler, 120.0)
    clock.advance(age)
    await ownership.reconcile()
    assert store.scans == scans
