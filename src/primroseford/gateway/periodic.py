"""Periodic steps of services."""

from __future__ import annotations

import asyncio
import inspect
import math
from functools import cache
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import structlog

from primroseford.errors import PrimrosefordError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from mode import Service

TICK_SECONDS = 0.05
"""Time grid on which all steps of a host run, so that several share one wake-up. It is
the period of the most frequent step."""
EARLY_WAKE_TICKS = 0.1
"""Fraction of a tick by which an event loop may wake early: some round to whole ms."""

MAX_PHASE_SECONDS = 60.0
"""Range of the random phase of a process's grid. It is longer than any period, so that
hosts that start together do not run their steps at the same time."""

log = structlog.get_logger()


def next_run_at(now: float, seconds: float, phase: float) -> float:
    """Return the time of the next run of a step: a multiple of its period on the grid.

    :param now: time in seconds, shortly after the last run
    :param seconds: period; rounded to whole ticks, at least one
    :param phase: origin of the grid, as a time in seconds
    """
    pause = max(1, round(seconds / TICK_SECONDS)) * TICK_SECONDS
    early = EARLY_WAKE_TICKS * TICK_SECONDS
    return (math.floor((now - phase + early) / pause) + 1) * pause + phase


@cache
def _phase() -> float:
    """Return the origin of the grid of this process, as a time in seconds."""
    return Random().uniform(0.0, MAX_PHASE_SECONDS)


async def run_periodically(
    service: Service, seconds: Callable[[], float], step: Callable[[], Any]
) -> None:
    """Call a function periodically until a service stops.

    A step that fails is logged and runs again at the next time: a host that serves
    callers must not lose a periodic task because of one unexpected value.

    :param service: the service that runs the step
    :param seconds: returns the pause before the next run in seconds; it is rounded to
        whole ticks
    :param step: the function; may be a coroutine function
    """
    loop = asyncio.get_running_loop()
    phase = _phase()
    while not service.should_stop:
        # mode's own sleep creates a task each time, so that it can end early. That is
        # not needed here, since a service that stops cancels its tasks.
        now = loop.time()
        await asyncio.sleep(next_run_at(now, seconds(), phase) - now)
        try:
            result = step()
            if inspect.isawaitable(result):
                await result
        except PrimrosefordError as error:
            log.warning("step failed", step=step.__name__, reason=str(error))
        except Exception:
            log.exception("step failed", step=step.__name__)


async def run_part(step: Callable[[], Awaitable[Any]], seconds: float) -> None:
    """Run one part of a periodic step, so that the parts after it run in any case.

    :param step: the part; an error is logged
    :param seconds: timeout after which the part is cancelled
    """
    try:
        async with asyncio.timeout(seconds):
            await step()
    except TimeoutError:
        log.warning("step timed out", step=step.__name__, seconds=seconds)
    except PrimrosefordError as error:
        log.warning("step failed", step=step.__name__, reason=str(error))
    except Exception:
        log.exception("step failed", step=step.__name__)
