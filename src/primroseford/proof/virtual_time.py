"""An event loop whose time passes only while nothing can be done."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Coroutine


class VirtualTimeSelector(selectors.DefaultSelector):
    """Passes the time of a wait at once.

    :ivar now: time of the loop in seconds
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready, after the time of the wait if nothing is.

        :raises RuntimeError: if the loop would wait for ever
        """
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError("no task can go on and no timer is set")
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with the time of its selector."""

    def __init__(self) -> None:
        self.virtual_selector = VirtualTimeSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the time of this loop in seconds."""
        return self.virtual_selector.now


def run_in_virtual_time(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine and return its result; its waits take no time.

    :param main: uses the time of the loop only, and no sockets
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
