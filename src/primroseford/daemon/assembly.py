"""Puts the services of one host together."""

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
class Parts:
    """The services of a host, in the order in which they start."""

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
        """State of the online requests."""
        return self.application[ONLINE_STATE]

    def services(self) -> tuple[Service, ...]:
        """Return the services that start after the peer network, in order."""
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
    """Return a digest of the settings that must be equal on every host.

    :param settings: settings of this host
    """
    return hashlib.sha256(settings.limits.model_dump_json().encode()).hexdigest()[:16]


async def assemble(settings: Settings, metrics: Metrics, clock: Clock) -> Parts:
    """Return the services of a host; only the peer network is started.

    :param settings: checked settings
    :param metrics: where all services count
    :param clock: local time
    """
    secret = read_secret(settings.peer_secret_file)
    session = create_session()
    client = create_platform_client(settings.platform, session, clock, None, metrics)
    own = HostInfo(
        HostId(settings.host),
        Incarnation(uuid.uuid4().hex),
        settings.peer_listen,
        FailureDomainId(settings.failure_domain),
    )
    members: list[Membership] = []
    peers = create_peer_network(
        own,
        secret,
        clock,
        lambda host: members[0].resolve(host) if members else None,
        settings_digest=fleet_settings_digest(settings),
        metrics=metrics,
    )
    try:
        await peers.start()
    except BaseException:
        await session.close()
        raise
    own = HostInfo(
        own.host_id, own.incarnation, peers.address, own.failure_domain, own.state
    )
    membership = create_membership(own, peers, client, clock, settings.peers)
    members.append(membership)
    return _assemble_on(
        settings, metrics, clock, own, session, client, peers, membership
    )


def _assemble_on(
    settings: Settings,
    metrics: Metrics,
    clock: Clock,
    own: HostInfo,
    session: aiohttp.ClientSession,
    client: PlatformClient,
    peers: PeerNetwork,
    membership: Membership,
) -> Parts:
    leases = create_lease_keeper(client, own.host_id, own.incarnation, clock)
    configuration = create_configuration_service(
        own.host_id, client, peers, membership, rank_hosts, clock
    )
    store = configuration.store
    limiter = create_limiter(
        own,
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
        own.host_id,
        client,
        peers,
        clock,
        limiter.group_of,
        limiter.owner_of,
        limiter.owns,
    )
    tracker = create_runner_tracker(
        own.host_id, own.failure_domain, clock, is_leaving=membership.is_leaving
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
    calls = BatchClient(client)
    jobs = JobStore(calls, FileStore(calls, time.time), time.time)
    context = FeederContext(
        jobs=jobs,
        claimer=Claimer(jobs, Holder(own.host_id, own.incarnation), clock),
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
        own.host_id,
        context,
        membership,
        rank_hosts,
        peers,
        tracker.online_in_flight,
        settings.batch.retention_days * SECONDS_PER_DAY,
    )
    tracker.on_online_change(batch.online_load_changed)
    store.subscribe(JOBS, _job_changes(context.index))
    add_batch_routes(application, BatchApi(store, jobs.files, jobs, batch.end_job))
    return Parts(
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


def _job_changes(index: JobIndex) -> Callable[[Sequence[Change]], None]:
    def take(changes: Sequence[Change]) -> None:
        for change in changes:
            content = change.decode()
            if content is None:
                index.end(change.name)
                continue
            try:
                index.apply(change.name, decode_job(content["spec"]))
            except (TypeError, ValueError, KeyError):
                log.warning("job header not readable", job=change.name)

    return take


def _live_incarnations(membership: Membership) -> Callable[[], frozenset[str]]:
    def live() -> frozenset[str]:
        return frozenset(host.incarnation for host in membership.hosts())

    return live
