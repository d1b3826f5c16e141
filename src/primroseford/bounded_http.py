"""HTTP connections with limits on what the other side may send in a response.

aiohttp limits the lines and headers of one response head. It does not limit the number
of informational responses before the head, nor the framing of a chunked body, treats a
response without a length as complete after a connection reset, and discards a complete
response if further bytes follow in the same read.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import BadHttpMessage

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp.http import RawResponseMessage
    from aiohttp.streams import StreamReader

MAX_HEAD_BYTES = 64 * 1024
"""Bytes that may be received before a response head is complete, informational
responses included: several times the 8 KB that HTTP servers usually allow a head."""
INFORMATIONAL_CODES = range(100, 200)
FINAL_CODES = range(200, 600)
MAX_INFORMATIONAL_RESPONSES = 8
"""Informational responses (1xx) before the final one; servers need not send any."""
MAX_FRAMING_BYTES = 64 * 1024
"""Bytes that may be received in a row without any body bytes among them: chunk sizes,
chunk extensions and trailers."""
MAX_FRAMING_SURPLUS_BYTES = 64 * 1024
"""Bytes by which the framing of a whole response may exceed its body. Tiny chunks cost
several times the memory and time of their bytes."""
MAX_READ_BYTES = 64 * 1024
"""Bytes that are read from a connection, and parsed, between two checks of the limits;
asyncio reads up to four times as many."""

HEAD_END = b"\r\n\r\n"


class ResponseTooLong(aiohttp.ClientPayloadError):
    """The body of a response exceeds the limit of its reader."""


class BoundedConnection(ResponseHandler):
    """One connection, used for one exchange or for several in succession.

    The following describe the exchange in progress.

    :ivar needs_framing: whether a response without a length is incomplete even if the
        connection ends without an error
    :ivar head_received: whether the head of the final response has been received
    :ivar tail: last bytes received, which may be the start of the end of a head
    :ivar received_bytes: bytes received since the end of the head
    :ivar framing_bytes: bytes received since the last body bytes
    :ivar body_bytes: bytes of the body received so far
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.needs_framing = False
        self._begin_exchange()

    def _begin_exchange(self) -> None:
        self.head_received = False
        self.informational = 0
        self.tail = b""
        self.received_bytes = 0
        self.framing_bytes = 0
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the size of each read from the new connection."""
        transport.max_size = MAX_READ_BYTES
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the response to the next request."""
        self._begin_exchange()
        super().set_response_params(**params)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading after a pause; aiohttp also calls this without one."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Accept a response head; informational responses are only counted."""
        code = data[0].code
        if code in INFORMATIONAL_CODES:
            self.informational += 1
            return
        if code not in FINAL_CODES:
            self.abort_exchange("the response has no valid HTTP status")
            return
        if self.head_received:
            self.force_close()
            return
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
        if self._is_response_complete():
            # The bytes belong to no request, so no request may use the connection.
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
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

    def _is_response_complete(self) -> bool:
        payload = self._payload
        return self.head_received and payload is not None and payload.is_eof()

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
            self.abort_exchange("the bytes received are not an HTTP response")

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
        """Abort the exchange because of invalid data from the other side."""
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
        is_open = payload is not None and not payload.is_eof()
        if is_open and (exc is not None or self.needs_framing):
            payload.set_exception(aiohttp.ClientPayloadError("the connection was lost"))
        super().connection_lost(exc)


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections with limits on responses.

    :param keepalive_seconds: time for which an idle connection may be used again; none
        for a new connection for each exchange
    """

    def __init__(self, keepalive_seconds: float | None = None) -> None:
        if keepalive_seconds is None:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive_seconds)
        self._factory = partial(BoundedConnection, loop=asyncio.get_running_loop())


async def iterate_limited(
    response: aiohttp.ClientResponse, limit: int
) -> AsyncIterator[bytes]:
    """Yield the blocks of a response body as they are received.

    :param limit: maximum length of the body in bytes
    :raises ResponseTooLong: if the body is longer
    """
    size = 0
    async for block in response.content.iter_any():
        size += len(block)
        if size > limit:
            raise ResponseTooLong(f"the response is longer than {limit} bytes")
        yield block


async def read_limited(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the body of a response.

    :param limit: maximum length of the body in bytes
    :raises ResponseTooLong: if the body is longer
    """
    return b"".join([block async for block in iterate_limited(response, limit)])
