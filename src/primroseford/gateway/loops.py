"""Steps that a service repeats until it stops."""

from __future__ import annotations

import asyncio
import inspect
from typing import TYPE_CHECKING
from typing import Any

import structlog

from primroseford.errors import PrimrosefordError

if TYPE_CHECKING:
    from collections.abc import Callable

    from mode import Service

log = structlog.get_logger()


async def repeat(
    service: Service, seconds: Callable[[], float], step: Callable[[], Any]
) -> None:
    """Call a function again and again until a service stops.

    A step that fails is logged, and the next one is made all the same: a host that
    serves callers must not lose a duty because of one unexpected value.

    :param service: the service that repeats the step
    :param seconds: pause before each step, in seconds
    :param step: the function; may be a coroutine function
    """
    while not service.should_stop:
        # mode's own sleep creates a task each time, to end early; a service that stops
        # cancels its tasks anyway.
        await asyncio.sleep(seconds())
        try:
            result = step()
            if inspect.isawaitable(result):
                await result
        except PrimrosefordError as error:
            log.warning("step failed", step=step.__name__, reason=str(error))
        except Exception:
            log.exception("step failed", step=step.__name__)
