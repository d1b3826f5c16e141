"""An in-memory version of the platform's store, for hosts in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.transport import CALL_TIMEOUT_SECONDS
from primroseford.standins.platform_state import PlatformState

if TYPE_CHECKING:
    from primroseford.platform.transport import Call

POLL_SECONDS = 0.01
"""Interval at which an open watch checks for changes."""


class MemoryStore:
    """The platform's store without sockets.

    :ivar muted: whether open watches deliver no changes, as before the store drops its
        history
    :ivar oldest_revision: oldest revision from which a watch can start
    :ivar unreachable_from: hosts whose calls get no response
    :ivar stalls: number of calls of :meth:`stall_open_calls`
    """

    def __init__(self) -> None:
        self.state = PlatformState()
        self.muted = False
        self.oldest_revision = 0
        self.unreachable_from: set[str] = set()
        self.stalls = 0

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create or replace an object as an operator or a runner does."""
        item = {"metadata": {"name": name}, "spec": spec}
        if name in self.state.objects.get(kind, {}):
            self.state.update(kind, item)
        else:
            self.state.create(kind, item)

    def stall_open_calls(self) -> None:
        """Never respond to the calls that are in progress; new calls are unaffected."""
        self.stalls += 1

    def drop_history(self) -> None:
        """Expire the open watches, and deliver changes to later ones again."""
        self.oldest_revision = self.state.version
        self.muted = False

    async def handle_call(self, host: str, call: Call) -> dict[str, Any]:
        """Return the response to a call of a host."""
        if host in self.unreachable_from:
            await asyncio.Event().wait()
        self.state.calls[call.verb, call.path] += 1
        if call.verb == "LIST":
            return self._body("items", self.state.list(call.path)) | {"has_more": False}
        loop = asyncio.get_running_loop()
        stalls = self.stalls
        since = int(call.params["watch"])
        until = loop.time() + int(call.params["wait_ms"]) / 1000
        while True:
            if stalls != self.stalls:
                await asyncio.Event().wait()
            if since < self.oldest_revision:
                raise PrimrosefordError(ResultCode.WATCH_EXPIRED, "history dropped")
            changes = self.state.changes_since(call.path, since)
            if not self.muted and (changes or loop.time() >= until):
                events = [
                    {"object": c.object, "deleted": c.type == "DELETED"}
                    for c in changes
                ]
                return self._body("events", events)
            await asyncio.sleep(POLL_SECONDS)

    def _body(self, name: str, content: list) -> dict[str, Any]:
        return {name: content, "as_of": self.state.version}


class MemoryTransport:
    """Transport of one host for calls to an in-memory store."""

    def __init__(self, store: MemoryStore, host: str) -> None:
        self.store = store
        self.host = host

    async def call(self, call: Call) -> dict[str, Any]:
        """Make one call and return the response.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE, or WATCH_EXPIRED
        """
        try:
            async with asyncio.timeout(call.timeout or CALL_TIMEOUT_SECONDS):
                return await self.store.handle_call(self.host, call)
        except TimeoutError:
            raise PrimrosefordError(
                ResultCode.PLATFORM_UNAVAILABLE, "platform call timed out"
            ) from None
