"""The first host in rank for each key, kept while hosts come and go."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo

    RankHosts = Callable[[str, Sequence[HostInfo]], Sequence[HostInfo]]

MAX_KEPT = 50_000


class Placement:
    """Places keys on live hosts by rendezvous hashing.

    Ranking 1,500 hosts for 10,000 runners takes seconds. A host that leaves moves only
    the keys that it was first for, and a host that comes takes a key only from the
    host that is first for it, so that all other answers are kept.

    :param membership: hosts of the fleet
    :param rank: ``rank_hosts(key, hosts)``, the highest first
    """

    def __init__(self, membership, rank: RankHosts) -> None:
        self.membership = membership
        self.rank = rank
        self.seen: Sequence[HostInfo] | None = None
        self.live: tuple[HostInfo, ...] = ()
        self.kept: dict[str, HostInfo] = {}

    def first(self, key: str) -> HostId | None:
        """Return the live host that ranks first for a key, or nothing if none lives.

        :param key: what is to be placed
        """
        self._follow()
        if not self.live:
            return None
        found = self.kept.get(key)
        if found is None:
            if len(self.kept) >= MAX_KEPT:
                self.kept.clear()
            found = self.kept[key] = self.rank(key, self.live)[0]
        return found.host_id

    def _follow(self) -> None:
        # The membership returns the same tuple until a host changes.
        hosts = self.membership.hosts()
        if hosts is self.seen:
            return
        self.seen = hosts
        before = set(self.live)
        self.live = tuple(host for host in hosts if host.state is HostState.LIVE)
        gone = before.difference(self.live)
        added = [host for host in self.live if host not in before]
        if not (gone or added):
            return
        for key, host in list(self.kept.items()):
            if host in gone:
                del self.kept[key]
            elif added:
                self.kept[key] = self.rank(key, [host, *added])[0]
