"""Tunnels to runners through other hosts.

A host that has lost its link to a runner asks another host with ``CONNECT`` (RFC 9110,
section 9.3.6) to connect it. That host passes bytes on in both directions and reads
none of them, so that the first one keeps all decisions.
"""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

import structlog

from primroseford.gateway.runner_connector import connect_directly

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from socket import socket

    from prometheus_client import Counter

MAX_HEAD_BYTES = 1024
"""Longest head of a request for a tunnel, or of its response."""
HEAD_SECONDS = 1.0
"""Time for which the head of a request for a tunnel is awaited."""
RUNNER_CONNECT_SECONDS = 0.06
"""Timeout of the connection to the runner, which takes about 4 ms."""
MAX_TUNNELS = 256
"""Tunnels through one host, with two connections each; its memory limit allows for
their buffers several times."""
BUFFER_BYTES = 32 * 1024
"""Bytes that wait for a slow receiver before the sender is read no more."""
READ_BYTES = 16 * 1024
HEAD_END = b"\r\n\r\n"
REQUEST = re.compile(rb"CONNECT ([0-9A-Za-z.-]+:[0-9]{1,5}) HTTP/1\.1\r\n")
RESPONSE = re.compile(rb"HTTP/1\.1 ([0-9]{3}) [^\r\n]*\r\n")
REASONS = {
    200: "Connection established",
    400: "Bad Request",
    403: "Forbidden",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

log = structlog.get_logger()


class TunnelRefused(ConnectionError):
    """Another host does not connect this one to a runner.

    :param status: status of its response
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"the other host answered with status {status}")
        self.status = status


async def open_tunnel(host_address: str, address: str) -> socket:
    """Return a socket that another host has connected to a runner.

    :param host_address: address at which the other host opens tunnels
    :param address: address of the runner
    :raises TunnelRefused: if the other host does not connect it
    :raises OSError: if the other host cannot be asked
    """
    connection = await connect_directly(host_address)
    loop = asyncio.get_running_loop()
    head = f"CONNECT {address} HTTP/1.1\r\nHost: {address}\r\n\r\n"
    try:
        await loop.sock_sendall(connection, head.encode())
        response = b""
        # The runner says nothing before it gets a request.
        while not response.endswith(HEAD_END):
            data = await loop.sock_recv(connection, MAX_HEAD_BYTES - len(response))
            if not data:
                raise ConnectionResetError("the other host closed the connection")
            response += data
        found = RESPONSE.match(response)
        status = int(found.group(1)) if found else 502
        if status != 200:
            raise TunnelRefused(status)
    except BaseException:
        connection.close()
        raise
    return connection


class TunnelEnd(asyncio.Protocol):
    """One of the two connections of a tunnel.

    :ivar other: the other one; ``None`` until the tunnel is open
    """

    def __init__(self, other: TunnelEnd | None = None) -> None:
        self.other = other
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the buffers; nothing is read until the tunnel is open."""
        self.transport = transport
        transport.max_size = READ_BYTES
        transport.set_write_buffer_limits(high=BUFFER_BYTES)
        transport.pause_reading()

    def data_received(self, data: bytes) -> None:
        """Pass bytes on."""
        self.other.transport.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the sender while this receiver is slow."""
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the sender again."""
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection, after the bytes that it has yet to send."""
        if self.other is not None:
            self.other.transport.close()


class TunnelEntrance(TunnelEnd):
    """Connection of another host, which asks for a tunnel first.

    :param server: what opens the tunnel
    """

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self.server = server
        self.head = b""
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the head of the request."""
        super().connection_made(transport)
        transport.resume_reading()
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(HEAD_SECONDS, transport.abort)

    def data_received(self, data: bytes) -> None:
        """Collect the head of the request, or pass bytes on."""
        if self.other is not None:
            super().data_received(data)
            return
        self.head += data
        if HEAD_END not in self.head and len(self.head) < MAX_HEAD_BYTES:
            return
        self.timer.cancel()
        self.transport.pause_reading()
        if self.task is None:
            self.task = asyncio.create_task(self.server.open_tunnel(self))

    def respond(self, status: int) -> None:
        """Send the response to the request for a tunnel."""
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\n\r\n"
        self.transport.write(head.encode())

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the runner's connection at once: nobody waits for its response."""
        self.timer.cancel()
        self.server.remove(self)
        if self.other is not None:
            self.other.transport.abort()
        elif self.task is not None:
            self.task.cancel()


class TunnelServer:
    """Opens tunnels to runners for other hosts.

    :param connect: opens a direct connection to an address
    :param may_connect: returns whether an address is that of a listed runner
    :param is_stopping: returns whether this host stops
    :param results: counts requests for tunnels by their status
    :ivar tunnels: connections of other hosts with a tunnel, or with one being opened
    :ivar unused: set while there are none
    """

    def __init__(
        self,
        connect: Callable[[str], Awaitable[socket]],
        may_connect: Callable[[str], bool],
        is_stopping: Callable[[], bool],
        results: Counter,
    ) -> None:
        self.connect = connect
        self.may_connect = may_connect
        self.is_stopping = is_stopping
        self.results = results
        self.tunnels: set[TunnelEntrance] = set()
        self.unused = asyncio.Event()
        self.unused.set()

    def create_protocol(self) -> TunnelEntrance:
        """Return the protocol of a connection of another host."""
        return TunnelEntrance(self)

    def remove(self, entrance: TunnelEntrance) -> None:
        """Remove a tunnel that has ended or was not opened."""
        self.tunnels.discard(entrance)
        if not self.tunnels:
            self.unused.set()

    async def open_tunnel(self, entrance: TunnelEntrance) -> None:
        """Answer a request for a tunnel, and open it if that is possible."""
        found = REQUEST.match(entrance.head)
        address = found.group(1).decode() if found else ""
        status = self._check_request(entrance, address)
        if status == 200:
            self.tunnels.add(entrance)
            self.unused.clear()
            status = await self._connect(entrance, address)
        self.results.labels(str(status)).inc()
        if status != 200:
            self.remove(entrance)
            log.info("tunnel refused", address=address, status=status)
            entrance.respond(status)
            entrance.transport.close()
            return
        entrance.respond(status)
        entrance.transport.resume_reading()
        entrance.other.transport.resume_reading()

    def _check_request(self, entrance: TunnelEntrance, address: str) -> int:
        if not address or not entrance.head.endswith(HEAD_END):
            return 400
        if self.is_stopping() or len(self.tunnels) >= MAX_TUNNELS:
            return 503
        return 200 if self.may_connect(address) else 403

    async def _connect(self, entrance: TunnelEntrance, address: str) -> int:
        loop = asyncio.get_running_loop()
        runner_end = TunnelEnd(entrance)
        try:
            async with asyncio.timeout(RUNNER_CONNECT_SECONDS):
                connection = await self.connect(address)
            await loop.create_connection(lambda: runner_end, sock=connection)
        except TimeoutError:
            return 504
        except OSError:
            return 502
        except asyncio.CancelledError:
            # The other host has closed its connection meanwhile.
            if runner_end.transport is not None:
                runner_end.transport.abort()
            raise
        entrance.other = runner_end
        return 200
