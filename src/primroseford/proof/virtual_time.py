"""An event loop with virtual time, which advances only while no task can run."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class VirtualTimeSelector(selectors.DefaultSelector):
    """A selector that advances the virtual time instead of waiting.

    :ivar now: virtual time in seconds
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return the ready events; if there are none, advance the time by the timeout.

        :raises RuntimeError: if the loop would wait without a timeout
        """
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("deadlock: no task can run and no timer is set")
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that uses the virtual time of its selector."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine and return its result; its waits take no real time.

    :param main: coroutine that uses only the time of the loop and no sockets
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
