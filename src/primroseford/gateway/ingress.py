"""The callers' connections of one host, and their end when the host stops."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web
    from aiohttp.web_protocol import RequestHandler

    from primroseford.clock import Clock

IDLE_CLOSE_SECONDS = 0.3
"""Time for which a caller's connection must be idle to be closed at a stop: many times
the round trip after which a caller that has connected sends its request."""
POLL_SECONDS = 0.05
"""Time between two looks at the connections that are left."""


@dataclass
class Ingress:
    """Serves callers, until it is closed.

    :param busy: connections on which a request is being served
    :ivar idle_since: connections without a request since it closes, and when that was
        first seen
    """

    server: web.Server
    listener: asyncio.Server
    busy: set[RequestHandler]
    clock: Clock
    idle_since: dict[RequestHandler, float] = field(default_factory=dict)

    async def close(self, end: float) -> None:
        """Stop to listen, and wait for the requests that are being served.

        A caller whose connection came last may send its request a round trip later, so
        no connection is closed before it has been idle for a while.

        :param end: local time in seconds after which nothing is waited for
        """
        accept_until = self.clock() + IDLE_CLOSE_SECONDS
        while self.clock() < end:
            if self.clock() >= accept_until:
                self.listener.close()
                if not self.server.connections:
                    return
            self.close_idle(IDLE_CLOSE_SECONDS)
            # aiohttp gives no event for the end of its last connection.
            await asyncio.sleep(POLL_SECONDS)
        self.listener.close()

    def close_idle(self, seconds: float) -> None:
        """Close the connections that no request has used for a while.

        ``RequestHandler.close`` would leave an idle connection open and unread.

        :param seconds: time since this was first seen, in seconds
        """
        now = self.clock()
        idle = set(self.server.connections) - self.busy
        self.idle_since = {c: self.idle_since.get(c, now) for c in idle}
        for connection, since in self.idle_since.items():
            if now - since >= seconds:
                connection.force_close()
