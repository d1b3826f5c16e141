"""Detects runners that stopped responding, and probes them until they recover."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
from mode import Service
from yarl import URL

from primroseford.gateway.pace_watch import PROBE_SECONDS
from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.retry import ANSWER_SILENCE_LATENCIES
from primroseford.gateway.runner_starts import check_start
from primroseford.platform.runner_calls import decode_cold_seconds
from primroseford.platform.runner_calls import decode_load

if TYPE_CHECKING:
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway

CHECK_INTERVAL_SECONDS = 0.1
ENGINE_SILENCE_SECONDS = 0.6
"""Time without data on any exchange after which an engine counts as failed. Events
arrive every 21 ms, and the objective for the first event is 300 ms."""
FIRST_EVENT_MULTIPLE = 4.0
"""The same limit as a multiple of the mean time to the first event, which grows with
prompt size and load, so that a busy pool does not count as failed."""
SERVICE_SILENCE_SECONDS = 0.8
"""The same limit for a plain service, whose responses take up to a few hundred ms."""
HEALTHY_STATUS = 200

log = structlog.get_logger()


class Watchdog(Service):
    """Marks runners as failed when their exchanges receive no data."""

    def __init__(self, gateway: Gateway) -> None:
        super().__init__()
        self.gateway = gateway
        self.probing: set[str] = set()
        gateway.probe_interrupted = self.probe_interrupted

    @Service.task
    async def watch(self) -> None:
        """Check all runners periodically."""
        await run_periodically(
            self, lambda: CHECK_INTERVAL_SECONDS, self._check_runners
        )

    def _check_runners(self) -> None:
        now = self.gateway.clock()
        for name, runner in list(self.gateway.allocator.runners.items()):
            if self.is_silent(runner, now):
                self.gateway.suspect(runner, "silent")
            if runner.entry.failure_domain in self.gateway.evacuations:
                continue
            is_failed = runner.suspect_until > now
            if (is_failed or runner.may_have_restarted) and name not in self.probing:
                first = self.gateway.pace.first_probe_seconds(runner)
                self._start_probe(runner, after=first if is_failed else 0.0)

    def is_silent(self, runner: RunnerState, now: float) -> bool:
        """Return whether a runner has sent no data on any exchange within its limit."""
        if not runner.waiting:
            return False
        last_activity = max(runner.last_byte, min(runner.waiting.values()))
        if self.gateway.is_engine(runner.entry.pool):
            first = self.gateway.allocator.first_event_seconds.get(
                runner.entry.pool, 0.0
            )
            limit = max(ENGINE_SILENCE_SECONDS, FIRST_EVENT_MULTIPLE * first)
            limit *= self.gateway.speeds.silence_factor(runner)
        else:
            usual = runner.latency * ANSWER_SILENCE_LATENCIES
            limit = max(SERVICE_SILENCE_SECONDS, usual)
        return now - last_activity > limit

    def probe_interrupted(self, runner: RunnerState) -> None:
        """Ask a runner at once whether it has started again."""
        if runner.entry.failure_domain in self.gateway.evacuations:
            return
        if runner.entry.key.name not in self.probing:
            self._start_probe(runner, after=0.0)

    def _start_probe(self, runner: RunnerState, after: float) -> None:
        name = runner.entry.key.name
        self.probing.add(name)
        task = asyncio.create_task(self.probe(runner, after))
        task.add_done_callback(lambda _: self.probing.discard(name))

    async def probe(self, runner: RunnerState, after: float = PROBE_SECONDS) -> None:
        """Probe a failed runner until it answers or is removed.

        A runner that has answered meanwhile is only asked whether it is the same
        instance, and so is one that is probed at once.

        :param after: time until the first probe in seconds
        """
        name, listed = runner.entry.key
        while (
            self.gateway.allocator.runners.get(name) is runner and not self.should_stop
        ):
            await asyncio.sleep(after)
            is_failed = runner.suspect_until > self.gateway.clock()
            if not (is_failed or runner.may_have_restarted):
                return
            if runner.entry.failure_domain in self.gateway.evacuations:
                return
            # A cold runner states its remaining time in its health response.
            is_cold = self.gateway.allocator.tokens.is_cold(runner.entry.key)
            needs_health = is_cold or is_failed and after > 0
            after = PROBE_SECONDS
            is_engine = self.gateway.is_engine(runner.entry.pool)
            requests = needs_health + is_engine
            if not self.gateway.request_limiter.may_probe(runner, requests):
                continue
            try:
                status = await self._check_health(runner) if needs_health else None
                is_same = not is_engine or await check_start(self.gateway, runner)
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
                log.info("probe failed", runner=name, reason=repr(error))
                self.gateway.suspect(runner, "probe")
                continue
            log.info(
                "probe answered",
                runner=name,
                status=status,
                listed=listed,
                same_instance=is_same,
            )
            self.gateway.allocator.clear_suspicion(runner)
            return

    async def _check_health(self, runner: RunnerState) -> int:
        """Return the status of a runner's health response."""
        path = self.gateway.health_path(runner.entry.pool)
        url = URL(f"http://{runner.entry.address}{path}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=PROBE_SECONDS)
        async with self.gateway.session.get(url, timeout=timeout) as answer:
            if answer.status == HEALTHY_STATUS:
                self.gateway.cold.note_health(runner, decode_cold_seconds(answer))
            load = decode_load(answer)
            if load is not None:
                self.gateway.note_load(runner, load)
            return answer.status
