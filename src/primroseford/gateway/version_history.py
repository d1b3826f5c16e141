"""Software versions that have served in each pool lately."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.ids import Version

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primroseford.clock import Clock
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion

STREAM_LIFETIME_SECONDS = 15.0
"""Time after its first event within which a caller may take a stream up."""
SERVING_ON_SECONDS = 15.0
"""Time for which a runner that has left the list may serve on, through hosts that do
not know of it yet."""
HISTORY_SECONDS = STREAM_LIFETIME_SECONDS + SERVING_ON_SECONDS
"""If a pool has had one version for that long, all of its streams began at it."""


@dataclass(frozen=True)
class VersionEvidence:
    """What a host knows of the versions that a pool has had lately.

    :param versions: versions on its list, or that have left it within
        ``HISTORY_SECONDS``
    :param followed_to: revision of the store up to which it has seen all changes
    :param is_whole: whether it has seen all changes of the last ``HISTORY_SECONDS``
        up to this revision
    """

    versions: frozenset[SoftwareVersion]
    followed_to: Version
    is_whole: bool


class VersionHistory:
    """Versions in the runner lists that a host has received.

    :param clock: local time
    :ivar entries: runners of the newest list by pool
    :ivar left_at: local time at which a version left a pool's list, in seconds
    :ivar known_since: local time of the first list in seconds
    :ivar gap_at: local time in seconds of the last list before which versions may have
        come and gone
    :ivar followed_from: revision of that list, or of the first one
    :ivar followed_to: revision up to which all changes have been applied since
    :ivar vouched_at: local time in seconds at which another host has shown that a pool
        had no other versions than those that this host has seen
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.entries: dict[PoolName, list[RunnerEntry]] = {}
        self.left_at: dict[PoolName, dict[SoftwareVersion, float]] = {}
        self.known_since = math.inf
        self.gap_at = -math.inf
        self.followed_from = Version(0)
        self.followed_to = Version(0)
        self.vouched_at: dict[PoolName, float] = {}
        self.noted: dict[PoolName, set[SoftwareVersion]] = {}

    def follow(self, revision: Version, gap_at: float) -> None:
        """Note up to which revision the changes of the list are applied.

        :param gap_at: local time in seconds of the last list before which changes may
            have been missed
        """
        if not self.followed_from or gap_at != self.gap_at:
            self.followed_from = revision
        self.followed_to = revision
        self.gap_at = gap_at

    def note(self, entry: RunnerEntry) -> None:
        """Note an entry before the list that its change leads to."""
        self.noted.setdefault(entry.pool, set()).add(entry.version)

    def update(self, entries: Iterable[RunnerEntry]) -> None:
        """Apply a new list of runners."""
        now = self.clock()
        self.known_since = min(self.known_since, now)
        before = {pool: self._listed(pool) for pool in self.entries}
        for pool, versions in self.noted.items():
            before[pool] = before.get(pool, set()) | versions
        self.noted = {}
        self.left_at = {pool: self._left_lately(pool, now) for pool in self.left_at}
        self.entries = {}
        for entry in entries:
            self.entries.setdefault(entry.pool, []).append(entry)
        for pool, versions in before.items():
            for version in versions - self._listed(pool):
                entries = self.entries.get(pool, ())
                if not any(entry.has_version(version) for entry in entries):
                    self.left_at.setdefault(pool, {})[version] = now

    def _left_lately(self, pool: PoolName, now: float) -> dict[SoftwareVersion, float]:
        left = self.left_at.get(pool, {})
        return {v: at for v, at in left.items() if now - at < HISTORY_SECONDS}

    def _listed(self, pool: PoolName) -> set[SoftwareVersion]:
        return {entry.version for entry in self.entries.get(pool, ())}

    def seen(self, pool: PoolName) -> frozenset[SoftwareVersion]:
        """Return the versions that this host lists for a pool or has listed lately."""
        left = self._left_lately(pool, self.clock())
        return frozenset(self._listed(pool) | left.keys())

    def followed_since(self) -> float:
        """Return the local time in seconds since which no change can be missing."""
        return max(self.known_since, self.gap_at)

    def evidence(self, pool: PoolName) -> VersionEvidence:
        """Return what this host knows of the versions of a pool."""
        since = self.followed_since()
        is_whole = (
            self.clock() - since >= HISTORY_SECONDS
            or self.vouched_at.get(pool, -math.inf) >= since
        )
        return VersionEvidence(self.seen(pool), self.followed_to, is_whole)

    def vouch(self, pool: PoolName) -> None:
        """Note that the versions seen are all that a pool has had lately."""
        self.vouched_at[pool] = self.clock()


def choose_witness(
    own: HostId, evidence: Mapping[HostId, VersionEvidence]
) -> HostId | None:
    """Return a host that has seen all changes of the list lately; None without one.

    A list shows which versions serve, not which have served. What came after the
    revision that the witness has followed to is left to the caller.

    :param own: this host, which is preferred
    :param evidence: what each host knows, this one included
    """
    whole = [host for host, known in evidence.items() if known.is_whole]
    if own in whole:
        return own
    return max(whole, key=lambda host: evidence[host].followed_to, default=None)
