"""Watches of the platform, made by the two highest-ranked hosts of a failure domain.

A change takes effect once the feeds of all kinds have reached its version. The feed of
a kind without changes advances only when its watch call returns, so that call is
cancelled and replaced by one that returns at once.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.configuration.merge import create_merge
from primroseford.configuration.merge import lagging_kinds
from primroseford.configuration.merge import next_delta
from primroseford.configuration.merge import record_event
from primroseford.configuration.merge import record_list
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.client import WATCH_WAIT_SECONDS

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.configuration.merge import KindFeed
    from primroseford.configuration.objects import Delta
    from primroseford.configuration.objects import ObjectSet
    from primroseford.platform.client import PlatformClient

    Sleep = Callable[[float], Awaitable[None]]

RETRY_INTERVAL_SECONDS = 1.0
RELIST_INTERVAL_SECONDS = 60.0
"""A watch can miss an event without notice; a periodic list finds the missed change."""
KEYS_RELIST_INTERVAL_SECONDS = 10.0
"""A withdrawn key must stop working within seconds, also if its event was lost."""

CATCH_UP_INTERVAL_SECONDS = 0.2
"""Pause between two rounds of cancelling watch calls that hold changes back. Operators
are promised that a change takes effect within a second; one round takes a fifth of it,
and there are at most five rounds a second."""

log = structlog.get_logger()


class ConfigurationWatcher:
    """Watches all kinds on the platform and merges their changes into deltas.

    :param on_delta: called with each delta; returns whether the host's copy has reached
        the delta's end
    :param on_confirmed: called with the time at which all feeds were complete
    :ivar answered_at: time up to which the platform has answered, by kind
    :ivar listed_at: time at which the last list was requested, by kind
    :ivar watches: task of the current watch call, by kind
    :ivar no_wait_kinds: kinds whose next watch call returns without waiting
    :ivar change_held_back: set if a change waits for the feed of another kind
    """

    def __init__(
        self,
        client: PlatformClient,
        kinds: tuple[str, ...],
        objects: ObjectSet,
        clock: Clock,
        sleep: Sleep,
        on_delta: Callable[[Delta], bool],
        on_confirmed: Callable[[float], None],
    ) -> None:
        self.client = client
        self.clock = clock
        self.sleep = sleep
        self.on_delta = on_delta
        self.on_confirmed = on_confirmed
        self.merge = create_merge(kinds, objects)
        self.answered_at = dict.fromkeys(kinds, float("-inf"))
        self.listed_at = dict.fromkeys(kinds, clock())
        self.watches: dict[str, asyncio.Task[None]] = {}
        self.no_wait_kinds: set[str] = set()
        self.change_held_back = asyncio.Event()

    async def run(self) -> None:
        """Watch all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._end_blocking_watches())
            for feed in self.merge.feeds.values():
                group.create_task(self._watch_kind(feed))

    async def _end_blocking_watches(self) -> None:
        """Cancel the watch calls of kinds that hold a change back."""
        while True:
            await self.change_held_back.wait()
            self.change_held_back.clear()
            for kind in lagging_kinds(self.merge):
                watch = self.watches.get(kind)
                if watch is not None and not watch.done():
                    self.no_wait_kinds.add(kind)
                    watch.cancel()
            await self.sleep(CATCH_UP_INTERVAL_SECONDS)

    async def _watch_kind(self, feed: KindFeed) -> None:
        relist = feed.position == 0
        while True:
            try:
                if relist or self._is_relist_due(feed):
                    await self._list(feed)
                    relist = False
                await self._watch(feed)
            except PrimrosefordError as error:
                relist = error.code is ResultCode.WATCH_EXPIRED
                log.warning("watch ended", kind=feed.kind, code=int(error.code))
            except Exception as error:
                # A malformed event must not end the watches of the other kinds.
                relist = True
                log.error("watch failed", kind=feed.kind, error=repr(error))
            await self.sleep(RETRY_INTERVAL_SECONDS)

    def _is_relist_due(self, feed: KindFeed) -> bool:
        keys = feed.kind == "keys"
        interval = KEYS_RELIST_INTERVAL_SECONDS if keys else RELIST_INTERVAL_SECONDS
        return self.clock() - self.listed_at[feed.kind] > interval

    async def _list(self, feed: KindFeed) -> None:
        sent_at = self.clock()
        found = await self.client.list(feed.kind)
        record_list(feed, found)
        self.listed_at[feed.kind] = sent_at
        self._advance(feed, sent_at)

    async def _watch(self, feed: KindFeed) -> None:
        """Watch a kind until the watch fails; restart it if it was cancelled early."""
        while True:
            watch = asyncio.create_task(self._watch_once(feed))
            self.watches[feed.kind] = watch
            try:
                await watch
                return
            except asyncio.CancelledError:
                if (
                    feed.kind not in self.no_wait_kinds
                    or asyncio.current_task().cancelling()
                ):
                    raise

    async def _watch_once(self, feed: KindFeed) -> None:
        def wait_seconds() -> float:
            if feed.kind not in self.no_wait_kinds:
                return WATCH_WAIT_SECONDS
            self.no_wait_kinds.discard(feed.kind)
            return 0.0

        events = self.client.watch(feed.kind, feed.position, wait_seconds=wait_seconds)
        async for event in events:
            record_event(feed, event)
            self._advance(feed, self.clock())
            if self._is_relist_due(feed):
                await self._list(feed)

    def _advance(self, feed: KindFeed, at: float) -> None:
        self.answered_at[feed.kind] = max(at, self.answered_at[feed.kind])
        delta = next_delta(self.merge)
        if delta is not None and not self.on_delta(delta):
            return
        if lagging_kinds(self.merge):
            self.change_held_back.set()
        # Changes that wait for another feed have not taken effect yet.
        reached = min(f.position for f in self.merge.feeds.values())
        oldest = min(self.answered_at.values())
        if oldest != float("-inf") and self.merge.published >= reached > 0:
            self.on_confirmed(oldest)
