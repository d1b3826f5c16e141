"""Heartbeats between hosts: loads, admissions, and the jobs that each host runs.

In a large fleet relays forward them (:mod:`primroseford.gateway.relay`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Protocol

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.gateway.gen.messages.ttypes import Bundle
from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.gen.messages.ttypes import JobProgress
from primroseford.gateway.gen.messages.ttypes import RunnerLoad
from primroseford.gateway.leaving_runners import reported_runners
from primroseford.gateway.members import MAX_AGE_MS
from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.preemption import choose_preemption_host
from primroseford.gateway.quarantine_reports import apply_heartbeat
from primroseford.gateway.quarantine_reports import fill_heartbeat
from primroseford.gateway.relay import RELAY_SECONDS
from primroseford.gateway.relay import Relay
from primroseford.gateway.relay import split_bundle
from primroseford.gateway.runner_starts import received_restarts
from primroseford.gateway.runner_starts import reported_restarts
from primroseford.gateway.spending_reports import SpendingReports
from primroseford.gateway.spending_reports import report_lag
from primroseford.gateway.stream_records import is_about_streams
from primroseford.ids import HostId
from primroseford.ids import JobId
from primroseford.ids import RunnerName
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.gateway.members import Peer
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import FailureDomainId
    from primroseford.ids import Incarnation
    from primroseford.jobs.state import JobReport

IDLE_HEARTBEAT_SECONDS = 0.3
"""Heartbeat interval of a host whose state does not change."""
SILENT_HOST_RESERVE_SECONDS = 30.0
"""Time for which a silent host's share of the rate limits stays reserved. It is longer
than network partitions between hosts usually last."""

BUNDLE_PORT_OFFSET = 1
"""Offset of the port for bundles from the port for heartbeats."""

log = structlog.get_logger()


class JobReporter(Protocol):
    """Jobs of this host, as the heartbeat service needs them.

    :ivar announce: sends a heartbeat at once
    """

    announce: Callable[[], None]

    def reported_jobs(self) -> dict[JobId, JobReport]:
        """Return reports on the jobs that this host runs or has recently run."""

    def reported_cancellations(self) -> list[JobId]:
        """Return the jobs that callers recently cancelled at this host."""

    def waiting_items(self) -> tuple[int, int]:
        """Return the numbers of waiting items that can be in time, and of late ones."""

    def is_stalled(self) -> bool:
        """Return whether this host can neither run jobs nor take them over.

        It stands still, or has no configuration.
        """

    def scan_age(self) -> float | None:
        """Return the age in seconds of the newest scan of all jobs, if made here."""

    def cancellation_scan_age(self) -> float | None:
        """Return the age in seconds of the last scan for cancellations made here."""

    def apply_cancellation(self, job: JobId, *, reported_by: HostId) -> None:
        """Stop a job that its caller cancelled at another host.

        :param reported_by: host whose heartbeat reported the cancellation
        """

    def preempt_item(self, runner: RunnerName) -> None:
        """Preempt an item on a runner for an online request that waits there."""


class HeartbeatProtocol(asyncio.DatagramProtocol):
    """Receives datagrams with heartbeats or bundles."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        self.receive = receive

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Pass a datagram to the callback."""
        self.receive(data)

    def error_received(self, error: Exception) -> None:
        """Ignore an unreachable host; it is detected by its missing heartbeats."""
        log.debug("heartbeat not delivered", error=str(error))


class HeartbeatService(Service):
    """Sends the state of this host to its peers and applies theirs.

    :param address: IP address and port on which this host receives
    :param jobs: source of job reports, and receiver of cancellations
    :param reaches_store: whether this host can reach the platform's store directly
    :param link: bandwidth of this host's link in bytes a second
    """

    def __init__(
        self,
        gateway: Gateway,
        incarnation: Incarnation,
        domain: FailureDomainId,
        address: tuple[str, int],
        jobs: JobReporter,
        reaches_store: Callable[[], bool],
        link: float,
    ) -> None:
        super().__init__()
        self.gateway = gateway
        self.incarnation = incarnation
        self.domain = domain
        self.address = address
        self.jobs = jobs
        self.reaches_store = reaches_store
        self.sequence = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.bundles: asyncio.DatagramTransport | None = None
        self.relay = Relay(gateway.members, domain, link)
        self.spending = SpendingReports(gateway)
        self.last_jobs: dict[JobId, JobReport] = {}
        self.lost_hosts: set[HostId] = set()
        self.sent_at = 0.0
        gateway.request_preemption = self.request_preemption
        gateway.quarantine.announce = self.send
        gateway.request_limiter.announce = self.send
        jobs.announce = self.send
        gateway.request_limiter.send = self.send_bundle_to
        gateway.streams.send = self.send_bundle_to

    async def on_start(self) -> None:
        """Open the sockets for heartbeats and bundles."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: HeartbeatProtocol(self.receive_direct), local_addr=self.address
        )
        host, port = self.address
        self.bundles, _ = await loop.create_datagram_endpoint(
            lambda: HeartbeatProtocol(self.receive_bundle),
            local_addr=(host, port + BUNDLE_PORT_OFFSET),
        )

    async def on_stop(self) -> None:
        """Send a final heartbeat and close the sockets."""
        self.send()
        self.forward_bundles()
        for transport in (self.transport, self.bundles):
            if transport is not None:
                transport.close()

    @Service.task
    async def beat(self) -> None:
        """Send heartbeats at the interval for changed or unchanged state."""
        await run_periodically(self, self._pause, self._beat)

    @Service.task
    async def relay_heartbeats(self) -> None:
        """Forward collected heartbeats while this host is a relay."""
        await run_periodically(self, lambda: RELAY_SECONDS, self.forward_bundles)

    def _pause(self) -> float:
        return self.gateway.members.interval

    def _beat(self) -> None:
        self.watch_peers()
        changed = (
            self.gateway.allocator.changed
            or self.jobs.reported_jobs() != self.last_jobs
        )
        if changed or self.gateway.clock() - self.sent_at >= IDLE_HEARTBEAT_SECONDS:
            self.send()

    def send(self) -> None:
        """Send a heartbeat to the peers that receive it directly."""
        if self.transport is None or self.transport.is_closing():
            return
        self.sent_at = self.gateway.clock()
        self.gateway.allocator.changed = False
        self.last_jobs = self.jobs.reported_jobs()
        data = encode(self.heartbeat())
        self.relay.record_sent(data)
        for peer in self.relay.direct_receivers(self.gateway.clock()):
            host, port = peer.address.rsplit(":", 1)
            self.transport.sendto(data, (host, int(port)))

    def request_preemption(self, runner: RunnerState) -> None:
        """Ask a host with a batch item on a runner to preempt the item."""
        gateway = self.gateway
        own = gateway.members.own
        batch = {host: items for host, (_, items) in runner.peers.items()}
        batch[own] = runner.batch
        holder = choose_preemption_host(batch, own, gateway.random)
        name = runner.entry.key.name
        if holder is None:
            return
        if holder == own:
            self.jobs.preempt_item(name)
            return
        log.info("preemption requested", runner=name, holder=holder)
        self.send_bundle_to(holder, Bundle(own, [], name))

    def send_bundle_to(self, host: HostId, bundle: Bundle) -> None:
        """Send a bundle to one host, if its address is known."""
        peer = self.gateway.members.peers.get(host)
        if peer is None or self.bundles is None or self.bundles.is_closing():
            return
        self._send_bundle(peer, encode(bundle))

    def forward_bundles(self) -> None:
        """Forward the heartbeats since the last flush, if this host is a relay."""
        now = self.gateway.clock()
        if self.bundles is None or self.bundles.is_closing():
            return
        if not self.relay.is_relay(now):
            self.relay.own_domain.clear()
            self.relay.others.clear()
            return
        encoded: dict[int, list[bytes]] = {}
        for peer, heartbeats in self.relay.drain(now):
            # Receivers in one failure domain share one list, which is encoded once.
            key = id(heartbeats)
            if key not in encoded:
                own = self.gateway.members.own
                parts = split_bundle(heartbeats)
                encoded[key] = [encode(Bundle(own, part)) for part in parts]
            for data in encoded[key]:
                self._send_bundle(peer, data)

    def _send_bundle(self, peer: Peer, data: bytes) -> None:
        host, port = peer.address.rsplit(":", 1)
        self.bundles.sendto(data, (host, int(port) + BUNDLE_PORT_OFFSET))

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the state of this host."""
        gateway = self.gateway
        self.sequence += 1
        tables = gateway.tables
        heartbeat = Heartbeat(
            gateway.members.own,
            self.incarnation,
            f"{self.address[0]}:{self.address[1]}",
            self.domain,
            self.sequence,
            gateway.stopping,
            tables.version if tables else 0,
            gateway.allocator.waiting(),
            self._loads(),
            self.spending.recent(),
            [
                JobProgress(
                    job,
                    report.segments,
                    report.organisation,
                    report.prefix,
                    report.waiting_tokens,
                    # Default values are not sent.
                    report.stopped or None,
                    report.ended or None,
                )
                for job, report in self.last_jobs.items()
            ],
            self.reaches_store(),
            gateway.runner_list_version,
            self.jobs.reported_cancellations(),
            _age_ms(gateway.clock() - gateway.confirmed_at),
            *self.jobs.waiting_items(),
            int(self.relay.link),
            self.relay.bypasses_relay(gateway.clock()),
        )
        heartbeat.jobs_stalled = self.jobs.is_stalled() or None
        scan_age = self.jobs.scan_age()
        heartbeat.job_scan_age_ms = None if scan_age is None else _age_ms(scan_age)
        scan_age = self.jobs.cancellation_scan_age()
        if scan_age is not None:
            heartbeat.cancellation_scan_age_ms = _age_ms(scan_age)
        fill_heartbeat(gateway.quarantine, heartbeat)
        heartbeat.held_parts = gateway.trial_turns.reported()
        gateway.request_limiter.fill_heartbeat(heartbeat)
        gateway.evacuations.fill_heartbeat(heartbeat)
        gateway.cold.fill_heartbeat(heartbeat)
        gateway.speeds.fill_heartbeat(heartbeat)
        gateway.pace.fill_heartbeat(heartbeat)
        leaving = gateway.allocator.leaving
        heartbeat.leaving_runners = leaving.reports(gateway.clock())
        heartbeat.restarted_runners = reported_restarts(
            gateway.runner_list, gateway.clock()
        )
        return heartbeat

    def _loads(self) -> list[RunnerLoad]:
        now = self.gateway.clock()
        loads = []
        for name, runner in self.gateway.allocator.runners.items():
            in_doubt = runner.may_have_restarted and self.gateway.cold.checks(runner)
            suspected = runner.suspect_until > now or in_doubt
            indirect = runner.entry.address in self.gateway.paths.indirect
            if runner.online or runner.batch or suspected or indirect:
                load = RunnerLoad(name, runner.online, runner.batch, suspected)
                # Default values are not sent.
                load.indirect = indirect or None
                loads.append(load)
        return loads

    def receive_direct(self, data: bytes) -> None:
        """Handle a heartbeat that was sent directly by its host."""
        heartbeat = self.receive(data)
        if heartbeat is not None:
            self.relay.collect(heartbeat.host, heartbeat.failure_domain, data)
            self.gateway.allocator.grant()

    def receive_bundle(self, data: bytes) -> None:
        """Handle a bundle: forwarded heartbeats, or messages of its sender."""
        try:
            bundle = decode(Bundle, data)
        except PrimrosefordError as error:
            log.debug("bundle ignored", reason=str(error))
            return
        if bundle.wanted:
            self.jobs.preempt_item(RunnerName(bundle.wanted))
            return
        if bundle.token_asks or bundle.token_grants or bundle.token_returns:
            self.gateway.request_limiter.receive(bundle)
            return
        if is_about_streams(bundle):
            self.gateway.streams.receive(bundle)
            return
        relay = HostId(bundle.relay or "")
        now = self.gateway.clock()
        accepted: dict[HostId, bytes] = {}
        for part in self.relay.remove_echoes(relay, bundle.heartbeats or (), now):
            heartbeat = self.receive(part)
            if heartbeat is not None:
                accepted[HostId(heartbeat.host)] = part
        self.relay.collect_bundle(relay, accepted)
        self.gateway.allocator.grant()

    def receive(self, data: bytes) -> Heartbeat | None:
        """Apply a heartbeat; return ``None`` if it is invalid or out of order."""
        gateway = self.gateway
        try:
            heartbeat = decode(Heartbeat, data)
            previous = gateway.members.receive(heartbeat, gateway.clock())
        except (PrimrosefordError, ValueError) as error:
            log.debug("heartbeat ignored", reason=str(error))
            return None
        host = HostId(heartbeat.host)
        if host in self.lost_hosts:
            self.lost_hosts.discard(host)
            log.info("host sends heartbeats again", peer=host)
        elif previous is None:
            log.info("host joined", peer=host, address=heartbeat.address)
        # Compares the suspicions with those of the heartbeat before.
        gateway.cold.apply_heartbeat(heartbeat)
        gateway.pace.apply_heartbeat(heartbeat)
        gateway.allocator.apply_heartbeat(heartbeat)
        apply_heartbeat(gateway.quarantine, heartbeat)
        gateway.request_limiter.apply_heartbeat(heartbeat)
        gateway.speeds.apply_heartbeat(heartbeat, host)
        gateway.note_evacuations(
            gateway.evacuations.apply_heartbeat(heartbeat, gateway.clock()), host
        )
        for restart in received_restarts(heartbeat):
            gateway.note_restart(restart, seen_by=host)
        for key in reported_runners(heartbeat):
            runner = gateway.allocator.runners.get(key.name)
            if runner is not None and runner.entry.key == key:
                gateway.note_leaving(key, host)
        self.spending.apply(heartbeat, previous is None)
        for job in heartbeat.ended_jobs:
            self.jobs.apply_cancellation(JobId(job), reported_by=host)
        self._apply_confirmation(heartbeat)
        if gateway.on_heartbeat is not None:
            gateway.on_heartbeat(heartbeat)
        return heartbeat

    def _apply_confirmation(self, heartbeat: Heartbeat) -> None:
        """Apply a peer's confirmation that the configuration is current.

        In a large fleet the watch calls of one host are far apart.
        """
        gateway = self.gateway
        tables = gateway.tables
        if tables is not None and heartbeat.configuration == tables.version:
            confirmed_at = gateway.clock() - heartbeat.confirmed_ms_ago / 1000
            gateway.confirmed_at = max(gateway.confirmed_at, confirmed_at)

    def watch_peers(self) -> None:
        """Detect silent hosts, and reserve their share of the rate limits."""
        gateway = self.gateway
        now = gateway.clock()
        silent = gateway.members.silent(now)
        for peer in silent:
            if peer.host not in self.lost_hosts:
                self.lost_hosts.add(peer.host)
                gateway.allocator.remove_host(peer.host)
                gateway.speeds.remove_host(peer.host)
                log.warning(
                    "host sends no heartbeats",
                    peer=peer.host,
                    left=peer.heartbeat.leaving,
                )
        live = len(gateway.members.live(now))
        counted = [
            peer
            for peer in silent
            if not peer.heartbeat.leaving
            and now - peer.heard_at < SILENT_HOST_RESERVE_SECONDS
        ]
        gateway.quotas.report_lag = report_lag(gateway.members.interval)
        gateway.quotas.silent = len(counted)
        gateway.quotas.hosts = 1 + live + len(counted)
        gateway.members.remove_lost(now)


def _age_ms(seconds: float) -> int:
    """Return an age in milliseconds, bounded by the range of the field."""
    return int(min(seconds * 1000, MAX_AGE_MS))
