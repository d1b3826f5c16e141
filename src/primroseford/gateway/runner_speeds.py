"""Speed of the runners, measured by this host and exchanged with the others.

Used for pools whose runners report how slow they are at the moment.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.gen.messages.ttypes import RunnerSpeed as SpeedMessage
from primroseford.runner_speed.pool import ModelErrors
from primroseford.runner_speed.pool import PoolTimes
from primroseford.runner_speed.reports import MAX_REPORTED_SPEEDS
from primroseford.runner_speed.reports import SpeedReport
from primroseford.runner_speed.reports import choose_reported
from primroseford.runner_speed.reports import create_report

if TYPE_CHECKING:
    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.runner_speed.pool import ResponseTimes

ERROR_LOG_SECONDS = 60.0
"""Interval between the log lines on the model's error, for each pool."""
SLOW_RUNNER_SPEED = 0.8
"""Lasting speed below which a runner counts as slow in the metrics."""

SLOWNESS_MEMORY_SECONDS = 2.0
"""Time for which the reported slowness extends the limits for silent runners. Without
data there is no newer report, so that it must outlast the limits themselves."""
MAX_SILENCE_FACTOR = 2.25
"""Largest factor of these limits. With it a stream is resumed after 1.8 s, before its
caller disconnects after 2 s."""

log = structlog.get_logger()


def speed_class(runner: RunnerState) -> str:
    """Return the value of the label ``speed`` for a runner."""
    return "slow" if runner.speed.lasting < SLOW_RUNNER_SPEED else "usual"


class RunnerSpeeds:
    """Measures the speed of runners and merges what other hosts report.

    The speed of each runner instance is kept with its other state, so that a runner
    that has started again loses it.

    :ivar pools: usual times of the pools
    :ivar errors: errors of the model since the last log line, by pool
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.pools: dict[PoolName, PoolTimes] = {}
        self.errors: dict[PoolName, ModelErrors] = {}

    def covers(self, runner: RunnerState) -> bool:
        """Return whether the speed of a runner matters."""
        return runner.entry.pool in self.gateway.allocator.slowness_pools

    def note_response(self, runner: RunnerState, times: ResponseTimes) -> None:
        """Measure a complete response."""
        if not self.covers(runner):
            return
        pool = runner.entry.pool
        known = self.pools.setdefault(pool, PoolTimes())
        slots = runner.entry.slots
        ratio = known.measure(runner.speed, times, runner.in_flight, slots)
        if ratio is not None:
            self._note_error(pool, ratio)

    def silence_factor(self, runner: RunnerState) -> float:
        """Return the factor by which a runner may be silent longer than a usual one.

        A slow runner gets less work by its speed; it must not count as failed. While it
        reads a large prompt, its other streams have pauses in proportion to its speed.
        """
        if not self.covers(runner):
            return 1.0
        speed = runner.speed
        factor = 1.0 / speed.lasting
        if self.gateway.clock() - speed.slowness_at < SLOWNESS_MEMORY_SECONDS:
            factor *= speed.slowness
        return min(MAX_SILENCE_FACTOR, max(1.0, factor))

    def note_first_event(self, runner: RunnerState, seconds: float) -> None:
        """Record the time from the sending of a request to its first event."""
        label = speed_class(runner)
        self.gateway.metrics.first_events.labels(label).observe(seconds)

    def _note_error(self, pool: PoolName, ratio: float) -> None:
        self.gateway.metrics.speed_errors.observe(ratio)
        now = self.gateway.clock()
        errors = self.errors.setdefault(pool, ModelErrors(logged_at=now))
        errors.note(ratio)
        if now - errors.logged_at < ERROR_LOG_SECONDS:
            return
        errors.logged_at = now
        runners = self.gateway.allocator.pool_runners(pool)
        speeds = [runner.speed.lasting for runner in runners]
        log.info(
            "runner speeds",
            pool=pool,
            responses=errors.count,
            error_factor=round(errors.take_mean(), 2),
            slowest=round(min(speeds, default=1.0), 2),
            fastest=round(max(speeds, default=1.0), 2),
        )

    def fill_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Add what this host has measured lately to a heartbeat."""
        allocator = self.gateway.allocator
        now = self.gateway.clock()
        runners = [
            runner
            for pool in allocator.slowness_pools
            for runner in allocator.pool_runners(pool)
        ]
        keys = {id(runner.speed): runner.entry.key for runner in runners}
        messages = []
        for speed in choose_reported([runner.speed for runner in runners], now):
            name, born = keys[id(speed)]
            report = create_report(speed, now)
            messages.append(
                SpeedMessage(
                    name,
                    born,
                    round(report.speed * 100),
                    report.responses,
                    round(report.slowness * 100),
                    round(report.age * 1000),
                )
            )
        # Default values are not sent.
        heartbeat.speeds = messages or None

    def apply_heartbeat(self, heartbeat: Heartbeat, host: HostId) -> None:
        """Merge what another host has measured; invalid reports are ignored."""
        allocator = self.gateway.allocator
        now = self.gateway.clock()
        for message in (heartbeat.speeds or ())[:MAX_REPORTED_SPEEDS]:
            runner = allocator.runners.get(message.runner)
            if runner is None or runner.entry.key.born != message.born:
                continue
            report = SpeedReport(
                (message.speed or 0) / 100,
                message.responses or 0,
                (message.slowness or 0) / 100,
                (message.slowness_age_ms or 0) / 1000,
            )
            if not report.is_valid:
                continue
            report.apply(runner.speed, host, now)
            # Hosts tell only of pools whose runners report their slowness.
            if self.gateway.is_engine(runner.entry.pool):
                allocator.slowness_pools.add(runner.entry.pool)

    def remove_host(self, host: HostId) -> None:
        """Remove what a lost host has reported."""
        for runner in self.gateway.allocator.runners.values():
            runner.speed.remove_peer(host)
