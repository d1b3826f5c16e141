"""Which other hosts live, and what they last said of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.rendezvous import ranked
from primroseford.ids import HostId
from primroseford.ids import JobId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.gen.messages.ttypes import JobProgress

SILENCE_SECONDS = 1.0
"""Silence after which a host counts as lost: three idle heartbeats."""
SILENT_BEATS = 3
"""The same as a number of heartbeats of a large fleet, which come less often."""
FORGET_SECONDS = 60.0
"""Silence after which a host gets no more heartbeats: longer than any cut that the
platform's bench plays."""


@dataclass
class Peer:
    """Another host.

    :param address: where it takes heartbeats, as ``ip:port``
    :param heard_at: local time of its last heartbeat in seconds
    :param heartbeat: its last heartbeat; nothing if only the platform's store names it
    :param spending: requests that it admitted since its start, by organisation
    """

    host: HostId
    address: str
    heard_at: float
    heartbeat: Heartbeat | None = None
    spending: dict[str, int] = field(default_factory=dict)


@dataclass
class Members:
    """The other hosts that this host knows.

    :param own: name of this host
    :param orphaned: jobs that peers ran before they started anew
    :ivar told: what peers last told of each job, by host
    """

    own: HostId
    orphaned: set[JobId] = field(default_factory=set)
    peers: dict[HostId, Peer] = field(default_factory=dict)
    told: dict[JobId, dict[HostId, JobProgress]] = field(default_factory=dict)

    @property
    def silence(self) -> float:
        """Silence in seconds after which a host counts as lost."""
        return max(SILENCE_SECONDS, SILENT_BEATS * self.interval)

    @property
    def interval(self) -> float:
        """Time in seconds between two heartbeats of a host whose loads change."""
        return heartbeat_interval(1 + len(self.peers))

    def add_from_store(self, host: HostId, address: str, now: float) -> None:
        """Note a host that the platform's store names.

        :param now: local time in seconds
        """
        if host != self.own and host not in self.peers:
            self.peers[host] = Peer(host, address, now)

    def receive(self, heartbeat: Heartbeat, now: float) -> Heartbeat | None:
        """Take a heartbeat and return the one before it of the same incarnation.

        :param now: local time in seconds
        :raises ValueError: if the heartbeat is this host's own or an older one
        """
        host = HostId(heartbeat.host)
        if host == self.own:
            raise ValueError("own heartbeat")
        peer = self.peers.get(host)
        if peer is None:
            peer = self.peers[host] = Peer(host, heartbeat.address, now)
        before = peer.heartbeat
        if before is not None and before.incarnation != heartbeat.incarnation:
            self.orphaned.update(JobId(progress.job) for progress in before.jobs)
            before = None
        if before is not None and before.sequence >= heartbeat.sequence:
            raise ValueError("heartbeat out of order")
        self._index_jobs(host, peer.heartbeat, heartbeat)
        peer.heartbeat = heartbeat
        peer.address = heartbeat.address
        peer.heard_at = now
        return before

    def _index_jobs(
        self, host: HostId, before: Heartbeat | None, heartbeat: Heartbeat | None
    ) -> None:
        """Note of which jobs a peer tells now."""
        for progress in before.jobs if before is not None else ():
            hosts = self.told.get(JobId(progress.job), {})
            hosts.pop(host, None)
            if not hosts:
                self.told.pop(JobId(progress.job), None)
        for progress in heartbeat.jobs if heartbeat is not None else ():
            self.told.setdefault(JobId(progress.job), {})[host] = progress

    def heard(self, now: float) -> list[Peer]:
        """Return the peers that were heard lately, also those that are leaving."""
        silence = self.silence
        return [
            peer
            for peer in self.peers.values()
            if peer.heartbeat is not None and now - peer.heard_at <= silence
        ]

    def live(self, now: float) -> list[Peer]:
        """Return the peers that were heard lately and are not leaving."""
        return [peer for peer in self.heard(now) if not peer.heartbeat.leaving]

    def silent(self, now: float) -> list[Peer]:
        """Return the peers that were heard and are silent, also those that left."""
        silence = self.silence
        return [
            peer
            for peer in self.peers.values()
            if peer.heartbeat is not None and now - peer.heard_at > silence
        ]

    def forget_lost(self, now: float) -> None:
        """Drop peers that were silent for long."""
        for host, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGET_SECONDS:
                self._index_jobs(host, peer.heartbeat, None)
                del self.peers[host]

    def hosts(self, now: float) -> list[HostId]:
        """Return the live hosts, this one included."""
        return [self.own, *(peer.host for peer in self.live(now))]

    def reaching_store(self, now: float) -> list[HostId]:
        """Return the live peers that reach the platform's store themselves."""
        return [peer.host for peer in self.live(now) if peer.heartbeat.reaches_store]

    def waiting_items(self, now: float) -> tuple[int, int]:
        """Return the waiting items of the live peers: those in time, and late ones."""
        live = self.live(now)
        ready = sum(peer.heartbeat.ready_items for peer in live)
        return ready, sum(peer.heartbeat.late_items for peer in live)

    def running(self, job: JobId, now: float) -> list[HostId]:
        """Return the live peers that run a job."""
        return [p.host for p in self._telling(job, now) if not p.heartbeat.leaving]

    def leaving_with(self, job: JobId, now: float) -> list[HostId]:
        """Return the leaving peers that still have a job."""
        return [p.host for p in self._telling(job, now) if p.heartbeat.leaving]

    def _telling(self, job: JobId, now: float) -> list[Peer]:
        """Return the peers heard lately that tell of a job."""
        silence = self.silence
        peers = [self.peers[host] for host in self.told.get(job, ())]
        return [peer for peer in peers if now - peer.heard_at <= silence]

    def segments(self, job: JobId) -> int:
        """Return how many result segments of a job any peer has told of."""
        told = self.told.get(job, {}).values()
        return max((progress.segments for progress in told), default=0)

    def known_jobs(self) -> set[JobId]:
        """Return the jobs that any known peer ran when it was last heard."""
        return self.told.keys() | self.orphaned


def preferred_host(job: str, hosts: Iterable[HostId]) -> HostId:
    """Return the host that runs a job if several could, by rendezvous hashing.

    :param job: id of the job
    :param hosts: at least one host
    """
    return ranked(job, hosts, str)[0]
