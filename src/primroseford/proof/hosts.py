"""Complete hosts in one process that tests can kill or isolate."""

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
"""Number of rounds in which tasks are cancelled, as they may start further tasks."""

host_of_task: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class HostTasks:
    """Records the tasks of each host, so that a kill can cancel them.

    All tasks and connections that a host starts inherit its context variables.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, weakref.WeakSet[asyncio.Task]] = {}

    def install(self) -> None:
        """Record the tasks that the running event loop creates from now on."""
        asyncio.get_running_loop().set_task_factory(self._create)

    def of(self, name: str) -> list[asyncio.Task]:
        """Return the tasks of a host that are not done."""
        return [task for task in self.by_host.get(name, ()) if not task.done()]

    def _create(self, loop, coroutine, context=None, **options) -> asyncio.Task:
        task = asyncio.Task(coroutine, loop=loop, context=context, **options)
        name = (context or contextvars.copy_context()).get(host_of_task, "")
        if name:
            self.by_host.setdefault(name, weakref.WeakSet()).add(task)
        return task


class PlatformView(PlatformStandIn):
    """The platform service as one host reaches it, with separate faults.

    :param shared: the service that all hosts share
    """

    def __init__(self, shared: PlatformStandIn) -> None:
        self.shared = shared
        super().__init__(shared.state, PlatformFaults())

    @property
    def changed(self) -> asyncio.Event:
        """Event that is set at the next change by any host."""
        return self.shared.changed

    @changed.setter
    def changed(self, event: asyncio.Event) -> None:
        """Ignore the event; the shared service has its own."""

    def announce(self) -> None:
        """Wake the watches of all hosts."""
        self.shared.announce()


def host_settings(name: str, domain: str, platform: str, secret: Path, **extra):
    """Return the settings of a host that listens on free ports."""
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
    """Start a host whose tasks have its name in ``host_of_task``."""
    host = create_host(settings)

    async def start() -> None:
        host_of_task.set(settings.host)
        await host.start()

    await asyncio.create_task(start())
    return host


async def kill_host(host: Host, tasks: HostTasks) -> None:
    """Terminate a host as a crash does: without handover, release or response.

    The sockets are closed first, so that cleanup code of the tasks has no effect
    outside the host.
    """
    components = host.components
    for site in host.tcp_sites:
        site._server.close()
    for runner in host.app_runners:
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
    """Abort all connections of a session and close its connector."""
    connector = session.connector
    if connector is None:
        return
    for protocol in list(connector._acquired):
        if protocol.transport is not None:
            protocol.transport.abort()
    await connector.close()


def isolate_host(host: Host) -> None:
    """Break the connections of a host with all peers, and prevent new ones."""
    peers = host.components.peers

    async def refuse(*_: object) -> None:
        raise PrimrosefordError(ResultCode.PEER_UNREACHABLE, "host is isolated")

    peers._connect = refuse
    peers.call = refuse
    peers.send = lambda *_: None
    peers.handshakes += MAX_HANDSHAKES
    for connection in list(peers.tasks.values()):
        connection.writer.transport.abort()


def reconnect_host(host: Host) -> None:
    """Undo :func:`isolate_host` on a running host."""
    peers = host.components.peers
    peers.handshakes -= MAX_HANDSHAKES
    for name in ("_connect", "call", "send"):
        delattr(peers, name)
