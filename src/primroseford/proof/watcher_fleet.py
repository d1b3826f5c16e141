"""Hosts that follow the configuration in a store in memory, in virtual time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from primroseford.gateway.peer_bootstrap import PARALLEL_REQUESTS
from primroseford.gateway.peer_bootstrap import newest_lists
from primroseford.gateway.peer_bootstrap import peers_by_version
from primroseford.gateway.platform_watcher import PlatformWatcher
from primroseford.gateway.runners import RunnerStage
from primroseford.platform.client import PlatformClient
from primroseford.platform.view import decode_list
from primroseford.platform.view import encode_list
from primroseford.proof.heartbeats import STEP_SECONDS
from primroseford.proof.heartbeats import HeartbeatFleet
from primroseford.proof.memory_store import MemoryStore
from primroseford.proof.memory_store import MemoryTransport
from primroseford.standins.fleet_objects import configuration
from primroseford.standins.fleet_objects import runner_entry

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.gateway.state import Gateway
    from primroseford.platform.objects import ObjectList


RUNNER = "i-1"
RUNNER_ADDRESS = "127.0.0.1:9"


class WatcherFleet:
    """Hosts that follow one store and hear each other's heartbeats.

    :ivar changed_at: time of the last change in the store, in seconds
    """

    def __init__(self, hosts: int) -> None:
        self.store = MemoryStore()
        self.store.put("config", "main", configuration(1))
        self.store.put("servers", RUNNER, runner_entry(RUNNER_ADDRESS))
        self.heartbeats = HeartbeatFleet(hosts)
        self.watchers = {name: self.create(name) for name in self.heartbeats.names}
        self.changed_at = self.heartbeats.clock()

    def create(self, name: str) -> PlatformWatcher:
        """Return what follows the store on a host."""
        service = self.heartbeats.services[name]
        service.reaches_store = lambda: name not in self.store.unreachable_from
        client = PlatformClient(MemoryTransport(self.store, name))

        async def read_peers() -> tuple[dict[str, ObjectList], float] | None:
            return self.fetch_from_peers(service.gateway)

        return PlatformWatcher(service.gateway, client, read_peers)

    def fetch_from_peers(
        self, gateway: Gateway
    ) -> tuple[dict[str, ObjectList], float] | None:
        """Return what the peers hand on that a starting host asks first."""
        found = []
        for peer in peers_by_version(gateway.members, gateway.clock())[
            :PARALLEL_REQUESTS
        ]:
            watchers = self.live().get(peer.host)
            if watchers is None or not watchers.tables.view.version:
                continue
            views = {r.kind: r.view for r in (watchers.tables, watchers.runners)}
            lists = {k: decode_list(k, encode_list(v)) for k, v in views.items()}
            age = gateway.clock() - watchers.gateway.confirmed_at
            found.append((lists, age))
        return newest_lists(found) if found else None

    async def start(self) -> None:
        """Start to follow, one host shortly after the other."""
        for watchers in self.watchers.values():
            await watchers.start()
            await self.run(STEP_SECONDS)

    async def stop(self) -> None:
        """Stop to follow."""
        for watchers in self.watchers.values():
            await watchers.stop()

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            self.heartbeats.step()

    def put_configuration(self, version: int) -> None:
        """Change the configuration."""
        self.store.put("config", "main", configuration(version))
        self.changed_at = self.heartbeats.clock()

    def put_runner(self, state: str) -> None:
        """Let the runner tell whether it is ready or draining."""
        entry = runner_entry(RUNNER_ADDRESS, state=state)
        self.store.put("servers", RUNNER, entry)
        self.changed_at = self.heartbeats.clock()

    def confirming_host(self) -> str:
        """Return the host on whose watch calls the others rely."""
        return next(n for n, f in self.live().items() if f.is_confirming())

    def live(self) -> dict[str, PlatformWatcher]:
        """Return the followers of the hosts that are up."""
        down = self.heartbeats.down
        return {n: f for n, f in self.watchers.items() if n not in down}

    async def kill(self, host: str) -> None:
        """End a host without notice."""
        self.heartbeats.down.add(host)
        await self.watchers[host].stop()

    async def restart(self, host: str) -> None:
        """Start a host that was killed; it knows nothing but the others' addresses."""
        self.heartbeats.restart(host)
        self.watchers[host] = self.create(host)
        await self.watchers[host].start()

    def has_configuration(self, version: int) -> bool:
        """Return whether all hosts in touch have at least this configuration."""
        return all(
            watchers.gateway.tables.version >= version
            for watchers in self.connected_watchers()
        )

    def sees_draining_runner(self) -> bool:
        """Return whether all hosts in touch know that the runner leaves."""
        stages = {
            watchers.gateway.runner_list.entries[RUNNER].stage
            for watchers in self.connected_watchers()
        }
        return stages == {RunnerStage.DRAINING}

    def connected_watchers(self) -> list[PlatformWatcher]:
        """Return the followers that are up and that the store answers."""
        live = self.live().items()
        return [
            found for name, found in live if name not in self.store.unreachable_from
        ]

    async def seconds_until(
        self, condition: Callable[[], bool], max_seconds: float
    ) -> float:
        """Return how long after the last change a condition holds.

        :param max_seconds: time in seconds after which to look no longer
        """
        clock = self.heartbeats.clock
        while clock() - self.changed_at < max_seconds and not condition():
            await self.run(STEP_SECONDS)
        return clock() - self.changed_at
