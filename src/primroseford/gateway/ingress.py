"""Connections of callers, and their graceful shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

if TYPE_CHECKING:
    from primroseford.clock import Clock

IDLE_CLOSE_SECONDS = 0.3
"""Time for which a connection must be idle before a shutdown closes it: many times the
round trip after which a newly connected caller sends its request."""
POLL_SECONDS = 0.05
"""Interval of the checks of the remaining connections."""
READ_BUFFER_BYTES = 64 * 1024
"""Bytes of a body that a connection buffers before its request reads them; aiohttp
pauses a connection at twice as many."""
MAX_READ_BYTES = 64 * 1024
"""Bytes that are read from a connection at once."""
LINGER_SECONDS = 2.0
"""Time for which the rest of a refused body is read and discarded. A connection that is
closed with unread data is reset, which may cost the caller the response."""


class CallerConnection(RequestHandler):
    """Connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of each read from the new connection."""
        transport.max_size = MAX_READ_BYTES
        super().connection_made(transport)


class CallerServer(web.Server):
    """HTTP server of the callers' connections."""

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            loop=self._loop,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_SECONDS,
            **self._kwargs,
        )


@dataclass
class Ingress:
    """Listener and connections of callers.

    :param busy_connections: connections on which a request is being served
    :ivar idle_since: during shutdown, the idle connections and the local time at which
        each was first found idle
    """

    server: web.Server
    listener: asyncio.Server
    busy_connections: set[RequestHandler]
    clock: Clock
    idle_since: dict[RequestHandler, float] = field(default_factory=dict)

    async def close(self, end: float) -> None:
        """Stop listening, and wait for the requests that are being served.

        A newly connected caller may send its request a round trip later, so a
        connection is closed only after it has been idle for a while.

        :param end: local time in seconds until which open requests are awaited
        """
        accept_until = self.clock() + IDLE_CLOSE_SECONDS
        while self.clock() < end:
            if self.clock() >= accept_until:
                self.listener.close()
                if not self.server.connections:
                    return
            self.close_idle(IDLE_CLOSE_SECONDS)
            # aiohttp has no notification for the close of its last connection.
            await asyncio.sleep(POLL_SECONDS)
        self.listener.close()

    def close_idle(self, seconds: float) -> None:
        """Close the connections that have been idle for a while.

        ``RequestHandler.close`` would leave an idle connection open and stop reading.

        :param seconds: time since the connection was first found idle, in seconds
        """
        now = self.clock()
        idle = set(self.server.connections) - self.busy_connections
        self.idle_since = {c: self.idle_since.get(c, now) for c in idle}
        for connection, since in self.idle_since.items():
            if now - since >= seconds:
                connection.force_close()
