from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.periodic import TICK_SECONDS
from primroseford.gateway.periodic import next_run_at
from primroseford.gateway.periodic import run_periodically

LATE_SECONDS = 0.002
EARLY_SECONDS = 1e-9
MS = 1e-3


@pytest.mark.parametrize("phase", [0.0, 0.013, 47.31])
@pytest.mark.parametrize("seconds", [0.01, 0.05, 0.1, 0.12, 0.25, 0.62, 5.6])
@pytest.mark.parametrize("off", [0.0, LATE_SECONDS, -EARLY_SECONDS, -MS])
def test_steps_keep_their_period_on_the_grid(phase, seconds, off):
    """Guards against steps that drift, are skipped, or run twice in a row.

    :param off: delay of each run in seconds
    """
    pause = max(1, round(seconds / TICK_SECONDS)) * TICK_SECONDS
    times = [1000.0]
    for _ in range(200):
        times.append(next_run_at(times[-1] + off, seconds, phase))
    pauses = [b - a for a, b in zip(times[1:], times[2:], strict=False)]
    assert pauses == pytest.approx([pause] * len(pauses))
    ticks = (times[-1] - phase) / TICK_SECONDS
    assert ticks == pytest.approx(round(ticks), abs=1e-6)


def test_steps_share_their_wake_ups():
    """Guards against a separate wake-up of a host for each of its steps."""
    found = set()
    for seconds in (0.05, 0.1, 0.15, 0.25):
        at = 1000.0 + seconds / 7
        while (at := next_run_at(at, seconds, 3.3)) < 1010.0:
            found.add(round(at, 6))
    assert len(found) <= 10.0 / TICK_SECONDS + 1


async def test_failed_step_runs_again():
    """Guards against a periodic task that ends with its first error."""
    service, calls = SimpleNamespace(should_stop=False), []

    def step() -> None:
        calls.append(len(calls))
        if len(calls) == 1:
            raise ValueError("unexpected")
        if len(calls) == 2:
            raise PrimrosefordError(ResultCode.PLATFORM_UNAVAILABLE, "away")
        service.should_stop = True

    async with asyncio.timeout(5.0):
        await run_periodically(service, lambda: 0.0, step)
    assert calls == [0, 1, 2]
