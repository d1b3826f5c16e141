"""Processes of the online benchmark: backend server, pass-through proxy and platform.

``python -m bench.online_processes ROLE [BACKEND]`` prints the port that it listens on.
``ROLE`` is ``backend``, ``passthrough`` or ``platform``.
"""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web

from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in

STREAM_EVENTS = 200
EVENT_SECONDS = 0.01
CHAT_RESPONSE = b'{"object": "chat.completion", "text": "' + b"x" * 1000 + b'"}'


def backend_application() -> web.Application:
    """Return an engine that answers with 1 KB or with a stream at a fixed pace."""

    async def handle_chat(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if b'"stream"' not in body:
            return web.Response(
                body=CHAT_RESPONSE, content_type="application/json", headers=headers
            )
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(STREAM_EVENTS):
            data = f'id: {number}\ndata: {{"text": "{"x" * 100}"}}\n\n'
            await response.write(data.encode())
            await asyncio.sleep(EVENT_SECONDS)
        await response.write(b"data: [DONE]\n\n")
        return response

    async def get_load(request: web.Request) -> web.Response:
        load = {"running": 0, "waiting": 0, "capacity": 10_000}
        return web.json_response(load | {"measured_ms_ago": 0, "leaving": False})

    async def list_cache_events(request: web.Request) -> web.Response:
        return web.json_response({"events": []})

    app = web.Application()
    app.router.add_post("/v1/chat/completions", handle_chat)
    app.router.add_get("/v1/load", get_load)
    app.router.add_get("/v1/cache/events", list_cache_events)
    return app


def passthrough_application(backend: str) -> web.Application:
    """Return the baseline, a proxy that forwards every request unchanged.

    :param backend: address of the backend server
    """

    async def session_context(app: web.Application):
        app["session"] = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), auto_decompress=False
        )
        yield
        await app["session"].close()

    async def forward(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        headers = {k: v for k, v in request.headers.items() if k != "Host"}
        url = f"http://{backend}{request.path_qs}"
        async with app["session"].request(
            request.method, url, data=body, headers=headers
        ) as backend_response:
            if backend_response.content_type != "text/event-stream":
                return web.Response(
                    status=backend_response.status,
                    body=await backend_response.read(),
                    content_type=backend_response.content_type,
                )
            response = web.StreamResponse(status=backend_response.status)
            response.content_type = backend_response.content_type
            await response.prepare(request)
            async for chunk in backend_response.content.iter_any():
                await response.write(chunk)
            return response

    app = web.Application()
    app.cleanup_ctx.append(session_context)
    app.router.add_route("*", "/{path:.*}", forward)
    return app


def create_tables(backends: list[str], hedge_after: float | None = None) -> list[dict]:
    """Return tables with one pool and an organisation whose rate is never reached.

    :param backends: addresses of the pool's runners
    :param hedge_after: the route's hedging delay in seconds; no hedging if None
    """
    runners = [
        {"name": f"r{n}", "address": address, "failure_domain": "d"}
        for n, address in enumerate(backends)
    ]
    return [
        {"kind": "Organisation", "name": "o", "rate": 1e6, "burst": 1e6},
        {"kind": "Pool", "name": "p", "runners": runners, "max_in_flight": 10_000},
        {
            "kind": "Route",
            "name": "r",
            "match": {"models": ["m"]},
            "pool": "p",
            "organisations": ["o"],
            "repeatable": True,
            "hedge_after_seconds": hedge_after,
        },
    ]


async def run(role: str, backend: str) -> None:
    """Serve one role until the process is terminated."""
    app = {
        "backend": lambda: backend_application(),
        "passthrough": lambda: passthrough_application(backend),
        "platform": lambda: create_platform_application(create_platform_stand_in()),
    }[role]()
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1], (sys.argv + [""])[2]))
