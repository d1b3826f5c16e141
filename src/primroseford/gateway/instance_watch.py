"""Keeps a connection to each engine open, which breaks when its process ends.

A runner can start again under its name as another software version, and serve before
its entry says so. A host without an exchange with it at that time sees no sign of it.
So some hosts keep an idle connection to each runner, and ask it for its start when the
connection ends. The others are told that it refuses connections, or has started again.
"""

from __future__ import annotations

import asyncio
from bisect import bisect
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.rendezvous import weight
from primroseford.gateway.runner_connector import connect_directly
from primroseford.gateway.runner_starts import check_start

if TYPE_CHECKING:
    import socket
    from collections.abc import Iterable

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId
    from primroseford.ids import RunnerName

    Ring = list[tuple[int, HostId]]

WATCHING_HOSTS = 2
"""Hosts that keep a connection to each runner. One of them may be lost together with
the runner."""
CHOICE_SECONDS = 1.0
"""Interval at which a host checks which runners it watches: the time after which a lost
host counts as lost."""
RING_KEY = "instances"
"""Key of the hashes that order hosts and runners on a ring."""
CONNECT_SECONDS = 0.25
"""Timeout of a connection, which takes some ms."""
RETRY_SECONDS = 1.0
"""Time until a runner that could not be asked is connected again."""

log = structlog.get_logger()


class InstanceWatch(Service):
    """Watches the processes of the engines that are assigned to this host.

    :ivar tasks: open watches by runner
    """

    def __init__(self, gateway: Gateway) -> None:
        super().__init__()
        self.gateway = gateway
        self.tasks: dict[RunnerName, asyncio.Task[None]] = {}
        gateway.allocator.on_listed = self.update

    @Service.task
    async def watch(self) -> None:
        """Begin and end watches as hosts come and go."""
        await run_periodically(self, lambda: CHOICE_SECONDS, self.update)

    async def on_stop(self) -> None:
        """Close the connections."""
        for task in self.tasks.values():
            task.cancel()

    def update(self) -> None:
        """Begin and end watches, so that each runner is watched by its hosts."""
        if self.should_stop:
            return
        assigned = self._assigned()
        for name in self.tasks.keys() - assigned.keys():
            self.tasks.pop(name).cancel()
            runner = self.gateway.allocator.runners.get(name)
            if runner is not None:
                # Other hosts watch it now.
                runner.is_unverified = False
        for name, runner in assigned.items():
            task = self.tasks.get(name)
            if task is None or task.done():
                runner.is_unverified = True
                self.tasks[name] = asyncio.create_task(self._watch_runner(runner))

    def _assigned(self) -> dict[RunnerName, RunnerState]:
        """Return the engines that this host watches."""
        gateway = self.gateway
        own = gateway.members.own
        ring = create_ring(gateway.members.hosts(gateway.clock()))
        return {
            name: runner
            for name, runner in gateway.allocator.runners.items()
            if own in watching_hosts(ring, name)
            and gateway.is_engine(runner.entry.pool)
            and runner.entry.failure_domain not in gateway.evacuations
            and not gateway.request_limiter.tokens.is_limited(runner.entry.key)
        }

    async def _watch_runner(self, runner: RunnerState) -> None:
        """Watch a runner until it is replaced in the list."""
        name = runner.entry.key.name
        while self.gateway.allocator.runners.get(name) is runner:
            try:
                await self._watch_connection(runner)
            except (*EXCHANGE_ERRORS, TimeoutError) as error:
                reason = describe_error(error)
                log.info("runner not watched", runner=name, reason=reason)
                if isinstance(error, ConnectionRefusedError):
                    # Tells the other hosts with the next heartbeat.
                    self.gateway.suspect(runner, "unreachable")
                await asyncio.sleep(RETRY_SECONDS)

    async def _watch_connection(self, runner: RunnerState) -> None:
        """Wait until a connection to a runner ends.

        :raises Exception: one of ``EXCHANGE_ERRORS`` or ``TimeoutError`` if the runner
            cannot be asked for its start
        """
        async with asyncio.timeout(CONNECT_SECONDS):
            connection = await connect_directly(runner.entry.address)
        try:
            # The process that answers is the one at the other end of the connection.
            await check_start(self.gateway, runner)
            await _wait_for_end(connection)
        finally:
            connection.close()
        runner.is_unverified = True


def create_ring(hosts: Iterable[HostId]) -> Ring:
    """Return hosts in the order of their hashes."""
    return sorted((weight(RING_KEY, host), host) for host in hosts)


def watching_hosts(ring: Ring, name: RunnerName) -> list[HostId]:
    """Return the hosts that watch a runner: those that follow its hash on the ring."""
    start = bisect(ring, (weight.__wrapped__(RING_KEY, name),))
    count = min(WATCHING_HOSTS, len(ring))
    return [ring[(start + number) % len(ring)][1] for number in range(count)]


async def _wait_for_end(connection: socket.socket) -> None:
    """Wait until the other side, which sends nothing, ends a connection."""
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_recv(connection, 1)
    except ConnectionError:
        # A reset is an end like any other.
        return
