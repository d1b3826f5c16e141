"""Cached assignment of keys to live hosts by rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.membership.state import HostState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo

    RankHosts = Callable[[str, Sequence[HostInfo]], Sequence[HostInfo]]

MAX_CACHED_KEYS = 50_000


class Placement:
    """Assigns keys to live hosts by rendezvous hashing.

    Assignments are cached, since ranking 1,500 hosts for 10,000 runners takes seconds.
    A host that leaves affects only the keys assigned to it. For a host that joins, each
    cached key is ranked over its current host and the new ones only.

    :param membership: hosts of the fleet
    :param rank: ``rank_hosts(key, hosts)``, highest rank first
    """

    def __init__(self, membership, rank: RankHosts) -> None:
        self.membership = membership
        self.rank = rank
        self.last_hosts: Sequence[HostInfo] | None = None
        self.live: tuple[HostInfo, ...] = ()
        self.cache: dict[str, HostInfo] = {}

    def host_for(self, key: str) -> HostId | None:
        """Return the live host that ranks highest for a key, or nothing.

        :param key: name of a runner, job or task
        """
        self._refresh()
        if not self.live:
            return None
        host = self.cache.get(key)
        if host is None:
            if len(self.cache) >= MAX_CACHED_KEYS:
                self.cache.clear()
            host = self.cache[key] = self.rank(key, self.live)[0]
        return host.host_id

    def _refresh(self) -> None:
        # The membership returns the identical tuple until a host changes.
        hosts = self.membership.hosts()
        if hosts is self.last_hosts:
            return
        self.last_hosts = hosts
        before = set(self.live)
        self.live = tuple(host for host in hosts if host.state is HostState.LIVE)
        gone = before.difference(self.live)
        added = [host for host in self.live if host not in before]
        if not (gone or added):
            return
        for key, host in list(self.cache.items()):
            if host in gone:
                del self.cache[key]
            elif added:
                self.cache[key] = self.rank(key, [host, *added])[0]
