"""One host of the fleet, which starts and stops its services together."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web
from aiohttp.web_request import BaseRequest
from mode import Service
from prometheus_client import generate_latest

from primroseford.clock import boottime
from primroseford.gateway.application import create_ingress_handler
from primroseford.gateway.application import create_readiness_handler
from primroseford.gateway.evacuation_watcher import EvacuationWatcher
from primroseford.gateway.exchange import create_fleet_session
from primroseford.gateway.heartbeat import HeartbeatService
from primroseford.gateway.ingress import CallerServer
from primroseford.gateway.ingress import ConnectionTimeouts
from primroseford.gateway.ingress import Ingress
from primroseford.gateway.members import Members
from primroseford.gateway.peer_bootstrap import PATH as PEER_BOOTSTRAP_PATH
from primroseford.gateway.peer_bootstrap import create_lists_handler
from primroseford.gateway.peer_bootstrap import create_peer_reader
from primroseford.gateway.peer_bootstrap import peers_by_version
from primroseford.gateway.peer_urls import CALLS_PORT_OFFSET
from primroseford.gateway.peer_urls import relay_urls
from primroseford.gateway.peer_urls import results_watcher_url
from primroseford.gateway.peer_urls import urls
from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.gateway.quarantine_store import QuarantineStore
from primroseford.gateway.registration import Registration
from primroseford.gateway.request_limiter import RequestLimiterService
from primroseford.gateway.retirement import RetirementService
from primroseford.gateway.runner_paths import RunnerPathService
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.state import Gateway
from primroseford.gateway.state import GatewayMetrics
from primroseford.gateway.store_path import StorePath
from primroseford.gateway.store_path import create_relay_handler
from primroseford.gateway.tunnel import TunnelServer
from primroseford.gateway.watchdog import Watchdog
from primroseford.ids import Incarnation
from primroseford.jobs.api import JobApi
from primroseford.jobs.peers import PATH as JOBS_PATH
from primroseford.jobs.peers import JobPeers
from primroseford.jobs.peers import create_jobs_handler
from primroseford.jobs.results_watch import PATH as LISTED_PATH
from primroseford.jobs.results_watch import ResultsWatch
from primroseford.jobs.results_watch import create_segment_status_handler
from primroseford.jobs.results_watch import create_segment_status_reader
from primroseford.jobs.service import JobService
from primroseford.jobs.store import JobStore
from primroseford.metrics import Metrics
from primroseford.platform.client import create_platform_client
from primroseford.platform.limiter import CallLimiter
from primroseford.platform.limiter import CallLimits
from primroseford.platform.transport import PREFIX
from primroseford.platform.transport import create_session

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.settings import NodeSettings

BALANCER_SECONDS = 3.2
"""Time from the first failed readiness check until the load balancer opens no new
connections: two checks a second apart, and a margin for a check in flight."""
STOP_MARGIN_SECONDS = 0.7
"""Time reserved for the last heartbeat and the exit before the platform's SIGKILL."""
MAX_BODY_BYTES = 8 * 1024 * 1024
"""Limit on a request body until the configuration with its own limit is known."""
IDLE_SECONDS = 120.0
"""Keep-alive timeout of callers' connections. The operator has callers close idle
connections after 15 s. A much longer timeout here keeps the host from closing a
connection on which a request is already in transit."""
METRICS_PORT = 9464
"""Port of the metrics, as in the deploy file; the usual port of exporters."""
CALLS_A_SECOND = 40.0
"""Rate limit of one host's calls: the platform's read limit divided by 50 hosts."""

log = structlog.get_logger()


class Host(Service):
    """A gateway host in front of the runners.

    :param settings: settings from the platform
    """

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        super().__init__()
        self.settings = settings
        self.clock = clock
        self.metrics = Metrics()
        self.servers: list[asyncio.Server] = []
        self.ingress: Ingress | None = None
        self.services: list[Service] = []
        self.sessions: list[aiohttp.ClientSession] = []
        self.gateway: Gateway | None = None
        self.watcher: PlatformWatcher | None = None
        self.tunnels: TunnelServer | None = None

    async def on_start(self) -> None:
        """Start the services and open the sockets."""
        settings = self.settings
        members = Members(settings.host)
        runner_session = create_fleet_session()
        store_session = create_session()
        self.sessions = [runner_session, store_session]
        random = Random()
        gateway = self.gateway = Gateway(
            members,
            SlotAllocator(settings.failure_domain, self.clock, random),
            runner_session,
            self.clock,
            random,
            GatewayMetrics(self.metrics),
            settings.memory_mb,
        )
        gateway.cold.excess = settings.cold_excess
        gateway.cold.slack = settings.cold_slack
        gateway.allocator.reads_reports = settings.callers_compete
        runner_session.connector.open = gateway.paths.open
        self.tunnels = TunnelServer(
            lambda address: gateway.paths.connect(address),
            gateway.paths.is_listed,
            lambda: gateway.stopping,
            gateway.metrics.tunnels,
        )
        store_path = StorePath(
            settings.platform,
            store_session,
            lambda: relay_urls(members, self.clock()),
            self.clock,
            random,
        )
        client = self._create_client(store_session, store_path)
        results = ResultsWatch(client, self.clock)
        jobs = self._create_jobs(gateway, client, store_session, results, store_path)
        incarnation = Incarnation(uuid.uuid4().hex[:12])
        self.services = self._create_services(
            gateway, client, store_path, jobs, results, incarnation
        )
        for service in self.services:
            await service.start()
        await self._open_servers(gateway, JobApi(gateway, jobs), results)
        log.info(
            "host started",
            host=settings.host,
            incarnation=incarnation,
            ingress=settings.ingress,
        )

    def _create_client(
        self, session: aiohttp.ClientSession, store_path: StorePath
    ) -> PlatformClient:
        limits = CallLimits(CALLS_A_SECOND, 2 * CALLS_A_SECOND)
        client = create_platform_client(
            self.settings.platform,
            session,
            self.clock,
            CallLimiter(limits, self.clock),
            self.metrics,
        )
        client.transport.path = store_path
        return client

    def _create_jobs(
        self,
        gateway: Gateway,
        client: PlatformClient,
        session: aiohttp.ClientSession,
        results: ResultsWatch,
        store_path: StorePath,
    ) -> JobService:
        members = gateway.members
        settings = self.settings
        peers = JobPeers(
            session,
            lambda job: urls(members, members.reporting(job, self.clock())),
            lambda job: urls(members, members.leaving_with(job, self.clock())),
            self.clock,
        )
        return JobService(
            gateway,
            JobStore(client, self.clock),
            peers,
            create_segment_status_reader(
                session,
                results,
                lambda: results_watcher_url(
                    members, store_path.reachable, self.clock()
                ),
            ),
            settings.job_retention_seconds,
            settings.settle_seconds,
            lambda: store_path.reachable,
            settings.cancel_seconds,
        )

    def _create_services(
        self,
        gateway: Gateway,
        client: PlatformClient,
        store_path: StorePath,
        jobs: JobService,
        results: ResultsWatch,
        incarnation: Incarnation,
    ) -> list[Service]:
        """Return the services in the order in which they start."""
        settings = self.settings
        heartbeats = HeartbeatService(
            gateway,
            incarnation,
            settings.failure_domain,
            (settings.ip, settings.peer_port),
            jobs,
            lambda: store_path.reachable,
            settings.link_bytes,
        )
        address = f"{settings.ip}:{settings.peer_port}"
        members = gateway.members
        read_peers = create_peer_reader(
            self.sessions[1],
            lambda: urls(
                members, [p.host for p in peers_by_version(members, self.clock())]
            ),
        )
        self.watcher = PlatformWatcher(gateway, client, read_peers)
        watchers: list[Service] = [self.watcher]
        if settings.evacuation_seconds is not None:
            watchers.append(EvacuationWatcher(gateway, client, self.watcher))
        return [
            heartbeats,
            store_path,
            *watchers,
            Registration(gateway, client, incarnation, address),
            Watchdog(gateway),
            RunnerPathService(gateway.paths),
            QuarantineStore(gateway, client),
            RequestLimiterService(gateway.request_limiter),
            RetirementService(gateway, client),
            results,
            jobs,
        ]

    async def _open_servers(
        self, gateway: Gateway, jobs: JobApi, results: ResultsWatch
    ) -> None:
        settings = self.settings
        await self._serve_metrics()
        relay = create_relay_handler(settings.platform, self.sessions[1])
        serve_lists = create_lists_handler(self.watcher)
        read_job = create_jobs_handler(jobs.service.views, jobs.service.hand_over)
        read_listed = create_segment_status_handler(results)

        async def handle(request: BaseRequest) -> web.StreamResponse:
            if request.raw_path.startswith(PREFIX):
                return await relay(request)
            if request.raw_path.startswith(JOBS_PATH):
                return await read_job(request)
            if request.raw_path.startswith(LISTED_PATH):
                return await read_listed(request)
            if request.raw_path == PEER_BOOTSTRAP_PATH:
                return await serve_lists(request)
            return web.Response(status=404)

        server = web.Server(handle, request_factory=_create_request, access_log=None)
        calls_address = f"{settings.ip}:{settings.peer_port + CALLS_PORT_OFFSET}"
        await self._listen(calls_address, server)
        heartbeat_address = f"{settings.ip}:{settings.peer_port}"
        await self._listen(heartbeat_address, self.tunnels.create_protocol)
        if settings.readiness is not None:
            handler = create_readiness_handler(gateway)
            await self._listen(settings.readiness, web.Server(handler))
        if settings.ingress is not None:
            ingress = CallerServer(
                create_ingress_handler(gateway, jobs),
                gateway.caller_limits,
                request_factory=_create_request,
                handler_cancellation=True,
                keepalive_timeout=IDLE_SECONDS,
                access_log=None,
                # Bodies go to the runner as they are.
                auto_decompress=False,
            )
            listener = await self._listen(settings.ingress, ingress)
            self.ingress = Ingress(
                ingress, listener, gateway.busy_connections, self.clock
            )
            timeouts = ConnectionTimeouts(gateway, ingress)
            self.services.append(timeouts)
            await timeouts.start()

    async def _listen(
        self, address: str, server: Callable[[], asyncio.Protocol]
    ) -> asyncio.Server:
        """Listen on an address and return the listener, which is closed on stop.

        :param server: returns the protocol of a new connection
        """
        host, port = address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server, host, int(port), backlog=512)
        self.servers.append(listener)
        return listener

    async def _serve_metrics(self) -> None:
        """Serve the metrics; a failure to listen does not stop the host."""
        server = web.Server(self._metrics, access_log=None)
        try:
            await self._listen(f"{self.settings.ip}:{METRICS_PORT}", server)
        except OSError as error:
            log.warning("metrics not served", port=METRICS_PORT, reason=str(error))

    async def _metrics(self, request: BaseRequest) -> web.Response:
        return web.Response(
            body=generate_latest(self.metrics.registry), content_type="text/plain"
        )

    async def drain(self) -> None:
        """Fail readiness, wait for the balancer, then finish the open requests."""
        started = self.clock()
        end = started + self.settings.stop_seconds - STOP_MARGIN_SECONDS
        self.gateway.begin_stop(end)
        log.info("host stops", open_requests=len(self.gateway.open_requests))
        await asyncio.sleep(min(BALANCER_SECONDS, max(0.0, end - self.clock())))
        if self.ingress is not None:
            await self.ingress.close(end)
        with suppress(TimeoutError):
            async with asyncio.timeout(end - self.clock()):
                await self.tunnels.unused.wait()
        log.info("host drained", open_requests=len(self.gateway.open_requests))

    async def on_stop(self) -> None:
        """Stop the services and close the sockets."""
        for service in reversed(self.services):
            await service.stop()
        for server in self.servers:
            server.close()
        if self.ingress is not None:
            await self.ingress.server.shutdown(0.1)
        for session in self.sessions:
            await session.close()
        log.info("host stopped", host=self.settings.host, **self._store_calls())

    def _store_calls(self) -> dict[str, int]:
        """Return how many calls to the store this process made, by their labels."""
        calls = self.metrics.by_name["platform_calls"]
        samples = calls.collect()[0].samples
        return {
            "_".join(sample.labels.values()).replace(" ", "_"): int(sample.value)
            for sample in samples
            if sample.name.endswith("_total")
        }


def _create_request(message, payload, protocol, writer, task) -> BaseRequest:
    return BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        protocol._loop,
        client_max_size=MAX_BODY_BYTES,
    )


def create_fleet_host(settings: NodeSettings, clock: Clock = boottime) -> Host:
    """Return a host that has not been started yet.

    :param settings: settings from the platform
    :param clock: local time
    """
    return Host(settings, clock)
