"""Software versions that have served in each pool lately."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primroseford.clock import Clock
    from primroseford.gateway.runners import RunnerEntry
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion

STREAM_LIFETIME_SECONDS = 15.0
"""Time after its first event within which a caller may take a stream up. If a pool has
had one version for that long, all of its streams began at it."""
MILLISECONDS = 1000.0


class VersionHistory:
    """Versions in the runner lists that a host has received.

    :param clock: local time
    :param unix_time: returns the time of day in seconds
    :ivar entries: runners of the newest list by pool
    :ivar left_at: local time at which a version left a pool's list, in seconds
    :ivar known_since: local time of the first list in seconds
    :ivar gap_at: local time in seconds of the last list before which versions may have
        come and gone
    """

    def __init__(
        self, clock: Clock, unix_time: Callable[[], float] = time.time
    ) -> None:
        self.clock = clock
        self.unix_time = unix_time
        self.entries: dict[PoolName, list[RunnerEntry]] = {}
        self.left_at: dict[PoolName, dict[SoftwareVersion, float]] = {}
        self.known_since = math.inf
        self.gap_at = -math.inf

    def update(self, entries: Iterable[RunnerEntry]) -> None:
        """Apply a new list of runners."""
        now = self.clock()
        self.known_since = min(self.known_since, now)
        before = {pool: self._listed(pool) for pool in self.entries}
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
        return {v: at for v, at in left.items() if now - at < STREAM_LIFETIME_SECONDS}

    def _listed(self, pool: PoolName) -> set[SoftwareVersion]:
        return {entry.version for entry in self.entries.get(pool, ())}

    def seen(self, pool: PoolName) -> list[SoftwareVersion]:
        """Return the versions that a pool has or has had lately, in order."""
        left = self._left_lately(pool, self.clock())
        return sorted(self._listed(pool) | left.keys())

    def followed_since(self) -> float:
        """Return the local time in seconds since which no change can be missing."""
        return max(self.known_since, self.gap_at)

    def only_version(self, pool: PoolName) -> SoftwareVersion | None:
        """Return the version at which all streams of a pool began, if there is one.

        A host that does not know the list for long goes by the start times of the
        runners: a version that has just gone was replaced by runners that started not
        long before.
        """
        now = self.clock()
        entries = self.entries.get(pool, ())
        versions = self.seen(pool)
        if len(versions) != 1 or not entries:
            return None
        if now - self.gap_at < STREAM_LIFETIME_SECONDS:
            return None
        if now - self.known_since < STREAM_LIFETIME_SECONDS:
            started_before = (self.unix_time() - STREAM_LIFETIME_SECONDS) * MILLISECONDS
            if any(entry.key.born > started_before for entry in entries):
                return None
        return versions.pop()
