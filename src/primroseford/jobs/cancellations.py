"""What this host knows of cancelled jobs, and when it must scan the store for them.

A cancellation is acknowledged to its caller as soon as it is stored. The host that runs
the job usually learns of it from a heartbeat of the host that was called, which may be
lost before it sends one. So one host of the fleet, the scanner, scans the stored
cancellations at intervals. Its heartbeats report what it has found, and the age of its
scan. If no recent scan is reported, the next host in the order of scanners makes one.
A host that runs jobs waits for two other hosts at most. So the time until it stops a
cancelled job does not depend on how long the loss of a scanner goes unnoticed, or on
how many hosts are lost.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Set

    from primroseford.gateway.members import Members
    from primroseford.ids import JobId

SCAN_INTERVAL_SHARE = 0.5
"""Age of the newest known scan at which the scanner scans again, as a share of the time
in which a cancellation must take effect."""
FALLBACK_SHARE = 0.125
"""Share of that time by which each further host in the order of scanners waits
longer."""
MAX_FALLBACKS = 2
"""Number of hosts in the order for which a host that runs jobs waits."""
RETRY_SHARE = 0.15
"""Share of that time after which a failed scan is repeated. Each further pause is twice
as long, up to the interval of scans, as all hosts that run jobs scan in an outage."""
TURN_SECONDS = 10.0
"""Time without a scan of its own by which a host that runs jobs waits longer for each
host before it in the order of scanners: those may not know of its jobs. All turns of N
hosts cost ln(N) / 10 calls per second."""
REPORT_SECONDS = 3.0
"""Time for which heartbeats report a cancellation: several heartbeats, of which some
may be lost."""


class CancellationSource(Enum):
    """How a host learns that a job was cancelled."""

    CALLER = "caller"
    HEARTBEAT = "heartbeat"
    SCAN = "scan"


class JobCancellations:
    """Cancellations that this host reports, and the state of the scans for others.

    All times are local times in seconds.

    :param members: the other hosts, whose heartbeats report their scans
    :param cancel_seconds: time in which a cancellation must take effect
    :ivar reported_until: cancelled jobs, each with the time until which heartbeats
        report it
    :ivar stored: jobs whose cancellations the last scan has found
    :ivar scanned_at: time at which the last complete scan began
    :ivar attempted_at: time at which the last scan began, complete or not
    :ivar retry_seconds: pause after the last scan if it did not complete; 0 if it did
    :ivar known_since: time since which some host is known to run jobs, if any does
    :ivar running_since: the same for this host
    """

    def __init__(self, members: Members, cancel_seconds: float) -> None:
        self.members = members
        self.cancel_seconds = cancel_seconds
        self.reported_until: dict[JobId, float] = {}
        self.stored: Set[JobId] = frozenset()
        self.scanned_at = self.attempted_at = -math.inf
        self.retry_seconds = 0.0
        self.known_since: float | None = None
        self.running_since: float | None = None

    def observe(self, runs_jobs: bool, now: float) -> None:
        """Note whether this host, or any other one, runs jobs.

        Nothing is scanned before, so the waits for a scan begin then.
        """
        is_any_known = runs_jobs or self.members.has_known_jobs()
        self.known_since = _since(self.known_since, is_any_known, now)
        self.running_since = _since(self.running_since, runs_jobs, now)

    def is_scan_due(self, rank: int, now: float) -> bool:
        """Return whether this host must scan the store now.

        :param rank: number of hosts before this one in the order of scanners
        """
        if self.known_since is None:
            return False
        if now - self.attempted_at < self.retry_seconds:
            return False
        interval = SCAN_INTERVAL_SHARE * self.cancel_seconds
        if self.running_since is not None:
            own_scan = max(self.scanned_at, self.running_since)
            if now - own_scan >= interval + rank * TURN_SECONDS:
                return True
            rank = min(rank, MAX_FALLBACKS)
        newest = max(
            self.scanned_at,
            self.known_since,
            self.members.newest_cancellation_scan(),
        )
        fallback = rank * FALLBACK_SHARE * self.cancel_seconds
        return now - newest >= interval + fallback

    def begin_scan(self, now: float) -> None:
        """Note that a scan begins, which may fail."""
        self.attempted_at = now
        self.retry_seconds = min(
            max(2 * self.retry_seconds, RETRY_SHARE * self.cancel_seconds),
            SCAN_INTERVAL_SHARE * self.cancel_seconds,
        )

    def complete_scan(self, stored: Set[JobId]) -> None:
        """Replace the stored cancellations by those that the scan has returned."""
        self.stored = stored
        self.scanned_at = self.attempted_at
        self.retry_seconds = 0.0

    def scan_age(self, now: float) -> float | None:
        """Return the age in seconds of the last complete scan by this host."""
        age = now - self.scanned_at
        return age if age < math.inf else None

    def unreported(self, now: float) -> list[JobId]:
        """Return the open jobs of any host that are cancelled and not reported.

        A job may become known here only after the scan that found its cancellation.
        """
        if not self.stored:
            return []
        return [
            job
            for job in self.members.open_jobs() & self.stored
            if self.reported_until.get(job, -math.inf) <= now
        ]

    def report(self, job: JobId, now: float) -> bool:
        """Report a cancellation in heartbeats for some time.

        :returns: whether it was not reported before
        """
        self.reported_until = {
            j: until for j, until in self.reported_until.items() if until > now
        }
        is_new = job not in self.reported_until
        self.reported_until[job] = now + REPORT_SECONDS
        return is_new

    def reported(self, now: float) -> list[JobId]:
        """Return the cancelled jobs that heartbeats report."""
        return [job for job, until in self.reported_until.items() if until > now]


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Return the time since which a condition has held; None if it does not."""
    if not holds:
        return None
    return now if since is None else since
