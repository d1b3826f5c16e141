"""Whole hosts in one process that can be killed or cut off, for tests."""

from __future__ import annotations

import asyncio
import contextvars
import weakref
from typing import TYPE_CHECKING

from primroseford.daemon.host import create_host
from primroseford.daemon.settings import check_settings
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.peer.network import MAX_HANDSHAKES
from primroseford.standins.platform import PlatformStandIn
from primroseford.standins.platform_state import PlatformFaults

if TYPE_CHECKING:
    from pathlib import Path

    import aiohttp

    from primroseford.daemon.host import Host

CANCEL_ROUNDS = 20
"""Loop turns for cancelled tasks to end; each may start further ones meanwhile."""

host_of_task: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class HostTasks:
    """The tasks of each host, so that a kill can find them.

    All tasks and connections that a host starts inherit its context.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, weakref.WeakSet[asyncio.Task]] = {}

    def install(self) -> None:
        """Record the tasks of the running loop from now on."""
        asyncio.get_running_loop().set_task_factory(self._create)

    def of(self, name: str) -> list[asyncio.Task]:
        """Return the tasks of a host that have not ended."""
        return [task for task in self.by_host.get(name, ()) if not task.done()]

    def _create(self, loop, coroutine, context=None, **options) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, context=context, **options)
        name = (context or contextvars.copy_context()).get(host_of_task, "")
        if name:
            self.by_host.setdefault(name, weakref.WeakSet()).add(task)
        return task


class PlatformView(PlatformStandIn):
    """One host's way to the platform's service, with faults of its own.

    :param shared: the service that all hosts use
    """

    def __init__(self, shared: PlatformStandIn) -> None:
        self.shared = shared
        super().__init__(shared.state, PlatformFaults())

    @property
    def changed(self) -> asyncio.Event:
        """Set after the next change by any host."""
        return self.shared.changed

    @changed.setter
    def changed(self, event: asyncio.Event) -> None:
        """Keep the event of the shared service."""

    def announce(self) -> None:
        """Wake the watches of all hosts."""
        self.shared.announce()


def host_settings(name: str, domain: str, platform: str, secret: Path, **extra):
    """Return the settings of a host on ports that the kernel chooses."""
    document = {
        "host": name,
        "failure_domain": domain,
        "listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "platform": platform,
        "peer_secret_file": str(secret),
        "limits": {"groups": 2},
        "stop": {"balancer_lag": 0},
    }
    return check_settings(document | extra)


async def start_host(settings) -> Host:
    """Start a host whose tasks carry its name."""
    host = create_host(settings)

    async def start() -> None:
        host_of_task.set(settings.host)
        await host.start()

    await asyncio.create_task(start())
    return host


async def kill_host(host: Host, tasks: HostTasks) -> None:
    """End a host as a crash does: nothing is handed over, released or answered.

    The sockets close first, so that no cleanup code of a task has an effect.
    """
    components = host.components
    for site in host.sites:
        site._server.close()
    for runner in host.runners:
        for connection in runner.server.connections:
            connection.transport.abort()
    isolate_host(host)
    components.peers.server.close()
    sessions = (
        components.session,
        components.runner_session,
        components.online.session,
    )
    for session in sessions:
        await abort_connections(session)
    for _ in range(CANCEL_ROUNDS):
        for task in tasks.of(host.settings.host):
            task.cancel()
        await asyncio.sleep(0)
    for session in sessions:
        await session.close()


async def abort_connections(session: aiohttp.ClientSession) -> None:
    """Close all connections of a session and let it open no more."""
    connector = session.connector
    if connector is None:
        return
    for protocol in list(connector._acquired):
        if protocol.transport is not None:
            protocol.transport.abort()
    await connector.close()


def isolate_host(host: Host) -> None:
    """Cut a host off from all other hosts, in both directions."""
    peers = host.components.peers

    async def refuse(*_: object) -> None:
        raise PrimrosefordError(ResultCode.PEER_UNREACHABLE, "cut off")

    peers._connect = refuse
    peers.call = refuse
    peers.send = lambda *_: None
    peers.handshakes += MAX_HANDSHAKES
    for connection in list(peers.tasks.values()):
        connection.writer.transport.abort()


def reconnect_host(host: Host) -> None:
    """Undo :func:`isolate_host` on a host that is alive."""
    peers = host.components.peers
    peers.handshakes -= MAX_HANDSHAKES
    for name in ("_connect", "call", "send"):
        delattr(peers, name)
