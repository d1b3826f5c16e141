"""Ways to the runners: directly, or through another host that reaches them.

Hosts can lose their links to the runners, single ones or all, while callers, the store
and the other hosts still reach them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from mode import Service

from primroseford.gateway.periodic import run_periodically
from primroseford.gateway.runner_connector import RunnerConnection
from primroseford.gateway.runner_connector import connect_directly
from primroseford.gateway.tunnel import TunnelRefused
from primroseford.gateway.tunnel import open_tunnel

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random
    from socket import socket

    from primroseford.gateway.members import Peer
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.ids import HostId

DIRECT_SECONDS = 0.06
"""Time after which a direct connection, which takes about 4 ms, is not waited for
alone."""
CONNECT_SECONDS = 0.15
"""Timeout of a connection by any way, unless a runner refuses the direct one. A runner
that is off delays a request by this once."""
TUNNEL_SECONDS = 0.08
"""Timeout of a tunnel: that of the other host's connection, and a round trip to it."""
TUNNEL_ATTEMPTS = 2
"""Hosts that are asked for a tunnel; one of them may have lost its links, too."""
HOST_PAUSE_SECONDS = 1.0
"""Time for which a host that could not be asked is not asked again."""
DIRECT_CHECK_SECONDS = 0.5
"""Interval at which it is checked whether runners are reached directly again."""

log = structlog.get_logger()


def choose_hosts(
    runner: RunnerState,
    peers: Iterable[Peer],
    random: Random,
    refused: Collection[HostId] = (),
) -> list[HostId]:
    """Return the hosts to ask for a tunnel to a runner, in this order.

    Those that have requests there come first, those that have lately failed to connect
    to any runner last, and none that suspects the runner or does not reach it directly.

    :param peers: live hosts that can be asked
    :param refused: those that have failed lately
    """
    hosts = [
        peer.host
        for peer in peers
        if peer.host not in runner.suspected_by and peer.host not in runner.indirect_by
    ]
    random.shuffle(hosts)
    return sorted(hosts, key=lambda h: (h in refused, h not in runner.peers))


class RunnerPaths:
    """How this host reaches the runners.

    :ivar connect: opens a direct connection to an address
    :ivar indirect: addresses of runners that are reached through other hosts
    :ivar paused: local time in seconds until which a host is not asked
    :ivar refused: local time until which a host that did not connect to a runner is
        asked last
    """

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.connect: Callable[[str], Awaitable[socket]] = connect_directly
        self.indirect: set[str] = set()
        self.paused: dict[HostId, float] = {}
        self.refused: dict[HostId, float] = {}

    async def open(self, address: str) -> RunnerConnection:
        """Return a connection to a runner's address, by the way that works.

        :raises OSError: if there is no connection
        """
        if address in self.indirect:
            try:
                return await self._open_tunnel(address)
            except OSError as error:
                log.info("no tunnel opened", address=address, reason=repr(error))
                self._set_indirect(address, False)
        try:
            async with asyncio.timeout(DIRECT_SECONDS):
                return RunnerConnection(await self.connect(address))
        except TimeoutError:
            ways = [self._open_directly(address), self._open_tunnel(address)]
            async with asyncio.timeout(CONNECT_SECONDS - DIRECT_SECONDS):
                opened = await open_first(ways)
            reason = "timed out"
        except OSError as error:
            reason = error.strerror or repr(error)
            try:
                opened = await self._open_tunnel(address)
            except OSError:
                raise error from None
        if opened.is_tunnel and address not in self.indirect:
            self._set_indirect(address, True)
            log.warning(
                "runner reached through other hosts", address=address, why=reason
            )
        return opened

    async def _open_directly(self, address: str) -> RunnerConnection:
        return RunnerConnection(await self.connect(address))

    async def _open_tunnel(self, address: str) -> RunnerConnection:
        """Return a tunnel through the first host that has a connection.

        :raises OSError: if there is none
        """
        failure: OSError = ConnectionRefusedError("no host reaches the runner")
        for host in self._hosts(address)[:TUNNEL_ATTEMPTS]:
            peer = self.gateway.members.peers[host]
            try:
                async with asyncio.timeout(TUNNEL_SECONDS):
                    connection = await open_tunnel(peer.address, address)
            except TunnelRefused as error:
                failure = error
                self.refused[host] = self.gateway.clock() + HOST_PAUSE_SECONDS
            except OSError as error:
                failure = error
                self.paused[host] = self.gateway.clock() + HOST_PAUSE_SECONDS
            else:
                return RunnerConnection(connection, is_tunnel=True)
        raise failure

    def _hosts(self, address: str) -> list[HostId]:
        now = self.gateway.clock()
        runner = self.gateway.allocator.runners_by_address.get(address)
        if runner is None:
            return []
        peers = [
            peer
            for peer in self.gateway.members.live(now)
            if self.paused.get(peer.host, now) <= now
        ]
        refused = [host for host, until in self.refused.items() if until > now]
        return choose_hosts(runner, peers, self.gateway.random, refused)

    def is_listed(self, address: str) -> bool:
        """Return whether an address is that of a listed runner."""
        return address in self.gateway.allocator.runners_by_address

    def _set_indirect(self, address: str, is_indirect: bool) -> None:
        if is_indirect:
            self.indirect.add(address)
        else:
            self.indirect.discard(address)
        # Tells the other hosts with the next heartbeat.
        self.gateway.allocator.changed = True

    async def check_direct(self) -> None:
        """Check one runner that is reached through other hosts, then all if it works.

        The links of all of them have mostly failed together.
        """
        for address in [a for a in self.indirect if not self.is_listed(a)]:
            self.indirect.discard(address)
        if not self.indirect:
            return
        first = self.gateway.random.choice(sorted(self.indirect))
        if await self._check(first):
            await asyncio.gather(*(self._check(address) for address in self.indirect))

    async def _check(self, address: str) -> bool:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self.connect(address)
        except OSError:
            return False
        connection.close()
        if address in self.indirect:
            self._set_indirect(address, False)
            log.info("runner reached directly", address=address)
        return True


class RunnerPathService(Service):
    """Checks periodically whether runners are reached directly again."""

    def __init__(self, paths: RunnerPaths) -> None:
        super().__init__()
        self.paths = paths

    @Service.task
    async def check(self) -> None:
        """Check while there are such runners."""
        await run_periodically(
            self, lambda: DIRECT_CHECK_SECONDS, self.paths.check_direct
        )


async def open_first(ways: list[Awaitable[RunnerConnection]]) -> RunnerConnection:
    """Return the first connection of several ways, and give the others up.

    :raises OSError: that of the first way, if none has a connection
    """
    tasks = [asyncio.ensure_future(way) for way in ways]
    opened = None
    try:
        pending = set(tasks)
        while pending and opened is None:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            opened = next((t for t in done if t.exception() is None), None)
    finally:
        for task in tasks:
            if task is not opened:
                task.cancel()
                task.add_done_callback(_close)
    if opened is None:
        raise tasks[0].exception()
    return opened.result()


def _close(task: asyncio.Future[RunnerConnection]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().socket.close()
