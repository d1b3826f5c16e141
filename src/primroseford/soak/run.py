"""One run of the soak: faults by plan, then recovery, then the checks."""

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
"""Time for processes to start, of which a busy machine may need much."""
REQUEST_RECOVERY_SECONDS = 15.0
"""Time from the last fault until requests are served again (``recovery_s``)."""
JOB_FINISH_SECONDS = 18.0
"""Time after the recovery until batch items are listed (``finish_s``)."""
PROBE_COUNT = 5
"""Requests that each host must serve one after the other to have recovered."""
POLL_SECONDS = 0.2

REGRESSIONS = Path(__file__).parent / "regressions.yaml"
"""Seeds that failed once, with their causes."""

log = structlog.get_logger()


@dataclass(frozen=True)
class SoakSize:
    """How large a run is.

    :param seconds: time in which faults begin
    :param workers: callers that send one request after the other
    """

    seconds: float = 20.0
    hosts: int = 3
    runners: int = 4
    workers: int = 16


@dataclass(frozen=True)
class SoakReport:
    """What a run showed.

    :param statuses: number of requests by status; 0 for no answer
    """

    seed: int
    faults: int
    statuses: dict[int, int]
    jobs: int
    problems: list[str]


async def run_soak(seed: int, folder: Path, size: SoakSize) -> SoakReport:
    """Run the fleet with the faults of a seed and check what came of it.

    :param folder: empty folder for settings and logs
    """
    fleet = SoakFleet(folder)
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
            problems.append("not all hosts became ready at the start")
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
    # Open spans count as long as the checks do not know their end.
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
    """Return what is not as before some time after the last fault."""
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
    # Batch may wait while online requests fill the runners: the time for its end counts
    # while they are under half full.
    callers.calling = False
    open_jobs = [job for job in callers.jobs if not job.cancelled_at]
    await _until(
        lambda: all(_is_done(job) for job in open_jobs if job.accepted),
        JOB_FINISH_SECONDS,
    )
    return problems


def _is_done(job: SoakJob) -> bool:
    return len(job.results) == JOB_ITEMS


async def _until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; return whether it does."""
    until = time.monotonic() + seconds
    while not condition() and time.monotonic() < until:  # noqa: ASYNC110
        await asyncio.sleep(POLL_SECONDS)
    return condition()
