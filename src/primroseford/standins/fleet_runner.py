"""Stand-in for a runner of the users' platform, with faults that tests can set."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT_SECONDS = 0.002
PARTIAL_EVENT = b"id: 9"
"""Bytes of an incomplete event that an interrupted stream sends at its end."""
DEFAULT_VERSION = "v1"
"""Software version whose events do not name it."""
VERSION_MARK = "@"
"""Character between the text of an event and the version that wrote it."""
MAX_HEAD_BYTES = 64 * 1024
MAX_HEADER_FIELDS = 1024
"""Limits of a runner on the head of a request, above those on callers."""


@dataclass
class RunnerFaults:
    """Faults of a runner.

    :param refuse: respond with 503 and ``Not-Executed``
    :param status: status of responses
    :param cut_after: number of events after which a stream is interrupted; ``None``
        disables the fault
    :param cuts: number of next streams to which ``cut_after`` applies
    :param silent: accept requests and never respond
    :param wrong_id: send the id of another request in responses
    :param unsigned: omit the ``Server-Signature`` header
    :param plain: send events without ids
    :param other_runner: name of the runner that has this address now; requests get 421
    :param error_page: respond with status 200 and a page of text
    :param deadly_part: id of a prompt part on which the runner crashes when it begins
        to respond
    :param deadly_body: body of a request on which the runner crashes before it responds
    :param request_limit: value of the ``Server-Limit`` header in responses; empty for
        none
    :param from_start: begin each stream at its first event, whatever was asked
    :param leaving: value of the ``Server-Leaving`` header in responses; empty for none
    :param load: value of the ``Server-Load`` header, also in health responses; empty
        for none
    """

    refuse: bool = False
    status: int = 200
    cut_after: int | None = None
    cuts: int = 1_000_000
    silent: bool = False
    wrong_id: bool = False
    unsigned: bool = False
    plain: bool = False
    other_runner: str = ""
    error_page: bool = False
    deadly_part: str = ""
    deadly_body: bytes = b""
    request_limit: str = ""
    from_start: bool = False
    leaving: str = ""
    load: str = ""


@dataclass
class ReceivedRequest:
    """A request as the runner received it.

    :ivar at: time of receipt on the monotonic clock, in seconds
    """

    request_id: str
    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    at: float = field(default_factory=time.monotonic)


@dataclass
class FleetRunner:
    """A runner that responds with a stream of numbered events or with a single body.

    :param name: id of the runner on the platform
    :param events: number of events in a stream
    :param received: requests that the runner executed
    :param checks: number of health checks and requests for its report
    :param cold_ms: remaining cold time that its health responses state, if they do
    :param on_crash: called when the runner has crashed
    :ivar server: listening socket of the runner
    :ivar open: number of requests in progress
    :ivar transports: connections of the requests in progress
    :param token: text that precedes the number in the data of each event
    :param version: version of the runner's software, which the data of each event names
        unless it is the default one
    :param born: Unix time of its start in milliseconds, as its report tells; ``None``
        if it has no report
    """

    name: str
    events: int = 5
    event_seconds: float = EVENT_SECONDS
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    received: list[ReceivedRequest] = field(default_factory=list)
    checks: int = 0
    cold_ms: int | None = None
    on_crash: Callable[[FleetRunner], None] | None = None
    server: asyncio.Server | None = None
    open: int = 0
    transports: set[asyncio.Transport] = field(default_factory=set)
    token: str = "token"
    version: str = DEFAULT_VERSION
    born: int | None = None

    def crash(self) -> None:
        """Reset all connections and stop listening, as a killed process does."""
        if self.server is not None:
            self.server.close()
        for transport in list(self.transports):
            transport.abort()
        if self.on_crash is not None:
            self.on_crash(self)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        if request.raw_path in ("/health", "/report"):
            self.checks += 1
        if request.raw_path == "/health":
            headers = {"Instance-Id": self.name}
            if self.cold_ms is not None:
                headers["Cold-Ms"] = str(self.cold_ms)
            if self.faults.load:
                headers["Server-Load"] = self.faults.load
            return web.Response(headers=headers)
        if request.raw_path == "/report":
            return await self._report()
        body = await request.read()
        faults = self.faults
        if faults.other_runner:
            return web.Response(
                status=421, headers={"Instance-Id": faults.other_runner}
            )
        if faults.refuse:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        request_id = request.headers.get("Request-Id", "")
        self.received.append(
            ReceivedRequest(
                request_id,
                request.method,
                request.raw_path,
                CIMultiDict(request.headers),
                body,
            )
        )
        self.open += 1
        transport = request.transport
        self.transports.add(transport)
        try:
            if faults.silent:
                await asyncio.sleep(3600)
            if faults.deadly_body and body == faults.deadly_body:
                await asyncio.sleep(self.event_seconds)
                self.crash()
                return web.Response()
            return await self._respond(request, request_id)
        finally:
            self.open -= 1
            self.transports.discard(transport)

    async def _report(self) -> web.Response:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.born is None:
            return web.Response(status=404)
        report = {"stage": "both", "models": [], "born": self.born}
        if self.faults.load:
            running, waiting = map(int, self.faults.load.split(",")[:2])
            report |= {"in_flight": running, "queue_depth": waiting}
        return web.json_response(report)

    async def _respond(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        faults = self.faults
        headers = {"Request-Id": "another" if faults.wrong_id else request_id}
        if not faults.unsigned:
            headers["Server-Signature"] = f"sig-{self.name}"
        if faults.request_limit:
            headers["Server-Limit"] = faults.request_limit
        if faults.leaving:
            headers["Server-Leaving"] = faults.leaving
        if faults.load:
            headers["Server-Load"] = faults.load
        if faults.status != 200:
            return web.Response(status=faults.status, headers=headers, body=b"failed")
        if faults.error_page:
            headers["Content-Type"] = "text/html"
            return web.Response(headers=headers, body=b"<p>failed</p>\n\n")
        if "whole" in request.raw_path:
            return web.Response(headers=headers, body=self.name.encode())
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        if faults.deadly_part and faults.deadly_part in _prompt_part_ids(request):
            await asyncio.sleep(self.event_seconds)
            self.crash()
            return response
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        if faults.from_start:
            first = 1
        event_limit = faults.cut_after
        if event_limit is not None:
            faults.cuts -= 1
            event_limit = event_limit if faults.cuts >= 0 else None
        for number in range(first, self.events + 1):
            if event_limit is not None and number - first >= event_limit:
                await asyncio.sleep(self.event_seconds)
                await response.write(PARTIAL_EVENT)
                request.transport.close()
                return response
            token = versioned_token(self.token, self.version)
            await response.write(
                event_without_id(number) if faults.plain else event(number, token)
            )
            await asyncio.sleep(self.event_seconds)
        await response.write_eof()
        return response


def _prompt_part_ids(request: web.BaseRequest) -> list[str]:
    parts = request.headers.get("Prompt-Prefix", "").split(",")
    return [part.partition(":")[0] for part in parts]


def event(number: int, token: str = "token") -> bytes:
    """Encode an event of a stream.

    :param token: text that precedes the number in the event's data
    """
    return f"id: {number}\ndata: {token} {number}\n\n".encode()


def event_without_id(number: int) -> bytes:
    """Encode an event without an id."""
    return f"data: token {number}\n\n".encode()


def versioned_token(token: str, version: str) -> str:
    """Return the text of an event's data as a runner of this version writes it."""
    return token if version == DEFAULT_VERSION else f"{token}{VERSION_MARK}{version}"


def event_version(line: str) -> str:
    """Return the version of the runner that wrote the data of an event.

    :param line: data of the event, which is also its line in the text of a batch item
    """
    return line.partition(VERSION_MARK)[2].partition(" ")[0] or DEFAULT_VERSION


def create_runner_server(runner: FleetRunner) -> web.Server:
    """Return the HTTP server of a runner."""
    return web.Server(
        runner.handle,
        request_factory=_create_request,
        handler_cancellation=True,
        auto_decompress=False,
        max_field_size=MAX_HEAD_BYTES,
        max_headers=MAX_HEADER_FIELDS,
    )


def _create_request(message, payload, protocol, writer, task) -> web.BaseRequest:
    # A runner accepts what a caller may send; aiohttp's default is a limit of 1 MiB.
    return web.BaseRequest(
        message, payload, protocol, writer, task, protocol._loop, client_max_size=0
    )
