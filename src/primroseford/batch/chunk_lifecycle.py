"""Claims, checkpoints, commits and releases of a feeder's chunks."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from primroseford.batch.claimed_chunk import write_chunk
from primroseford.batch.state import ChunkPhase
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseford.batch.claimed_chunk import ClaimedChunk
    from primroseford.batch.feeder import RunnerFeeder
    from primroseford.batch.state import Job
    from primroseford.configuration.tables import Route
    from primroseford.ids import RouteName

RETRY_DELAY_SECONDS = 1.0
"""Delay before the retry of a failed write or a claim without a chunk."""

log = structlog.get_logger()


def start_writes(feeder: RunnerFeeder) -> None:
    """Start the checkpoints and commits that are due now."""
    now = feeder.context.clock()
    for chunk in feeder.claimed_chunks:
        due = feeder.write_after.get(chunk.stored.name, 0.0) <= now
        if due and chunk.needs_write(now):
            feeder.write_after[chunk.stored.name] = math.inf
            feeder.spawn(_store_chunk(feeder, chunk))


async def _store_chunk(
    feeder: RunnerFeeder, chunk: ClaimedChunk, release: bool = False
) -> None:
    context, name = feeder.context, chunk.stored.name
    try:
        async with chunk.lock:
            await write_chunk(context.jobs, chunk, context.clock(), release)
        feeder.write_after.pop(name, None)
        if chunk.lost:
            return
        if chunk.state.phase is ChunkPhase.STOPPED:
            context.index.end(chunk.name)
        elif chunk.state.phase is ChunkPhase.COMMITTED:
            context.counters.commits.inc()
            if await context.jobs.close_if_done(chunk.name, chunk.job):
                context.index.end(chunk.name)
    except PrimrosefordError as error:
        feeder.write_after[name] = context.clock() + RETRY_DELAY_SECONDS
        log.warning("chunk not stored", chunk=name, code=int(error.code))


@dataclass(frozen=True)
class ClaimableJobs:
    """Cached jobs of a feeder's pool.

    :param ordered: active jobs that ``jobs`` was computed from
    :param routes: routes that ``jobs`` was computed from
    :param jobs: jobs of the pool, earliest due first
    """

    ordered: list[tuple[str, Job]]
    routes: Mapping[RouteName, Route]
    jobs: list[tuple[str, Job]]


async def release_chunks(feeder: RunnerFeeder) -> None:
    """Store the results of a stopping feeder and release its unfinished chunks."""
    for chunk in feeder.claimed_chunks:
        if not chunk.closed:
            await _store_chunk(feeder, chunk, release=True)
        # After a failed write this host can claim the chunk again at once, and other
        # hosts after the takeover time.
        feeder.context.claimer.unregister(chunk)
    feeder.claimed_chunks = []


def start_claim(feeder: RunnerFeeder, window: int) -> None:
    """Claim a chunk of the earliest due job whose organisation has too few items.

    An organisation has enough with as many pending items as the runner has slots.

    :param window: slots that batch may use now
    """
    if feeder.claiming or window == 0:
        return
    now = feeder.context.clock()
    pending_items: dict[str, int] = {}
    for chunk in feeder.claimed_chunks:
        owner = chunk.job.organisation
        pending_items[owner] = pending_items.get(owner, 0) + len(chunk.pending)
    for name, job in claimable_jobs(feeder):
        enough = pending_items.get(job.organisation, 0) >= feeder.pool.max_in_flight
        if enough or feeder.claim_after.get(name, 0.0) > now:
            continue
        feeder.claiming = True
        feeder.spawn(_claim(feeder, name, job))
        return


def claimable_jobs(feeder: RunnerFeeder) -> list[tuple[str, Job]]:
    """Return the active jobs of the feeder's pool, earliest due first.

    The result is cached until the jobs or routes change, since a host may have
    thousands of jobs and calls this many times a second.
    """
    ordered = feeder.context.index.by_due()
    routes = feeder.context.configuration.current().routes
    cached = feeder.claimable_cache
    if cached is None or cached.ordered is not ordered or cached.routes is not routes:
        jobs = [pair for pair in ordered if feeder.route_of(pair[1]) is not None]
        cached = feeder.claimable_cache = ClaimableJobs(ordered, routes, jobs)
    return cached.jobs


async def _claim(feeder: RunnerFeeder, name: str, job: Job) -> None:
    start = zlib.crc32(feeder.runner.name.encode()) % len(job.chunk_items)
    context = feeder.context
    try:
        chunk = await context.claimer.claim(name, job, context.live(), start)
        if chunk is not None:
            feeder.claimed_chunks.append(chunk)
            if chunk.takeover is not None:
                context.counters.takeovers.labels(chunk.takeover.value).inc()
            return
        if await context.jobs.close_if_done(name, job):
            context.index.end(name)
    except PrimrosefordError as error:
        if error.code is ResultCode.NOT_FOUND:
            context.index.end(name)
        log.warning("chunk not claimed", job=name, code=int(error.code))
    finally:
        feeder.claiming = False
    feeder.claim_after[name] = context.clock() + RETRY_DELAY_SECONDS
