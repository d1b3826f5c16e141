"""Hosts that watch the configuration in an in-memory store, in virtual time."""

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
    """Hosts that watch one store and receive each other's heartbeats.

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
        """Return the platform watcher of a host."""
        service = self.heartbeats.services[name]
        service.reaches_store = lambda: name not in self.store.unreachable_from
        client = PlatformClient(MemoryTransport(self.store, name))

        async def read_peers() -> tuple[dict[str, ObjectList], float] | None:
            return self.fetch_from_peers(service.gateway)

        return PlatformWatcher(service.gateway, client, read_peers)

    def fetch_from_peers(
        self, gateway: Gateway
    ) -> tuple[dict[str, ObjectList], float] | None:
        """Return the newest lists of the peers that a starting host queries first."""
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
        """Start the watchers, one step of virtual time after the other."""
        for watchers in self.watchers.values():
            await watchers.start()
            await self.run(STEP_SECONDS)

    async def stop(self) -> None:
        """Stop the watchers."""
        for watchers in self.watchers.values():
            await watchers.stop()

    async def run(self, seconds: float) -> None:
        """Advance the virtual time and deliver heartbeats."""
        for _ in range(round(seconds / STEP_SECONDS)):
            await asyncio.sleep(STEP_SECONDS)
            self.heartbeats.step()

    def put_configuration(self, version: int) -> None:
        """Write a version of the configuration."""
        self.store.put("config", "main", configuration(version))
        self.changed_at = self.heartbeats.clock()

    def put_runner(self, state: str) -> None:
        """Write the runner's state, ready or draining."""
        entry = runner_entry(RUNNER_ADDRESS, state=state)
        self.store.put("servers", RUNNER, entry)
        self.changed_at = self.heartbeats.clock()

    def confirming_host(self) -> str:
        """Return the host whose watch calls confirm the versions for the others."""
        return next(n for n, f in self.live().items() if f.is_confirming())

    def live(self) -> dict[str, PlatformWatcher]:
        """Return the watchers of the running hosts."""
        down = self.heartbeats.down
        return {n: f for n, f in self.watchers.items() if n not in down}

    async def kill(self, host: str) -> None:
        """Terminate a host without notice to its peers."""
        self.heartbeats.down.add(host)
        await self.watchers[host].stop()

    async def restart(self, host: str) -> None:
        """Start a killed host again; it knows only the addresses of its peers."""
        self.heartbeats.restart(host)
        self.watchers[host] = self.create(host)
        await self.watchers[host].start()

    def has_configuration(self, version: int) -> bool:
        """Return whether all connected hosts have at least this configuration."""
        return all(
            watchers.gateway.tables.version >= version
            for watchers in self.connected_watchers()
        )

    def sees_draining_runner(self) -> bool:
        """Return whether all connected hosts list the runner as draining."""
        stages = {
            watchers.gateway.runner_list.entries[RUNNER].stage
            for watchers in self.connected_watchers()
        }
        return stages == {RunnerStage.DRAINING}

    def connected_watchers(self) -> list[PlatformWatcher]:
        """Return the watchers of the running hosts that the store answers."""
        live = self.live().items()
        return [
            found for name, found in live if name not in self.store.unreachable_from
        ]

    async def seconds_until(
        self, condition: Callable[[], bool], max_seconds: float
    ) -> float:
        """Return the time from the last change until a condition holds.

        :param max_seconds: time in seconds after which to stop waiting
        """
        clock = self.heartbeats.clock
        while clock() - self.changed_at < max_seconds and not condition():
            await self.run(STEP_SECONDS)
        return clock() - self.changed_at
