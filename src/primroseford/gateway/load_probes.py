"""Asks a few runners for their present load before an online request is placed.

In a large fleet the loads that hosts report to each other are some tenths of a second
old, as long as a request takes a slot. In a surge a request then waits at a full runner
while others have free slots. The load of a few candidates is known within some
milliseconds: runners that report how slow they are answer health checks at once, and
engines answer requests for their reports without a slot.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
from yarl import URL

from primroseford.bounded_http import read_limited
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.placement import best_probed
from primroseford.gateway.placement import is_sufficient
from primroseford.gateway.placement import needs_probes
from primroseford.gateway.placement import probe_candidates
from primroseford.gateway.runner_starts import MAX_REPORT_BYTES
from primroseford.gateway.slot_allocator import FIRST_EVENT_SECONDS
from primroseford.gateway.slot_allocator import SERVICE_SECONDS
from primroseford.platform.runner_calls import REPORT_PATH
from primroseford.platform.runner_calls import decode_load
from primroseford.platform.runner_calls import decode_report_load

if TYPE_CHECKING:
    from primroseford.gateway.notices import ReportedLoad
    from primroseford.gateway.request_context import RequestContext
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import PoolName

TIMEOUT_SECONDS = 0.03
"""Longest wait for the loads: a tenth of the shortest objective for the first event.
The responses take about 5 ms."""

log = structlog.get_logger()


async def choose_by_probes(
    gateway: Gateway, context: RequestContext, runner: RunnerState
) -> RunnerState:
    """Return the runner for a request whose slot was reserved by old load reports.

    If another candidate is less loaded, the slot is reserved there instead.

    :param runner: the runner whose slot is reserved
    """
    allocator = gateway.allocator
    pool, key = runner.entry.pool, runner.entry.key
    if context.origin or context.response or not _can_probe(gateway, pool):
        return runner
    if not needs_probes(allocator.load(runner), allocator.hosts):
        return runner
    is_limited = allocator.tokens.is_limited
    # A probe would count against the limit of a runner.
    if is_limited(key):
        return runner
    loads = allocator.open_loads(pool, context.tried_runners)
    unlimited = [load for load in loads if not is_limited(load.key)]
    others = probe_candidates(unlimited, key, gateway.random)
    candidates = [allocator.runners[load.key.name] for load in others]
    if not candidates:
        return runner
    try:
        reports = await _probe_all(gateway, [runner])
        if is_sufficient(reports[key]):
            return runner
        reports |= await _probe_all(gateway, candidates)
    except asyncio.CancelledError:
        allocator.release(runner, unused=True)
        raise
    chosen = best_probed(
        reports,
        {other.entry.key: other.speed.lasting for other in (runner, *candidates)},
        key,
        allocator.first_event_seconds.get(pool, FIRST_EVENT_SECONDS),
        allocator.service_seconds.get(pool, SERVICE_SECONDS),
    )
    if chosen is None or chosen == key:
        return runner
    other = allocator.runners.get(chosen.name)
    if other is None or other.entry.key != chosen or not allocator.accepts_work(other):
        return runner
    allocator.reserve(other)
    allocator.release(runner, unused=True)
    gateway.metrics.probed_placements.inc()
    return other


def _can_probe(gateway: Gateway, pool: PoolName) -> bool:
    allocator = gateway.allocator
    if pool in allocator.slowness_pools:
        return True
    return allocator.reads_reports and gateway.is_engine(pool)


async def _probe_all(
    gateway: Gateway, runners: list[RunnerState]
) -> dict[RunnerKey, ReportedLoad | None]:
    """Return the load that each runner reports; ``None`` if it does not answer."""
    reports = await asyncio.gather(*(_probe(gateway, runner) for runner in runners))
    return {
        runner.entry.key: report
        for runner, report in zip(runners, reports, strict=True)
    }


async def _probe(gateway: Gateway, runner: RunnerState) -> ReportedLoad | None:
    entry = runner.entry
    is_health = entry.pool in gateway.allocator.slowness_pools
    path = gateway.health_path(entry.pool) if is_health else REPORT_PATH
    url = URL(f"http://{entry.address}{path}", encoded=True)
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
    try:
        async with gateway.session.get(url, timeout=timeout) as response:
            if is_health:
                return decode_load(response)
            body = await read_limited(response, MAX_REPORT_BYTES)
            return decode_report_load(body, entry.slots)
    except (*EXCHANGE_ERRORS, TimeoutError) as error:
        log.debug("load not read", runner=runner.entry.key.name, reason=repr(error))
        return None
