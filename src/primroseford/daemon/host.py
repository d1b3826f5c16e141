"""The service of one host: start, isolation check, drain and stop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import structlog
from aiohttp import web
from mode import Service

from primroseford.clock import boottime
from primroseford.daemon.assembly import assemble
from primroseford.daemon.gauges import HostGauges
from primroseford.daemon.operator import create_operator_application
from primroseford.metrics import Metrics

if TYPE_CHECKING:
    from primroseford.clock import Clock
    from primroseford.daemon.assembly import HostComponents
    from primroseford.daemon.settings import Settings

SHUTDOWN_SECONDS = 1.0
"""Timeout of aiohttp's own shutdown; the drain has ended all requests before it."""

READY_POLL_SECONDS = 0.02

ISOLATION_CHECK_SECONDS = 0.5
ISOLATION_GRACE_SECONDS = 1.5
"""Duration of isolation after which a host ends its open requests. The delay lets a
host that was paused for some seconds receive confirmations from other hosts first."""

log = structlog.get_logger()


class Host(Service):
    """One host of the fleet.

    :param settings: validated settings
    :param clock: local time
    :ivar address: listen address for callers; with the actual port once started
    :ivar operator_address: listen address for operators; with the actual port once
        started
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.stopping = False
        self.drained = False
        self.address = settings.listen
        self.operator_address = settings.operator_listen
        self.components: HostComponents | None = None
        self.tcp_sites: list[web.TCPSite] = []
        self.app_runners: list[web.AppRunner] = []

    async def on_start(self) -> None:
        """Start the services and open the listening sockets."""
        self.components = await assemble(self.settings, self.metrics, self.clock)
        for service in self.components.services():
            await service.start()
        # Without cancellation, the request of a caller that disconnects in the queue
        # or before the first byte would hold a runner slot until the response is
        # complete.
        self.address = await self._listen(
            self.settings.listen, self.components.application, handler_cancellation=True
        )
        self.operator_address = await self._listen(
            self.settings.operator_listen, create_operator_application(self)
        )
        self.metrics.registry.register(HostGauges(self))
        log.info("host started", host=self.settings.host, listen=self.address)

    @Service.task
    async def end_isolated_requests(self) -> None:
        """End open requests with a key while the host is isolated.

        An isolated host may miss the withdrawal of a key.
        """
        isolated_since: float | None = None
        while not self.should_stop:
            now = self.clock()
            configuration = self.components.configuration
            has_configuration = configuration.store.current().version > 0
            if not has_configuration or configuration.admits(now):
                isolated_since = None
            elif isolated_since is None:
                isolated_since = now
            elif now - isolated_since >= ISOLATION_GRACE_SECONDS:
                aborted = self.components.online.open_requests.end_isolated()
                if aborted:
                    log.warning(
                        "host is isolated; ended its open requests", count=aborted
                    )
            await self.sleep(ISOLATION_CHECK_SECONDS)

    async def on_stop(self) -> None:
        """Stop the services in reverse start order and close the sockets."""
        components = self.components
        if components is None:
            return
        for service in reversed(components.services()):
            await service.stop()
        for app_runner in self.app_runners:
            await app_runner.cleanup()
        await components.peers.stop()
        await components.runner_session.close()
        await components.session.close()
        log.info("host stopped", host=self.settings.host)

    def ready(self) -> bool:
        """Return the result of the readiness check, which the load balancer uses."""
        return not self.stopping and self.components.configuration.admits(self.clock())

    async def drain(self) -> int:
        """Leave the fleet and complete the requests in flight.

        The readiness check fails first, and the host keeps serving until the balancer
        has noticed. Then the listening socket closes, and requests in flight complete.

        :returns: number of requests ended by the drain timeout
        """
        self.stopping = True
        log.info("host is draining", host=self.settings.host)
        await self.components.membership.leave()
        await asyncio.sleep(self.settings.stop.balancer_lag)
        await self.tcp_sites[0].stop()
        aborted = await self.components.online.drain(self.settings.stop.drain_timeout)
        self.drained = True
        return aborted

    async def stop_gracefully(self) -> None:
        """Drain the host, then stop it."""
        await self.drain()
        await self.stop()

    async def _listen(
        self, address: str, app: web.Application, handler_cancellation: bool = False
    ) -> str:
        host, port = address.rsplit(":", 1)
        app_runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
            handler_cancellation=handler_cancellation,
        )
        await app_runner.setup()
        tcp_site = web.TCPSite(app_runner, host, int(port))
        await tcp_site.start()
        self.app_runners.append(app_runner)
        self.tcp_sites.append(tcp_site)
        return f"{host}:{app_runner.addresses[0][1]}"


def create_host(settings: Settings, clock: Clock = boottime) -> Host:
    """Return a host that is not started yet.

    :param settings: validated settings
    :param clock: local time
    """
    return Host(settings, clock)


async def wait_until_ready(host: Host, seconds: float = 30.0) -> None:
    """Wait until a host admits requests.

    :param host: a started host
    :param seconds: timeout in seconds
    :raises TimeoutError: if the host does not become ready
    """
    async with asyncio.timeout(seconds):
        while not host.ready():
            await host.sleep(READY_POLL_SECONDS)


@contextlib.asynccontextmanager
async def running_host(settings: Settings):
    """Run a host within a ``with`` block.

    :param settings: validated settings
    """
    host = create_host(settings)
    await host.start()
    try:
        yield host
    finally:
        await host.stop()
