"""A host's view of the fleet, as a pure state machine.

The age of information is always counted from its origin: for a host of the own failure
domain from its last heartbeat, for the table of another domain from its last
confirmation by an aggregator of that domain. Hosts that relay information to each other
therefore cannot keep a dead host in the view.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import xxhash

from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostInfo
from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from primroseford.ids import FailureDomainId
    from primroseford.ids import HostId
    from primroseford.ids import Incarnation
    from primroseford.membership.state import ListedHost

AGGREGATORS_PER_DOMAIN = 2
BEAT_SECONDS = 1.0
SUSPECT_TIMEOUT_SECONDS = 3.0
REMOVE_TIMEOUT_SECONDS = 6.0
# Other domains are refreshed through the platform every few seconds. While the platform
# is down, each heartbeat round exchanges views with one other domain, round robin.
DOMAIN_TIMEOUT_SECONDS = 15.0
REPLACED_RETENTION_SECONDS = 120.0


@dataclass(frozen=True)
class MemberRecord:
    """A host and the local time of its last heartbeat."""

    info: HostInfo
    heartbeat_at: float


@dataclass
class DomainTable:
    """The hosts of one failure domain.

    :param confirmed_at: local time at which an aggregator of the domain last confirmed
        the table
    :param records: hosts by name
    """

    confirmed_at: float
    records: dict[HostId, MemberRecord] = field(default_factory=dict)


@dataclass
class FleetView:
    """State of the membership on one host.

    :param own: this host
    :param domains: tables by failure domain
    :param replaced: incarnations that others have replaced, with the local time; later
        information on them is ignored
    :param listed: hosts in the platform's list
    :param relayed_leaving: names and addresses of leaving hosts from an aggregator's
        list
    """

    own: HostInfo
    domains: dict[FailureDomainId, DomainTable] = field(default_factory=dict)
    replaced: dict[tuple[HostId, Incarnation], float] = field(default_factory=dict)
    listed: tuple[ListedHost, ...] = ()
    relayed_leaving: frozenset[str] = frozenset()


def apply_heartbeat(view: FleetView, info: HostInfo, now: float) -> bool:
    """Apply a heartbeat; return whether it changed the known hosts.

    :param view: changed in place
    :param info: the host that sent it
    :param now: local time in seconds
    """
    if info.host_id == view.own.host_id:
        return False
    if (info.host_id, info.incarnation) in view.replaced:
        return False
    table = view.domains.setdefault(info.failure_domain, DomainTable(now))
    known = table.records.get(info.host_id)
    if known is not None and known.info == info:
        table.records[info.host_id] = MemberRecord(info, now)
        return False
    for table in view.domains.values():
        for record in list(table.records.values()):
            if _replaces(info, record.info):
                del table.records[record.info.host_id]
                key = (record.info.host_id, record.info.incarnation)
                view.replaced[key] = now
    view.domains[info.failure_domain].records[info.host_id] = MemberRecord(info, now)
    return True


def merge_domain(
    view: FleetView,
    domain: FailureDomainId,
    confirmed_at: float,
    records: list[MemberRecord],
    remove_missing: bool,
    now: float,
) -> None:
    """Merge the table of a domain received from another host.

    :param view: changed in place
    :param domain: the failure domain
    :param confirmed_at: local time at which an aggregator of the domain confirmed it
    :param records: all of its hosts
    :param remove_missing: whether hosts that are not in the table are removed
    :param now: local time in seconds
    """
    table = view.domains.setdefault(domain, DomainTable(confirmed_at))
    if remove_missing and confirmed_at >= table.confirmed_at:
        names = {record.info.host_id for record in records}
        for name in [n for n in table.records if n not in names]:
            del table.records[name]
    table.confirmed_at = max(table.confirmed_at, confirmed_at)
    for record in records:
        info = record.info
        key = (info.host_id, info.incarnation)
        if info.host_id == view.own.host_id or key in view.replaced:
            continue
        known = table.records.get(info.host_id)
        if known is None or record.heartbeat_at > known.heartbeat_at:
            known_incarnation = known is not None and known.info.incarnation
            if known_incarnation and known_incarnation != info.incarnation:
                view.replaced[(info.host_id, known.info.incarnation)] = now
            table.records[info.host_id] = record


def confirm_domain(
    view: FleetView, domain: FailureDomainId, confirmed_at: float
) -> None:
    """Record a newer confirmation of the known table of a domain."""
    table = view.domains.get(domain)
    if table is not None:
        table.confirmed_at = max(table.confirmed_at, confirmed_at)


def expire(view: FleetView, aggregator: bool, now: float) -> None:
    """Remove the hosts and domains without recent information.

    :param view: changed in place
    :param aggregator: whether this host monitors the heartbeats of its own domain
    :param now: local time in seconds
    """
    for domain, table in list(view.domains.items()):
        own = domain == view.own.failure_domain
        if own and aggregator:
            for name, record in list(table.records.items()):
                if now - record.heartbeat_at > REMOVE_TIMEOUT_SECONDS:
                    del table.records[name]
        elif now - table.confirmed_at > (
            REMOVE_TIMEOUT_SECONDS if own else DOMAIN_TIMEOUT_SECONDS
        ):
            del view.domains[domain]
    for key, at in list(view.replaced.items()):
        if now - at > REPLACED_RETENTION_SECONDS:
            del view.replaced[key]


def start_monitoring(view: FleetView) -> None:
    """Prepare for monitoring the heartbeats of the own domain as an aggregator.

    The timeouts of the hosts start at the last confirmation of their table, because
    they have not sent heartbeats to this host before.
    """
    table = view.domains.get(view.own.failure_domain)
    if table is None:
        return
    for name, record in table.records.items():
        at = max(record.heartbeat_at, table.confirmed_at)
        table.records[name] = MemberRecord(record.info, at)


def known_hosts(view: FleetView, aggregator: bool, now: float) -> tuple[HostInfo, ...]:
    """Return all hosts by name, this one included.

    :param view: the view of the fleet
    :param aggregator: whether this host monitors the heartbeats of its own domain
    :param now: local time in seconds
    """
    leaving = leaving_names(view)
    hosts = [view.own]
    for domain, table in view.domains.items():
        monitored = aggregator and domain == view.own.failure_domain
        for record in table.records.values():
            suspected = (
                monitored and now - record.heartbeat_at > SUSPECT_TIMEOUT_SECONDS
            )
            hosts.append(_with_state(record.info, leaving, suspected))
    return tuple(sorted(hosts, key=lambda info: info.host_id))


def aggregators_of(domain: str, hosts: tuple[HostInfo, ...]) -> list[HostInfo]:
    """Return the hosts that collect the heartbeats of a failure domain.

    :param domain: the failure domain
    :param hosts: all known hosts
    """
    members = [host for host in hosts if host.failure_domain == domain]
    live = [host for host in members if host.state is HostState.LIVE]
    return rank_hosts(f"aggregator/{domain}", live or members)[:AGGREGATORS_PER_DOMAIN]


def leaving_names(view: FleetView) -> frozenset[str]:
    """Return names and addresses of leaving hosts in the platform's list."""
    own = {
        identifier
        for host in view.listed
        if host.leaving
        for identifier in _identifiers(host)
    }
    return view.relayed_leaving | own


def digest(hosts: tuple[HostInfo, ...], leaving: frozenset[str]) -> int:
    """Return a signed 64-bit digest of the hosts and leaving names of a view."""
    state = xxhash.xxh3_64()
    for host in hosts:
        leaving_mark = "l" if host.state is HostState.LEAVING else ""
        state.update(
            f"{host.host_id}\0{host.incarnation}\0{host.address}\0"
            f"{host.failure_domain}\0{leaving_mark}\n".encode()
        )
    for name in sorted(leaving):
        state.update(f"{name}\n".encode())
    return state.intdigest() - (1 << 63)


def _replaces(new: HostInfo, old: HostInfo) -> bool:
    if new.host_id == old.host_id:
        return (
            new.incarnation != old.incarnation
            or new.failure_domain != old.failure_domain
        )
    return new.address == old.address


def _identifiers(host: ListedHost) -> tuple[str, ...]:
    return tuple(identifier for identifier in (host.name, host.address) if identifier)


def _with_state(info: HostInfo, leaving: frozenset[str], suspected: bool) -> HostInfo:
    if info.state is HostState.LEAVING or info.host_id in leaving:
        return replace(info, state=HostState.LEAVING)
    return replace(info, state=HostState.SUSPECTED) if suspected else info
