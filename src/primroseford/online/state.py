"""What the handlers of online requests share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog

from primroseford.errors import ResultCode
from primroseford.keys.watch import create_key_watch
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

PRUNE_CONNECTIONS = 1024

log = structlog.get_logger()


class Permit(Protocol):
    """A token of an organisation's rate."""

    def refund(self) -> None:
        """Return the token of a request that did not run."""


class Limiter(Protocol):
    """Fleet-wide rate of organisations."""

    async def acquire(
        self, organisation: OrganisationId, amount: int, deadline: float
    ) -> Permit:
        """Wait for a token, at most until ``deadline`` (local time in seconds)."""


class Claims(Protocol):
    """Durable claims of idempotency keys."""

    async def claim(
        self, organisation: OrganisationId, key: str, fingerprint: str, deadline: float
    ) -> None:
        """Claim a key, or refuse a request that was sent before."""

    def settle(self, organisation: OrganisationId, key: str, ran: bool) -> None:
        """Record whether the claimed request ran."""


class OnlineState:
    """Collaborators and counters of online requests.

    :param store: configuration in force
    :param session: from ``create_runner_session``
    :param gate: raises HOST_STOPPING or HOST_ISOLATED
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
        self.open = OpenRequests(create_key_watch(store))
        self.routes = RouteCache()
        self.budget = RetryBudget()
        self.draining = False
        self.connections: set[RequestHandler] = set()
        self.connections_to_prune = PRUNE_CONNECTIONS
        self.background: set[asyncio.Task] = set()
        self.refusals = metrics.counter(
            "refusals_total", "Requests answered with a result code", ("code",)
        )
        self.retries = metrics.counter(
            "retries_total", "Requests sent to a runner again, by reason", ("reason",)
        )
        self.hedges = metrics.counter(
            "hedges_total", "Requests sent to a second runner because of a late answer"
        )
        self.resumes = metrics.counter(
            "stream_resumes_total", "Streams resumed after a cut"
        )

    def remember_connection(self, connection: RequestHandler) -> None:
        """Remember a caller's connection, so that a drain can close it."""
        self.connections.add(connection)
        if len(self.connections) > self.connections_to_prune:
            # aiohttp's connections allow no weak references, so closed ones are
            # dropped now and then.
            self.connections = {c for c in self.connections if c.transport}
            grown = 2 * len(self.connections)
            self.connections_to_prune = max(PRUNE_CONNECTIONS, grown)

    def run_in_background(self, work: Coroutine) -> None:
        """Run work that no request waits for."""
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def drain(self, timeout: float) -> int:
        """Let requests in progress finish and close connections.

        Connections close as they answer; idle ones close at once. Requests still in
        progress after the timeout end with an error.

        :param timeout: seconds to wait for requests in progress
        :returns: how many requests were ended before they had their whole answer
        """
        self.draining = True
        for connection in list(self.connections):
            # Ends an idle connection; a busy one closes after its answer.
            connection.close()
        try:
            async with asyncio.timeout(timeout):
                await self.open.empty.wait()
        except TimeoutError:
            ended = self.open.end_all(ResultCode.HOST_STOPPING, "the host is stopping")
            log.warning("requests ended by the drain timeout", count=ended)
            await self.open.empty.wait()
            return ended
        return 0
