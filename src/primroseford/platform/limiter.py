"""Limit on the calls that one host makes to the platform's service."""

from __future__ import annotations

import asyncio
import heapq
from dataclasses import dataclass
from dataclasses import replace
from enum import IntEnum
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock

    Schedule = Callable[[float, Callable[[], None]], Any]


class Priority(IntEnum):
    """Order in which waiting calls are let through; lower goes first."""

    CLAIM = 0
    READ = 1
    BULK = 2


RESERVED_SHARES = {Priority.CLAIM: 0.0, Priority.READ: 0.25, Priority.BULK: 0.5}
"""Part of the burst that a priority must leave to the higher ones. Without it, a
burst of bulk calls would make the next lease renewal wait for a refill."""
MIN_DELAY_SECONDS = 0.001


@dataclass(frozen=True)
class CallLimits:
    """Size of the limit.

    :param rate: calls a second
    :param burst: calls that may be made at once after idle time
    :param max_waiting: calls that may wait; more are refused
    :param max_wait_seconds: longest time that a call waits
    """

    rate: float = 100.0
    burst: float = 200.0
    max_waiting: int = 1_000
    max_wait_seconds: float = 2.0


@dataclass(frozen=True)
class Bucket:
    """Level of the token bucket at one time.

    :param tokens: calls that may be made now
    :param at: time of the level, in seconds of the local clock
    """

    tokens: float
    at: float


def refill(bucket: Bucket, limits: CallLimits, now: float) -> Bucket:
    """Return the bucket at a later time."""
    grown = bucket.tokens + max(0.0, now - bucket.at) * limits.rate
    return Bucket(min(limits.burst, grown), now)


def wait_needed(bucket: Bucket, limits: CallLimits, priority: Priority) -> float:
    """Return the seconds until a call of a priority fits; 0 if it fits now."""
    # A burst below two calls would leave low priorities no call at all.
    reserved = min(limits.burst * RESERVED_SHARES[priority], limits.burst - 1)
    return max(0.0, (reserved + 1 - bucket.tokens) / limits.rate)


class CallLimiter:
    """Lets calls through by rate and priority; shared by all callers on a host.

    :param limits: size of the limit
    :param clock: local clock
    :param schedule: calls a function after a delay in seconds; the event loop's
        ``call_later`` by default
    """

    def __init__(
        self,
        limits: CallLimits | None = None,
        clock: Clock = boottime,
        schedule: Schedule | None = None,
    ) -> None:
        self.limits = limits or CallLimits()
        self.clock = clock
        self.schedule = schedule
        self.bucket = Bucket(self.limits.burst, clock())
        self.waiting: list[tuple[Priority, int, asyncio.Future[None]]] = []
        self.numbers = count()
        self.pump_at: float | None = None

    async def acquire(self, priority: Priority) -> None:
        """Wait until a call of a priority may be made.

        :raises PrimrosefordError: CALLS_LIMITED if the wait is too long
        """
        self.grant()
        if not self._has_waiting(priority) and self._take(priority):
            return
        if len(self.waiting) >= self.limits.max_waiting:
            raise _limited("too many calls are waiting")
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self.numbers), future)
        heapq.heappush(self.waiting, entry)
        self._schedule_pump()
        self._later(self.limits.max_wait_seconds, lambda: _expire(future))
        await future

    def grant(self) -> None:
        """Let through the waiting calls that now fit, highest priority first."""
        while self.waiting:
            priority, _, future = self.waiting[0]
            if not future.done():
                if not self._take(priority):
                    break
                future.set_result(None)
            heapq.heappop(self.waiting)

    def _has_waiting(self, priority: Priority) -> bool:
        return bool(self.waiting) and self.waiting[0][0] <= priority

    def _take(self, priority: Priority) -> bool:
        self.bucket = refill(self.bucket, self.limits, self.clock())
        if wait_needed(self.bucket, self.limits, priority) > 0:
            return False
        self.bucket = replace(self.bucket, tokens=self.bucket.tokens - 1)
        return True

    def _schedule_pump(self) -> None:
        if not self.waiting:
            return
        needed = wait_needed(self.bucket, self.limits, self.waiting[0][0])
        delay = max(needed, MIN_DELAY_SECONDS)
        at = self.clock() + delay
        # A call that became the first to go may fit before the scheduled time.
        if self.pump_at is None or at < self.pump_at:
            self.pump_at = at
            self._later(delay, lambda: self._pump_again(at))

    def _pump_again(self, at: float) -> None:
        if self.pump_at == at:
            self.pump_at = None
            self.grant()
            self._schedule_pump()

    def _later(self, delay: float, callback: Callable[[], None]) -> None:
        schedule = self.schedule or asyncio.get_running_loop().call_later
        schedule(delay, callback)


def _expire(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_exception(_limited("the call waited too long"))


def _limited(reason: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.CALLS_LIMITED,
        f"the host's limit of platform calls is reached: {reason}",
        retry_after=1.0,
    )
