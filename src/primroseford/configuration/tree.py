"""The relay tree that distributes the configuration in a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo

    RankHosts = Callable[[str, Sequence[HostInfo]], Sequence[HostInfo]]

WATCHERS_PER_DOMAIN = 2
"""Hosts of a failure domain that watch the platform; with two, the domain survives the
loss of one."""

FAN_OUT = 8


@dataclass(frozen=True)
class Position:
    """A host's position in the relay tree.

    :param watches: whether the host watches the platform
    :param parent: host to pull from
    :param children: hosts to push to
    :param alternates: hosts to pull from while the parent does not answer
    """

    watches: bool = True
    parent: HostId | None = None
    children: tuple[HostId, ...] = ()
    alternates: tuple[HostId, ...] = ()


def rank_domain_hosts(
    domain: str, hosts: Sequence[HostInfo], rank: RankHosts
) -> list[HostId]:
    """Return the hosts of a failure domain by rank; the first two are its watchers.

    :param domain: failure domain
    :param hosts: known hosts
    :param rank: rendezvous hashing
    """
    members = [h for h in hosts if h.failure_domain == domain]
    return [h.host_id for h in rank(f"configuration/{domain}", members)]


def assign_position(
    host: HostId, hosts: Sequence[HostInfo], rank: RankHosts
) -> Position:
    """Return a host's position in the relay tree.

    A host that is not in the membership yet watches the platform itself.

    :param host: the host
    :param hosts: known hosts
    :param rank: rendezvous hashing
    """
    domains = {h.host_id: h.failure_domain for h in hosts}
    if host not in domains:
        return Position()
    order = rank_domain_hosts(domains[host], hosts, rank)
    index = order.index(host)
    first = WATCHERS_PER_DOMAIN + index * FAN_OUT
    children = tuple(order[first : first + FAN_OUT])
    others = sorted(set(domains.values()) - {domains[host]})
    outside = [w for d in others for w in rank_domain_hosts(d, hosts, rank)[:1]]
    alternates = tuple(h for h in (*order[:WATCHERS_PER_DOMAIN], *outside) if h != host)
    if index >= WATCHERS_PER_DOMAIN:
        parent: HostId | None = order[(index - WATCHERS_PER_DOMAIN) // FAN_OUT]
    else:
        # The two watchers pull from each other, in case the watch of one stalls.
        parent = order[1 - index] if len(order) > 1 else None
    alternates = tuple(h for h in alternates if h != parent)
    return Position(index < WATCHERS_PER_DOMAIN, parent, children, alternates)


def list_watchers(hosts: Sequence[HostInfo], rank: RankHosts) -> list[HostId]:
    """Return the watchers of all failure domains."""
    domains = sorted({h.failure_domain for h in hosts})
    return [
        w
        for d in domains
        for w in rank_domain_hosts(d, hosts, rank)[:WATCHERS_PER_DOMAIN]
    ]
