"""Connections of callers, and their graceful shutdown."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from mode import Service

from primroseford.gateway.periodic import run_periodically

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import CallerLimits

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
MIN_READ_BYTES = 8 * 1024
"""The same with many connections; callers with small bodies send no more at once."""
TOTAL_READ_BYTES = 4 * 1024 * 1024
"""Bytes that are read from all connections together before their requests charge them
to the memory budget, if all of them receive data at the same time."""
LINGER_SECONDS = 2.0
"""Time for which the rest of a refused body is read and discarded. A connection that is
closed with unread data is reset, which may cost the caller the response."""
MIN_FIELD_BYTES = 16
"""Size of a header field by which the largest number of fields follows from the largest
head."""
MIN_FIELDS = 128
"""Header fields that are accepted in any case; aiohttp's default."""
SWEEP_SECONDS = 1.0
"""Interval of the checks for connections that have exceeded a timeout."""


class CallerConnection(RequestHandler):
    """Connection of a caller.

    :param max_head_bytes: largest accepted head of a request
    :ivar head_bytes: bytes received of an incomplete head
    :ivar head_sweeps: checks that have found the head incomplete
    """

    def __init__(self, manager: web.Server, max_head_bytes: int, **options) -> None:
        super().__init__(
            manager,
            max_line_size=max_head_bytes,
            max_field_size=max_head_bytes,
            max_headers=max(MIN_FIELDS, max_head_bytes // MIN_FIELD_BYTES),
            **options,
        )
        self.max_head_bytes = max_head_bytes
        self.head_bytes = 0
        self.head_sweeps = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of each read from the new connection."""
        share = TOTAL_READ_BYTES // (len(self._manager._connections) + 1)
        transport.max_size = max(MIN_READ_BYTES, min(MAX_READ_BYTES, share))
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; aiohttp limits the fields of a head, not their sum."""
        super().data_received(data)
        if self._waiter is None or self._messages:
            # A request is in progress, or its head is complete.
            self.head_bytes = self.head_sweeps = 0
            return
        self.head_bytes += len(data)
        if self.head_bytes > self.max_head_bytes:
            self.force_close()

    def note_sweep(self) -> int:
        """Return the number of checks that have found the current head incomplete."""
        self.head_sweeps += self.head_bytes > 0
        return self.head_sweeps


class CallerServer(web.Server):
    """HTTP server of the callers' connections.

    :param limits: returns the limits in force, which apply to new connections
    :param options: options of ``web.Server``
    """

    def __init__(
        self, handler: Callable, limits: Callable[[], CallerLimits], **options
    ) -> None:
        super().__init__(handler, **options)
        self.limits = limits

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self,
            self.limits().max_header_bytes,
            loop=self._loop,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGER_SECONDS,
            **self._kwargs,
        )

    def close_slow_heads(self, seconds: float) -> None:
        """Close connections whose heads take too long; called once a sweep.

        Sweeps are counted instead of time, since a caller must not be blamed for a
        pause of this process.

        :param seconds: time from the first byte of a head to its last; 0 is no limit
        """
        for connection in self.connections:
            if 0 < seconds < connection.note_sweep() * SWEEP_SECONDS:
                connection.force_close()


class ConnectionTimeouts(Service):
    """Closes callers' connections that exceed the timeouts of the configuration."""

    def __init__(self, gateway: Gateway, server: CallerServer) -> None:
        super().__init__()
        self.gateway = gateway
        self.server = server

    @Service.task
    async def sweep(self) -> None:
        """Check all connections periodically."""
        await run_periodically(self, lambda: SWEEP_SECONDS, self.check_connections)

    def check_connections(self) -> None:
        """Close what has exceeded a timeout."""
        limits = self.gateway.caller_limits()
        self.server.close_slow_heads(limits.header_timeout)
        if limits.idle_timeout:
            self.gateway.bodies.refuse_overdue(limits.idle_timeout)


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
