"""One run of the soak: injects the planned faults, waits for recovery and checks."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import structlog

from primroseford.soak.callers import JOB_ITEMS
from primroseford.soak.callers import Callers
from primroseford.soak.callers import RequestKind
from primroseford.soak.checks import CHECKS
from primroseford.soak.checks import FaultSpan
from primroseford.soak.checks import RunRecord
from primroseford.soak.fleet import SoakFleet
from primroseford.soak.plan import create_plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.soak.callers import SoakJob
    from primroseford.soak.plan import PlannedFault

START_SECONDS = 30.0
"""Time limit for the start of processes, which is slow on a busy machine."""
REQUEST_RECOVERY_SECONDS = 15.0
"""Time limit from the last fault until requests are served (``recovery_s``)."""
JOB_FINISH_SECONDS = 18.0
"""Time limit from the recovery until all results are committed (``finish_s``)."""
PROBE_COUNT = 5
"""Consecutive successful requests after which a host counts as recovered."""
POLL_SECONDS = 0.2

REGRESSIONS = Path(__file__).parent / "regressions.yaml"
"""Seeds that have failed, with the causes."""

log = structlog.get_logger()


@dataclass(frozen=True)
class SoakSize:
    """Size of a run.

    :param seconds: time within which faults begin
    :param workers: number of callers, each of which sends one request at a time
    """

    seconds: float = 20.0
    hosts: int = 3
    runners: int = 4
    workers: int = 16


@dataclass(frozen=True)
class SoakReport:
    """Result of a run.

    :param faults: number of injected faults
    :param statuses: number of requests by status; 0 means no response
    :param problems: what the checks found
    """

    seed: int
    faults: int
    statuses: dict[int, int]
    jobs: int
    problems: list[str]


async def run_soak(seed: int, folder: Path, size: SoakSize) -> SoakReport:
    """Run the fleet with the faults of a seed and check the records.

    :param folder: empty folder for settings and logs
    """
    fleet = SoakFleet(folder, seed=seed)
    callers = Callers(fleet, Random(seed))
    record = RunRecord(fleet, callers)
    plan = create_plan(seed, size.seconds, size.hosts, size.runners)
    problems: list[str] = []
    try:
        await fleet.start(size.hosts, size.runners)
        callers.start(size.workers)
        if not await _until(
            lambda: len(callers.ready_hosts()) == size.hosts, START_SECONDS
        ):
            problems.append("not all hosts became ready after the start")
        start = time.monotonic()
        await asyncio.gather(*(_inject(record, fault, start) for fault in plan))
        callers.submitting = False
        await fleet.clear_faults()
        problems += await _recover(record)
        await callers.stop()
    finally:
        await fleet.stop()
    for check in CHECKS:
        problems += check(record)
    statuses: dict[int, int] = {}
    for sent in callers.sent:
        statuses[sent.status] = statuses.get(sent.status, 0) + 1
    return SoakReport(seed, len(plan), statuses, len(callers.jobs), problems)


async def _inject(record: RunRecord, fault: PlannedFault, start: float) -> None:
    await asyncio.sleep(start + fault.at - time.monotonic())
    begin = time.monotonic()
    log.info("fault begins", at=round(begin - start, 2), **_fields(fault))
    await record.fleet.start_fault(fault)
    # A span without an end covers the time in which the fault is active.
    span = FaultSpan(fault, begin, float("inf"))
    record.spans.append(span)
    await asyncio.sleep(fault.duration)
    await record.fleet.end_fault(fault)
    record.spans.remove(span)
    end = time.monotonic()
    record.spans.append(FaultSpan(fault, begin, end))
    log.info("fault ends", at=round(end - start, 2), **_fields(fault))


def _fields(fault: PlannedFault) -> dict[str, object]:
    return {
        "kind": fault.kind.value,
        "target": fault.target,
        "link": fault.link.value,
        "harm": fault.response_fault.value if fault.response_fault else None,
    }


async def _recover(record: RunRecord) -> list[str]:
    """Wait for the recovery after the last fault; return hosts that fail to recover."""
    problems = []
    callers = record.callers
    until = time.monotonic() + REQUEST_RECOVERY_SECONDS
    async with aiohttp.ClientSession() as session:
        for host in record.fleet.hosts:
            served = 0
            while served < PROBE_COUNT and time.monotonic() < until:
                sent = await callers.request(session, host, RequestKind.IDEMPOTENT)
                served = served + 1 if sent.status == 200 else 0
                await asyncio.sleep(POLL_SECONDS / 10)
            if served < PROBE_COUNT:
                problems.append(f"{host.name} has not recovered: {sent.status}")
    # Batch items may wait while online requests occupy the runners. The time limit for
    # jobs applies while less than half of the slots are in use, so callers stop first.
    callers.calling = False
    open_jobs = [job for job in callers.jobs if not job.cancelled_at]
    await _until(
        lambda: all(
            _is_done(job) or record.fleet.is_cancelled(job.id)
            for job in open_jobs
            if job.accepted
        ),
        JOB_FINISH_SECONDS,
    )
    return problems


def _is_done(job: SoakJob) -> bool:
    return len(job.results) == JOB_ITEMS


async def _until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait for a condition, up to a time limit; return whether it holds."""
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    return condition()
