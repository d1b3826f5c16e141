"""State shared by the handlers of online requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from primroseford.errors import ResultCode
from primroseford.keys.watch import create_key_watch
from primroseford.online.held_bytes import HeldBytes
from primroseford.online.open_requests import OpenRequests
from primroseford.routing.budget import RetryBudget
from primroseford.routing.match import RouteCache

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    import aiohttp
    from aiohttp.web_protocol import RequestHandler

    from primroseford.clock import Clock
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.ids import OrganisationId
    from primroseford.metrics import Metrics
    from primroseford.online.slot_allocator import SlotAllocator
    from primroseford.routing.tracker import RunnerTracker

MIN_PRUNE_THRESHOLD = 1024

log = structlog.get_logger()


class Permit(Protocol):
    """A token of an organisation's rate limit."""

    def refund(self) -> None:
        """Refund the token of a request that did not run."""


class Limiter(Protocol):
    """Fleet-wide rate limits of organisations."""

    async def acquire(
        self, organisation: OrganisationId, amount: int, deadline: float
    ) -> Permit:
        """Wait for tokens, at most until ``deadline`` (local time in seconds)."""


class Claims(Protocol):
    """Durable claims of idempotency keys."""

    async def claim(
        self, organisation: OrganisationId, key: str, fingerprint: str, deadline: float
    ) -> None:
        """Claim a key, or raise an error if it is already claimed."""

    def settle(self, organisation: OrganisationId, key: str, ran: bool) -> None:
        """Record whether the claimed request ran."""


class OnlineState:
    """Dependencies and counters of online requests.

    :param store: configuration in force
    :param session: from ``create_runner_session``
    :param gate: admission check; raises HOST_STOPPING or HOST_ISOLATED
    :ivar held: bytes of incomplete responses that the host holds
    """

    def __init__(
        self,
        store: ConfigurationStore,
        session: aiohttp.ClientSession,
        tracker: RunnerTracker,
        allocator: SlotAllocator,
        clock: Clock,
        metrics: Metrics,
        gate: Callable[[], None],
        limiter: Limiter | None,
        claims: Claims | None,
    ) -> None:
        self.store = store
        self.session = session
        self.tracker = tracker
        self.allocator = allocator
        self.clock = clock
        self.gate = gate
        self.limiter = limiter
        self.claims = claims
        self.open_requests = OpenRequests(create_key_watch(store))
        self.routes = RouteCache()
        self.budget = RetryBudget()
        self.held = HeldBytes()
        self.draining = False
        self.connections: set[RequestHandler] = set()
        self.prune_threshold = MIN_PRUNE_THRESHOLD
        self.background: set[asyncio.Task] = set()
        self.refusals = metrics.counter(
            "refusals_total", "Requests answered with a result code", ("code",)
        )
        self.retries = metrics.counter(
            "retries_total", "Requests sent to a runner again, by reason", ("reason",)
        )
        self.hedges = metrics.counter(
            "hedges_total",
            "Requests sent to a second runner because of a slow response",
        )
        self.resumes = metrics.counter(
            "stream_resumes_total", "Streams resumed after an interruption"
        )

    def track_connection(self, connection: RequestHandler) -> None:
        """Track a caller's connection, so that a drain can close it."""
        self.connections.add(connection)
        if len(self.connections) > self.prune_threshold:
            # aiohttp's connections do not support weak references, so closed ones are
            # pruned each time their number has doubled.
            self.connections = {c for c in self.connections if c.transport}
            grown = 2 * len(self.connections)
            self.prune_threshold = max(MIN_PRUNE_THRESHOLD, grown)

    def run_in_background(self, coroutine: Coroutine) -> None:
        """Run a coroutine that no request waits for."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def drain(self, timeout: float) -> int:
        """Wait for requests in progress and close connections.

        Idle connections are closed at once, busy ones after their response. Requests
        still in progress after the timeout end with an error.

        :param timeout: seconds to wait for requests in progress
        :returns: number of requests that were ended by the timeout
        """
        self.draining = True
        for connection in list(self.connections):
            # Closes an idle connection now, and a busy one after its response.
            connection.close()
        try:
            async with asyncio.timeout(timeout):
                await self.open_requests.empty.wait()
        except TimeoutError:
            ended = self.open_requests.end_all(
                ResultCode.HOST_STOPPING, "the host is stopping"
            )
            log.warning("requests ended by the drain timeout", count=ended)
            await self.open_requests.empty.wait()
            return ended
        return 0
