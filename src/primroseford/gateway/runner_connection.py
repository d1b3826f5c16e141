"""Connections to runners, with bounds on what a runner may send.

aiohttp bounds lines and headers of one head. It does not bound the number of
informational answers before it, takes an answer without a length as complete after a
reset, and gives up a whole answer if other bytes follow it at once.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

if TYPE_CHECKING:
    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

MAX_HEAD_BYTES = 64 * 1024
"""Bytes that a runner may send before its answer's head is complete, informational
answers included: several times the 8 KB that HTTP servers usually allow for a head."""
MAX_INFORMATIONAL_ANSWERS = 8
"""Informational answers (1xx) before one answer; a runner has no reason for one."""
MAX_FRAMING_BYTES = 64 * 1024
"""Bytes that a runner may send without any part of the body among them: sizes and
extensions of chunks, and trailers."""

HEAD_END = b"\r\n\r\n"


class RunnerConnection(ResponseHandler):
    """One connection to a runner, used for one exchange.

    :ivar answered: whether the head of the answer has come
    :ivar last: last bytes that came, in which the end of a head may begin
    :ivar unused: bytes that came since the last part of a head or body
    :ivar taken: bytes of the body that had come then
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.answered = False
        self.informational = 0
        self.last = b""
        self.unused = 0
        self.taken = 0

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take the head of an answer; informational ones are only counted."""
        if 100 <= data[0].code < 200:
            self.informational += 1
            return
        if not self.answered:
            self.answered = True
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and close the connection if they are beyond the bounds.

        The parser gives up everything of one call in which it finds an error, so a
        head is parsed apart from what follows it.
        """
        while not self.answered and self.transport is not None:
            found = (self.last + data).find(HEAD_END)
            if found < 0:
                break
            end = found + len(HEAD_END) - len(self.last)
            self._parse(data[:end])
            data = data[end:]
        if data and self.transport is not None:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        self.last = (self.last + data)[-len(HEAD_END) + 1 :]
        super().data_received(data)
        payload = self._payload
        taken = payload.total_bytes if self.answered and payload is not None else 0
        self.unused = 0 if taken > self.taken else self.unused + len(data)
        self.taken = taken
        limit = MAX_FRAMING_BYTES if self.answered else MAX_HEAD_BYTES
        if (
            self.unused > limit
            or self.informational > MAX_INFORMATIONAL_ANSWERS
            or self._upgraded
        ):
            self.refuse("the runner sent bytes that are no answer")

    def refuse(self, reason: str) -> None:
        """End the exchange because of what the runner sent."""
        error = BadHttpMessage(reason)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason))
        if not self.answered:
            self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end; after a reset an answer without a length is not complete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection broke"))
        super().connection_lost(exc)


class RunnerConnector(aiohttp.TCPConnector):
    """Opens a connection of its own for each exchange with a runner."""

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(RunnerConnection, loop=asyncio.get_running_loop())
