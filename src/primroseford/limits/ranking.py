"""Rendezvous rankings of the hosts by group, cached until the hosts change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from primroseford.ids import HostId
    from primroseford.membership.service import Membership
    from primroseford.membership.state import HostInfo


class Ranking:
    """Ranks the hosts of a membership for each group.

    Rankings are cached: with 1,500 hosts and 64 groups, computing them on each call
    costs more than all other control work of a host. The membership returns the same
    tuple until a host changes, so a comparison by identity validates the cache.

    :param membership: hosts of the fleet
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.ranked_hosts: tuple[HostInfo, ...] | None = None
        self.cached_names: frozenset[HostId] = frozenset()
        self.live_hosts: list[HostInfo] = []
        self.remaining_hosts: list[HostInfo] = []
        self.cached_rankings: dict[tuple[int, bool], list[HostId]] = {}

    def names(self) -> frozenset[HostId]:
        """Return the names of all known hosts."""
        self._refresh()
        return self.cached_names

    def live(self, group: int) -> list[HostId]:
        """Return the live hosts for a group, highest rank first.

        :param group: number of the group
        """
        self._refresh()
        return self._ranked(group, self.live_hosts, True)

    def remaining(self, group: int) -> list[HostId]:
        """Return the hosts that are not leaving, highest rank first; all if all leave.

        :param group: number of the group
        """
        self._refresh()
        return self._ranked(group, self.remaining_hosts, False)

    def _ranked(self, group: int, hosts: list[HostInfo], live: bool) -> list[HostId]:
        ranking = self.cached_rankings.get((group, live))
        if ranking is None:
            ranked = rank_hosts(f"limits/{group}", hosts)
            ranking = self.cached_rankings[group, live] = [
                host.host_id for host in ranked
            ]
        return ranking

    def _refresh(self) -> None:
        hosts = self.membership.hosts()
        if hosts is self.ranked_hosts:
            return
        self.ranked_hosts = hosts
        self.cached_names = frozenset(host.host_id for host in hosts)
        self.live_hosts = [host for host in hosts if host.state is HostState.LIVE]
        remaining = [host for host in hosts if host.state is not HostState.LEAVING]
        self.remaining_hosts = remaining or list(hosts)
        self.cached_rankings.clear()
