"""State of one runner instance as one host sees it."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.notices import RunnerNotice
from primroseford.gateway.placement import RunnerLoad
from primroseford.runner_speed.speed import RunnerSpeed

if TYPE_CHECKING:
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.ids import HostId


@dataclass(eq=False)
class RunnerState:
    """State of one runner instance as this host sees it.

    :param online: own online requests in flight
    :param batch: own batch items in flight
    :param peers: online requests and batch items in flight of each other host
    :param peer_online: sum of the online requests of the other hosts
    :param peer_batch: sum of their batch items
    :param suspect_until: local time in seconds until which it counts as failed
    :param full_until: local time until which it counts as full
    :param suspected_by: hosts that report it as failed
    :param indirect_by: hosts that report that they reach it through other hosts only
    :param waiting: local time of the last data on each own exchange, by token
    :param last_byte: local time of the last data on any own exchange
    :param latency: EWMA of the response time in seconds; 0 is unknown
    :param may_have_restarted: whether it has failed in a way in which its process may
        have ended, and has not been asked for its start since
    :param limit: requests that may be in flight from all hosts; it is finite while the
        runner is ramping up
    :param notice: what it said about itself in its last response
    :param speed: how fast it works
    """

    entry: RunnerEntry
    online: int = 0
    batch: int = 0
    peers: dict[HostId, tuple[int, int]] = field(default_factory=dict)
    peer_online: int = 0
    peer_batch: int = 0
    suspect_until: float = -math.inf
    full_until: float = -math.inf
    suspected_by: set[HostId] = field(default_factory=set)
    indirect_by: set[HostId] = field(default_factory=set)
    waiting: dict[int, float] = field(default_factory=dict)
    last_byte: float = -math.inf
    latency: float = 0.0
    may_have_restarted: bool = False
    limit: float = math.inf
    notice: RunnerNotice = RunnerNotice()
    speed: RunnerSpeed = field(default_factory=RunnerSpeed)

    def is_instance_of(self, entry: RunnerEntry) -> bool:
        """Return whether an entry is of this instance, which has one version only."""
        return self.entry.key == entry.key and self.entry.version == entry.version

    @property
    def in_flight(self) -> int:
        """Number of requests and items on the runner from all hosts."""
        return self.online + self.peer_online + self.batch + self.peer_batch

    @property
    def has_free_slot(self) -> bool:
        """Whether a request could start at once, as this host knows."""
        return self.in_flight < self.entry.slots

    def load(self) -> RunnerLoad:
        """Return the load on the runner from all hosts."""
        entry = self.entry
        return RunnerLoad(
            entry.key,
            entry.failure_domain,
            entry.slots,
            self.online + self.peer_online,
            self.batch + self.peer_batch,
            self.batch,
            math.inf,
            self.limit,
        )

    def set_peer_load(self, host: HostId, online: int, batch: int) -> None:
        """Replace the load that another host reports."""
        self.remove_peer_load(host)
        self.peers[host] = (online, batch)
        self.peer_online += online
        self.peer_batch += batch

    def remove_peer_load(self, host: HostId) -> None:
        """Remove the load of another host."""
        online, batch = self.peers.pop(host, (0, 0))
        self.peer_online -= online
        self.peer_batch -= batch
