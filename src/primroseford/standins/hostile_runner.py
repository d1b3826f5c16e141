"""Stand-in for a runner that sends malformed, endless or incomplete responses."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.standins.fleet_runner import event
from primroseford.standins.sockets import reset_on_close

if TYPE_CHECKING:
    from collections.abc import Iterator

BLOCK_BYTES = 16 * 1024
"""Size of each write of an endless response."""
LARGE_BODY = bytes(range(256)) * 4096
"""A megabyte, more than a client reads at a time."""
GARBAGE_BYTES = b"\x00\xffno answer "
STREAM_HEAD = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SLOW_SECONDS = 1.0
"""Delay between two events of a slow stream."""
STALLED_SECONDS = 0.1
"""Delay between two bytes of a stalled stream."""
EVENTS = event(1) + event(2)


class ResponseFault(Enum):
    """Faults in the responses of a hostile runner."""

    RESET_WITHOUT_LENGTH = "reset without length"
    CLOSE_WITHOUT_LENGTH = "close without length"
    EVENT_ENDS_EARLY = "event ends early"
    ENDLESS_BODY = "endless body"
    ENDLESS_LENGTH = "endless length"
    ENDLESS_SMALL_CHUNKS = "endless small chunks"
    ENDLESS_AFTER_END_MARK = "endless after end mark"
    ENDLESS_ERROR = "endless error"
    ENDLESS_EVENT = "endless event"
    ENDLESS_EVENTS = "endless events"
    NOT_HTTP = "not http"
    ENDLESS_JUNK = "endless junk"
    CONTINUES = "continues"
    ENDLESS_HEAD = "endless head"
    ENDLESS_LINE = "endless line"
    ENDLESS_CHUNK_SIZE = "endless chunk size"
    ENDLESS_TRAILERS = "endless trailers"
    SURPLUS = "surplus"
    SECOND_ANSWER = "second answer"
    SWITCHING = "switching"
    HEAD_ENDS_IN_STATUS_LINE = "head ends in status line"
    HEAD_ENDS_AFTER_STATUS_LINE = "head ends after status line"
    HEAD_ENDS_IN_HEADER = "head ends in header"
    HEAD_ENDS_BEFORE_EMPTY_LINE = "head ends before empty line"
    HEAD_ENDS_IN_EMPTY_LINE = "head ends in empty line"
    EVENT_ENDS_WITH_CONNECTION = "event ends with connection"
    UNREADABLE_EVENT_ID = "unreadable event id"
    REFUSES_ANOTHER = "refuses another request"
    LARGE_AT_ONCE = "large at once"
    LARGE_CHUNKS_AT_ONCE = "large chunks at once"
    SLOW = "slow"
    STALLED = "stalled"
    STATUS_000 = "status 000"
    STATUS_099 = "status 099"
    STATUS_600 = "status 600"
    STATUS_999 = "status 999"


KEEPS_OPEN = frozenset(
    {
        ResponseFault.SWITCHING,
        ResponseFault.LARGE_AT_ONCE,
        ResponseFault.LARGE_CHUNKS_AT_ONCE,
    }
)
"""Responses after which the connection stays open until the client closes it."""
PAUSES = {ResponseFault.SLOW: SLOW_SECONDS, ResponseFault.STALLED: STALLED_SECONDS}


@dataclass
class HostileRunner:
    """A runner that sends a response with the same fault to every request.

    :param response_fault: fault in the response
    :ivar arrivals: ids of the received requests, with the time of receipt on the
        monotonic clock in seconds
    :ivar sent: number of bytes sent
    :ivar open: number of connections on which it is still sending
    """

    name: str
    response_fault: ResponseFault
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    sent: int = 0
    open: int = 0

    @property
    def received(self) -> list[str]:
        """Ids of the received requests."""
        return [request_id for request_id, _ in self.arrivals]

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the request on one connection."""
        self.open += 1
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            if head.startswith("GET /health"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                return
            request_id = _header(head, "request-id") or _header(head, "x-request-id")
            self.arrivals.append((request_id, time.monotonic()))
            for piece in _response_pieces(self.response_fault, self.name, request_id):
                writer.write(piece)
                await writer.drain()
                self.sent += len(piece)
                await asyncio.sleep(PAUSES.get(self.response_fault, 0.0))
            if self.response_fault is ResponseFault.RESET_WITHOUT_LENGTH:
                await asyncio.sleep(0.05)
                reset_on_close(writer)
            elif self.response_fault in KEEPS_OPEN:
                await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            # The client closed the connection, which is how endless responses end.
            return
        finally:
            self.open -= 1
            writer.close()


def _header(head: str, header_name: str) -> str:
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == header_name:
            return value.strip()
    return ""


def _endless(piece: bytes) -> Iterator[bytes]:
    block = piece * max(1, BLOCK_BYTES // len(piece))
    while True:
        yield block


def _endless_bytes() -> Iterator[bytes]:
    while True:
        yield _chunk(b"i")


def _chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def _response_pieces(
    response_fault: ResponseFault, name: str, request_id: str
) -> Iterator[bytes]:
    """Yield the bytes of a response; the iterator may be infinite."""
    signed_headers = (
        f"Request-Id: {request_id}\r\nX-Request-Id: {request_id}\r\n"
        f"Server-Signature: sig-{name}\r\n"
    ).encode()
    valid_head = b"HTTP/1.1 200 OK\r\n" + signed_headers
    valid_response = valid_head + b"Content-Length: 4\r\n\r\ndone"
    match response_fault:
        case ResponseFault.RESET_WITHOUT_LENGTH | ResponseFault.CLOSE_WITHOUT_LENGTH:
            yield valid_head + STREAM_HEAD + b"\r\n" + EVENTS
        case ResponseFault.EVENT_ENDS_EARLY:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield _chunk(EVENTS + b"id: 3\ndata: tok") + b"0\r\n\r\n"
        case ResponseFault.HEAD_ENDS_IN_STATUS_LINE:
            yield b"HTTP/1.1 200"
        case ResponseFault.HEAD_ENDS_AFTER_STATUS_LINE:
            yield b"HTTP/1.1 200 OK\r\n"
        case ResponseFault.HEAD_ENDS_IN_HEADER:
            yield valid_head + b"Content-Len"
        case ResponseFault.HEAD_ENDS_BEFORE_EMPTY_LINE:
            yield valid_head + STREAM_HEAD + b"Content-Length: 4\r\n"
        case ResponseFault.HEAD_ENDS_IN_EMPTY_LINE:
            yield valid_head + STREAM_HEAD + b"\r"
        case ResponseFault.EVENT_ENDS_WITH_CONNECTION:
            yield valid_head + STREAM_HEAD + b"\r\n" + EVENTS + b"id: 3\ndata: tok"
        case ResponseFault.UNREADABLE_EVENT_ID:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield _chunk(b"id: \xff\ndata: token\n\n")
        case ResponseFault.REFUSES_ANOTHER:
            yield b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRequest-Id: another\r\n"
            yield b"Content-Length: 0\r\n\r\n"
        case ResponseFault.ENDLESS_BODY:
            yield valid_head + b"\r\n"
            yield from _endless(b"x")
        case ResponseFault.ENDLESS_LENGTH:
            yield valid_head + b"Content-Length: 1000000000000\r\n\r\n"
            yield from _endless(b"x")
        case ResponseFault.ENDLESS_AFTER_END_MARK:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield _chunk(b"data: {}\n\n" + b"data: [DONE]\n\n")
            yield from _endless(_chunk(b"x" * 1000))
        case ResponseFault.ENDLESS_ERROR:
            yield b"HTTP/1.1 500 Failed\r\n" + signed_headers
            yield b"Content-Length: 1000000000000\r\n\r\n"
            yield from _endless(b"x")
        case ResponseFault.ENDLESS_SMALL_CHUNKS:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield from _endless(_chunk(b"x"))
        case ResponseFault.ENDLESS_EVENT:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield from _endless(_chunk(b"data: " + b"x" * 1000))
        case ResponseFault.ENDLESS_EVENTS:
            yield valid_head + STREAM_HEAD + CHUNKED
            yield from _endless(_chunk(b"data: " + b"x" * 1000 + b"\n\n"))
        case ResponseFault.NOT_HTTP:
            yield GARBAGE_BYTES * 30_000
        case ResponseFault.ENDLESS_JUNK:
            yield from _endless(GARBAGE_BYTES)
        case ResponseFault.CONTINUES:
            yield from _endless(b"HTTP/1.1 100 Continue\r\n\r\n")
        case ResponseFault.ENDLESS_HEAD:
            yield valid_head
            yield from _endless(b"X-More: " + b"y" * 500 + b"\r\n")
        case ResponseFault.ENDLESS_LINE:
            yield valid_head + b"X-Long: "
            yield from _endless(b"y")
        case ResponseFault.ENDLESS_CHUNK_SIZE:
            yield valid_head + STREAM_HEAD + CHUNKED + b"5;name="
            yield from _endless(b"y")
        case ResponseFault.ENDLESS_TRAILERS:
            yield valid_head + STREAM_HEAD + CHUNKED + _chunk(EVENTS) + b"0\r\n"
            yield from _endless(b"X-More: " + b"y" * 500 + b"\r\n")
        case ResponseFault.SURPLUS:
            yield valid_response + GARBAGE_BYTES * 20
        case ResponseFault.SECOND_ANSWER:
            yield valid_response + valid_response.replace(b"done", b"more")
        case ResponseFault.LARGE_AT_ONCE:
            head = f"Content-Length: {len(LARGE_BODY)}\r\n\r\n".encode()
            yield valid_head + head + LARGE_BODY
        case ResponseFault.LARGE_CHUNKS_AT_ONCE:
            pieces = (
                _chunk(LARGE_BODY[start : start + BLOCK_BYTES])
                for start in range(0, len(LARGE_BODY), BLOCK_BYTES)
            )
            yield valid_head + CHUNKED + b"".join(pieces) + b"0\r\n\r\n"
        case ResponseFault.SLOW:
            yield valid_head + STREAM_HEAD + CHUNKED
            for number in range(1, 4):
                yield _chunk(event(number))
            yield b"0\r\n\r\n"
        case ResponseFault.STALLED:
            yield valid_head + STREAM_HEAD + CHUNKED + _chunk(event(1))
            yield from _endless_bytes()
        case (
            ResponseFault.STATUS_000
            | ResponseFault.STATUS_099
            | ResponseFault.STATUS_600
            | ResponseFault.STATUS_999
        ):
            status = response_fault.value.removeprefix("status ").encode()
            yield valid_response.replace(b"200 OK", status + b" Odd")
        case ResponseFault.SWITCHING:
            yield b"HTTP/1.1 101 Switching Protocols\r\n" + signed_headers
            yield b"Connection: upgrade\r\nUpgrade: other\r\n\r\n" + GARBAGE_BYTES
