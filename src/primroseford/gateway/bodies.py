"""Reads the bodies of callers' requests into the memory budget of the host."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.host_memory import STALL_SECONDS
from primroseford.gateway.host_memory import Holding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from aiohttp.web_request import BaseRequest
    from prometheus_client import Gauge

    from primroseford.clock import Clock
    from primroseford.gateway.host_memory import HostMemory

RETRY_SECONDS = STALL_SECONDS / 2
"""Retry-After of requests that are refused for lack of memory. Stalled bodies give way
after ``STALL_SECONDS``, and a retry meets this time on average half over."""
QUIET_SECONDS = 10.0
"""Time without a refusal after which the shortage of memory counts as ended."""

log = structlog.get_logger()


class Bodies:
    """Bodies and other data that are held for callers.

    :param memory: decides what may be held
    :param gauge: shows the charged bytes
    :ivar readers: the tasks that read incomplete bodies
    :ivar drop_job: drops a cached job that can be read again, and returns whether there
        was one
    :ivar short_since: local time of the first refusal of a shortage of memory
    :ivar refused_at: local time of the last one
    :ivar refused: requests refused during the shortage
    """

    def __init__(self, memory: HostMemory, clock: Clock, gauge: Gauge) -> None:
        self.memory = memory
        self.clock = clock
        self.readers: dict[Holding, asyncio.Task] = {}
        self.drop_job: Callable[[], bool] = _has_no_job
        self.short_since: float | None = None
        self.refused_at = 0.0
        self.refused = 0
        gauge.set_function(lambda: memory.total)

    def hold(self) -> Holding:
        """Return the holding of a new request; it must be released at its end."""
        return Holding(self.clock())

    def release(self, holding: Holding) -> None:
        """Record that nothing is held for a request any more."""
        self.memory.release(holding)

    def charge(self, holding: Holding, size: int) -> None:
        """Charge a holding with its new size.

        :param size: bytes that are held in all
        :raises PrimrosefordError: HOST_MEMORY_SHORT
        """
        while self.memory.is_short(holding, size) and self.drop_job():
            pass
        decision = self.memory.charge(holding, size, self.clock())
        self._evict(decision.evicted)
        if not decision.admitted:
            raise self.refusal()

    def refuse_overdue(self, seconds: float) -> None:
        """Refuse the requests whose bodies have made no progress for a time."""
        self._evict(self.memory.overdue(self.clock(), seconds))

    def _evict(self, holdings: Sequence[Holding]) -> None:
        for holding in holdings:
            reader = self.readers.pop(holding, None)
            if reader is not None:
                reader.cancel()

    def refusal(self) -> PrimrosefordError:
        """Return the error for a request that does not fit, and record the shortage."""
        now = self.clock()
        if self.short_since is None or now - self.refused_at > QUIET_SECONDS:
            log.warning(
                "memory for callers is short",
                held_mb=round(self.memory.total / 1e6, 1),
                budget_mb=round(self.memory.budget / 1e6, 1),
                jobs_mb=round(self.memory.jobs / 1e6, 1),
                requests=sum(not holding.job for holding in self.memory.holdings),
                incomplete=len(self.readers),
                refused_last_time=self.refused,
            )
            self.short_since = now
            self.refused = 0
        self.refused_at = now
        self.refused += 1
        return PrimrosefordError(
            ResultCode.HOST_MEMORY_SHORT,
            "this host has no memory for the request at the moment",
            retry_after=RETRY_SECONDS,
        )

    async def read(self, request: BaseRequest, holding: Holding, limit: int) -> bytes:
        """Read a body; no other request of this host waits for it.

        :param limit: largest accepted body in bytes
        :raises PrimrosefordError: BODY_TOO_LARGE, HOST_MEMORY_SHORT
        """
        content = request.content
        if content.is_eof():
            body = await content.readany()
            self._check(holding, len(body), limit)
            return body
        task = self.readers[holding] = asyncio.current_task()
        holding.evictable = True
        try:
            return await self._read_blocks(request, holding, limit)
        except asyncio.CancelledError:
            evicted = holding not in self.readers
            if evicted and task.uncancel() == 0:
                raise self.refusal() from None
            raise
        finally:
            holding.evictable = False
            self.readers.pop(holding, None)

    async def _read_blocks(
        self, request: BaseRequest, holding: Holding, limit: int
    ) -> bytes:
        content = request.content
        block = await content.readany()
        self._check(holding, len(block), limit)
        if content.at_eof():
            return block
        body = bytearray(block)
        try:
            while block := await content.readany():
                self._check(holding, len(body) + len(block), limit)
                body += block
            return bytes(body)
        finally:
            # The traceback of a refusal would keep the body.
            body.clear()

    def _check(self, holding: Holding, size: int, limit: int) -> None:
        if size > limit:
            raise PrimrosefordError(ResultCode.BODY_TOO_LARGE, "the body is too large")
        if size:
            self.charge(holding, size)


def _has_no_job() -> bool:
    return False
