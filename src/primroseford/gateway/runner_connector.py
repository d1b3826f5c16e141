"""Opens the connections to runners."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import aiohttp

from primroseford.bounded_http import BoundedConnector

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.client_proto import ResponseHandler

    Connect = Callable[[str], Awaitable[socket.socket]]


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


class RunnerConnector(BoundedConnector):
    """Opens a connection for each exchange with a runner.

    :ivar open_socket: returns a socket that is connected to a runner's address
    """

    def __init__(self) -> None:
        super().__init__()
        self.open_socket: Connect = connect_directly

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        address = f"{req.url.raw_host}:{req.url.port}"
        try:
            connection = await self.open_socket(address)
            _, protocol = await self._loop.create_connection(
                self._factory, sock=connection
            )
        except TimeoutError:
            raise
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error
        return protocol
