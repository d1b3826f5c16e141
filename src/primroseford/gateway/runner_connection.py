"""Connections to runners, with limits on what a runner may send.

aiohttp limits the lines and headers of one response head. It does not limit the number
of informational responses before the head, treats a response without a length as
complete after a connection reset, and discards a complete response if further bytes
follow in the same read.
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
"""Bytes that a runner may send before its response head is complete, informational
responses included: several times the 8 KB that HTTP servers usually allow a head."""
MAX_INFORMATIONAL_RESPONSES = 8
"""Informational responses (1xx) before the final one; runners need not send any."""
MAX_FRAMING_BYTES = 64 * 1024
"""Bytes that a runner may send in a row without any body bytes among them: chunk sizes,
chunk extensions and trailers."""
MAX_FRAMING_SURPLUS_BYTES = 256 * 1024
"""Bytes by which the framing of a whole response may exceed its body. Tiny chunks cost
several times the memory and time of their bytes."""

HEAD_END = b"\r\n\r\n"


class RunnerConnection(ResponseHandler):
    """One connection to a runner, used for one exchange.

    :ivar head_received: whether the head of the final response has been received
    :ivar tail: last bytes received, which may be the start of the end of a head
    :ivar received_bytes: bytes received since the end of the head
    :ivar framing_bytes: bytes received since the last body bytes
    :ivar body_bytes: bytes of the body received so far
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.head_received = False
        self.informational = 0
        self.tail = b""
        self.received_bytes = 0
        self.framing_bytes = 0
        self.body_bytes = 0

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Accept a response head; informational responses are only counted."""
        if 100 <= data[0].code < 200:
            self.informational += 1
            return
        if not self.head_received:
            self.head_received = True
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and abort the connection if they exceed the limits.

        The parser discards all data of a call in which it finds an error, so a head is
        parsed separately from the bytes that follow it.

        :param data: empty to resume the parser after a pause in reading; it continues
            with bytes that it has kept
        """
        if not data:
            super().data_received(data)
            return
        while not self.head_received and self.transport is not None:
            found = (self.tail + data).find(HEAD_END)
            if found < 0:
                break
            end = found + len(HEAD_END) - len(self.tail)
            self._parse(data[:end])
            data = data[end:]
        if data and self.transport is not None:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        self.tail = (self.tail + data)[-len(HEAD_END) + 1 :]
        if self.head_received:
            self.received_bytes += len(data)
        super().data_received(data)
        payload = self._payload
        body_bytes = (
            payload.total_bytes if self.head_received and payload is not None else 0
        )
        self.framing_bytes = (
            0 if body_bytes > self.body_bytes else self.framing_bytes + len(data)
        )
        self.body_bytes = body_bytes
        if self._exceeds_limits():
            self.abort_exchange("the runner sent bytes that are not an HTTP response")

    def _exceeds_limits(self) -> bool:
        limit = MAX_FRAMING_BYTES if self.head_received else MAX_HEAD_BYTES
        framing_surplus = self.received_bytes - 2 * self.body_bytes
        return (
            self.framing_bytes > limit
            or framing_surplus > MAX_FRAMING_SURPLUS_BYTES
            or self.informational > MAX_INFORMATIONAL_RESPONSES
            or self._upgraded
        )

    def abort_exchange(self, reason: str) -> None:
        """Abort the exchange because of invalid data from the runner."""
        error = BadHttpMessage(reason)
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(reason))
        if not self.head_received:
            self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the close; after a reset a response without length is incomplete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("the connection was lost"))
        super().connection_lost(exc)


class RunnerConnector(aiohttp.TCPConnector):
    """Opens a new connection for each exchange with a runner."""

    def __init__(self) -> None:
        super().__init__(limit=0, force_close=True)
        self._factory = partial(RunnerConnection, loop=asyncio.get_running_loop())
