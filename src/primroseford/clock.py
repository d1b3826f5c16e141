"""Monotonic clocks that include the time for which the host is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]


def boottime() -> float:
    """Return seconds since boot.

    CLOCK_BOOTTIME advances while the host is suspended, so an expired lease cannot
    appear valid after a long suspension.

    :returns: seconds, comparable only within this host
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that only ``advance`` moves.

    :param now: initial time in seconds
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        :param seconds: duration in seconds
        """
        self.now += seconds
