"""Chooses the host that grants the tokens of a runner with a request limit."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primroseford.gateway.rendezvous import ranked
from primroseford.request_limits.bounds import WINDOW_SECONDS

if TYPE_CHECKING:
    from collections.abc import Collection

    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId

OWNER_CHECK_SECONDS = 0.25
"""Interval at which the hosts that can be owners are listed again. The owners are
chosen again only if the list has changed, since each choice iterates over all hosts."""
START_SECONDS = 1.0
START_INTERVALS = 3
"""Time, also as a number of heartbeat intervals, for which a started host grants no
tokens, since the others have not told it yet which ones they have used. The tokens that
it has used itself before are lost, so it is chosen as an owner only after a window."""


class TokenOwnership:
    """Token owners of the runners as this host sees them.

    :ivar owners: chosen owners
    :ivar hosts: hosts among which they were chosen
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.started_at = gateway.clock()
        self.owners: dict[RunnerKey, HostId] = {}
        self.hosts: frozenset[HostId] = frozenset()
        self.hosts_listed_at = -math.inf

    def owner_of(self, runner: RunnerKey) -> HostId:
        """Return the token owner of a runner."""
        self._list_hosts()
        owner = self.owners.get(runner)
        if owner is None:
            owner = self.owners[runner] = ranked(runner.name, self.hosts, str)[0]
        return owner

    def is_owner(self, runner: RunnerKey) -> bool:
        """Return whether this host is the token owner of a runner."""
        return self.owner_of(runner) == self.gateway.members.own

    def may_grant(self) -> bool:
        """Return whether this host has heard from the others since it started."""
        wait = max(START_SECONDS, START_INTERVALS * self.gateway.members.interval)
        return self.gateway.clock() - self.started_at >= wait

    def has_just_started(self) -> bool:
        """Return whether this host may have used tokens that it does not know of."""
        return self.gateway.clock() - self.started_at < WINDOW_SECONDS

    def forget(self, limited: Collection[RunnerKey]) -> None:
        """Drop the owners of runners without a limit.

        :param limited: runners with a limit
        """
        for runner in self.owners.keys() - limited:
            del self.owners[runner]

    def _list_hosts(self) -> None:
        """List the hosts that can be owners, if that is due."""
        now = self.gateway.clock()
        if now - self.hosts_listed_at < OWNER_CHECK_SECONDS:
            return
        self.hosts_listed_at = now
        members = self.gateway.members
        peers = [
            peer for peer in members.live(now) if peer.heartbeat.owns_request_tokens
        ]
        hosts = {peer.host for peer in peers if not peer.heartbeat.has_just_started}
        if not self.gateway.stopping and not self.has_just_started():
            hosts.add(members.own)
        if not hosts:
            hosts = {peer.host for peer in peers}
            if not self.gateway.stopping or not hosts:
                hosts.add(members.own)
        if hosts != self.hosts:
            self.hosts = frozenset(hosts)
            self.owners.clear()
