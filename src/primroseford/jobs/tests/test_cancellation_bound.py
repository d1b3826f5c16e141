"""Hosts that are lost right after they have acknowledged a cancellation."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.members import MAX_AGE_MS
from primroseford.gateway.rendezvous import ranked
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.jobs.api import JobApi
from primroseford.jobs.ownership import SCANNER_ROLE
from primroseford.jobs.service import RECONCILE_SECONDS
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import Job
from primroseford.jobs.tests.test_ownership_machine import Process
from primroseford.platform.job_calls import JobCall
from primroseford.platform.job_calls import JobVerb

if TYPE_CHECKING:
    from types import SimpleNamespace

CANCEL_SECONDS = 3.0
"""Time in which a cancellation must take effect (``cancel_ms``)."""
STEP_SECONDS = 0.05
BEAT_SECONDS = 0.3
"""Interval between the heartbeats of a host whose state does not change."""
SETTLE_SECONDS = 7.0
"""Time in which the hosts hear of each other and of the job."""
NAMES = [f"host-{number}" for number in range(7)]
SCANNERS = ranked(SCANNER_ROLE, map(HostId, NAMES), str, len(NAMES))
"""The hosts in the order of scanners."""
SEEDS = range(12)
"""Offsets between the steps of the hosts and the time of the cancellation."""
JOB = JobId("job1")


class Fleet:
    """Hosts whose steps and heartbeats are spread over their intervals.

    :param seed: sets the offsets of the hosts
    :ivar old: whether the heartbeats lack the age of the last scan, as those of an
        earlier release
    """

    def __init__(self, clock, seed: int) -> None:
        self.clock = clock
        self.seed = seed
        self.started = 0
        self.old = False
        self.shared: dict[JobId, SimpleNamespace] = {}
        self.processes: dict[str, Process] = {}
        self.due: dict[str, tuple[float, float]] = {}
        self.starts: list[tuple[float, str]] = []
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        self.started += 1
        process = Process(name, self.started, self.shared, self.clock)
        process.service.announce = lambda: self.send(name)
        self.processes[name] = process
        place = (7 * self.seed + 3 * self.started) % 20 / 20
        now = self.clock()
        self.due[name] = now + place * RECONCILE_SECONDS, now + place * BEAT_SECONDS

    def kill(self, name: str, restart_after: float | None = None) -> None:
        """End a process; it starts again after a time in seconds, if any is given."""
        self.processes.pop(name, None)
        if restart_after is not None:
            self.starts.append((self.clock() + restart_after, name))

    def send(self, name: str) -> None:
        heartbeat = self.processes[name].heartbeat()
        if self.old:
            heartbeat.cancellation_scan_age_ms = MAX_AGE_MS
        for other, process in self.processes.items():
            if other != name:
                process.receive(heartbeat)

    async def step(self) -> None:
        self.clock.advance(STEP_SECONDS)
        now = self.clock()
        for at, name in [entry for entry in self.starts if entry[0] <= now]:
            self.starts.remove((at, name))
            self.start(name)
        for name, process in list(self.processes.items()):
            step_at, beat_at = self.due[name]
            if step_at <= now:
                await process.step()
                step_at += RECONCILE_SECONDS
            if beat_at <= now or process.gateway.allocator.changed:
                process.gateway.allocator.changed = False
                self.send(name)
                beat_at = now + BEAT_SECONDS
            self.due[name] = step_at, beat_at

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            await self.step()


async def run_on(fleet: Fleet, name: str) -> Process:
    """Submit a job to a host, and return its process."""
    items = tuple(Item(ItemId(f"it{n}"), "/x", {}, "", 0) for n in range(3))
    job = Job(JOB, None, "vans.example", "/", time.time(), items)
    process = fleet.processes[name]
    await process.service.accept(job, process.service.views.memory.reserve(job))
    return process


def kill_ending_host(restart_after: float | None = None):
    """Return a fault: the host that was called is killed, and perhaps starts again."""

    def fail(fleet: Fleet, ending: str) -> None:
        fleet.kill(ending, restart_after)

    return fail


def kill_next_scanner(fleet: Fleet, ending: str) -> None:
    """Kill the host that was called, and with it the host that would scan next."""
    fleet.kill(ending, 1.0)
    fleet.kill(next(name for name in SCANNERS if name != ending), 1.0)


def fail_scans(fleet: Fleet, ending: str) -> None:
    """Kill the host that was called, while the calls of the scanner fail."""
    fleet.kill(ending, 1.0)
    scanner = next(name for name in SCANNERS if name != ending)

    async def fail() -> set[JobId]:
        raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "no response")

    fleet.processes[scanner].store.cancelled_jobs = fail


def pause_scanner(fleet: Fleet, ending: str) -> None:
    """Kill the host that was called, while the scanner stands still."""
    fleet.kill(ending, 1.0)
    fleet.processes.pop(next(name for name in SCANNERS if name != ending))


FAULTS = {
    "lost": kill_ending_host(),
    "back after 1 s": kill_ending_host(1.0),
    "back before it counts as lost": kill_ending_host(0.3),
    "next scanner lost as well": kill_next_scanner,
    "scans of the next scanner fail": fail_scans,
    "next scanner stands still": pause_scanner,
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize(
    "old", [False, True], ids=["current peers", "peers of an earlier release"]
)
@pytest.mark.parametrize("ending_rank", [0, 1, 6])
async def test_items_start_after_the_host_that_acknowledged_the_end_was_killed(
    clock, fault, old, ending_rank
):
    """Guards against items that start over 3 s after the end of their job (UNASKED).

    The host that acknowledged the end is lost before its next heartbeat.
    """
    ending = SCANNERS[ending_rank]
    late = {}
    for seed in SEEDS:
        fleet = Fleet(clock, seed)
        await fleet.run(SETTLE_SECONDS)
        process = await run_on(fleet, SCANNERS[3])
        await fleet.run(SETTLE_SECONDS + seed * 2 / len(SEEDS))
        fleet.old = old
        fleet.shared[JOB].cancelled = True
        ended_at = clock()
        FAULTS[fault](fleet, ending)
        while JOB in process.runs and clock() - ended_at < 2 * CANCEL_SECONDS:
            await fleet.step()
        seconds = clock() - ended_at
        if seconds > CANCEL_SECONDS:
            late[seed] = round(seconds, 2)
    assert not late


@pytest.mark.parametrize("calls", [1, 20])
async def test_end_is_acknowledged_before_another_host_is_told(clock, calls):
    """Guards against an end that only the store knows of if the host is lost (UNASKED).

    Repeated calls for one job do not send a heartbeat each.
    """
    fleet = Fleet(clock, 0)
    await fleet.run(SETTLE_SECONDS)
    process = await run_on(fleet, SCANNERS[3])
    await fleet.run(SETTLE_SECONDS)
    called = fleet.processes[SCANNERS[0]]
    before = called.sequence
    api = JobApi(called.gateway, called.service)
    cancel = JobCall(JobVerb.CANCEL, JOB)
    for _ in range(calls):
        response = await api.handle_call(cancel, None)
        assert response.status == 200
    assert JOB not in process.runs and called.sequence == before + 1


async def test_scans_of_a_calm_fleet_are_made_by_one_host(clock):
    """Guards against a scan by each host that runs jobs, at every interval."""
    fleet = Fleet(clock, 0)
    await fleet.run(SETTLE_SECONDS)
    calls = []
    for name, process in fleet.processes.items():
        scan = process.store.cancelled_jobs

        async def count(name=name, scan=scan) -> set[JobId]:
            calls.append(name)
            return await scan()

        process.store.cancelled_jobs = count
    await run_on(fleet, SCANNERS[3])
    await fleet.run(8.0)
    assert {*calls} == {SCANNERS[0]} and 4 <= len(calls) <= 6
