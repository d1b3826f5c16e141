"""Rate limit on the calls of one host to the platform's service."""

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
    """Order in which waiting calls are granted; lower values come first."""

    CLAIM = 0
    READ = 1
    BULK = 2


RESERVED_SHARES = {Priority.CLAIM: 0.0, Priority.READ: 0.25, Priority.BULK: 0.5}
"""Share of the burst that a priority must leave to higher priorities. Without it, a
lease renewal after a burst of bulk calls would wait for a refill."""
MIN_DELAY_SECONDS = 0.001


@dataclass(frozen=True)
class CallLimits:
    """Parameters of the rate limit.

    :param rate: calls per second
    :param burst: size of the token bucket
    :param max_waiting: largest number of waiting calls; further calls are refused
    :param max_wait_seconds: longest wait of a call
    """

    rate: float = 100.0
    burst: float = 200.0
    max_waiting: int = 1_000
    max_wait_seconds: float = 2.0


@dataclass(frozen=True)
class Bucket:
    """Level of the token bucket at a given time.

    :param tokens: available tokens; a call needs one
    :param at: time in seconds of the local clock
    """

    tokens: float
    at: float


def refill(bucket: Bucket, limits: CallLimits, now: float) -> Bucket:
    """Return the bucket, refilled for the time since its last update."""
    tokens = bucket.tokens + max(0.0, now - bucket.at) * limits.rate
    return Bucket(min(limits.burst, tokens), now)


def seconds_until_available(
    bucket: Bucket, limits: CallLimits, priority: Priority
) -> float:
    """Return the seconds until a token is available to a priority; 0 if one is."""
    # The limit of burst - 1 lets low priorities make calls with a burst below two, too.
    reserved = min(limits.burst * RESERVED_SHARES[priority], limits.burst - 1)
    return max(0.0, (reserved + 1 - bucket.tokens) / limits.rate)


class CallLimiter:
    """Token bucket with priorities, shared by all callers on a host.

    :param limits: parameters of the limit
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
        self.sequence_numbers = count()
        self.grant_at: float | None = None

    async def acquire(self, priority: Priority) -> None:
        """Wait for a token for a call of a priority.

        :raises PrimrosefordError: CALLS_LIMITED if too many calls wait or the wait is
            too long
        """
        self.grant()
        if not self._has_waiting(priority) and self._try_acquire(priority):
            return
        if len(self.waiting) >= self.limits.max_waiting:
            raise _limited_error("too many calls are waiting")
        future = asyncio.get_running_loop().create_future()
        entry = (priority, next(self.sequence_numbers), future)
        heapq.heappush(self.waiting, entry)
        self._schedule_grant()
        self._call_later(self.limits.max_wait_seconds, lambda: _expire(future))
        await future

    def grant(self) -> None:
        """Grant tokens to waiting calls, highest priority first."""
        while self.waiting:
            priority, _, future = self.waiting[0]
            if not future.done():
                if not self._try_acquire(priority):
                    break
                future.set_result(None)
            heapq.heappop(self.waiting)

    def _has_waiting(self, priority: Priority) -> bool:
        return bool(self.waiting) and self.waiting[0][0] <= priority

    def _try_acquire(self, priority: Priority) -> bool:
        self.bucket = refill(self.bucket, self.limits, self.clock())
        if seconds_until_available(self.bucket, self.limits, priority) > 0:
            return False
        self.bucket = replace(self.bucket, tokens=self.bucket.tokens - 1)
        return True

    def _schedule_grant(self) -> None:
        if not self.waiting:
            return
        needed = seconds_until_available(self.bucket, self.limits, self.waiting[0][0])
        delay = max(needed, MIN_DELAY_SECONDS)
        at = self.clock() + delay
        # A new first call may have a higher priority and get a token earlier.
        if self.grant_at is None or at < self.grant_at:
            self.grant_at = at
            self._call_later(delay, lambda: self._run_scheduled_grant(at))

    def _run_scheduled_grant(self, at: float) -> None:
        if self.grant_at == at:
            self.grant_at = None
            self.grant()
            self._schedule_grant()

    def _call_later(self, delay: float, callback: Callable[[], None]) -> None:
        schedule = self.schedule or asyncio.get_running_loop().call_later
        schedule(delay, callback)


def _expire(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_exception(_limited_error("the call waited too long"))


def _limited_error(reason: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.CALLS_LIMITED,
        f"the host has reached its limit on platform calls: {reason}",
        retry_after=1.0,
    )
