"""The callers' HTTP interface."""

from __future__ import annotations

import json
import random
import uuid
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from primroseford.configuration.tables import RunnerState
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.secrets import authenticate
from primroseford.online.answers import error_response
from primroseford.online.credentials import forwarded_headers
from primroseford.online.credentials import read_key
from primroseford.routing.match import match_route

if TYPE_CHECKING:
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Runner
    from primroseford.configuration.tables import Tables

MAX_BODY_BYTES = 32 * 1024 * 1024


class OnlineState:
    """What the handlers of online requests share.

    :param store: configuration in force
    :param session: HTTP session towards runners
    """

    def __init__(
        self, store: ConfigurationStore, session: aiohttp.ClientSession
    ) -> None:
        self.store = store
        self.session = session


def create_online_application(
    store: ConfigurationStore, session: aiohttp.ClientSession
) -> web.Application:
    """Return the application that serves callers.

    :param store: configuration in force
    :param session: HTTP session towards runners
    """
    state = OnlineState(store, session)
    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[report_errors])
    app.router.add_get("/v1/models", _models_handler(state))
    app.router.add_route("*", "/{path:.*}", _forward_handler(state))
    return app


@web.middleware
async def report_errors(request: web.Request, handler):
    """Turn errors with a result code into HTTP answers."""
    try:
        return await handler(request)
    except PrimrosefordError as error:
        return error_response(error)


def _models_handler(state: OnlineState):
    async def list_models(request: web.Request) -> web.Response:
        tables = state.store.current()
        identity = authenticate(tables, read_key(request))
        names = {
            model
            for route in tables.routes.values()
            if route.open or identity.organisation in route.organisations
            for model in route.match.models
        }
        data = [
            {"id": n, "object": "model", "created": 0, "owned_by": "primroseford"}
            for n in sorted(names)
        ]
        return web.json_response({"object": "list", "data": data})

    return list_models


def _forward_handler(state: OnlineState):
    async def forward(request: web.Request) -> web.StreamResponse:
        tables = state.store.current()
        body = await request.read()
        model = _model_of(request, body)
        route = match_route(tables, request.url.host or "", request.path, model)
        _authorise(tables, route, request)
        pool = _pool_of(tables, route)
        return await _relay(state, request, body, route, _choose(pool))

    return forward


def _model_of(request: web.Request, body: bytes) -> str | None:
    if not body or request.content_type != "application/json":
        return None
    try:
        parsed = json.loads(body)
    except ValueError as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, "the body is not valid JSON", field="body"
        ) from error
    model = parsed.get("model") if isinstance(parsed, dict) else None
    return model if isinstance(model, str) else None


def _authorise(tables: Tables, route: Route, request: web.Request) -> None:
    if route.open:
        return
    identity = authenticate(tables, read_key(request))
    if identity.organisation not in route.organisations:
        raise PrimrosefordError(
            ResultCode.NOT_AUTHORISED,
            f"organisation {identity.organisation!r} may not use route {route.name!r}",
        )


def _pool_of(tables: Tables, route: Route) -> Pool:
    pool = tables.pools.get(route.pool)
    if pool is None:
        raise PrimrosefordError(
            ResultCode.DANGLING_REFERENCE,
            f"route {route.name!r} names pool {route.pool!r}, which does not exist",
            field=f"routes/{route.name}.pool",
        )
    return pool


def _choose(pool: Pool) -> Runner:
    ready = [r for r in pool.runners if r.state is RunnerState.READY]
    if not ready:
        raise PrimrosefordError(
            ResultCode.POOL_UNAVAILABLE,
            f"pool {pool.name!r} has no ready runner",
            retry_after=1.0,
        )
    return random.choice(ready)


async def _relay(
    state: OnlineState,
    request: web.Request,
    body: bytes,
    route: Route,
    runner: Runner,
) -> web.StreamResponse:
    headers = forwarded_headers(request)
    headers["X-Request-Id"] = uuid.uuid4().hex
    timeout = aiohttp.ClientTimeout(total=route.timeout_seconds)
    url = f"http://{runner.address}{request.path_qs}"
    try:
        async with state.session.request(
            request.method, url, data=body, headers=headers, timeout=timeout
        ) as answer:
            response = web.StreamResponse(status=answer.status)
            response.content_type = answer.content_type
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            return response
    except aiohttp.ClientConnectorError as error:
        raise PrimrosefordError(
            ResultCode.RUNNER_UNREACHABLE, f"runner {runner.name!r} refused to connect"
        ) from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise PrimrosefordError(
            ResultCode.RUNNER_FAILED,
            f"runner {runner.name!r} did not answer",
            outcome=Outcome.MAY_HAVE_RUN,
        ) from error
