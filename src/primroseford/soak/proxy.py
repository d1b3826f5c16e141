"""A TCP proxy on loopback that injects faults into its connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field

from primroseford.soak.plan import LinkFault
from primroseford.standins.sockets import reset_on_close

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.15
"""Delay of each chunk; above the time between a stream's events."""
POLL_SECONDS = 0.02
BLOCKS_TO_SERVER = (LinkFault.SILENT, LinkFault.CUT_TO_SERVER)
BLOCKS_TO_CLIENT = (LinkFault.SILENT, LinkFault.CUT_TO_CLIENT)


@dataclass(eq=False)
class Proxy:
    """Forwards connections to one server.

    A blocked direction keeps its data until the fault ends, as in a network that loses
    packets and retransmits them later.

    :param target: IP address and port of the server
    :param fault: current fault of all connections
    :ivar accepted: number of accepted connections
    :ivar silenced_count: the first so many accepted connections deliver nothing more
    :ivar undelivered: data that clients sent on silenced connections
    """

    target: tuple[str, int]
    fault: LinkFault = LinkFault.NONE
    address: str = ""
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    accepted: int = 0
    silenced_count: int = 0
    undelivered: list[bytes] = field(default_factory=list)

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def set_fault(self, fault: LinkFault) -> None:
        """Set the fault, or end it with ``LinkFault.NONE``."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            _reset(writer)

    def silence_open_connections(self) -> None:
        """Deliver nothing more on the open connections; new ones are unaffected."""
        self.silenced_count = self.accepted

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        self.reset()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET:
            _reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            # To the client, this looks as if the server refused the connection.
            _reset(writer)
            return
        self.accepted += 1
        number = self.accepted
        copy_tasks = [
            asyncio.create_task(
                self._copy(reader, server_writer, BLOCKS_TO_SERVER, number)
            ),
            asyncio.create_task(
                self._copy(server_reader, writer, BLOCKS_TO_CLIENT, number)
            ),
        ]
        self.tasks.update(copy_tasks)
        writers = (writer, server_writer)
        self.writers.update(writers)
        await asyncio.wait(copy_tasks)
        for writer_end in writers:
            writer_end.close()
        self.writers.difference_update(writers)
        self.tasks.difference_update(copy_tasks)

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: tuple[LinkFault, ...],
        number: int,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if number <= self.silenced_count:
                    if blocking_faults is BLOCKS_TO_SERVER:
                        self.undelivered.append(data)
                    continue
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                await self._wait_until_open(blocking_faults)
                writer.write(data)
                await writer.drain()
            await self._wait_until_open(blocking_faults)
            writer.write_eof()
        except OSError:
            # One side was reset, so the other one is reset, too.
            _reset(writer)

    async def _wait_until_open(self, blocking_faults: tuple[LinkFault, ...]) -> None:
        while self.fault in blocking_faults:  # noqa: ASYNC110
            await asyncio.sleep(POLL_SECONDS)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    if not writer.transport.is_closing():
        reset_on_close(writer)
    writer.transport.abort()
