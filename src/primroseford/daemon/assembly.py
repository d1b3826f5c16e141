"""Assembles the components of one host."""

from __future__ import annotations

import hashlib
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from primroseford.batch.claimed_chunk import Claimer
from primroseford.batch.claimed_chunk import Holder
from primroseford.batch.counters import create_batch_counters
from primroseford.batch.feeder import FeederContext
from primroseford.batch.files import FileStore
from primroseford.batch.index import JobIndex
from primroseford.batch.jobs import JobStore
from primroseford.batch.load import LoadView
from primroseford.batch.platform_client import BatchClient
from primroseford.batch.routes import BatchApi
from primroseford.batch.routes import add_batch_routes
from primroseford.batch.runners import create_run_item
from primroseford.batch.service import BatchService
from primroseford.batch.state import JOBS
from primroseford.batch.state import decode_job
from primroseford.batch.tracked_items import create_tracked_run_item
from primroseford.configuration.service import create_configuration_service
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.lease.keeper import create_lease_keeper
from primroseford.limits.lookup import create_limit_lookup
from primroseford.limits.service import create_limiter
from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.service import create_membership
from primroseford.membership.state import HostInfo
from primroseford.online.application import ONLINE_STATE
from primroseford.online.application import create_online_application
from primroseford.online.claims import create_claims
from primroseford.online.exchange import create_runner_session
from primroseford.orders.service import create_order_service
from primroseford.peer.handshake import read_secret
from primroseford.peer.network import create_peer_network
from primroseford.platform.client import create_platform_client
from primroseford.platform.transport import create_session
from primroseford.routing.poller import create_load_poller
from primroseford.routing.tracker import create_runner_tracker

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    import aiohttp
    from aiohttp import web
    from mode import Service

    from primroseford.clock import Clock
    from primroseford.configuration.objects import Change
    from primroseford.configuration.service import ConfigurationService
    from primroseford.daemon.settings import Settings
    from primroseford.lease.keeper import LeaseKeeper
    from primroseford.limits.service import Limiter
    from primroseford.membership.service import Membership
    from primroseford.metrics import Metrics
    from primroseford.online.state import OnlineState
    from primroseford.orders.service import OrderService
    from primroseford.peer.network import PeerNetwork
    from primroseford.platform.client import PlatformClient
    from primroseford.routing.poller import LoadPoller
    from primroseford.routing.tracker import RunnerTracker

log = structlog.get_logger()

SECONDS_PER_DAY = 86_400.0


@dataclass
class HostComponents:
    """The services, clients and applications of a host."""

    session: aiohttp.ClientSession
    runner_session: aiohttp.ClientSession
    client: PlatformClient
    peers: PeerNetwork
    membership: Membership
    leases: LeaseKeeper
    configuration: ConfigurationService
    limiter: Limiter
    tracker: RunnerTracker
    poller: LoadPoller
    orders: OrderService
    batch: BatchService
    application: web.Application

    @property
    def online(self) -> OnlineState:
        """State of online serving."""
        return self.application[ONLINE_STATE]

    def services(self) -> tuple[Service, ...]:
        """Return the services that start after the peer network, in start order."""
        return (
            self.leases,
            self.membership,
            self.configuration,
            self.limiter,
            self.poller,
            self.orders,
            self.batch,
        )


def fleet_settings_digest(settings: Settings) -> str:
    """Return a digest of the settings that must be equal on all hosts.

    :param settings: settings of this host
    """
    return hashlib.sha256(settings.limits.model_dump_json().encode()).hexdigest()[:16]


async def assemble(
    settings: Settings, metrics: Metrics, clock: Clock
) -> HostComponents:
    """Create the components of a host and start its peer network.

    The peer network starts first, because the membership needs the address on which
    it listens.

    :param settings: validated settings
    :param metrics: metrics of the host
    :param clock: local time
    """
    secret = read_secret(settings.peer_secret_file)
    session = create_session()
    client = create_platform_client(settings.platform, session, clock, None, metrics)
    own_info = HostInfo(
        HostId(settings.host),
        Incarnation(uuid.uuid4().hex),
        settings.peer_listen,
        FailureDomainId(settings.failure_domain),
    )
    late_membership: list[Membership] = []
    peers = create_peer_network(
        own_info,
        secret,
        clock,
        lambda host: late_membership[0].resolve(host) if late_membership else None,
        settings_digest=fleet_settings_digest(settings),
        metrics=metrics,
    )
    try:
        await peers.start()
    except BaseException:
        await session.close()
        raise
    own_info = HostInfo(
        own_info.host_id,
        own_info.incarnation,
        peers.address,
        own_info.failure_domain,
        own_info.state,
    )
    membership = create_membership(own_info, peers, client, clock, settings.peers)
    late_membership.append(membership)
    return _assemble_components(
        settings, metrics, clock, own_info, session, client, peers, membership
    )


def _assemble_components(
    settings: Settings,
    metrics: Metrics,
    clock: Clock,
    own_info: HostInfo,
    session: aiohttp.ClientSession,
    client: PlatformClient,
    peers: PeerNetwork,
    membership: Membership,
) -> HostComponents:
    leases = create_lease_keeper(client, own_info.host_id, own_info.incarnation, clock)
    configuration = create_configuration_service(
        own_info.host_id, client, peers, membership, rank_hosts, clock
    )
    store = configuration.store
    limiter = create_limiter(
        own_info,
        membership,
        peers,
        leases,
        create_limit_lookup(store.current),
        clock,
        groups=settings.limits.groups,
        floor_hosts=settings.limits.floor_hosts,
        metrics=metrics,
    )
    claims = create_claims(
        own_info.host_id,
        client,
        peers,
        clock,
        limiter.group_of,
        limiter.owner_of,
        limiter.owns,
    )
    tracker = create_runner_tracker(
        own_info.host_id,
        own_info.failure_domain,
        clock,
        is_leaving=membership.is_leaving,
    )
    runner_session = create_runner_session()
    application = create_online_application(
        store,
        tracker=tracker,
        clock=clock,
        metrics=metrics,
        gate=lambda: configuration.check_admission(clock()),
        limiter=limiter,
        claims=claims,
    )
    batch_client = BatchClient(client)
    jobs = JobStore(batch_client, FileStore(batch_client, time.time), time.time)
    context = FeederContext(
        jobs=jobs,
        claimer=Claimer(jobs, Holder(own_info.host_id, own_info.incarnation), clock),
        run_item=create_tracked_run_item(
            create_run_item(runner_session),
            tracker,
            application[ONLINE_STATE].allocator.release,
        ),
        limiter=limiter,
        configuration=store,
        clock=clock,
        index=JobIndex(),
        load=LoadView(tracker.online_in_flight),
        load_report=tracker.reported_load,
        live=_live_incarnations(membership),
        counters=create_batch_counters(metrics),
    )
    batch = BatchService(
        own_info.host_id,
        context,
        membership,
        rank_hosts,
        peers,
        tracker.online_in_flight,
        settings.batch.retention_days * SECONDS_PER_DAY,
    )
    tracker.on_online_change(batch.online_load_changed)
    store.subscribe(JOBS, _create_job_subscriber(context.index))
    add_batch_routes(application, BatchApi(store, jobs.files, jobs, batch.end_job))
    return HostComponents(
        session,
        runner_session,
        client,
        peers,
        membership,
        leases,
        configuration,
        limiter,
        tracker,
        create_load_poller(
            store,
            tracker,
            runner_session,
            metrics,
            lambda: [tracker.view_of(*pair) for pair in batch.assigned_engines()],
        ),
        create_order_service(leases, session, clock=clock, metrics=metrics),
        batch,
        application,
    )


def _create_job_subscriber(index: JobIndex) -> Callable[[Sequence[Change]], None]:
    def apply_changes(changes: Sequence[Change]) -> None:
        for change in changes:
            content = change.decode()
            if content is None:
                index.end(change.name)
                continue
            try:
                index.apply(change.name, decode_job(content["spec"]))
            except (TypeError, ValueError, KeyError):
                log.warning("job header cannot be decoded", job=change.name)

    return apply_changes


def _live_incarnations(membership: Membership) -> Callable[[], frozenset[str]]:
    def live() -> frozenset[str]:
        return frozenset(host.incarnation for host in membership.hosts())

    return live
