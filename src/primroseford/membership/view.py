"""What a host knows of the fleet, as a pure state machine.

Freshness always goes back to first-hand news: a record of the own failure domain
carries the time of the host's own heartbeat, and the table of another domain the
time at which an aggregator of that domain vouched for it. Hosts that repeat news
to each other therefore cannot keep a dead host alive.
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

AGGREGATORS = 2
BEAT_SECONDS = 1.0
SUSPECT_SECONDS = 3.0
REMOVE_SECONDS = 6.0
# Another domain is heard of through the platform every few seconds, and through
# one exchange a beat with domains in turn while the platform is down.
DOMAIN_SECONDS = 15.0
REPLACED_SECONDS = 120.0


@dataclass(frozen=True)
class Record:
    """A host and the local time of the last news from itself."""

    info: HostInfo
    heard_at: float


@dataclass
class DomainTable:
    """The hosts of one failure domain.

    :param vouched_at: local time at which an aggregator of the domain vouched
    :param records: hosts by name
    """

    vouched_at: float
    records: dict[HostId, Record] = field(default_factory=dict)


@dataclass
class FleetView:
    """State of the membership on one host.

    :param own: this host
    :param domains: tables by failure domain
    :param replaced: incarnations that others took the place of, with the time
    :param listed: hosts in the platform's list
    :param relayed_leaving: leaving names from an aggregator's list
    """

    own: HostInfo
    domains: dict[FailureDomainId, DomainTable] = field(default_factory=dict)
    replaced: dict[tuple[HostId, Incarnation], float] = field(default_factory=dict)
    listed: tuple[ListedHost, ...] = ()
    relayed_leaving: frozenset[str] = frozenset()


def heard(view: FleetView, info: HostInfo, now: float) -> bool:
    """Apply a host's own heartbeat; return whether it changed the known hosts.

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
        table.records[info.host_id] = Record(info, now)
        return False
    for table in view.domains.values():
        for record in list(table.records.values()):
            if _takes_place(info, record.info):
                del table.records[record.info.host_id]
                key = (record.info.host_id, record.info.incarnation)
                view.replaced[key] = now
    view.domains[info.failure_domain].records[info.host_id] = Record(info, now)
    return True


def merge_domain(
    view: FleetView,
    domain: FailureDomainId,
    vouched_at: float,
    records: list[Record],
    follow: bool,
    now: float,
) -> None:
    """Apply the table of a domain from another host.

    :param view: changed in place
    :param domain: the failure domain
    :param vouched_at: local time at which an aggregator of the domain vouched
    :param records: all of its hosts
    :param follow: whether hosts that the table lacks are dropped
    :param now: local time in seconds
    """
    table = view.domains.setdefault(domain, DomainTable(vouched_at))
    if follow and vouched_at >= table.vouched_at:
        names = {record.info.host_id for record in records}
        for name in [n for n in table.records if n not in names]:
            del table.records[name]
    table.vouched_at = max(table.vouched_at, vouched_at)
    for record in records:
        info = record.info
        key = (info.host_id, info.incarnation)
        if info.host_id == view.own.host_id or key in view.replaced:
            continue
        known = table.records.get(info.host_id)
        if known is None or record.heard_at > known.heard_at:
            heard_before = known is not None and known.info.incarnation
            if heard_before and heard_before != info.incarnation:
                view.replaced[(info.host_id, known.info.incarnation)] = now
            table.records[info.host_id] = record


def confirm_domain(view: FleetView, domain: FailureDomainId, vouched_at: float) -> None:
    """Note that the known table of a domain was vouched for again."""
    table = view.domains.get(domain)
    if table is not None:
        table.vouched_at = max(table.vouched_at, vouched_at)


def expire(view: FleetView, aggregator: bool, now: float) -> None:
    """Remove the hosts that there is no recent news of.

    :param view: changed in place
    :param aggregator: whether this host judges its own domain by heartbeats
    :param now: local time in seconds
    """
    for domain, table in list(view.domains.items()):
        own = domain == view.own.failure_domain
        if own and aggregator:
            for name, record in list(table.records.items()):
                if now - record.heard_at > REMOVE_SECONDS:
                    del table.records[name]
        elif now - table.vouched_at > (REMOVE_SECONDS if own else DOMAIN_SECONDS):
            del view.domains[domain]
    for key, at in list(view.replaced.items()):
        if now - at > REPLACED_SECONDS:
            del view.replaced[key]


def promote(view: FleetView) -> None:
    """Prepare to judge the own domain by heartbeats.

    Each host gets the full time from the last vouching on to send its heartbeat
    here, because it sent none to this host before.
    """
    table = view.domains.get(view.own.failure_domain)
    if table is None:
        return
    for name, record in table.records.items():
        at = max(record.heard_at, table.vouched_at)
        table.records[name] = Record(record.info, at)


def known_hosts(view: FleetView, aggregator: bool, now: float) -> tuple[HostInfo, ...]:
    """Return all hosts by name, this one included.

    :param view: what is known
    :param aggregator: whether this host judges its own domain by heartbeats
    :param now: local time in seconds
    """
    leaving = leaving_names(view)
    found = [view.own]
    for domain, table in view.domains.items():
        judged = aggregator and domain == view.own.failure_domain
        for record in table.records.values():
            silent = judged and now - record.heard_at > SUSPECT_SECONDS
            found.append(_with_state(record.info, leaving, silent))
    return tuple(sorted(found, key=lambda info: info.host_id))


def aggregators_of(domain: str, hosts: tuple[HostInfo, ...]) -> list[HostInfo]:
    """Return the hosts that collect the heartbeats of a failure domain.

    :param domain: the failure domain
    :param hosts: all known hosts
    """
    members = [host for host in hosts if host.failure_domain == domain]
    live = [host for host in members if host.state is HostState.LIVE]
    return rank_hosts(f"aggregator/{domain}", live or members)[:AGGREGATORS]


def leaving_names(view: FleetView) -> frozenset[str]:
    """Return names and addresses of leaving hosts in the platform's list."""
    own = {part for host in view.listed if host.leaving for part in _parts(host)}
    return view.relayed_leaving | own


def digest(hosts: tuple[HostInfo, ...], leaving: frozenset[str]) -> int:
    """Return a signed 64-bit digest of everything a view is answered with."""
    state = xxhash.xxh3_64()
    for host in hosts:
        marked = "l" if host.state is HostState.LEAVING else ""
        state.update(
            f"{host.host_id}\0{host.incarnation}\0{host.address}\0"
            f"{host.failure_domain}\0{marked}\n".encode()
        )
    for name in sorted(leaving):
        state.update(f"{name}\n".encode())
    return state.intdigest() - (1 << 63)


def _takes_place(new: HostInfo, old: HostInfo) -> bool:
    if new.host_id == old.host_id:
        return (
            new.incarnation != old.incarnation
            or new.failure_domain != old.failure_domain
        )
    return new.address == old.address


def _parts(host: ListedHost) -> tuple[str, ...]:
    return tuple(part for part in (host.name, host.address) if part)


def _with_state(info: HostInfo, leaving: frozenset[str], silent: bool) -> HostInfo:
    if info.state is HostState.LEAVING or info.host_id in leaving:
        return replace(info, state=HostState.LEAVING)
    return replace(info, state=HostState.SUSPECTED) if silent else info
