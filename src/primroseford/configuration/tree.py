"""The relay tree of a failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo

    RankHosts = Callable[[str, Sequence[HostInfo]], Sequence[HostInfo]]

WATCHERS = 2
"""Hosts of a failure domain that watch the platform; two survive the loss of one."""

FAN_OUT = 8


@dataclass(frozen=True)
class Position:
    """A host's place in the distribution.

    :param watches: the host watches the platform
    :param parent: host to pull from
    :param children: hosts to push to
    :param alternates: hosts to pull from while the parent does not answer
    """

    watches: bool = True
    parent: HostId | None = None
    children: tuple[HostId, ...] = ()
    alternates: tuple[HostId, ...] = ()


def ranked_domain(
    domain: str, hosts: Sequence[HostInfo], rank: RankHosts
) -> list[HostId]:
    """Return the hosts of a failure domain by rank; the first two are watchers.

    :param domain: failure domain
    :param hosts: known hosts
    :param rank: rendezvous hashing
    """
    members = [h for h in hosts if h.failure_domain == domain]
    return [h.host_id for h in rank(f"configuration/{domain}", members)]


def place_host(host: HostId, hosts: Sequence[HostInfo], rank: RankHosts) -> Position:
    """Return a host's place among the known hosts.

    A host that the membership does not name yet watches by itself.

    :param host: the host to place
    :param hosts: known hosts
    :param rank: rendezvous hashing
    """
    domains = {h.host_id: h.failure_domain for h in hosts}
    if host not in domains:
        return Position()
    order = ranked_domain(domains[host], hosts, rank)
    index = order.index(host)
    first = WATCHERS + index * FAN_OUT
    children = tuple(order[first : first + FAN_OUT])
    others = sorted(set(domains.values()) - {domains[host]})
    outside = [w for d in others for w in ranked_domain(d, hosts, rank)[:1]]
    alternates = tuple(h for h in (*order[:WATCHERS], *outside) if h != host)
    if index >= WATCHERS:
        parent: HostId | None = order[(index - WATCHERS) // FAN_OUT]
    else:
        # The two watchers pull from each other, which repairs a stalled watch.
        parent = order[1 - index] if len(order) > 1 else None
    alternates = tuple(h for h in alternates if h != parent)
    return Position(index < WATCHERS, parent, children, alternates)


def all_watchers(hosts: Sequence[HostInfo], rank: RankHosts) -> list[HostId]:
    """Return the watchers of all failure domains."""
    domains = sorted({h.failure_domain for h in hosts})
    return [w for d in domains for w in ranked_domain(d, hosts, rank)[:WATCHERS]]
