"""Stand-in for a plain service that counts how often each call is executed."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from aiohttp import web

from primroseford.standins.control import add_control_routes

FAULTS = frozenset({"delay_seconds", "cut_after_run", "refuse_status"})
MAX_RECORDED_HEADERS = 1_000
MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass
class ServiceStandIn:
    """Counters and faults of a plain service.

    :param runs: number of executions by the header ``X-Call``, or by path without it
    :param delay_seconds: duration of a call
    :param arrival_seconds: delay between reading a call and counting it
    :param cut_after_run: abort the connection after the call was executed
    :param refuse_status: reject calls with this status; 0 disables the fault
    :param seen_headers: headers of the latest calls
    """

    runs: Counter[str] = field(default_factory=Counter)
    delay_seconds: float = 0.0
    arrival_seconds: float = 0.0
    cut_after_run: bool = False
    refuse_status: int = 0
    seen_headers: list[dict[str, str]] = field(default_factory=list)


def create_service_application(service: ServiceStandIn) -> web.Application:
    """Return an application that accepts any method and path.

    :param service: counters and faults
    """

    async def handle(request: web.Request) -> web.Response:
        body = await request.read()
        await asyncio.sleep(service.arrival_seconds)
        service.seen_headers.append({**request.headers, ":path": request.path_qs})
        del service.seen_headers[:-MAX_RECORDED_HEADERS]
        if service.refuse_status:
            return web.Response(status=service.refuse_status, text="refused")
        service.runs[request.headers.get("X-Call", request.path)] += 1
        await asyncio.sleep(service.delay_seconds)
        if service.cut_after_run and request.transport is not None:
            request.transport.abort()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        response = {"path": request.path, "method": request.method, "bytes": len(body)}
        return web.json_response(response, headers=headers)

    app = web.Application(client_max_size=MAX_BODY_BYTES)
    add_control_routes(app, service, FAULTS, lambda: {"runs": dict(service.runs)})
    app.router.add_route("*", "/{path:.*}", handle)
    return app
