"""Membership of the fleet from the platform's list and heartbeats."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.ids import Incarnation
from primroseford.membership import view as views
from primroseford.membership.gen.messages.ttypes import DomainView
from primroseford.membership.gen.messages.ttypes import Heartbeat
from primroseford.membership.gen.messages.ttypes import Member
from primroseford.membership.gen.messages.ttypes import View
from primroseford.membership.messages import host_of
from primroseford.membership.messages import member_of
from primroseford.membership.messages import to_milliseconds
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState
from primroseford.membership.state import ListedHost

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.peer.network import PeerNetwork
    from primroseford.platform.client import PlatformClient

KIND_HEARTBEAT = 100
CALL_TIMEOUT_SECONDS = 0.8
LIST_SECONDS = 1.0
STATUS_INTERVAL_SECONDS = 3.0
MAX_SEEDS_PER_ROUND = 3
# Time after which an aggregator that did not answer is tried again.
AGGREGATOR_RETRY_SECONDS = 10.0

log = structlog.get_logger()


class Membership(Service):
    """Membership of the fleet, by heartbeats to the aggregators of each domain.

    :param own: this host with the address it listens on
    :param network: connections to the other hosts
    :param client: client of the platform's service
    :param clock: local time
    :param seeds: peer addresses to contact while the platform is down
    :ivar version: number that increases with each change of the hosts or leaving names
    :ivar current: known hosts, sorted by name
    :ivar leaving: names and addresses of leaving hosts and backend servers
    :ivar failed_at: local time since which calls to a host fail
    :ivar unverified: addresses of hosts of this domain that only other domains report
    """

    def __init__(
        self,
        own: HostInfo,
        network: PeerNetwork,
        client: PlatformClient,
        clock: Clock,
        seeds: tuple[str, ...] = (),
    ) -> None:
        super().__init__()
        self.view = views.FleetView(own)
        self.network = network
        self.client = client
        self.clock = clock
        self.seeds = seeds
        self.version = 1
        self.callbacks: list[Callable[[], None]] = []
        self.current: tuple[HostInfo, ...] = (own,)
        self.leaving: frozenset[str] = frozenset()
        self.digest = views.digest(self.current, self.leaving)
        self.aggregator = True
        self.heartbeat_rounds = 0
        self.failed_at: dict[HostId, float] = {}
        self.status_exchanged_at = -STATUS_INTERVAL_SECONDS
        self.status_versions: dict[str, int] = {}
        self.unverified: dict[HostId, str] = {}
        self.listed_at = -LIST_SECONDS
        network.register(KIND_HEARTBEAT, Heartbeat, self.answer, View)

    def hosts(self) -> tuple[HostInfo, ...]:
        """Return the hosts of the fleet, sorted by name, this one included.

        Leaving and suspected hosts are included.
        """
        return self.current

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a function to be called after each change of the version.

        :param callback: called without arguments on the event loop
        """
        self.callbacks.append(callback)

    def is_leaving(self, name: str) -> bool:
        """Return whether a host or a backend server is about to stop.

        :param name: name or address
        """
        return name in self.leaving

    def resolve(self, host_id: HostId) -> str | None:
        """Return the peer address of a host, or ``None`` if it is unknown.

        :param host_id: name of the host
        """
        for host in self.current:
            if host.host_id == host_id:
                return host.address
        for listed in self.view.listed:
            if listed.entry and listed.name == host_id:
                return listed.address
        return self.unverified.get(host_id)

    async def leave(self) -> None:
        """Announce that this host is about to stop."""
        self.view.own = replace(self.view.own, state=HostState.LEAVING)
        self.refresh()
        await self.run_heartbeat_round()

    def refresh(self) -> None:
        """Recompute hosts and version; run the callbacks after a change."""
        now = self.clock()
        views.expire(self.view, self.aggregator, now)
        hosts = views.known_hosts(self.view, self.aggregator, now)
        leaving = views.leaving_names(self.view) | {
            identifier
            for host in hosts
            if host.state is HostState.LEAVING
            for identifier in (host.host_id, host.address)
        }
        ranked = views.aggregators_of(self._domain(), self._reachable(hosts))
        names = [host.host_id for host in ranked]
        aggregator = self.view.own.host_id in names
        if aggregator and not self.aggregator:
            views.start_monitoring(self.view)
        self.aggregator = aggregator
        if hosts == self.current and leaving == self.leaving:
            return
        self.current, self.leaving = hosts, leaving
        self.digest = views.digest(hosts, leaving)
        self.version += 1
        for callback in self.callbacks:
            callback()

    async def answer(self, sender: HostId, message: Heartbeat) -> View:
        """Apply a heartbeat and return what has changed for the sender.

        :param sender: the authenticated peer
        :param message: its heartbeat
        :raises PrimrosefordError: PEER_PROTOCOL if it names another host
        """
        if message.member is None or message.member.host_id != sender:
            raise PrimrosefordError(
                ResultCode.PEER_PROTOCOL,
                "the heartbeat names another host than its sender",
            )
        now = self.clock()
        self.failed_at.pop(sender, None)
        domain = FailureDomainId(message.failure_domain)
        # Avoid a pass over the whole fleet for a heartbeat without changes.
        if views.apply_heartbeat(self.view, host_of(message.member, domain), now):
            self.refresh()
        digest = self.digest
        own = self._domain()
        ages = {
            name: to_milliseconds(now - table.confirmed_at)
            for name, table in self.view.domains.items()
        }
        if self.aggregator:
            ages[own] = 0
        if digest != message.digest:
            domains = [self._domain_view(name, ages) for name in {*ages, own}]
        elif message.aggregator and domain == own:
            domains = [self._domain_view(own, ages)]
        else:
            domains = []
        member = member_of(self.view.own, 0)
        return View(digest, ages, domains, sorted(self.leaving), own, member)

    async def run_heartbeat_round(self) -> None:
        """Send one round of heartbeats and apply the answers."""
        self.heartbeat_rounds += 1
        targets = self._heartbeat_targets()
        reached = await asyncio.gather(*(self._exchange_heartbeat(t) for t in targets))
        if self.aggregator or not any(reached):
            await self._contact_unknown_hosts()
        self.refresh()

    @Service.task
    async def send_heartbeats(self) -> None:
        """Run heartbeat rounds periodically."""
        while not self.should_stop:
            await self.run_heartbeat_round()
            await self.sleep(views.BEAT_SECONDS)

    @Service.task
    async def poll_platform(self) -> None:
        """Read the platform's lists and write the status of the domain periodically."""
        while not self.should_stop:
            await self.exchange_with_platform()
            await self.sleep(LIST_SECONDS)

    async def exchange_with_platform(self) -> None:
        """List the hosts; the first aggregator also writes the domain's status."""
        alone = len(self.current) == 1
        if not (self.aggregator or alone):
            return
        try:
            await self._read_list()
            now = self.clock()
            if (
                self.aggregator
                and now - self.status_exchanged_at >= STATUS_INTERVAL_SECONDS
            ):
                self.status_exchanged_at = now
                await self._exchange_status()
        except PrimrosefordError as error:
            log.warning("membership cannot reach the platform", code=int(error.code))
        self.refresh()

    async def _read_list(self) -> None:
        listing = await self.client.list("hosts")
        self.view.listed = tuple(
            ListedHost(
                name=item.name,
                address=str(item.spec.get("address", "")),
                entry=item.spec.get("role") == "entry",
                leaving=item.spec.get("state") == "leaving",
            )
            for item in listing.items
        )
        # This host's own list replaces the one relayed by an aggregator.
        self.view.relayed_leaving = frozenset()

    async def _exchange_status(self) -> None:
        domain = self._domain()
        listing = await self.client.list("domainstatus")
        current = {item.name: item for item in listing.items}
        for name, item in current.items():
            if name != domain:
                self._apply_status(FailureDomainId(name), item.spec, item.version)
        ranked = views.aggregators_of(domain, self._reachable(self.current))
        if not ranked or ranked[0].host_id != self.view.own.host_id:
            return
        members = [
            [h.host_id, h.incarnation, h.address, h.state is HostState.LEAVING]
            for h in self.current
            if h.failure_domain == domain
        ]
        spec = {"members": members, "beats": self.heartbeat_rounds}
        known = current.get(domain)
        if known is None:
            await self.client.create("domainstatus", domain, spec)
        else:
            await self.client.update("domainstatus", domain, spec, known.version)

    def _apply_status(self, domain: FailureDomainId, spec: dict, version: int) -> None:
        # The stored status has no age in local time. Only a change of its version since
        # the last read proves that it is recent.
        now = self.clock()
        seen = self.status_versions.get(domain)
        self.status_versions[domain] = version
        if seen is None or seen == version:
            return
        try:
            records = [
                views.MemberRecord(host_of(Member(n, i, a, leaving), domain), now)
                for n, i, a, leaving in spec.get("members", [])
            ]
        except (TypeError, ValueError):
            log.warning("domain status is malformed", failure_domain=domain)
            return
        views.merge_domain(self.view, domain, now, records, True, now)

    async def _exchange_heartbeat(self, host: HostInfo) -> bool:
        own = self.view.own
        member = member_of(own, 0)
        digest = self.digest
        heartbeat = Heartbeat(own.failure_domain, member, digest, self.aggregator)
        sent_at = self.clock()
        try:
            response = await self.network.call(
                host.host_id, KIND_HEARTBEAT, heartbeat, CALL_TIMEOUT_SECONDS
            )
        except PrimrosefordError:
            self.failed_at.setdefault(host.host_id, sent_at)
            return False
        self.failed_at.pop(host.host_id, None)
        if response.member is not None and response.member.host_id == host.host_id:
            domain = FailureDomainId(response.failure_domain)
            views.apply_heartbeat(self.view, host_of(response.member, domain), sent_at)
        self._apply_view(response, digest, sent_at)
        return True

    def _apply_view(self, received: View, digest: int, sent_at: float) -> None:
        own = self._domain()
        if received.digest == digest:
            for domain, age in (received.ages_ms or {}).items():
                views.confirm_domain(self.view, domain, sent_at - age / 1000)
        for table in received.domains or []:
            domain = FailureDomainId(table.failure_domain)
            if self.aggregator and domain == own != received.failure_domain:
                # Another domain's table of this domain is older than the heartbeats
                # received here and would restore removed hosts. Use it only to find
                # hosts to contact.
                self.unverified = {HostId(m.host_id): m.address for m in table.members}
                continue
            records = [
                views.MemberRecord(host_of(m, domain), sent_at - m.age_ms / 1000)
                for m in table.members
            ]
            remove_missing = not (domain == own and self.aggregator)
            confirmed_at = sent_at - table.age_ms / 1000
            views.merge_domain(
                self.view, domain, confirmed_at, records, remove_missing, sent_at
            )
        if not self.aggregator and received.domains:
            self.view.relayed_leaving = frozenset(received.leaving or ())
            self.view.listed = ()

    def _heartbeat_targets(self) -> list[HostInfo]:
        hosts = self._reachable(self.current)
        own = self._domain()
        targets = views.aggregators_of(own, hosts)
        others = sorted({host.failure_domain for host in hosts} - {own})
        if self.aggregator and others:
            next_domain = others[self.heartbeat_rounds % len(others)]
            targets += views.aggregators_of(next_domain, hosts)[:1]
        return [host for host in targets if host.host_id != self.view.own.host_id]

    async def _contact_unknown_hosts(self) -> None:
        # Hosts that started at the same time, or on one side of a network partition,
        # may know only each other. The platform's list and the seeds reconnect them.
        known = {host.host_id for host in self.current}
        names = [HostId(h.name) for h in self.view.listed if h.entry]
        names += sorted(set(self.unverified) - set(names))
        if len(known) == 1:
            names += await self._identify_seeds()
        names = [name for name in names if name not in known]
        start = self.heartbeat_rounds % max(1, len(names))
        for name in (names[start:] + names[:start])[:MAX_SEEDS_PER_ROUND]:
            seed = HostInfo(name, Incarnation(""), "", FailureDomainId(""))
            if await self._exchange_heartbeat(seed):
                return
            self.unverified.pop(name, None)

    async def _identify_seeds(self) -> list[HostId]:
        names = []
        for address in self.seeds:
            if address == self.view.own.address:
                continue
            try:
                names.append(await self.network.identify(address))
            except PrimrosefordError as error:
                log.info("seed is unreachable", address=address, code=int(error.code))
        return names

    def _reachable(self, hosts: tuple[HostInfo, ...]) -> tuple[HostInfo, ...]:
        now = self.clock()
        for name, failed_at in list(self.failed_at.items()):
            if now - failed_at > AGGREGATOR_RETRY_SECONDS:
                del self.failed_at[name]
        return tuple(
            host
            for host in hosts
            if now - self.failed_at.get(host.host_id, now)
            < views.SUSPECT_TIMEOUT_SECONDS
        )

    def _domain_view(self, domain: FailureDomainId, ages: dict) -> DomainView:
        now = self.clock()
        table = self.view.domains.get(domain)
        members = [
            member_of(record.info, to_milliseconds(now - record.heartbeat_at))
            for record in (table.records.values() if table else ())
        ]
        if domain == self._domain():
            members.append(member_of(self.view.own, 0))
        return DomainView(domain, ages.get(domain, 0), members)

    def _domain(self) -> FailureDomainId:
        return self.view.own.failure_domain


def create_membership(
    own: HostInfo,
    network: PeerNetwork,
    client: PlatformClient,
    clock: Clock,
    seeds: tuple[str, ...] = (),
) -> Membership:
    """Return the membership service of a host.

    :param own: this host with the address it listens on
    :param network: connections to the other hosts
    :param client: client of the platform's service
    :param clock: local time
    :param seeds: peer addresses to contact while the platform is down
    """
    return Membership(own, network, client, clock, seeds)
