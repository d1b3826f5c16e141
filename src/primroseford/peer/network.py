"""Connections of a host to its peers, and the calls and messages on them."""

from __future__ import annotations

import asyncio
import contextlib
import os
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import structlog
from mode import Service

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.metrics import Metrics
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.peer.connection import Connection
from primroseford.peer.connection import Reply
from primroseford.peer.handshake import HANDSHAKE_TIMEOUT_SECONDS
from primroseford.peer.handshake import Credentials
from primroseford.peer.handshake import accept
from primroseford.peer.handshake import initiate

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.ids import HostId
    from primroseford.membership.state import HostInfo
    from primroseford.peer.gen.messages.ttypes import Envelope
    from primroseford.peer.handshake import Session

    Handler = Callable[[HostId, Any], Awaitable[Any]]
    Resolve = Callable[[HostId], str | None]

IDLE_TIMEOUT_SECONDS = 60.0
SWEEP_INTERVAL_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 2.0
MAX_HANDSHAKES = 256

log = structlog.get_logger()


@dataclass(frozen=True)
class Registration:
    """Handler of a message kind."""

    message_type: type
    handler: Handler
    answer_type: type | None


class PeerNetwork(Service):
    """Sends and handles calls and messages between hosts.

    :param host: this host; with port 0 in its address, the kernel selects a port
    :param credentials: credentials of this host for the handshake
    :param clock: local time
    :param resolve: returns the address of a host, or none if it is unknown
    :param metrics: registry of the counters
    :ivar connections: connection that is used for each peer
    :ivar tasks: all open connections by the task that serves them, surplus ones
        included
    :ivar handshakes: incoming handshakes in progress
    """

    def __init__(
        self,
        host: HostInfo,
        credentials: Credentials,
        clock: Clock,
        resolve: Resolve,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self.host = host
        self.credentials = credentials
        self.clock = clock
        self.resolve = resolve
        self.address = host.address
        self.handlers: dict[int, Registration] = {}
        self.connections: dict[HostId, Connection] = {}
        self.pending_connects: dict[HostId, asyncio.Task[Connection]] = {}
        self.tasks: dict[asyncio.Task[None], Connection] = {}
        self.handshakes = 0
        self.server: asyncio.Server | None = None
        self.messages = metrics.counter(
            "peer_messages", "Peer messages", ("direction", "kind")
        )
        self.bytes = metrics.counter(
            "peer_bytes", "Bytes of peer messages", ("direction", "kind")
        )
        self.refused = metrics.counter(
            "peer_refused", "Peer handshakes refused, by result code", ("code",)
        )
        self.dropped = metrics.counter(
            "peer_dropped", "One-way peer messages dropped", ("kind",)
        )

    def register(
        self,
        kind: int,
        message_type: type,
        handler: Handler,
        answer_type: type | None = None,
    ) -> None:
        """Set the handler of a message kind.

        Every host registers the same kinds; the sender of a request also uses the
        registration to find the type of the answer.

        :param kind: number of the message kind
        :param message_type: generated thrift class of the message
        :param handler: handles the message and returns the answer, if there is one
        :param answer_type: generated thrift class of the answer, if there is one
        """
        if kind in self.handlers:
            raise ValueError(f"message kind {kind} already has a handler")
        self.handlers[kind] = Registration(message_type, handler, answer_type)

    async def call(
        self, host_id: HostId, kind: int, message: Any, timeout: float
    ) -> Any:
        """Send a request and return the answer.

        :param host_id: receiver
        :param kind: message kind
        :param message: generated thrift struct
        :param timeout: seconds for connecting and the answer together
        :raises PrimrosefordError: the result code of the receiver, PEER_UNREACHABLE,
            PEER_TIMEOUT or QUEUE_FULL
        """
        started_at = asyncio.get_running_loop().time()
        connection = await self._connection(host_id, timeout)
        remaining = timeout - (asyncio.get_running_loop().time() - started_at)
        body = await connection.call(kind, encode(message), remaining)
        answer_type = self.handlers[kind].answer_type
        return None if answer_type is None else decode(answer_type, body)

    async def identify(self, address: str) -> HostId:
        """Connect to an address and return the authenticated name of its host.

        :param address: IP number and port of the peer protocol
        :raises PrimrosefordError: PEER_UNREACHABLE, or the result code of the handshake
        """
        try:
            connection = await self._connect(address, None)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE, f"{address} could not be reached"
            ) from error
        return connection.session.host_id

    def send(self, host_id: HostId, kind: int, message: Any) -> None:
        """Send a message without an answer; it is dropped if the peer is unreachable.

        :param host_id: receiver
        :param kind: message kind
        :param message: generated thrift struct
        """
        body = encode(message)
        connection = self.connections.get(host_id)
        if connection is not None and not connection.closed:
            self._send_on(connection, kind, body)
        elif len(self.pending_connects) < MAX_HANDSHAKES:
            task = asyncio.create_task(self._connect_and_send(host_id, kind, body))
            self.add_future(_suppress_cancellation(task))
        else:
            self.dropped.labels(str(kind)).inc()

    async def on_start(self) -> None:
        """Listen for peers."""
        host, port = self.host.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._handle_incoming, host, int(port))
        bound = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{bound}"

    async def on_stop(self) -> None:
        """Close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in self.tasks.values():
            connection.close()
        for task in self.pending_connects.values():
            task.cancel()

    @Service.task
    async def close_idle_connections(self) -> None:
        """Close idle and surplus connections periodically."""
        while not self.should_stop:
            self.sweep()
            await self.sleep(SWEEP_INTERVAL_SECONDS)

    def sweep(self) -> None:
        """Close connections that are past the idle timeout, and unused surplus ones."""
        now = self.clock()
        for connection in list(self.tasks.values()):
            surplus = self.connections.get(connection.session.host_id) != connection
            expired = now - connection.last_used_at >= IDLE_TIMEOUT_SECONDS
            if connection.is_idle() and (surplus or expired):
                connection.close()

    async def _connection(self, host_id: HostId, timeout: float) -> Connection:
        current = self.connections.get(host_id)
        if current is not None and not current.closed:
            return current
        task = self.pending_connects.get(host_id)
        if task is None:
            task = asyncio.create_task(self._resolve_and_connect(host_id))
            self.pending_connects[host_id] = task
            task.add_done_callback(lambda done: self._connect_finished(host_id, done))
        # Shielded, since several calls wait for the same connection attempt and the
        # timeout of one must not cancel it.
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE, "the peer network is stopping"
            ) from None
        except (OSError, asyncio.IncompleteReadError) as error:
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE, f"host {host_id} could not be reached"
            ) from error

    def _connect_finished(
        self, host_id: HostId, task: asyncio.Task[Connection]
    ) -> None:
        self.pending_connects.pop(host_id, None)
        if not task.cancelled():
            task.exception()

    async def _resolve_and_connect(self, host_id: HostId) -> Connection:
        address = self.resolve(host_id)
        if address is None:
            raise PrimrosefordError(
                ResultCode.PEER_UNREACHABLE, f"host {host_id} has no known address"
            )
        return await self._connect(address, host_id)

    async def _connect(self, address: str, expected: HostId | None) -> Connection:
        host, port = address.rsplit(":", 1)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                session = await initiate(reader, writer, self.credentials)
                if expected is not None and session.host_id != expected:
                    raise PrimrosefordError(
                        ResultCode.PEER_UNREACHABLE,
                        f"{address} is host {session.host_id} and not {expected}",
                    )
            except BaseException:
                writer.close()
                raise
        return self._add_connection(reader, writer, session, True)

    async def _handle_incoming(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.handshakes >= MAX_HANDSHAKES:
            writer.close()
            return
        self.handshakes += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                session = await accept(reader, writer, self.credentials)
        except PrimrosefordError as error:
            self.refused.labels(str(int(error.code))).inc()
            log.warning("peer refused", code=int(error.code), reason=error.message)
            writer.close()
            return
        except (OSError, asyncio.IncompleteReadError):
            self.refused.labels(str(int(ResultCode.PEER_PROTOCOL))).inc()
            writer.close()
            return
        finally:
            self.handshakes -= 1
        self._add_connection(reader, writer, session, False)

    def _add_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        session: Session,
        initiated: bool,
    ) -> Connection:
        connection = Connection(
            reader,
            writer,
            session,
            initiated,
            self._handle,
            self.clock,
            self._count_frame,
        )
        task = asyncio.create_task(connection.run())
        self.tasks[task] = connection
        task.add_done_callback(self._connection_ended)
        current = self.connections.get(session.host_id)
        if current is None or current.closed:
            self.connections[session.host_id] = connection
        elif current.session.incarnation != session.incarnation:
            current.close()
            self.connections[session.host_id] = connection
        elif self._replaces(connection, current):
            self.connections[session.host_id] = connection
        return connection

    def _replaces(self, new: Connection, current: Connection) -> bool:
        # If two hosts connect to each other simultaneously, both use the connection
        # that the host with the lower name opened.
        own_name_is_lower = self.host.host_id < new.session.host_id
        return new.initiated == own_name_is_lower or new.initiated == current.initiated

    def _connection_ended(self, task: asyncio.Task[None]) -> None:
        connection = self.tasks.pop(task)
        if self.connections.get(connection.session.host_id) is connection:
            del self.connections[connection.session.host_id]

    async def _handle(self, connection: Connection, envelope: Envelope) -> Reply:
        registration = self.handlers.get(envelope.kind)
        if registration is None:
            return Reply(
                ResultCode.PEER_PROTOCOL, text=f"kind {envelope.kind} has no handler"
            )
        try:
            message = decode(registration.message_type, envelope.body or b"")
            answer = await registration.handler(connection.session.host_id, message)
        except PrimrosefordError as error:
            return Reply(error.code, text=error.message)
        except Exception:
            log.exception("peer handler failed", kind=envelope.kind)
            return Reply(ResultCode.INTERNAL, text="the handler failed")
        return Reply(ResultCode.OK, b"" if answer is None else encode(answer))

    def _count_frame(self, direction: str, kind: int, size: int) -> None:
        self.messages.labels(direction, str(kind)).inc()
        self.bytes.labels(direction, str(kind)).inc(size)

    def _send_on(self, connection: Connection, kind: int, body: bytes) -> None:
        try:
            connection.send(kind, body)
        except PrimrosefordError:
            self.dropped.labels(str(kind)).inc()

    async def _connect_and_send(self, host_id: HostId, kind: int, body: bytes) -> None:
        try:
            connection = await self._connection(host_id, CONNECT_TIMEOUT_SECONDS)
        except PrimrosefordError:
            self.dropped.labels(str(kind)).inc()
            return
        self._send_on(connection, kind, body)


def create_peer_network(
    host: HostInfo,
    secret: bytes,
    clock: Clock,
    resolve: Resolve,
    *,
    settings_digest: str = "",
    metrics: Metrics | None = None,
    random_bytes: Callable[[int], bytes] = os.urandom,
) -> PeerNetwork:
    """Return the peer network of a host.

    :param host: this host
    :param secret: shared secret, see ``read_secret``
    :param clock: local time
    :param resolve: returns the address of a host, or none if it is unknown
    :param settings_digest: digest of the settings that must be equal on all hosts
    :param metrics: registry of the counters
    :param random_bytes: source of nonces
    """
    credentials = Credentials(
        host.host_id, host.incarnation, secret, settings_digest, random_bytes
    )
    return PeerNetwork(host, credentials, clock, resolve, metrics or Metrics())


async def _suppress_cancellation(task: asyncio.Task[None]) -> None:
    with contextlib.suppress(asyncio.CancelledError):
        await task
