"""Handlers of callers' requests: routing, authorisation, jobs and readiness."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.forward import forward
from primroseford.gateway.host_memory import SMALL_BYTES
from primroseford.gateway.tables import RouteKind
from primroseford.platform.ingress import decode_request
from primroseford.platform.ingress import encode_refusal
from primroseford.platform.ingress import request_id_of
from primroseford.platform.job_calls import decode_job_call

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.gateway.host_memory import Holding
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route
    from primroseford.ids import OrganisationId
    from primroseford.jobs.api import JobApi

    Handler = Callable[[BaseRequest], Awaitable[web.StreamResponse]]

ONLINE_COPIES = 2
"""Copies of a body while it is sent to a runner: the body and the buffer of the
connection."""
BATCH_COPIES = 4
"""Copies of the body of a batch job while it is decoded and stored: the body, its JSON
as text, the items in base64, and their encoding for the store."""

log = structlog.get_logger()


def create_ingress_handler(gateway: Gateway, jobs: JobApi) -> Handler:
    """Return the handler of all callers' requests."""

    async def handle(request: BaseRequest) -> web.StreamResponse:
        started = gateway.clock()
        request_id = request_id_of(request)
        if request.transport is None:
            # The connection was closed after the request had been read. The request
            # must not run, since its result could not be delivered; neither can this
            # response.
            log.info(
                "request dropped", request_id=request_id, reason="connection closed"
            )
            return web.Response(status=503)
        gateway.busy_connections.add(request.protocol)
        holding = gateway.bodies.hold()
        try:
            incoming = decode_request(request)
            await _read_body(gateway, request, incoming, holding)
            return await _serve(gateway, jobs, request, incoming, holding, started)
        except PrimrosefordError as caught:
            error = caught
        except asyncio.CancelledError:
            raise
        except Exception:
            log.exception("request failed", request_id=request_id)
            error = PrimrosefordError(ResultCode.INTERNAL, "internal error")
        finally:
            gateway.busy_connections.discard(request.protocol)
            gateway.bodies.release(holding)
        response = _refuse(gateway, error, request_id, started)
        # Its traceback refers to this frame, which would keep the body until the next
        # garbage collection.
        del error
        if _is_large(request):
            # The rest of the body is not worth the connection.
            response.force_close()
        return response

    return handle


def _refuse(
    gateway: Gateway, error: PrimrosefordError, request_id: str, started: float
) -> web.Response:
    gateway.metrics.refusals.labels(error.code.name.lower()).inc()
    log.info(
        "request refused",
        request_id=request_id,
        code=error.code.name,
        status=error.http_status,
        outcome=error.outcome.value,
        reason=error.message,
        retry_after=error.retry_after,
        after_ms=round((gateway.clock() - started) * 1000),
        tables=gateway.tables.version if gateway.tables else None,
        confirmed_ms_ago=_confirmation_age_ms(gateway),
    )
    response = encode_refusal(error, request_id)
    if gateway.stopping:
        response.force_close()
    return response


def _confirmation_age_ms(gateway: Gateway) -> int | None:
    # ``confirmed_at`` is -inf until the platform has confirmed the tables once.
    age = gateway.clock() - gateway.confirmed_at
    return round(age * 1000) if age < 1e9 else None


def _is_large(request: BaseRequest) -> bool:
    """Return whether an incomplete body may be larger than a small one."""
    declared = request.content_length
    return not request.content.is_eof() and (declared is None or declared > SMALL_BYTES)


async def _read_body(
    gateway: Gateway, request: BaseRequest, incoming: IncomingRequest, holding: Holding
) -> None:
    """Read the body of a request that its head allows.

    :raises PrimrosefordError: what the head is refused with, BODY_TOO_LARGE or
        HOST_MEMORY_SHORT
    """
    limit = gateway.current_tables().limits.max_body_bytes
    if not request.content.is_eof():
        if (request.content_length or 0) > limit:
            raise PrimrosefordError(ResultCode.BODY_TOO_LARGE, "the body is too large")
        if decode_job_call(incoming) is not None:
            _authenticate(gateway, incoming)
        else:
            _find_route(gateway, incoming)
    incoming.body = await gateway.bodies.read(request, holding, limit)


def _find_route(
    gateway: Gateway, incoming: IncomingRequest
) -> tuple[Route, Organisation | None]:
    """Return the route of a request and the organisation of its key.

    :raises PrimrosefordError: ROUTE_NOT_FOUND, KEY_MISSING or KEY_UNKNOWN
    """
    tables = gateway.current_tables()
    route = tables.match(incoming.host, incoming.path)
    if route is None:
        raise gateway.refusal_if_current(
            PrimrosefordError(ResultCode.ROUTE_NOT_FOUND, "no route matches")
        )
    try:
        return route, tables.authorise(route, incoming.key)
    except PrimrosefordError as error:
        raise gateway.refusal_if_current(error) from None


async def _serve(
    gateway: Gateway,
    jobs: JobApi,
    request: BaseRequest,
    incoming: IncomingRequest,
    holding: Holding,
    started: float,
) -> web.StreamResponse:
    # The tables may have changed while the body arrived.
    call = decode_job_call(incoming)
    if call is not None:
        return await _close_when_stopping(
            gateway, jobs.handle_call(call, _authenticate(gateway, incoming))
        )
    route, organisation = _find_route(gateway, incoming)
    size = len(incoming.body)
    if size > SMALL_BYTES:
        copies = BATCH_COPIES if route.kind is RouteKind.BATCH else ONLINE_COPIES
        gateway.bodies.charge(holding, copies * size)
    if route.kind is RouteKind.BATCH:
        return await _close_when_stopping(
            gateway, jobs.submit(incoming, route, organisation)
        )
    return await forward(gateway, request, incoming, route, organisation, started)


async def _close_when_stopping(
    gateway: Gateway, pending_response: Awaitable[web.StreamResponse]
) -> web.StreamResponse:
    response = await pending_response
    if gateway.stopping:
        response.force_close()
    return response


def _authenticate(gateway: Gateway, incoming: IncomingRequest) -> OrganisationId | None:
    """Return the organisation of the API key of a request about a job."""
    tables = gateway.current_tables()
    if tables.keys is None:
        return None
    name = tables.keys.get(incoming.key or "")
    if name is None:
        raise gateway.refusal_if_current(
            PrimrosefordError(ResultCode.KEY_UNKNOWN, "the key is not known")
        )
    return name


def create_readiness_handler(gateway: Gateway) -> Handler:
    """Return the handler of the load balancer's readiness check."""

    async def handle(request: BaseRequest) -> web.Response:
        if gateway.ready:
            return web.Response()
        return web.Response(status=503)

    return handle
