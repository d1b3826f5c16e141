"""Finds runners that went silent and asks whether they are back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
from mode import Service
from yarl import URL

from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.retry import ANSWER_SILENCE_LATENCIES

if TYPE_CHECKING:
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway

TICK_SECONDS = 0.1
ENGINE_SILENCE_SECONDS = 0.6
"""Silence of all exchanges with an engine after which it counts as failed: events come
every 21 ms, and a first one within 300 ms where it is on time."""
FIRST_EVENT_TIMES = 4.0
"""The same as a multiple of the usual time to a first event, which grows with the
prompts and the load: a silence that many busy runners show is no failure."""
SERVICE_SILENCE_SECONDS = 0.8
"""The same for a plain service, whose answers take up to a few hundred ms."""
PROBE_SECONDS = 0.5
"""Time between two probes of a failed runner, and the time that one may take."""

log = structlog.get_logger()


class Watchdog(Service):
    """Judges runners by the silence of their exchanges."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__()
        self.gateway = gateway
        self.probing: set[str] = set()

    @Service.task
    async def watch(self) -> None:
        """Look at all runners now and then."""
        await run_periodically(self, lambda: TICK_SECONDS, self._look)

    def _look(self) -> None:
        now = self.gateway.clock()
        for name, runner in list(self.gateway.allocator.runners.items()):
            if self.is_silent(runner, now):
                self.gateway.suspect(runner, "silent")
            if runner.suspect_until > now and name not in self.probing:
                self.probing.add(name)
                task = asyncio.create_task(self.probe(runner))
                task.add_done_callback(lambda _, name=name: self.probing.discard(name))

    def is_silent(self, runner: RunnerState, now: float) -> bool:
        """Return whether a runner has left all exchanges without a sign of life."""
        if not runner.waiting:
            return False
        heard = max(runner.last_byte, min(runner.waiting.values()))
        tables = self.gateway.tables
        pool = tables.pools.get(runner.entry.pool) if tables else None
        if pool is None or pool.is_engine:
            first = self.gateway.allocator.first_seconds.get(runner.entry.pool, 0.0)
            limit = max(ENGINE_SILENCE_SECONDS, FIRST_EVENT_TIMES * first)
        else:
            usual = runner.latency * ANSWER_SILENCE_LATENCIES
            limit = max(SERVICE_SILENCE_SECONDS, usual)
        return now - heard > limit

    async def probe(self, runner: RunnerState) -> None:
        """Ask a failed runner whether it serves, until it does or is gone."""
        tables = self.gateway.tables
        pool = tables.pools.get(runner.entry.pool) if tables else None
        path = pool.health_path if pool else "/health"
        url = URL(f"http://{runner.entry.address}{path}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        name = runner.entry.key.name
        while (
            self.gateway.allocator.runners.get(name) is runner and not self.should_stop
        ):
            await asyncio.sleep(PROBE_SECONDS)
            if runner.suspect_until <= self.gateway.clock():
                return
            try:
                async with self.gateway.session.get(url, timeout=timeout) as answer:
                    status = answer.status
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                log.info("probe failed", runner=name, reason=repr(error))
                self.gateway.suspect(runner, "probe")
                continue
            log.info("probe answered", runner=name, status=status)
            self.gateway.allocator.clear_suspicion(runner)
            return
