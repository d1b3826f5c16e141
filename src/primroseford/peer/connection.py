"""An established connection between two hosts."""

from __future__ import annotations

import asyncio
import hmac
from collections import deque
from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.peer.codec import MAX_FRAME_BYTES
from primroseford.peer.codec import decode
from primroseford.peer.codec import encode
from primroseford.peer.codec import frame
from primroseford.peer.codec import read_frame
from primroseford.peer.gen.messages.ttypes import Envelope
from primroseford.peer.handshake import PROTOCOL_VERSION
from primroseford.peer.handshake import TAG_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from primroseford.clock import Clock
    from primroseford.peer.handshake import Session

MAX_QUEUED_FRAMES = 4096
MAX_QUEUED_BYTES = 2 * MAX_FRAME_BYTES
MAX_REQUESTS_IN_PROGRESS = 1024
DEFAULT_DEADLINE_MS = 10_000

log = structlog.get_logger()


class Role(IntEnum):
    """Role of an envelope in a message exchange."""

    REQUEST = 0
    ANSWER = 1
    ONE_WAY = 2


@dataclass(frozen=True)
class Reply:
    """Result of a request at its receiver."""

    code: ResultCode
    body: bytes = b""
    text: str = ""


class Connection:
    """Sends and receives envelopes until one side closes the connection.

    :param reader: incoming bytes
    :param writer: outgoing bytes
    :param session: result of the handshake
    :param initiated: whether this host opened the connection
    :param handle: handles an incoming request and returns its result
    :param clock: local time, for the idle timeout
    :param count: called with the direction, message kind and size in bytes of a frame
    :ivar calls: outgoing requests that wait for an answer, by call id
    :ivar requests: tasks of incoming requests in progress
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        session: Session,
        initiated: bool,
        handle: Callable[[Connection, Envelope], Awaitable[Reply]],
        clock: Clock,
        count: Callable[[str, int, int], None],
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.session = session
        self.initiated = initiated
        self.handle = handle
        self.clock = clock
        self.count = count
        self.closed = False
        self.last_used_at = clock()
        self.received_frames = 0
        self.last_call_id = 0
        self.calls: dict[int, asyncio.Future[Envelope]] = {}
        self.queue: deque[bytes] = deque()
        self.queued_bytes = 0
        self.frames_queued = asyncio.Event()
        self.requests: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve the connection until it closes."""
        writer_task = asyncio.create_task(self._write())
        try:
            await self._read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        except PrimrosefordError as error:
            log.warning(
                "peer connection closed",
                peer=self.session.host_id,
                code=int(error.code),
            )
        finally:
            self.close()
            writer_task.cancel()

    def close(self) -> None:
        """Close the connection and fail its pending calls."""
        if self.closed:
            return
        self.closed = True
        self.writer.close()
        for call in self.calls.values():
            if not call.done():
                call.set_exception(_create_closed_error())
        self.calls.clear()
        for task in self.requests:
            task.cancel()

    def is_idle(self) -> bool:
        """Return whether no request or frame is pending in either direction."""
        return not (self.calls or self.requests or self.queue)

    async def call(self, kind: int, body: bytes, timeout: float) -> bytes:
        """Send a request and return the body of its answer.

        :param kind: message kind
        :param body: encoded message
        :param timeout: seconds to wait
        :raises PrimrosefordError: the result code of the peer, PEER_TIMEOUT,
            PEER_UNREACHABLE or QUEUE_FULL
        """
        self.last_call_id += 1
        call_id = self.last_call_id
        deadline_ms = max(1, int(timeout * 1000))
        received_before = self.received_frames
        self._enqueue(
            Envelope(
                PROTOCOL_VERSION, kind, Role.REQUEST, call_id, deadline_ms, 0, body, ""
            )
        )
        future = asyncio.get_running_loop().create_future()
        self.calls[call_id] = future
        try:
            async with asyncio.timeout(timeout):
                answer = await future
        except TimeoutError:
            # If no frame was received since the request was sent, the connection is
            # presumed dead; the next call opens a new one.
            if self.received_frames == received_before:
                self.close()
            raise PrimrosefordError(
                ResultCode.PEER_TIMEOUT,
                "the peer did not answer before the timeout",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from None
        finally:
            self.calls.pop(call_id, None)
        if answer.code:
            raise PrimrosefordError(_to_result_code(answer.code), answer.text or "")
        return answer.body or b""

    def send(self, kind: int, body: bytes) -> None:
        """Queue a message that has no answer.

        :raises PrimrosefordError: QUEUE_FULL or PEER_UNREACHABLE
        """
        self._enqueue(Envelope(PROTOCOL_VERSION, kind, Role.ONE_WAY, 0, 0, 0, body, ""))

    def _enqueue(self, envelope: Envelope) -> None:
        if self.closed:
            raise _create_closed_error(Outcome.NOT_RUN)
        content = encode(envelope)
        if len(content) + TAG_BYTES > MAX_FRAME_BYTES:
            raise PrimrosefordError(
                ResultCode.BODY_TOO_LARGE, "the message exceeds the maximum frame size"
            )
        exceeds_byte_limit = self.queued_bytes + len(content) > MAX_QUEUED_BYTES
        if exceeds_byte_limit or len(self.queue) >= MAX_QUEUED_FRAMES:
            raise PrimrosefordError(
                ResultCode.QUEUE_FULL, "the outgoing queue to the peer is full"
            )
        tagged_frame = frame(self.session.outgoing.tag(content) + content)
        self.queue.append(tagged_frame)
        self.queued_bytes += len(tagged_frame)
        self.last_used_at = self.clock()
        self.count("sent", envelope.kind, len(tagged_frame))
        self.frames_queued.set()

    async def _write(self) -> None:
        # Batches all frames queued since the last write into one system call.
        try:
            while True:
                await self.frames_queued.wait()
                self.frames_queued.clear()
                content = b"".join(self.queue)
                self.queue.clear()
                self.writer.write(content)
                await self.writer.drain()
                self.queued_bytes -= len(content)
        except OSError:
            self.close()

    async def _read(self) -> None:
        while True:
            content = await read_frame(self.reader, MAX_FRAME_BYTES)
            tag, content = content[:TAG_BYTES], content[TAG_BYTES:]
            if not hmac.compare_digest(tag, self.session.incoming.tag(content)):
                raise PrimrosefordError(
                    ResultCode.PEER_UNTRUSTED,
                    "the authentication tag of a frame is wrong",
                )
            envelope = decode(Envelope, content)
            if envelope.version != PROTOCOL_VERSION or envelope.kind is None:
                raise PrimrosefordError(
                    ResultCode.PEER_PROTOCOL,
                    "an envelope has another protocol version or no kind",
                )
            self.received_frames += 1
            self.last_used_at = self.clock()
            self.count("received", envelope.kind, len(content) + TAG_BYTES + 4)
            self._dispatch(envelope)

    def _dispatch(self, envelope: Envelope) -> None:
        if envelope.role == Role.ANSWER:
            # An answer that arrives after the call's timeout is dropped.
            call = self.calls.get(envelope.call_id)
            if call is not None and not call.done():
                call.set_result(envelope)
            return
        if len(self.requests) >= MAX_REQUESTS_IN_PROGRESS:
            self._answer(
                envelope,
                Reply(ResultCode.QUEUE_FULL, text="too many requests in progress"),
            )
            return
        task = asyncio.create_task(self._serve(envelope))
        self.requests.add(task)
        task.add_done_callback(self.requests.discard)

    async def _serve(self, envelope: Envelope) -> None:
        seconds = (envelope.deadline_ms or DEFAULT_DEADLINE_MS) / 1000
        try:
            async with asyncio.timeout(seconds):
                reply = await self.handle(self, envelope)
        except TimeoutError:
            reply = Reply(
                ResultCode.PEER_TIMEOUT, text="the handler exceeded the deadline"
            )
        self._answer(envelope, reply)

    def _answer(self, request: Envelope, reply: Reply) -> None:
        if request.role == Role.ONE_WAY or self.closed:
            return
        answer = Envelope(
            PROTOCOL_VERSION,
            request.kind,
            Role.ANSWER,
            request.call_id,
            0,
            int(reply.code),
            reply.body,
            reply.text,
        )
        try:
            self._enqueue(answer)
        except PrimrosefordError as error:
            log.warning("peer answer dropped", code=int(error.code))


def _to_result_code(number: int) -> ResultCode:
    try:
        return ResultCode(number)
    except ValueError:
        return ResultCode.INTERNAL


def _create_closed_error(outcome: Outcome = Outcome.MAY_HAVE_RUN) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.PEER_UNREACHABLE, "the peer connection closed", outcome=outcome
    )
