"""The platform's store: the project's stand-in with answer times and outages."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWER_SECONDS = 0.004
"""Time of an answer, as on the deployment sheets."""


class Store:
    """Store of one run.

    :ivar down: whether every call is refused with 503
    :ivar raw_values: bytes that are sent instead of strings in objects of other writers
    :ivar on_change: called with method and path after each change, before the answer
    :ivar answers: number of answers by status
    """

    def __init__(self) -> None:
        self.stand_in = create_platform_stand_in()
        self.down = False
        self.raw_values: dict[str, bytes] = {}
        self.on_change: Callable[[str, str], None] = lambda method, path: None
        self.answers: dict[int, int] = {}
        self.runner: web.AppRunner | None = None
        self.address = ""

    async def start(self) -> None:
        """Serve the store on a free port of the loopback interface."""
        app = create_platform_application(self.stand_in)
        app.middlewares.insert(0, self._answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.address = f"127.0.0.1:{self.runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop serving."""
        if self.runner is not None:
            await self.runner.cleanup()

    @web.middleware
    async def _answer(self, request: web.Request, handler) -> web.StreamResponse:
        response = await self._handle(request, handler)
        self.answers[response.status] = self.answers.get(response.status, 0) + 1
        return response

    async def _handle(self, request: web.Request, handler) -> web.StreamResponse:
        if self.down:
            return web.json_response({}, status=503)
        if "watch" in request.query:
            watch = asyncio.ensure_future(handler(request))
            while not watch.done():
                await asyncio.wait({watch}, timeout=0.05)
                if self.down:
                    # A watch that is waiting may be cut off.
                    watch.cancel()
                    return web.json_response({}, status=503)
            response = watch.result()
        else:
            await asyncio.sleep(ANSWER_SECONDS)
            response = await handler(request)
            if request.method != "GET" and response.status < 300:
                self.on_change(request.method, request.path)
        body = getattr(response, "body", None)
        if isinstance(body, bytes):
            for text, value in self.raw_values.items():
                body = body.replace(json.dumps(text).encode(), value)
            response.body = body
        return response

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object as the operator, a runner or others do."""
        state = self.stand_in.state
        item = {"metadata": {"name": name}, "spec": spec}
        if name in state.objects.get(kind, {}):
            state.update(kind, item)
        else:
            state.create(kind, item)
        self.stand_in.announce()

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.stand_in.state.delete(kind, name, None)
        self.stand_in.announce()

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self.stand_in.state.objects.get(kind, {}))
