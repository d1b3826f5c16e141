"""HTTP interface for operators: health, metrics, status, versions and orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from prometheus_client import generate_latest

from primroseford.configuration.operator import add_configuration_routes
from primroseford.orders.operator import add_order_routes

if TYPE_CHECKING:
    from primroseford.daemon.host import Host


def create_operator_application(host: Host) -> web.Application:
    """Return the application served on the operators' address.

    :param host: a started host
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
        return web.json_response(describe_host(host))

    app = web.Application()
    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/metrics", metrics)
    app.router.add_get("/status", status)
    add_configuration_routes(app, host.components.configuration)
    add_order_routes(app, host.components.configuration.store, host.components.orders)
    return app


def describe_host(host: Host) -> dict:
    """Return the body of ``/status``.

    :param host: the host
    """
    components = host.components
    tables = components.configuration.store.current()
    return {
        "host": host.settings.host,
        "failure_domain": host.settings.failure_domain,
        "ready": host.ready(),
        "stopping": host.stopping,
        "version": tables.version,
        "freshness_seconds": components.configuration.store.freshness(host.clock()),
        "rejected": {
            "/".join(name): problem
            for name, problem in components.configuration.store.rejected.items()
        },
        "hosts": [_describe_member(member) for member in components.membership.hosts()],
        "pools": {name: _describe_pool(host, name) for name in tables.pools},
        "limit_groups_owned": sorted(components.limiter.ownership.owned),
        "feeders": sorted(components.batch.feeders),
        "requests_in_flight": len(components.online.open_requests.entries),
    }


def _describe_member(member) -> dict:
    return {
        "host": member.host_id,
        "failure_domain": member.failure_domain,
        "address": member.address,
        "state": member.state.value,
    }


def _describe_pool(host: Host, name: str) -> list[dict]:
    tracker = host.components.tracker
    pool = host.components.configuration.store.current().pools[name]
    now = host.clock()
    return [
        {
            "runner": view.runner.name,
            "online": view.online,
            "others": view.other_load,
            "available": now >= view.unavailable_until,
        }
        for view in tracker.pool_views(pool)
    ]
