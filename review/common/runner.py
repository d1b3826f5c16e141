"""Runners: the stand-in of a sound model engine with slots."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

    from common.record import Record
    from common.store import Store

EVENT_SECONDS = 0.02
"""Time between two events: six tokens at 3.23 ms and more a step."""


@dataclass
class Workload:
    """What the runners answer.

    :ivar events: number of events by id of the request; for others a plain body
    :ivar piece: data of the events
    """

    events: dict[str, int] = field(default_factory=dict)
    piece: Callable[[str, int], str] = lambda request, number: f"{request}-{number:04d}"

    def text(self, request: str) -> str:
        """Return the whole output of a request."""
        return "\n".join(
            self.piece(request, number) for number in range(1, self.events[request] + 1)
        )


@dataclass(eq=False)
class Runner:
    """One runner.

    :ivar running: requests that it works on
    :ivar finished: items that it finished, each with the time
    :ivar broken_at: time at which a run was last broken off
    """

    name: str
    service: str
    slots: int
    workload: Workload
    record: Record
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    running: set[str] = field(default_factory=set)
    finished: dict[str, float] = field(default_factory=dict)
    broken_at: float = 0.0
    address: str = ""
    site: web.BaseSite | None = None
    web_runner: web.ServerRunner | None = None
    sequence: int = 0

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        server = web.Server(self._handle, handler_cancellation=True, access_log=None)
        self.web_runner = web.ServerRunner(server)
        await self.web_runner.setup()
        site = web.TCPSite(self.web_runner, "127.0.0.1", 0, shutdown_timeout=0.1)
        await site.start()
        self.address = f"127.0.0.1:{self.web_runner.addresses[0][1]}"

    async def stop(self) -> None:
        """End, as a process that exits."""
        if self.web_runner is not None:
            await self.web_runner.cleanup()
            self.web_runner = None

    def register(self, store: Store) -> None:
        """Write the entry in the platform's store."""
        self.sequence += 1
        store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.raw_path == "/health":
            return web.Response(headers={"Instance-Id": self.name})
        body = await request.read()
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Target-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"Instance-Id": self.name})
        if len(self.running) >= self.slots:
            return web.Response(status=503, headers={"Not-Executed": "1"})
        self.running.add(request_id)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        self.record.add(
            "run", runner=self.name, request=request_id, bytes=len(body), first=first
        )
        outcome = "broken off"
        try:
            response = await self._respond(request, request_id, first)
            self.finished[request_id] = time.monotonic()
            outcome = "finished"
            return response
        finally:
            self.running.discard(request_id)
            if outcome != "finished":
                self.broken_at = time.monotonic()
            self.record.add(outcome, runner=self.name, request=request_id)

    async def _respond(
        self, request: web.BaseRequest, request_id: str, first: int
    ) -> web.StreamResponse:
        headers = {"Request-Id": request_id, "Server-Signature": f"sig.{self.name}"}
        events = self.workload.events.get(request_id)
        if events is None:
            await asyncio.sleep(EVENT_SECONDS)
            return web.Response(headers=headers, body=request_id.encode())
        headers["Content-Type"] = "text/event-stream"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for number in range(first, events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            data = self.workload.piece(request_id, number)
            await response.write(f"id: {number}\ndata: {data}\n\n".encode())
        await response.write_eof()
        return response
