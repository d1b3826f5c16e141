"""The services of one host, started and stopped together."""

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
    from primroseford.daemon.assembly import Parts
    from primroseford.daemon.settings import Settings

SHUTDOWN_SECONDS = 1.0
"""Time for aiohttp's own shutdown; by then the drain has ended all requests."""

READY_POLL_SECONDS = 0.02

ISOLATION_CHECK_SECONDS = 0.5
ISOLATION_GRACE_SECONDS = 1.5
"""Time for which a host must be isolated before its open requests end, so that a host
that was paused for some seconds can hear of the others first."""

log = structlog.get_logger()


class Host(Service):
    """One host of the fleet.

    :param settings: checked settings
    :param clock: local time
    :ivar address: address that callers reach, once started
    :ivar operator_address: address that operators reach, once started
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
        self.components: Parts | None = None
        self.tcp_sites: list[web.TCPSite] = []
        self.app_runners: list[web.AppRunner] = []

    async def on_start(self) -> None:
        """Start the services and open the sockets."""
        self.components = await assemble(self.settings, self.metrics, self.clock)
        for service in self.components.services():
            await service.start()
        # Without cancellation a caller who leaves in the queue or before the first
        # byte would keep a place on a runner until the answer is complete.
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
        """End open requests with a key while the host cannot hear of withdrawals."""
        since: float | None = None
        while not self.should_stop:
            now = self.clock()
            configuration = self.components.configuration
            known = configuration.store.current().version > 0
            if not known or configuration.admits(now):
                since = None
            elif since is None:
                since = now
            elif now - since >= ISOLATION_GRACE_SECONDS:
                ended = self.components.online.open_requests.end_isolated()
                if ended:
                    log.warning("requests ended on an isolated host", count=ended)
            await self.sleep(ISOLATION_CHECK_SECONDS)

    async def on_stop(self) -> None:
        """Stop the services in reverse order and close the sockets."""
        components = self.components
        if components is None:
            return
        for service in reversed(components.services()):
            await service.stop()
        for runner in self.app_runners:
            await runner.cleanup()
        await components.peers.stop()
        await components.runner_session.close()
        await components.session.close()
        log.info("host stopped", host=self.settings.host)

    def ready(self) -> bool:
        """Return whether the balancer may send requests."""
        return not self.stopping and self.components.configuration.admits(self.clock())

    async def drain(self) -> int:
        """Leave the fleet without cutting a request.

        The readiness check fails first, and the host serves on until the balancer has
        noticed. Then the listening socket closes and what is in flight finishes.

        :returns: number of requests that the drain timeout ended
        """
        self.stopping = True
        log.info("host is draining", host=self.settings.host)
        await self.components.membership.leave()
        await asyncio.sleep(self.settings.stop.balancer_lag)
        await self.tcp_sites[0].stop()
        ended = await self.components.online.drain(self.settings.stop.drain_timeout)
        self.drained = True
        return ended

    async def stop_gracefully(self) -> None:
        """Drain and stop."""
        await self.drain()
        await self.stop()

    async def _listen(
        self, address: str, app: web.Application, handler_cancellation: bool = False
    ) -> str:
        host, port = address.rsplit(":", 1)
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_SECONDS,
            handler_cancellation=handler_cancellation,
        )
        await runner.setup()
        site = web.TCPSite(runner, host, int(port))
        await site.start()
        self.app_runners.append(runner)
        self.tcp_sites.append(site)
        return f"{host}:{runner.addresses[0][1]}"


def create_host(settings: Settings, clock: Clock = boottime) -> Host:
    """Return a host that is ready to start.

    :param settings: checked settings
    :param clock: local time
    """
    return Host(settings, clock)


async def wait_until_ready(host: Host, seconds: float = 30.0) -> None:
    """Wait until a host admits requests.

    :param host: a started host
    :param seconds: longest wait
    :raises TimeoutError: if it does not become ready
    """
    async with asyncio.timeout(seconds):
        while not host.ready():
            await host.sleep(READY_POLL_SECONDS)


@contextlib.asynccontextmanager
async def running_host(settings: Settings):
    """Run a host for the time of a ``with`` block.

    :param settings: checked settings
    """
    host = create_host(settings)
    await host.start()
    try:
        yield host
    finally:
        await host.stop()
