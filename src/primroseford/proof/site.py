"""Entry hosts in one process with stand-ins for the platform and the runners."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from primroseford.gateway.heartbeat import HeartbeatService
from primroseford.gateway.host import Host
from primroseford.gateway.host import create_fleet_host
from primroseford.gateway.version_history import HISTORY_SECONDS
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.platform.headers import DEADLINE
from primroseford.platform.settings import NodeSettings
from primroseford.proof.addresses import next_ports
from primroseford.proof.addresses import own_address
from primroseford.proof.hosts import abort_connections
from primroseford.standins.fleet_objects import FIRST_START_MS
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import runner_entry
from primroseford.standins.fleet_runner import FleetRunner
from primroseford.standins.fleet_runner import create_runner_server
from primroseford.standins.platform import PlatformStandIn
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform_state import PlatformFaults
from primroseford.standins.serving import Served
from primroseford.standins.serving import serve

if TYPE_CHECKING:
    import aiohttp

WAIT_SECONDS = 20.0
HOST_PORTS = 2
"""Number of consecutive ports for traffic between hosts; the second is for bundles."""
UNANSWERED_SECONDS = 60.0
"""Delay of the store's responses to a host that is cut off, longer than any test."""


class FilteredTransport:
    """Datagram transport that drops datagrams to some addresses.

    :param blocked: IP addresses to which nothing is sent
    """

    def __init__(self, transport: asyncio.DatagramTransport, blocked: set[str]) -> None:
        self.transport = transport
        self.blocked = blocked

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram, unless its address is blocked."""
        if address[0] not in self.blocked:
            self.transport.sendto(data, address)

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the wrapped transport."""
        return getattr(self.transport, name)


@dataclass
class Site:
    """The hosts, runners and stand-ins of one test.

    :param platform: stand-in for the platform's store, served over HTTP
    :param host_settings: settings of the hosts that differ from the usual ones
    """

    platform: Any
    session: aiohttp.ClientSession
    hosts: list[Host] = field(default_factory=list)
    runners: list[FleetRunner] = field(default_factory=list)
    servers: list[asyncio.Server] = field(default_factory=list)
    views: list[Served] = field(default_factory=list)
    port: int = 0
    host_settings: dict[str, Any] = field(default_factory=dict)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object as an operator or a runner does."""
        state = self.platform.state
        item = {"metadata": {"name": name}, "spec": spec}
        if name in state.objects.get(kind, {}):
            state.update(kind, item)
        else:
            state.create(kind, item)
        self.platform.announce()

    async def add_runner(self, name: str, **fields: Any) -> FleetRunner:
        """Start a runner and register it."""
        runner = FleetRunner(name, **fields)
        self.runners.append(runner)
        await self._serve_runner(runner, FIRST_START_MS)
        return runner

    async def restart_runner(
        self, name: str, crash: bool = True, **fields: Any
    ) -> FleetRunner:
        """Crash a runner and start another under its name, at another address.

        :param crash: whether to crash the old one; without it, the entry of the new one
            is seen before the connections break, as on a link that loses packets
        :returns: the new runner, which replaces the old one in ``runners``
        """
        number = [runner.name for runner in self.runners].index(name)
        if crash:
            self.runners[number].crash()
        runner = self.runners[number] = FleetRunner(name, **fields)
        stored = self.platform.state.objects["servers"][name]
        await self._serve_runner(runner, stored["spec"]["born"] + 1)
        return runner

    async def restart_unlisted(self, name: str, **fields: Any) -> FleetRunner:
        """Crash a runner and start another under its name, at its address.

        Its entry stays that of the old one, as until a runner's first heartbeat.

        :returns: the new runner, which replaces the old one in ``runners``
        """
        number = [runner.name for runner in self.runners].index(name)
        old = self.runners[number]
        stored = self.platform.state.objects["servers"][name]
        port = int(stored["spec"]["address"].rsplit(":", 1)[1])
        old.crash()
        runner = self.runners[number] = FleetRunner(name, born=old.born + 1, **fields)
        await self._listen(runner, port)
        return runner

    def register(self, runner: FleetRunner) -> None:
        """Write the entry of a running runner."""
        port = runner.server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        entry = runner_entry(address, version=runner.version, born=runner.born)
        self.put("servers", runner.name, entry)

    async def _serve_runner(self, runner: FleetRunner, born: int) -> None:
        runner.born = born
        await self._listen(runner, 0)
        self.register(runner)

    async def _listen(self, runner: FleetRunner, port: int) -> None:
        loop = asyncio.get_running_loop()
        runner.server = await loop.create_server(
            create_runner_server(runner), "127.0.0.1", port
        )
        self.servers.append(runner.server)

    def remove_runner(self, runner: FleetRunner) -> None:
        """Crash a runner and remove its entry from the runner list."""
        runner.crash()
        self.platform.state.delete("servers", runner.name, None)
        self.platform.announce()

    async def add_view(self) -> Any:
        """Serve the platform's store at another URL, with separate faults."""
        view = PlatformStandIn(self.platform.state, PlatformFaults())
        served = await serve(create_platform_application(view))
        view.url = served.url
        self.views.append(served)
        return view

    async def add_host(self, wait_ready: bool = True, platform: str = "") -> Host:
        """Start a host.

        :param wait_ready: whether to wait until the host is ready and lists all runners
        :param platform: base URL of the store for this host; by default the shared one
        """
        self.port = self.port or next_ports(HOST_PORTS)
        ip = own_address(len(self.hosts))
        settings = NodeSettings(
            host=HostId(f"host-{len(self.hosts)}"),
            failure_domain=FailureDomainId("a"),
            ip=ip,
            ingress=f"{ip}:{next_ports()}",
            readiness=f"{ip}:{next_ports()}",
            peer_port=self.port,
            platform=platform or self.platform.url,
            stop_seconds=8.0,
            job_retention_seconds=120.0,
            settle_seconds=1.0,
            link_bytes=125e6,
        )
        host = create_fleet_host(replace(settings, **self.host_settings))
        await host.start()
        self.hosts.append(host)
        if wait_ready:
            await self.until(lambda: host.gateway.ready)
            names = len(self.runners)
            await self.until(lambda: len(host.gateway.allocator.runners) == names)
        return host

    def age_runner_lists(self) -> None:
        """Let the hosts count as having followed the runner list for long."""
        for host in self.hosts:
            host.gateway.allocator.versions.known_since -= HISTORY_SECONDS

    async def until(self, condition) -> None:
        """Wait for a condition, for at most ``WAIT_SECONDS``."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not condition():  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def call(
        self,
        path: str,
        request_id: str = "id-1",
        method: str = "POST",
        host: int = 0,
        body: bytes = b"prompt",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return status, headers and body."""
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Api-Key": KEY,
            DEADLINE: "5000",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        url = f"http://{self.hosts[host].settings.ingress}{path}"
        async with self.session.request(
            method, url, data=body or None, headers=sent
        ) as response:
            return response.status, dict(response.headers), await response.read()

    def create_kill(self, number: int) -> asyncio.Task[None]:
        """Return a task that kills a host, for callers that cannot wait for it."""
        return asyncio.create_task(self.kill_host(number))

    async def kill_host(self, number: int) -> None:
        """Terminate a host as a crash does: without handover, release or response.

        The sockets are closed first, so that cleanup code has no effect outside the
        host.
        """
        host = self.hosts[number]
        for server in host.servers:
            server.close()
        for connection in list(host.ingress.server.connections):
            connection.transport.abort()
        for session in host.sessions:
            await abort_connections(session)
        for service in host.services:
            if isinstance(service, HeartbeatService):
                for transport in (service.transport, service.bundles):
                    transport.abort()
        for service in reversed(host.services):
            await service.stop()

    def cut_off(self, number: int, view: Any) -> None:
        """Cut a host off from the other hosts and from the store, without a reset.

        :param view: the view of the store that this host uses
        """
        view.faults.hold_watches = True
        view.faults.delay_seconds = UNANSWERED_SECONDS
        own = own_address(number)
        for other, host in enumerate(self.hosts):
            blocked = {own}
            if other == number:
                blocked = {own_address(n) for n in range(len(self.hosts))}
            for service in host.services:
                if isinstance(service, HeartbeatService):
                    service.transport = FilteredTransport(service.transport, blocked)
                    service.bundles = FilteredTransport(service.bundles, blocked)

    def reconnect(self, view: Any) -> None:
        """End the cut of :meth:`cut_off`."""
        view.faults.hold_watches = False
        view.faults.delay_seconds = 0.0
        for host in self.hosts:
            for service in host.services:
                if isinstance(service, HeartbeatService):
                    service.transport = service.transport.transport
                    service.bundles = service.bundles.transport

    async def stop(self) -> None:
        """Stop all hosts and runners."""
        for host in self.hosts:
            if not host.should_stop:
                await host.stop()
        for server in self.servers:
            server.close()
        for view in self.views:
            await view.stop()
