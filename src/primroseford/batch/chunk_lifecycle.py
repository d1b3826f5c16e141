"""Claims, checkpoints, commits and releases of a feeder's chunks."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from primroseford.batch.claimed_chunk import save
from primroseford.batch.state import ChunkPhase
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseford.batch.claimed_chunk import Work
    from primroseford.batch.feeder import RunnerFeeder
    from primroseford.batch.state import Job
    from primroseford.configuration.tables import Route
    from primroseford.ids import RouteName

CLAIM_PAUSE_SECONDS = 1.0

log = structlog.get_logger()


def start_writes(feeder: RunnerFeeder) -> None:
    """Start the checkpoints and commits that are due."""
    now = feeder.context.clock()
    for work in feeder.claimed_chunks:
        due = feeder.save_after.get(work.stored.name, 0.0) <= now
        if due and work.needs_save(now):
            feeder.save_after[work.stored.name] = math.inf
            feeder.spawn(_save(feeder, work))


async def _save(feeder: RunnerFeeder, work: Work, release: bool = False) -> None:
    context, name = feeder.context, work.stored.name
    try:
        async with work.lock:
            await save(context.jobs, work, context.clock(), release)
        feeder.save_after.pop(name, None)
        if work.lost:
            return
        if work.state.phase is ChunkPhase.STOPPED:
            context.index.end(work.name)
        elif work.state.phase is ChunkPhase.COMMITTED:
            context.counters.commits.inc()
            if await context.jobs.close_if_done(work.name, work.job):
                context.index.end(work.name)
    except PrimrosefordError as error:
        feeder.save_after[name] = context.clock() + CLAIM_PAUSE_SECONDS
        log.warning("chunk not stored", chunk=name, code=int(error.code))


@dataclass(frozen=True)
class Claimable:
    """The jobs of a feeder's pool, with what they were found from."""

    ordered: list[tuple[str, Job]]
    routes: Mapping[RouteName, Route]
    jobs: list[tuple[str, Job]]


async def release_chunks(feeder: RunnerFeeder) -> None:
    """Store the results of a feeder that stops and release its unfinished chunks."""
    for work in feeder.claimed_chunks:
        if not work.closed:
            await _save(feeder, work, release=True)
        # After a failed write this host may claim the chunk again at once; others
        # take it over in time.
        feeder.context.claimer.drop(work)
    feeder.claimed_chunks = []


def start_claim(feeder: RunnerFeeder, window: int) -> None:
    """Start a claim for the earliest due job that needs one.

    :param window: places that batch may use now
    """
    if feeder.claiming or window == 0:
        return
    now = feeder.context.clock()
    held: dict[str, int] = {}
    for work in feeder.claimed_chunks:
        owner = work.job.organisation
        held[owner] = held.get(owner, 0) + len(work.pending)
    for name, job in claimable_jobs(feeder):
        enough = held.get(job.organisation, 0) >= feeder.pool.max_in_flight
        if enough or feeder.claim_after.get(name, 0.0) > now:
            continue
        feeder.claiming = True
        feeder.spawn(_claim(feeder, name, job))
        return


def claimable_jobs(feeder: RunnerFeeder) -> list[tuple[str, Job]]:
    """Return the active jobs of the feeder's pool, earliest due first.

    They are found anew only after a change of the jobs or routes, since a host looks
    at thousands of jobs many times a second.
    """
    ordered = feeder.context.index.by_due()
    routes = feeder.context.configuration.current().routes
    kept = feeder.claimable
    if kept is None or kept.ordered is not ordered or kept.routes is not routes:
        jobs = [pair for pair in ordered if feeder.route_of(pair[1]) is not None]
        kept = feeder.claimable = Claimable(ordered, routes, jobs)
    return kept.jobs


async def _claim(feeder: RunnerFeeder, name: str, job: Job) -> None:
    start = zlib.crc32(feeder.runner.name.encode()) % len(job.chunk_items)
    context = feeder.context
    try:
        work = await context.claimer.claim(name, job, context.live(), start)
        if work is not None:
            feeder.claimed_chunks.append(work)
            if work.takeover is not None:
                context.counters.takeovers.labels(work.takeover.value).inc()
            return
        if await context.jobs.close_if_done(name, job):
            context.index.end(name)
    except PrimrosefordError as error:
        if error.code is ResultCode.NOT_FOUND:
            context.index.end(name)
        log.warning("chunk not claimed", job=name, code=int(error.code))
    finally:
        feeder.claiming = False
    feeder.claim_after[name] = context.clock() + CLAIM_PAUSE_SECONDS
