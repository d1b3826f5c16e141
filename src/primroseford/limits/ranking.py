"""Rankings of the hosts for the groups, kept until the hosts change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.membership.rendezvous import rank_hosts
from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from primroseford.ids import HostId
    from primroseford.membership.service import Membership
    from primroseford.membership.state import HostInfo


class Ranking:
    """Ranks the hosts of a membership by group.

    At 1,500 hosts and 64 groups, ranking anew for each question costs more than all
    other control work of a host. The membership returns the same tuple until a host
    changes, so that its identity shows whether the kept rankings still hold.

    :param membership: hosts of the fleet
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.seen: tuple[HostInfo, ...] | None = None
        self.kept_names: frozenset[HostId] = frozenset()
        self.kept_live: list[HostInfo] = []
        self.kept_staying: list[HostInfo] = []
        self.kept: dict[tuple[int, bool], list[HostId]] = {}

    def names(self) -> frozenset[HostId]:
        """Return the names of all known hosts."""
        self._follow()
        return self.kept_names

    def live(self, group: int) -> list[HostId]:
        """Return the live hosts by falling rank for a group.

        :param group: number of the group
        """
        self._follow()
        return self._ranked(group, self.kept_live, True)

    def staying(self, group: int) -> list[HostId]:
        """Return the hosts that are not leaving, or all if every host is.

        :param group: number of the group
        """
        self._follow()
        return self._ranked(group, self.kept_staying, False)

    def _ranked(self, group: int, hosts: list[HostInfo], live: bool) -> list[HostId]:
        found = self.kept.get((group, live))
        if found is None:
            ranked = rank_hosts(f"limits/{group}", hosts)
            found = self.kept[group, live] = [host.host_id for host in ranked]
        return found

    def _follow(self) -> None:
        hosts = self.membership.hosts()
        if hosts is self.seen:
            return
        self.seen = hosts
        self.kept_names = frozenset(host.host_id for host in hosts)
        self.kept_live = [host for host in hosts if host.state is HostState.LIVE]
        staying = [host for host in hosts if host.state is not HostState.LEAVING]
        self.kept_staying = staying or list(hosts)
        self.kept.clear()
