"""Hosts that follow the configuration in a store in memory, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.follow import Followers
from primroseford.gateway.runners import RunnerStage
from primroseford.platform.client import PlatformClient
from primroseford.platform.transport import CALL_TIMEOUT_SECONDS
from primroseford.proof.heartbeats import STEP_SECONDS
from primroseford.proof.heartbeats import Fleet
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry
from primroseford.standins.platform_state import PlatformState

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.platform.transport import Call

RUNNER = "i-1"
RUNNER_ADDRESS = "127.0.0.1:9"
LOOK_SECONDS = 0.01
"""Time between two looks of a waiting watch for changes."""


class MemoryStore:
    """The platform's store without sockets.

    :ivar muted: whether waiting watches hear nothing, as before the store drops its
        history
    :ivar floor: revision from which the history is kept
    :ivar away: hosts to which the store does not answer
    :ivar silences: how often the open connections have gone silent for good
    """

    def __init__(self) -> None:
        self.state = PlatformState()
        self.muted = False
        self.floor = 0
        self.away: set[str] = set()
        self.silences = 0

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object as the operator or a runner does."""
        item = {"metadata": {"name": name}, "spec": spec}
        if name in self.state.objects.get(kind, {}):
            self.state.update(kind, item)
        else:
            self.state.create(kind, item)

    def silence(self) -> None:
        """Let the calls that are in progress have no answer; new ones have one."""
        self.silences += 1

    def drop_history(self) -> None:
        """Refuse the watches that wait, and let later ones hear again."""
        self.floor = self.state.version
        self.muted = False

    async def answer(self, host: str, call: Call) -> dict[str, Any]:
        """Return the answer to a call of a host."""
        if host in self.away:
            await asyncio.Event().wait()
        self.state.calls[call.verb, call.path] += 1
        if call.verb == "LIST":
            return self._body("items", self.state.list(call.path)) | {"has_more": False}
        loop = asyncio.get_running_loop()
        silences = self.silences
        since = int(call.params["watch"])
        until = loop.time() + int(call.params["wait_ms"]) / 1000
        while True:
            if silences != self.silences:
                await asyncio.Event().wait()
            if since < self.floor:
                raise PrimrosefordError(ResultCode.WATCH_EXPIRED, "history dropped")
            changes = self.state.changes_since(call.path, since)
            if not self.muted and (changes or loop.time() >= until):
                events = [
                    {"object": c.object, "deleted": c.type == "DELETED"}
                    for c in changes
                ]
                return self._body("events", events)
            await asyncio.sleep(LOOK_SECONDS)

    def _body(self, name: str, content: list) -> dict[str, Any]:
        return {name: content, "as_of": self.state.version}


class MemoryTransport:
    """One host's calls to a store in memory."""

    def __init__(self, store: MemoryStore, host: str) -> None:
        self.store = store
        self.host = host

    async def call(self, call: Call) -> dict[str, Any]:
        """Make one call and return the answer.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE, or WATCH_EXPIRED
        """
        try:
            async with asyncio.timeout(call.timeout or CALL_TIMEOUT_SECONDS):
                return await self.store.answer(self.host, call)
        except TimeoutError:
            raise PrimrosefordError(
                ResultCode.PLATFORM_UNAVAILABLE, "no answer in time"
            ) from None


class FollowingFleet:
    """Hosts that follow one store and hear each other's heartbeats.

    :ivar since: time of the last change in the store, in seconds
    """

    def __init__(self, hosts: int) -> None:
        self.store = MemoryStore()
        self.store.put("config", "main", configuration(1))
        self.store.put("servers", RUNNER, runner_entry(RUNNER_ADDRESS))
        self.heartbeats = Fleet(hosts)
        self.followers = {
            name: Followers(
                service.gateway,
                PlatformClient(MemoryTransport(self.store, name)),
                _read_no_peer,
            )
            for name, service in self.heartbeats.services.items()
        }
        self.since = self.heartbeats.clock()

    async def start(self) -> None:
        """Start to follow, one host shortly after the other."""
        for name, followers in self.followers.items():
            service = self.heartbeats.services[name]
            service.reaches_store = lambda name=name: name not in self.store.away
            await followers.start()
            await self.run(STEP_SECONDS)

    async def stop(self) -> None:
        """Stop to follow."""
        for followers in self.followers.values():
            await followers.stop()

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            self.heartbeats.step()

    def put_configuration(self, version: int) -> None:
        """Change the configuration."""
        self.store.put("config", "main", configuration(version))
        self.since = self.heartbeats.clock()

    def drain_runner(self) -> None:
        """Let the runner tell that it leaves."""
        entry = runner_entry(RUNNER_ADDRESS, state="draining")
        self.store.put("servers", RUNNER, entry)
        self.since = self.heartbeats.clock()

    def confirming(self) -> str:
        """Return the host on whose watch calls the others rely."""
        return next(n for n, f in self.live().items() if f.is_confirming())

    def live(self) -> dict[str, Followers]:
        """Return the followers of the hosts that are up."""
        down = self.heartbeats.down
        return {n: f for n, f in self.followers.items() if n not in down}

    async def kill(self, host: str) -> None:
        """End a host without notice."""
        self.heartbeats.down.add(host)
        await self.followers[host].stop()

    def has_configuration(self, version: int) -> bool:
        """Return whether all hosts in touch have at least this configuration."""
        return all(
            followers.gateway.tables.version >= version for followers in self.in_touch()
        )

    def knows_leaving_runner(self) -> bool:
        """Return whether all hosts in touch know that the runner leaves."""
        stages = {
            followers.gateway.runner_list.entries[RUNNER].stage
            for followers in self.in_touch()
        }
        return stages == {RunnerStage.DRAINING}

    def in_touch(self) -> list[Followers]:
        """Return the followers that are up and that the store answers."""
        live = self.live().items()
        return [found for name, found in live if name not in self.store.away]

    async def seconds_until(
        self, condition: Callable[[], bool], longest: float
    ) -> float:
        """Return how long after the last change a condition holds.

        :param longest: time in seconds after which to look no longer
        """
        clock = self.heartbeats.clock
        while clock() - self.since < longest and not condition():
            await self.run(STEP_SECONDS)
        return clock() - self.since


async def _read_no_peer() -> None:
    """Find no peer that hands on what it follows."""
