"""Opens the connections to runners."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from typing import NamedTuple

import aiohttp

from primroseford.bounded_http import BoundedConnector

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler

    Connect = Callable[[str], Awaitable["RunnerConnection"]]


class RunnerConnection(NamedTuple):
    """Connected socket.

    :param is_tunnel: whether another host passes the bytes on
    """

    socket: socket.socket
    is_tunnel: bool = False


async def connect_directly(address: str) -> socket.socket:
    """Return a socket that is connected to an address.

    :param address: IPv4 address or host name, and port, separated by a colon
    :raises OSError: if there is no connection
    """
    host, port = address.rsplit(":", 1)
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(connection, (host, int(port)))
    except BaseException:
        connection.close()
        raise
    return connection


async def open_directly(address: str) -> RunnerConnection:
    """Return a direct connection to an address.

    :raises OSError: if there is none
    """
    return RunnerConnection(await connect_directly(address))


class RunnerConnector(BoundedConnector):
    """Opens a connection for each exchange with a runner.

    :ivar open: returns a connection to a runner's address
    """

    def __init__(self) -> None:
        super().__init__()
        self.open: Connect = open_directly

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        address = f"{req.url.raw_host}:{req.url.port}"
        try:
            connection = await self.open(address)
            _, protocol = await self._loop.create_connection(
                self._factory, sock=connection.socket
            )
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        # The other host may be lost, which closes the connection without a reset.
        protocol.needs_framing = connection.is_tunnel
        return protocol
