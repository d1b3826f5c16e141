"""Keeps the text of each batch item at the software version that began it.

What runners of two versions write does not fit together. The text of an item without a
result is not listed yet, so it may also start again from nothing, at any version.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import structlog

from primroseford.jobs.waiting import WaitReason

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from primroseford.gateway.runners import RunnerEntry
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion
    from primroseford.jobs.batch_capacity import BatchCapacity
    from primroseford.jobs.run import ItemRun

MAX_VERSION_WAIT_SECONDS = 3.0
"""Longest time for which an item waits for a runner of the version of its text that has
room and takes it, while there are others: less than the run time of a whole item."""

log = structlog.get_logger()


class DiscardReason(Enum):
    """Why the text of an item was dropped."""

    VERSION_GONE = "version_gone"
    VERSION_FULL = "version_full"
    VERSION_STALLED = "version_stalled"
    VERSION_UNKNOWN = "version_unknown"


def find_discard_reason(
    version: SoftwareVersion,
    entries: Iterable[RunnerEntry],
    failed_on: Collection[RunnerKey],
    stalled_seconds: float,
) -> DiscardReason | None:
    """Return why a text cannot go on at its version; None if it can.

    It never starts again for want of any better runner, and a host that has just
    started knows no runner yet.

    :param version: version of the text
    :param entries: the ready runners
    :param failed_on: runners that have failed to continue the text
    :param stalled_seconds: time for which runs have ended without an event
    """
    candidates = {entry.version for entry in entries if entry.key not in failed_on}
    if not candidates - {version}:
        return None
    if version not in candidates:
        return DiscardReason.VERSION_GONE
    if stalled_seconds >= MAX_VERSION_WAIT_SECONDS:
        return DiscardReason.VERSION_STALLED
    return None


def record_run_end(item: ItemRun, key: RunnerKey, refused: bool, now: float) -> None:
    """Record a run that ended without a result.

    :param refused: whether the runner did not run the item, as a full one does
    :param now: local time in seconds
    """
    if len(item.data) > item.events_at_start:
        return
    if item.stalled_since is None:
        item.stalled_since = now
    if not refused:
        item.failed_on.add(key)


class TextVersions:
    """Decides at which software version the items of this host run next.

    :param capacity: free capacity of the pools for items
    :ivar ready: versions of the ready runners by pool, since the last :meth:`renew`
    :ivar without_room: pools and versions in which no item could start since then, each
        with whether it might have started on a runner without a limit; None as the
        version stands for any
    """

    def __init__(self, gateway: Gateway, capacity: BatchCapacity) -> None:
        self.gateway = gateway
        self.capacity = capacity
        self.ready: dict[PoolName, set[SoftwareVersion]] = {}
        self.without_room: set[tuple[PoolName, SoftwareVersion | None, bool]] = set()

    def renew(self) -> None:
        """Forget what earlier passes over the items have found."""
        self.ready.clear()
        self.without_room.clear()

    def check_restored(self, item: ItemRun) -> None:
        """Drop the progress of another host that does not tell its version.

        Hosts of earlier releases continue a text at any version, and the versions that
        this host lists need not be all that have served.
        """
        if item.resumable_events and item.version is None:
            self.discard(item, DiscardReason.VERSION_UNKNOWN)

    def check_ready(self, item: ItemRun, route: Route | None, now: float) -> None:
        """Drop the text of an item that no runner of its version can continue.

        :param now: local time in seconds
        """
        version = item.required_version
        if version is None or route is None:
            return
        since = item.stalled_since
        stalled_seconds = 0.0 if since is None else now - since
        is_sound = stalled_seconds < MAX_VERSION_WAIT_SECONDS and not item.failed_on
        # Looking at all runners for each item would be slow in large pools.
        if is_sound and any(
            version in self._ready_versions(pool) for pool, _ in route.pools
        ):
            return
        entries = self._ready_entries(route)
        reason = find_discard_reason(version, entries, item.failed_on, stalled_seconds)
        if reason is not None:
            self.discard(item, reason)

    def check_room(
        self,
        item: ItemRun,
        pool: PoolName,
        may_start: Callable[[], bool],
        now: float,
    ) -> WaitReason | None:
        """Return why an item must wait for its version; None if it need not.

        An item that has waited too long loses its text, and starts at any version.

        :param may_start: whether the item may start on a runner without a limit
        :param now: local time in seconds
        """
        version = item.required_version
        if version is None or self._has_room(pool, version, may_start):
            return None
        if item.version_full_since is None:
            if not self._has_room(pool, None, may_start):
                return None
            item.version_full_since = now
        if now - item.version_full_since < MAX_VERSION_WAIT_SECONDS:
            return WaitReason.VERSION_FULL
        if self._has_room(pool, None, may_start):
            self.discard(item, DiscardReason.VERSION_FULL)
        return None

    def _has_room(
        self,
        pool: PoolName,
        version: SoftwareVersion | None,
        may_start: Callable[[], bool],
    ) -> bool:
        """Return whether an item can start at a version; None stands for any."""
        unlimited = may_start()
        key = (pool, version, unlimited)
        if key in self.without_room:
            return False
        if self.capacity.choose_limited_runner(pool, version=version) is not None:
            return True
        if unlimited and self.capacity.choose_runner(pool, version=version) is not None:
            return True
        self.without_room.add(key)
        return False

    def _ready_versions(self, pool: PoolName) -> set[SoftwareVersion]:
        if pool not in self.ready:
            runners = self.gateway.allocator.pool_runners(pool)
            self.ready[pool] = {runner.entry.version for runner in runners}
        return self.ready[pool]

    def _ready_entries(self, route: Route | None) -> list[RunnerEntry]:
        pools = route.pools if route is not None else ()
        return [
            runner.entry
            for pool, _ in pools
            for runner in self.gateway.allocator.pool_runners(pool)
        ]

    def discard(self, item: ItemRun, reason: DiscardReason) -> None:
        """Drop the text of an item, so that its next run starts from the beginning."""
        log.warning(
            "item starts again",
            item=item.item.id,
            job=item.job.id,
            reason=reason.value,
            version=item.version,
            events=len(item.data),
            runner=item.runner,
        )
        item.discard_events()
