"""HTTP interface for operators: health, metrics and status."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from primroseford.daemon.host import Host


def create_operator_application(host: Host) -> web.Application:
    """Return the application on the operators' address.

    :param host: the host to report on
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def readyz(_: web.Request) -> web.Response:
        ready = host.ready()
        return web.Response(
            text="ready\n" if ready else "not ready\n", status=200 if ready else 503
        )

    async def metrics(_: web.Request) -> web.Response:
        body = generate_latest(host.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def status(_: web.Request) -> web.Response:
        tables = host.store.current()
        body = {
            "host": host.settings.host,
            "failure_domain": host.settings.failure_domain,
            "version": tables.version,
            "ready": host.ready(),
        }
        return web.json_response(body)

    app = web.Application()
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
    app.router.add_get("/status", status)
    return app
