"""HTTP interface for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.clock import boottime
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import FailureDomainId
from primroseford.ids import HostId
from primroseford.keys.authorisation import may_use_route
from primroseford.keys.secrets import authenticate
from primroseford.metrics import Metrics
from primroseford.online.credentials import read_key
from primroseford.online.error_responses import error_response
from primroseford.online.exchange import create_runner_session
from primroseford.online.forward import create_forward_handler
from primroseford.online.slot_allocator import SlotAllocator
from primroseford.online.state import OnlineState
from primroseford.routing.tracker import create_runner_tracker

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    import aiohttp

    from primroseford.clock import Clock
    from primroseford.configuration.store import ConfigurationStore
    from primroseford.online.state import Claims
    from primroseford.online.state import Limiter
    from primroseford.routing.tracker import RunnerTracker

MAX_BODY_BYTES = 32 * 1024 * 1024
ONLINE_STATE: web.AppKey[OnlineState] = web.AppKey("online_state", OnlineState)


def admit_all() -> None:
    """Admit every request; the default gate, which checks nothing."""


def create_online_application(
    store: ConfigurationStore,
    session: aiohttp.ClientSession | None = None,
    *,
    tracker: RunnerTracker | None = None,
    clock: Clock = boottime,
    metrics: Metrics | None = None,
    gate: Callable[[], None] = admit_all,
    limiter: Limiter | None = None,
    claims: Claims | None = None,
) -> web.Application:
    """Return the application that serves callers.

    The catch-all route does not hide routes that are added later, since aiohttp tries
    more specific paths first.

    :param store: configuration in force
    :param session: unused; the application opens its own session for runners and
        closes it on cleanup
    :param tracker: state of the runners, shared with batch
    :param gate: admission check; raises HOST_STOPPING or HOST_ISOLATED
    :param limiter: fleet-wide rate limits; without it, requests are not limited
    :param claims: claims of idempotency keys; without it, requests with an idempotency
        key are rejected
    """
    tracker = tracker or create_runner_tracker(
        HostId("host"), FailureDomainId("none"), clock
    )
    state = OnlineState(
        store,
        session,
        tracker,
        SlotAllocator(store, tracker),
        clock,
        metrics or Metrics(),
        gate,
        limiter,
        claims,
    )
    return _build_application(state)


def _build_application(state: OnlineState) -> web.Application:
    app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[report_errors])
    app[ONLINE_STATE] = state
    app.cleanup_ctx.append(_open_session)
    app.router.add_get("/v1/models", _models_handler(state))
    app.router.add_route("*", "/{path:.*}", create_forward_handler(state))
    return app


async def _open_session(app: web.Application) -> AsyncIterator[None]:
    session = create_runner_session()
    app[ONLINE_STATE].session = session
    yield
    await session.close()


@web.middleware
async def report_errors(request: web.Request, handler) -> web.StreamResponse:
    """Convert errors with a result code to HTTP responses and count them."""
    state = request.app[ONLINE_STATE]
    if request.protocol is not None:
        state.track_connection(request.protocol)
    try:
        response = await handler(request)
    except PrimrosefordError as error:
        response = _create_error_response(state, error)
    except web.HTTPRequestEntityTooLarge:
        response = _create_error_response(
            state,
            PrimrosefordError(
                ResultCode.BODY_TOO_LARGE,
                f"the body is larger than {MAX_BODY_BYTES} bytes",
                field="body",
            ),
        )
        # The rest of the body is not read, so the connection cannot be reused.
        response.force_close()
    if state.draining and not response.prepared:
        response.force_close()
    return response


def _create_error_response(
    state: OnlineState, error: PrimrosefordError
) -> web.Response:
    state.refusals.labels(error.code.name.lower()).inc()
    return error_response(error)


def _models_handler(state: OnlineState):
    async def list_models(request: web.Request) -> web.Response:
        state.gate()
        tables = state.store.current()
        identity = authenticate(tables, read_key(request))
        names = {
            model
            for route in tables.routes.values()
            if may_use_route(route, identity.organisation)
            for model in route.match.models
        }
        data = [
            {"id": n, "object": "model", "created": 0, "owned_by": "primroseford"}
            for n in sorted(names)
        ]
        return web.json_response({"object": "list", "data": data})

    return list_models
