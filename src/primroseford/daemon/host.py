"""The services of one host, started and stopped together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web
from mode import Service

from primroseford.configuration.store import ConfigurationStore
from primroseford.configuration.tables import RECORD_TYPES
from primroseford.daemon.operator import create_operator_application
from primroseford.errors import PrimrosefordError
from primroseford.metrics import Metrics
from primroseford.online.application import create_online_application
from primroseford.platform.client import create_platform_client

if TYPE_CHECKING:
    from primroseford.daemon.settings import Settings

RELOAD_SECONDS = 1.0
SHUTDOWN_SECONDS = 60.0

log = structlog.get_logger()


class Host(Service):
    """One host of the fleet.

    :param settings: checked settings
    """

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        self.settings = settings
        self.metrics = Metrics()
        self.store = ConfigurationStore()
        self.stopping = False
        self.runners: list[web.AppRunner] = []
        self.session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Open the sockets."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        self.client = create_platform_client(self.settings.platform, self.session)
        await self._listen(
            self.settings.listen, create_online_application(self.store, self.session)
        )
        await self._listen(
            self.settings.operator_listen, create_operator_application(self)
        )
        log.info("host started", host=self.settings.host, listen=self.settings.listen)

    async def on_stop(self) -> None:
        """Close the sockets after the requests in flight have ended."""
        for runner in self.runners:
            await runner.cleanup()
        if self.session is not None:
            await self.session.close()

    def ready(self) -> bool:
        """Return whether the balancer may send requests."""
        return not self.stopping and self.store.current().version > 0

    async def drain(self) -> None:
        """Fail the readiness check and serve on until the balancer has noticed."""
        self.stopping = True
        log.info("host is draining", host=self.settings.host)
        await asyncio.sleep(self.settings.stop.balancer_lag)

    @Service.task
    async def follow_configuration(self) -> None:
        """Load the configuration again and again."""
        while not self.should_stop:
            try:
                await self._load_configuration()
            except PrimrosefordError as error:
                log.warning("configuration not loaded", code=int(error.code))
            await self.sleep(RELOAD_SECONDS)

    async def _load_configuration(self) -> None:
        lists = [await self.client.list(kind) for kind in RECORD_TYPES]
        version = min(found.version for found in lists)
        items = [item for found in lists for item in found.items]
        if self.store.replace(version, items):
            log.info("configuration in force", version=version)

    async def _listen(self, address: str, app: web.Application) -> None:
        host, port = address.rsplit(":", 1)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_SECONDS)
        await runner.setup()
        await web.TCPSite(runner, host, int(port)).start()
        self.runners.append(runner)


def create_host(settings: Settings) -> Host:
    """Return a host that is ready to start.

    :param settings: checked settings
    """
    return Host(settings)
