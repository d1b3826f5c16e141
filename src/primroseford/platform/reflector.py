"""Keeps a local view of a kind by a list and a watch, and lists again on errors."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.client import WATCH_WAIT_SECONDS
from primroseford.platform.limiter import Priority
from primroseford.platform.objects import EventType
from primroseford.platform.view import Delta
from primroseford.platform.view import View
from primroseford.platform.view import apply_event
from primroseford.platform.view import apply_list
from primroseford.platform.view import is_equal
from primroseford.platform.writes import backoff_delay

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.ids import Version
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import ObjectList
    from primroseford.platform.objects import WatchEvent

BACKOFF_BASE_SECONDS = 0.2
BACKOFF_MAX_SECONDS = 10.0
RELIST_SECONDS = 300.0
"""Age of the last list after which the next event or bookmark ends the watch. A watch
can skip events without notice; only a list shows the skipped changes."""

EVENTS_SECONDS = 0.05
"""Time that a list waits for the events before it. The service responds within some
ms; a list must not be late because it does not."""

log = structlog.get_logger()


class Reflector(Service):
    """Watches the objects of one kind and reports each change.

    :param client: client of the platform's service
    :param kind: kind to watch
    :param callback: called with the changes of each response in one delta; versions
        never decrease
    :param purpose: mechanism under which the calls are counted
    :param clock: local clock
    :param relist_seconds: longest time between two lists
    :param fraction: source of random numbers from 0 to 1
    :param on_result: called after each call with whether the service answered,
        before ``reachable`` changes
    :param backoff_max: longest delay between two attempts, in seconds
    :param watch_seconds: returns how long the next watch call waits for a change
    :param pause_seconds: returns the time between a response with changes and the next
        watch call
    :param keeps_events: whether the events since the view are read before each list
    :ivar reachable: whether the service answered the last call
    :ivar behind_since: time since which the view is known to lack changes, if it is
    :ivar confirmed_at: local time at which the service last confirmed the view
    :ivar listed_at: local time at which the last list was requested
    :ivar gap_at: local time of the last list before which changes may have been missed
        that no list shows, such as an object that came and went; with ``keeps_events``
    """

    def __init__(
        self,
        client: PlatformClient,
        kind: str,
        callback: Callable[[Delta], None],
        purpose: str,
        clock: Clock,
        relist_seconds: float,
        fraction: Callable[[], float],
        on_result: Callable[[bool], None] | None = None,
        backoff_max: float = BACKOFF_MAX_SECONDS,
        watch_seconds: Callable[[], float] = lambda: WATCH_WAIT_SECONDS,
        pause_seconds: Callable[[], float] = lambda: 0.0,
        keeps_events: bool = False,
    ) -> None:
        super().__init__()
        self.keeps_events = keeps_events
        self.backoff_max = backoff_max
        self.watch_seconds = watch_seconds
        self.pause_seconds = pause_seconds
        self.watch_task: asyncio.Task | None = None
        self.restart_requested = False
        self.behind_since: float | None = None
        self.client = client
        self.kind = kind
        self.callback = callback
        self.purpose = purpose
        self.clock = clock
        self.relist_seconds = relist_seconds
        self.fraction = fraction
        self.view = View()
        self.confirmed_at: float | None = None
        self.listed_at = -math.inf
        self.gap_at = -math.inf
        self.refreshing = asyncio.Lock()
        self.failures = 0
        self.on_result = on_result
        self.reachable = False

    def _record_call_result(self, answered: bool) -> None:
        if self.on_result is not None:
            self.on_result(answered)
        self.reachable = answered

    @Service.task
    async def list_and_watch(self) -> None:
        """List and watch until the service stops."""
        while not self.should_stop:
            await self.sleep(await self.run_once())

    async def run_once(self) -> float:
        """List, then watch until the watch ends.

        :returns: seconds to wait before the next list
        """
        try:
            await self._list(await self._try_events())
            self.restart_requested = False
            self.watch_task = asyncio.create_task(self.watch_once())
            await self.watch_task
        except asyncio.CancelledError:
            if not self.restart_requested or asyncio.current_task().cancelling():
                raise
            self.behind_since = None
            return 0.0
        except PrimrosefordError as error:
            log.warning("watch ended", kind=self.kind, code=error.code.name)
            if error.code is not ResultCode.WATCH_EXPIRED:
                self._record_call_result(False)
        self.failures += 1
        return backoff_delay(
            self.failures, self.fraction(), BACKOFF_BASE_SECONDS, self.backoff_max
        )

    def load_initial_list(self, listed: ObjectList) -> None:
        """Start with another reader's list, unless the service has already answered."""
        if not self.view.version:
            self._publish(apply_list(self.view, listed))

    def relist_if_behind(self, seconds: float) -> None:
        """Restart the watch if it has not delivered known changes within a time.

        :param seconds: time for the watch to deliver the changes
        """
        now = self.clock()
        if self.behind_since is None:
            self.behind_since = now
        elif now - self.behind_since >= seconds:
            self.restart_watch("hides changes")

    def restart_watch(self, reason: str) -> None:
        """Cancel the current watch call, if there is one, and list at once.

        :param reason: reason for the log
        """
        if self.watch_task is None or self.watch_task.done() or self.restart_requested:
            return
        log.info("restarting the watch", kind=self.kind, why=reason)
        self.restart_requested = True
        self.watch_task.cancel()

    async def refresh(self) -> None:
        """Apply the changes that the service had made before this call.

        A watch may deliver them later, or not at all if its connection is broken. Calls
        at the same time share a list. One that fails leaves the view as it is.

        :raises PrimrosefordError: CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        called_at = self.clock()
        async with self.refreshing:
            if self.listed_at < called_at:
                await self._list(await self._apply_events())

    async def _try_events(self) -> bool:
        """Apply the events since the view if the service returns them at once.

        :returns: whether all of them have been applied
        """
        try:
            async with asyncio.timeout(EVENTS_SECONDS):
                return await self._apply_events()
        except (PrimrosefordError, TimeoutError) as error:
            log.info("events before a list not read", kind=self.kind, reason=str(error))
            return False

    async def _apply_events(self) -> bool:
        """Apply the events since the view, which also show what came and went.

        :returns: whether the service still had all of them
        :raises PrimrosefordError: CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        if not self.keeps_events or not self.view.version:
            return False
        events = await self.read_events(self.view.version)
        if events is None:
            return False
        self._apply(events)
        return True

    async def read_events(self, since: Version) -> list[WatchEvent] | None:
        """Return the changes after a version that the service still has.

        :returns: ``None`` if it has discarded some of them
        :raises PrimrosefordError: CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        found = []
        events = self.client.watch(
            self.kind,
            since,
            purpose=self.purpose,
            priority=Priority.READ,
            wait_seconds=lambda: 0.0,
        )
        try:
            async for event in events:
                found.append(event)
                if event.type is EventType.BOOKMARK:
                    break
        except PrimrosefordError as error:
            if error.code is not ResultCode.WATCH_EXPIRED:
                raise
            return None
        finally:
            await events.aclose()
        return found

    async def _list(self, has_events: bool = False) -> None:
        """Apply a list.

        :param has_events: whether all events since the view have been applied
        """
        requested_at = self.clock()
        listed = await self.client.list(
            self.kind, purpose=self.purpose, priority=Priority.READ
        )
        self.listed_at = max(self.listed_at, requested_at)
        self._record_call_result(True)
        if has_events and is_equal(self.view, listed):
            self._confirm()
            return
        has_gap = self.keeps_events and self.view.version > 0 and not has_events
        delta = apply_list(self.view, listed)
        if delta is None:
            log.warning(
                "list is older than the view",
                kind=self.kind,
                listed=listed.version,
                version=self.view.version,
            )
            return
        if has_gap:
            self.gap_at = self.clock()
        self._publish(delta)

    async def watch_once(self) -> None:
        """Watch from the view's version until the watch ends.

        :raises PrimrosefordError: WATCH_EXPIRED, CALLS_LIMITED, or
            PLATFORM_UNAVAILABLE
        """
        listed_at = self.clock()
        # Jitter, because all hosts may have listed at the same time after an outage.
        lifetime = self.relist_seconds * (0.5 + self.fraction() / 2)
        events = self.client.watch(
            self.kind,
            self.view.version,
            purpose=self.purpose,
            priority=Priority.READ,
            wait_seconds=self.watch_seconds,
        )
        response: list[WatchEvent] = []
        async for event in events:
            response.append(event)
            if event.type is not EventType.BOOKMARK:
                continue
            self.failures = 0
            self._record_call_result(True)
            self._apply(response)
            if len(response) > 1:
                # The pause collects changes in quick succession into one response.
                await self.sleep(self.pause_seconds())
            response = []
            if self.should_stop or self.clock() - listed_at > lifetime:
                await events.aclose()
                return

    def _apply(self, response: list[WatchEvent]) -> None:
        """Apply the events of one response, and report them together."""
        before = self.view.version
        deltas = [apply_event(self.view, event) for event in response]
        if self.view.version > before:
            changes = [event for delta in deltas if delta for event in delta.events]
            self._publish(Delta(self.view.version, tuple(changes)))
        elif response[-1].version == self.view.version:
            self.confirmed_at = self.clock()

    def _publish(self, delta: Delta) -> None:
        self._confirm()
        self.callback(delta)

    def _confirm(self) -> None:
        self.behind_since = None
        self.confirmed_at = self.clock()


def create_reflector(
    client: PlatformClient,
    kind: str,
    callback: Callable[[Delta], None],
    *,
    purpose: str,
    clock: Clock = boottime,
    relist_seconds: float = RELIST_SECONDS,
    fraction: Callable[[], float] = random.random,
    on_result: Callable[[bool], None] | None = None,
    backoff_max: float = BACKOFF_MAX_SECONDS,
    watch_seconds: Callable[[], float] = lambda: WATCH_WAIT_SECONDS,
    pause_seconds: Callable[[], float] = lambda: 0.0,
    keeps_events: bool = False,
) -> Reflector:
    """Return a service that watches the objects of one kind.

    ``view`` is the current view; ``confirmed_at`` is the local time at which the
    service last confirmed it.

    :param client: client of the platform's service
    :param kind: kind to watch
    :param callback: called with each delta of the view
    :param purpose: mechanism under which the calls are counted
    :param clock: local clock
    :param relist_seconds: longest time between two lists
    :param fraction: source of random numbers from 0 to 1
    :param on_result: called after each call with whether the service
        answered
    :param backoff_max: longest delay between two attempts, in seconds
    :param watch_seconds: returns how long the next watch call waits for a change
    :param pause_seconds: returns the time between a response with changes and the next
        watch call
    :param keeps_events: whether the events since the view are read before each list,
        so that the callback also learns of objects that came and went
    """
    return Reflector(
        client,
        kind,
        callback,
        purpose,
        clock,
        relist_seconds,
        fraction,
        on_result,
        backoff_max,
        watch_seconds,
        pause_seconds,
        keeps_events,
    )
