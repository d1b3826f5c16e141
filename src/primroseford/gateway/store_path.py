"""Selects whether calls to the platform's store go directly or through a relay host.

Handles network partitions between single hosts and the store, and a store that rejects
single hosts. Without a relay such a host could neither store jobs and their results nor
get new configurations, although callers, runners and other hosts still reach it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from mode import Service

from primroseford.gateway.periodic import run_periodically
from primroseford.platform.transport import probe_service
from primroseford.platform.transport import relay_call

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    import aiohttp
    from aiohttp.web_request import BaseRequest

    from primroseford.clock import Clock

PROBE_SECONDS = 0.7
"""Interval of probes of the direct path while a relay is used."""
PROBE_TIMEOUT_SECONDS = 0.6
FAILURE_THRESHOLD = 2
"""Consecutive failed direct calls before a relay is used; one may be transient."""

log = structlog.get_logger()


class StorePath(Service):
    """Selects the path of each call to the store.

    :param direct: base URL of the store
    :param peers: returns the base URLs of the hosts that report that they reach the
        store
    :ivar failures: consecutive failed direct calls
    :ivar relay: base URL of the current relay host, if any
    """

    def __init__(
        self,
        direct: str,
        session: aiohttp.ClientSession,
        peers: Callable[[], list[str]],
        clock: Clock,
        random: Random,
    ) -> None:
        super().__init__()
        self.direct = direct
        self.session = session
        self.peers = peers
        self.clock = clock
        self.random = random
        self.failures = 0
        self.relay: str | None = None

    @property
    def reachable(self) -> bool:
        """Whether the store answers direct calls of this host."""
        return self.failures < FAILURE_THRESHOLD

    def base_url(self) -> str:
        """Return the base URL for the next call."""
        if self.reachable:
            return self.direct
        peers = self.peers()
        if self.relay not in peers:
            self.relay = self.random.choice(peers) if peers else None
            if self.relay is not None:
                log.info("store is called through a peer", peer=self.relay)
        return self.relay or self.direct

    def report(self, base_url: str, good: bool) -> None:
        """Record the result of a call.

        :param base_url: base URL that the call used
        :param good: whether the store answered
        """
        if base_url != self.direct:
            if not good:
                self.relay = None
            return
        before = self.reachable
        self.failures = 0 if good else self.failures + 1
        if before and not self.reachable:
            log.warning("store does not answer this host", failures=self.failures)
        elif self.reachable and not before:
            log.info("store answers this host again")
            self.relay = None

    @Service.task
    async def probe(self) -> None:
        """Probe the direct path while it does not work."""
        await run_periodically(self, lambda: PROBE_SECONDS, self._probe)

    async def _probe(self) -> None:
        if self.reachable:
            return
        if await probe_service(self.session, self.direct, PROBE_TIMEOUT_SECONDS):
            self.report(self.direct, True)


def create_relay_handler(direct: str, session: aiohttp.ClientSession):
    """Return the handler that relays calls of other hosts to the store.

    :param direct: base URL of the store; a relayed call is never relayed again
    """

    async def handle(request: BaseRequest) -> web.Response:
        body = await request.read()
        status, content = await relay_call(
            session, request.method, f"{direct}{request.raw_path}", body
        )
        return web.Response(status=status, body=content)

    return handle
