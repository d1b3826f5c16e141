"""A caller that resumes interrupted streams at other hosts."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import aiohttp

from primroseford.platform.headers import API_KEY
from primroseford.platform.headers import DEADLINE
from primroseford.platform.headers import LAST_EVENT
from primroseford.platform.headers import REQUEST_ID
from primroseford.standins.fleet_objects import HOST
from primroseford.standins.fleet_objects import KEY
from primroseford.standins.fleet_objects import RESUMES
from primroseford.standins.fleet_runner import event
from primroseford.standins.fleet_runner import event_version
from primroseford.standins.fleet_runner import versioned_token

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

MAX_TRIES = 4
"""Requests that a caller sends for one stream, refused ones included."""
MAX_RETRY_AFTER_SECONDS = 2.0
"""Longest wait of a caller before it retries a refused request."""
STREAM_DEADLINE_MS = 5000
EVENT_END = b"\n\n"
CALLER_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True)
class StreamEvent:
    """One complete event.

    :param id: the event's id; empty if it has none
    :param version: version of the runner that wrote it
    """

    id: str
    data: str
    version: str


@dataclass
class CallerStream:
    """A stream as its caller received it.

    :ivar events: complete events of all tries
    :ivar ids: request ids of the tries
    :ivar hosts: base URLs of the hosts to which the tries were sent
    :ivar statuses: statuses of the tries; 0 if there was no response
    :ivar retry_after: value of ``Retry-After`` in the last refusal; empty for none
    :ivar began: request id of the try that brought the first event; empty for none
    :ivar complete: whether the last response ended without an error
    """

    events: list[StreamEvent] = field(default_factory=list)
    ids: list[str] = field(default_factory=list)
    hosts: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    retry_after: str = ""
    began: str = ""
    complete: bool = False

    @property
    def versions(self) -> list[str]:
        """The versions in the stream, in the order of their first events."""
        return list(dict.fromkeys(received.version for received in self.events))


async def read_stream(
    session: aiohttp.ClientSession,
    urls: Sequence[str],
    path: str,
    request_id: str,
    tries: int = MAX_TRIES,
    on_event: Callable[[CallerStream], None] = lambda stream: None,
) -> CallerStream:
    """Begin a stream at the first URL, and resume it at the next one when it breaks.

    :param urls: base URLs of the hosts in the order of the tries, which starts again
        after the last one
    :param request_id: start of the request ids; each try has its own
    :param on_event: called after each event
    """
    stream = CallerStream()
    for number in range(tries):
        url = urls[number % len(urls)]
        await send_try(session, url, path, f"{request_id}.{number}", stream, on_event)
        if stream.complete or stream.statuses[-1] not in (0, 200, 503):
            break
        if stream.statuses[-1] == 503 and number + 1 < tries:
            await asyncio.sleep(_retry_seconds(stream.retry_after))
    return stream


async def send_try(
    session: aiohttp.ClientSession,
    url: str,
    path: str,
    request_id: str,
    stream: CallerStream,
    on_event: Callable[[CallerStream], None] = lambda stream: None,
) -> None:
    """Send one request of a stream and add the outcome to it."""
    stream.ids.append(request_id)
    stream.hosts.append(url)
    stream.statuses.append(0)
    stream.retry_after, stream.complete = "", False
    headers = _headers(request_id) | resume_headers(stream)
    try:
        async with session.post(url + path, data=b"prompt", headers=headers) as found:
            stream.statuses[-1] = found.status
            stream.retry_after = found.headers.get("Retry-After", "")
            if found.status == 200:
                await _read_events(found, stream, request_id, on_event)
                stream.complete = True
    except CALLER_ERRORS:
        # The response is incomplete; the caller resumes the stream.
        return


def resume_headers(stream: CallerStream) -> dict[str, str]:
    """Return the headers that resume a stream; none before its first event."""
    if not stream.events:
        return {}
    began = {RESUMES: stream.began} if stream.began else {}
    return {LAST_EVENT: stream.events[-1].id} | began


def broken_stream(count: int, began: str, version: str = "v1") -> CallerStream:
    """Return a stream that broke after some events.

    :param began: id of the request that it names as its begin when it is resumed;
        empty to name none
    """
    token = versioned_token("token", version)
    blocks = [event(number, token) for number in range(1, count + 1)]
    events = [parse_stream_event(block.removesuffix(EVENT_END)) for block in blocks]
    return CallerStream(events, began=began)


def parse_stream_event(block: bytes) -> StreamEvent:
    """Decode an event without the empty line at its end."""
    lines = dict(line.split(": ", 1) for line in block.decode().split("\n"))
    data = lines.get("data", "")
    return StreamEvent(lines.get("id", ""), data, event_version(data))


async def _read_events(
    response: aiohttp.ClientResponse,
    stream: CallerStream,
    request_id: str,
    on_event: Callable[[CallerStream], None],
) -> None:
    pending = b""
    async for chunk in response.content.iter_any():
        *blocks, pending = (pending + chunk).split(EVENT_END)
        for block in blocks:
            stream.began = stream.began or request_id
            stream.events.append(parse_stream_event(block))
            on_event(stream)


def _headers(request_id: str) -> dict[str, str]:
    return {
        "Host": HOST,
        REQUEST_ID: request_id,
        API_KEY: KEY,
        DEADLINE: str(STREAM_DEADLINE_MS),
    }


def _retry_seconds(retry_after: str) -> float:
    try:
        return min(float(retry_after), MAX_RETRY_AFTER_SECONDS)
    except ValueError:
        return 0.0
