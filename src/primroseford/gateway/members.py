"""Membership of the fleet, from the last heartbeat of each host."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.placement import heartbeat_interval
from primroseford.gateway.rendezvous import ranked
from primroseford.gateway.rendezvous import weight
from primroseford.ids import HostId
from primroseford.ids import JobId

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.gateway.gen.messages.ttypes import Heartbeat
    from primroseford.gateway.gen.messages.ttypes import JobProgress

MAX_AGE_MS = 2**31 - 1
"""Age in heartbeats that stands for an unknown one."""
SILENCE_SECONDS = 1.0
"""Time without heartbeats after which a host counts as lost: three idle heartbeats."""
MAX_MISSED_HEARTBEATS = 3
"""Missed heartbeats after which a host counts as lost in a large fleet, where the
interval is longer."""
PEER_RETENTION_SECONDS = 60.0
"""Time without heartbeats after which a peer is removed and gets no more heartbeats. It
is longer than any network partition in the platform's bench."""


@dataclass
class Peer:
    """Another host.

    :param address: address on which it receives heartbeats, as ``ip:port``
    :param heard_at: local time of its last heartbeat in seconds
    :param heartbeat: its last one; ``None`` if only the platform's store lists it
    :param spending: requests that it admitted since its start, by organisation
    :param asked: requests that came to it since its start, by organisation
    """

    host: HostId
    address: str
    heard_at: float
    heartbeat: Heartbeat | None = None
    spending: dict[str, int] = field(default_factory=dict)
    asked: dict[str, int] = field(default_factory=dict)


@dataclass
class Members:
    """The known other hosts of the fleet.

    :param own: name of this host
    :param orphaned: open jobs that no peer reports any more
    :ivar job_reports: last progress report of each job, by host
    :ivar ended: reported jobs that are finished or cancelled
    """

    own: HostId
    orphaned: set[JobId] = field(default_factory=set)
    peers: dict[HostId, Peer] = field(default_factory=dict)
    job_reports: dict[JobId, dict[HostId, JobProgress]] = field(default_factory=dict)
    ended: set[JobId] = field(default_factory=set)

    @property
    def silence(self) -> float:
        """Time in seconds without heartbeats after which a host counts as lost."""
        return max(SILENCE_SECONDS, MAX_MISSED_HEARTBEATS * self.interval)

    @property
    def interval(self) -> float:
        """Heartbeat interval in seconds of a host whose loads change."""
        return heartbeat_interval(1 + len(self.peers))

    def add_from_store(self, host: HostId, address: str, now: float) -> None:
        """Add a host that the platform's store lists.

        :param now: local time in seconds
        """
        if host != self.own and host not in self.peers:
            self.peers[host] = Peer(host, address, now)

    def receive(self, heartbeat: Heartbeat, now: float) -> Heartbeat | None:
        """Apply a heartbeat and return the previous one of the same incarnation.

        :param now: local time in seconds
        :raises ValueError: if the heartbeat is this host's own or out of order
        """
        host = HostId(heartbeat.host)
        if host == self.own:
            raise ValueError("own heartbeat")
        peer = self.peers.get(host)
        if peer is None:
            peer = self.peers[host] = Peer(host, heartbeat.address, now)
        previous = peer.heartbeat
        if previous is not None and previous.incarnation != heartbeat.incarnation:
            previous = None
        if previous is not None and previous.sequence >= heartbeat.sequence:
            raise ValueError("heartbeat out of order")
        self._index_jobs(host, peer.heartbeat, heartbeat)
        peer.heartbeat = heartbeat
        peer.address = heartbeat.address
        peer.heard_at = now
        return previous

    def _index_jobs(
        self, host: HostId, previous: Heartbeat | None, heartbeat: Heartbeat | None
    ) -> None:
        """Replace the progress reports of a peer in the index of jobs.

        An open job stays known after its last report, since a host may run it no more.
        """
        reports = heartbeat.jobs if heartbeat is not None else ()
        for progress in reports:
            job = JobId(progress.job)
            self.job_reports.setdefault(job, {})[host] = progress
            if progress.ended:
                self.note_ended(job)
        reported = {progress.job for progress in reports}
        for progress in previous.jobs if previous is not None else ():
            job = JobId(progress.job)
            if job not in reported:
                self._remove_report(job, host)

    def _remove_report(self, job: JobId, host: HostId) -> None:
        hosts = self.job_reports.get(job, {})
        hosts.pop(host, None)
        if hosts:
            return
        self.job_reports.pop(job, None)
        if job in self.ended:
            self.ended.discard(job)
        else:
            self.orphaned.add(job)

    def note_ended(self, job: JobId) -> None:
        """Note that a job is finished or cancelled."""
        self.orphaned.discard(job)
        if job in self.job_reports:
            self.ended.add(job)

    def heard(self, now: float) -> list[Peer]:
        """Return the peers with a recent heartbeat, including leaving ones."""
        silence = self.silence
        return [
            peer
            for peer in self.peers.values()
            if peer.heartbeat is not None and now - peer.heard_at <= silence
        ]

    def live(self, now: float) -> list[Peer]:
        """Return the peers with a recent heartbeat that are not leaving."""
        return [peer for peer in self.heard(now) if not peer.heartbeat.leaving]

    def silent(self, now: float) -> list[Peer]:
        """Return the peers whose heartbeats have stopped, including those that left."""
        silence = self.silence
        return [
            peer
            for peer in self.peers.values()
            if peer.heartbeat is not None and now - peer.heard_at > silence
        ]

    def away(self, now: float) -> list[Peer]:
        """Return the peers that do not count as live but may answer.

        They are leaving, silent, or known from the platform's store only.
        """
        live = {peer.host for peer in self.live(now)}
        silence = self.silence
        return [
            peer
            for peer in self.peers.values()
            if peer.host not in live
            and (
                peer.heartbeat is None
                or not peer.heartbeat.leaving
                or now - peer.heard_at <= silence
            )
        ]

    def is_cut_off(self, now: float) -> bool:
        """Return whether there are other hosts, and all are silent."""
        silence = self.silence
        has_others = False
        for peer in self.peers.values():
            if peer.heartbeat is None or peer.heartbeat.leaving:
                continue
            if now - peer.heard_at <= silence:
                return False
            has_others = True
        return has_others

    def remove_lost(self, now: float) -> None:
        """Remove peers without a heartbeat for ``PEER_RETENTION_SECONDS``."""
        for host, peer in list(self.peers.items()):
            if now - peer.heard_at > PEER_RETENTION_SECONDS:
                self._index_jobs(host, peer.heartbeat, None)
                del self.peers[host]

    def hosts(self, now: float) -> list[HostId]:
        """Return the live hosts, this one included."""
        return [self.own, *(peer.host for peer in self.live(now))]

    def working(self, now: float) -> list[HostId]:
        """Return the live hosts that can take jobs over, this one included."""
        working = [p.host for p in self.live(now) if not p.heartbeat.jobs_stalled]
        return [self.own, *working]

    def reaching_store(self, now: float) -> list[HostId]:
        """Return the live peers that can reach the platform's store directly."""
        return [peer.host for peer in self.live(now) if peer.heartbeat.reaches_store]

    def newest_scan(self) -> float:
        """Return the local time of the newest scan of all jobs that peers report."""
        return self._newest(lambda heartbeat: heartbeat.job_scan_age_ms)

    def newest_cancellation_scan(self) -> float:
        """Return the local time of the newest scan of cancellations by a peer."""
        return self._newest(lambda heartbeat: heartbeat.cancellation_scan_age_ms)

    def _newest(self, age_ms: Callable[[Heartbeat], int]) -> float:
        """Return the newest local time that peers report as an age.

        :param age_ms: returns the age in ms; ``MAX_AGE_MS`` if it is unknown
        """
        return max(
            (
                peer.heard_at - age_ms(peer.heartbeat) / 1000
                for peer in self.peers.values()
                if peer.heartbeat is not None and age_ms(peer.heartbeat) != MAX_AGE_MS
            ),
            default=-math.inf,
        )

    def scanners(self, reaches_store: bool, now: float) -> list[HostId]:
        """Return the hosts that can scan all jobs: those that reach the store, if any.

        :param reaches_store: whether this host reaches the store itself
        """
        hosts = self.working(now)
        reaching = {*self.reaching_store(now)}
        if reaches_store:
            reaching.add(self.own)
        return [host for host in hosts if host in reaching] or hosts

    def waiting_items(self, now: float) -> tuple[int, int]:
        """Return the numbers of waiting items of the live peers: in time, and late."""
        live = self.live(now)
        ready = sum(peer.heartbeat.ready_items for peer in live)
        return ready, sum(peer.heartbeat.late_items for peer in live)

    def running(self, job: JobId, now: float) -> list[HostId]:
        """Return the live peers that run a job."""
        reports = self.job_reports.get(job, {})
        return [
            peer.host
            for peer in self._reporting(job, now)
            if not peer.heartbeat.leaving and not reports[peer.host].stopped
        ]

    def reporting(self, job: JobId, now: float) -> list[HostId]:
        """Return the live peers that run a job or stopped it lately, these last."""
        reports = self.job_reports.get(job, {})
        live = [p.host for p in self._reporting(job, now) if not p.heartbeat.leaving]
        return sorted(live, key=lambda host: bool(reports[host].stopped))

    def leaving_with(self, job: JobId, now: float) -> list[HostId]:
        """Return the leaving peers that still run a job."""
        return [p.host for p in self._reporting(job, now) if p.heartbeat.leaving]

    def _reporting(self, job: JobId, now: float) -> list[Peer]:
        """Return the peers with a recent heartbeat that reports a job."""
        silence = self.silence
        peers = [self.peers[host] for host in self.job_reports.get(job, ())]
        return [peer for peer in peers if now - peer.heard_at <= silence]

    def segments(self, job: JobId) -> int:
        """Return the largest number of result segments of a job that a peer reports."""
        reports = self.job_reports.get(job, {}).values()
        return max((progress.segments for progress in reports), default=0)

    def known_jobs(self) -> set[JobId]:
        """Return the orphaned jobs and those in the last heartbeat of any peer."""
        return self.job_reports.keys() | self.orphaned

    def has_known_jobs(self) -> bool:
        """Return whether ``known_jobs`` returns any."""
        return bool(self.job_reports or self.orphaned)

    def open_jobs(self) -> set[JobId]:
        """Return the orphaned jobs and those that some peer reports as running."""
        running = {
            job
            for job, reports in self.job_reports.items()
            if any(not (r.stopped or r.ended) for r in reports.values())
        }
        return running | self.orphaned


def preferred_host(job: str, hosts: Iterable[HostId]) -> HostId:
    """Return the preferred host for a job by rendezvous hashing.

    :param job: id of the job, or another key
    :param hosts: at least one host
    """
    return ranked(job, hosts, str)[0]


def host_rank(job: str, own: HostId, hosts: Iterable[HostId]) -> int:
    """Return how many hosts are preferred to this one for a job.

    :param job: id of the job, or another key
    :param own: name of this host
    """
    own_weight = weight(job, own)
    return sum(weight(job, host) > own_weight for host in hosts)
