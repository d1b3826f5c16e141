"""Watching of the platform by the two highest-ranked hosts of a domain.

A change takes effect once the feeds of all kinds have reached its version. A kind
without changes reaches it only with the end of its watch call, so that call is ended
early.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.configuration.merge import behind
from primroseford.configuration.merge import create_merge
from primroseford.configuration.merge import next_delta
from primroseford.configuration.merge import take_event
from primroseford.configuration.merge import take_list
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

RETRY_SECONDS = 1.0
RELIST_SECONDS = 60.0
"""Watches are hints; a list repairs an event that the platform failed to send."""
KEYS_RELIST_SECONDS = 10.0
"""A withdrawn key must stop working within seconds, also when its event was lost."""

CATCH_UP_SECONDS = 0.2
"""Pause between two rounds of ending the watch calls that hold changes back: a fifth of
the second that operators are promised for a change, and five rounds a second."""

log = structlog.get_logger()


class PlatformWatcher:
    """Feeds of all kinds from the platform.

    :param on_delta: called with each delta; returns whether the copy has reached its
        end
    :param on_confirmed: called with the time at which all feeds were complete
    :ivar watches: the watch of each kind
    :ivar late: kinds whose next watch call is answered at once
    :ivar held_back: set while a change waits for the feed of another kind
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
        self.heard = dict.fromkeys(kinds, float("-inf"))
        self.listed = dict.fromkeys(kinds, clock())
        self.watches: dict[str, asyncio.Task[None]] = {}
        self.late: set[str] = set()
        self.held_back = asyncio.Event()

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._catch_up())
            for feed in self.merge.feeds.values():
                group.create_task(self._follow(feed))

    async def _catch_up(self) -> None:
        """End the watch calls of the kinds that hold a change back."""
        while True:
            await self.held_back.wait()
            self.held_back.clear()
            for kind in behind(self.merge):
                watch = self.watches.get(kind)
                if watch is not None and not watch.done():
                    self.late.add(kind)
                    watch.cancel()
            await self.sleep(CATCH_UP_SECONDS)

    async def _follow(self, feed: KindFeed) -> None:
        relist = feed.position == 0
        while True:
            try:
                if relist or self._list_due(feed):
                    await self._list(feed)
                    relist = False
                await self._watch(feed)
            except PrimrosefordError as error:
                relist = error.code is ResultCode.WATCH_EXPIRED
                log.warning("watch ended", kind=feed.kind, code=int(error.code))
            except Exception as error:
                # A malformed event must not end the watch of the other kinds.
                relist = True
                log.error("watch failed", kind=feed.kind, error=repr(error))
            await self.sleep(RETRY_SECONDS)

    def _list_due(self, feed: KindFeed) -> bool:
        keys = feed.kind == "keys"
        interval = KEYS_RELIST_SECONDS if keys else RELIST_SECONDS
        return self.clock() - self.listed[feed.kind] > interval

    async def _list(self, feed: KindFeed) -> None:
        sent_at = self.clock()
        found = await self.client.list(feed.kind)
        take_list(feed, found)
        self.listed[feed.kind] = sent_at
        self._advance(feed, sent_at)

    async def _watch(self, feed: KindFeed) -> None:
        """Watch a kind until its watch fails, anew each time that it is ended."""
        while True:
            watch = asyncio.create_task(self._watch_once(feed))
            self.watches[feed.kind] = watch
            try:
                await watch
                return
            except asyncio.CancelledError:
                if feed.kind not in self.late or asyncio.current_task().cancelling():
                    raise

    async def _watch_once(self, feed: KindFeed) -> None:
        def wait_seconds() -> float:
            if feed.kind not in self.late:
                return WATCH_WAIT_SECONDS
            self.late.discard(feed.kind)
            return 0.0

        events = self.client.watch(feed.kind, feed.position, wait_seconds=wait_seconds)
        async for event in events:
            take_event(feed, event)
            self._advance(feed, self.clock())
            if self._list_due(feed):
                await self._list(feed)

    def _advance(self, feed: KindFeed, at: float) -> None:
        self.heard[feed.kind] = max(at, self.heard[feed.kind])
        delta = next_delta(self.merge)
        if delta is not None and not self.on_delta(delta):
            return
        if behind(self.merge):
            self.held_back.set()
        # Changes that wait for another feed are not in force yet.
        reached = min(f.position for f in self.merge.feeds.values())
        oldest = min(self.heard.values())
        if oldest != float("-inf") and self.merge.published >= reached > 0:
            self.on_confirmed(oldest)
