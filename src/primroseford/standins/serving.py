"""Serves an aiohttp application, by default on a free loopback port."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


@dataclass(frozen=True)
class Served:
    """A running application.

    :param url: base URL without a trailing slash
    :param stop: closes the sockets and shuts the application down
    """

    url: str
    stop: Callable[[], Awaitable[None]]


async def serve(app: web.Application, host: str = "127.0.0.1", port: int = 0) -> Served:
    """Serve an application until ``stop`` is awaited.

    :param app: the application
    :param host: address to listen on
    :param port: port to listen on; with 0 the kernel chooses a free one
    """
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    bound = runner.addresses[0][1]
    return Served(f"http://{host}:{bound}", runner.cleanup)
