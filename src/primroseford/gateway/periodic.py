"""Steps that a service repeats until it stops."""

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
    from collections.abc import Callable

    from mode import Service

TICK_SECONDS = 0.05
"""Grid on which all steps of a host are made, so that one wake-up serves several: the
pause of the most frequent step."""
EARLY_TICKS = 0.1
"""Part of a tick by which an event loop may wake early: some count whole ms."""

LONGEST_PHASE_SECONDS = 60.0
"""Range of the grids' phases: longer than any pause, so that hosts which start together
do not act together."""

log = structlog.get_logger()


def next_step_at(now: float, seconds: float, phase: float) -> float:
    """Return when to make a step again: a multiple of its pause on the grid.

    :param now: time in seconds, shortly after the last step
    :param seconds: wanted pause; at least one tick
    :param phase: time in seconds from which the grid counts
    """
    pause = max(1, round(seconds / TICK_SECONDS)) * TICK_SECONDS
    early = EARLY_TICKS * TICK_SECONDS
    return (math.floor((now - phase + early) / pause) + 1) * pause + phase


@cache
def _phase() -> float:
    """Return the time from which the grid of this process counts, in seconds."""
    return Random().uniform(0.0, LONGEST_PHASE_SECONDS)


async def run_periodically(
    service: Service, seconds: Callable[[], float], step: Callable[[], Any]
) -> None:
    """Call a function again and again until a service stops.

    A step that fails is logged, and the next one is made all the same: a host that
    serves callers must not lose a duty because of one unexpected value.

    :param service: the service that repeats the step
    :param seconds: pause before each step, in seconds; it is rounded to whole ticks
    :param step: the function; may be a coroutine function
    """
    loop = asyncio.get_running_loop()
    phase = _phase()
    while not service.should_stop:
        # mode's own sleep creates a task each time, to end early; a service that stops
        # cancels its tasks anyway.
        now = loop.time()
        await asyncio.sleep(next_step_at(now, seconds(), phase) - now)
        try:
            result = step()
            if inspect.isawaitable(result):
                await result
        except PrimrosefordError as error:
            log.warning("step failed", step=step.__name__, reason=str(error))
        except Exception:
            log.exception("step failed", step=step.__name__)
