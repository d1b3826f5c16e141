"""Requests that take up a stream which another request has begun."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.tables import RouteKind

if TYPE_CHECKING:
    from primroseford.gateway.request_context import RequestContext
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.stream_origins import StreamOrigin
    from primroseford.gateway.tables import Route
    from primroseford.ids import RequestId

GONE_RETRY_SECONDS = 1.0
"""Retry-After of a stream whose pool its route no longer has."""


def takes_up_stream(incoming: IncomingRequest, route: Route) -> bool:
    """Return whether a request takes up a stream after its last event."""
    is_resumable = route.kind is RouteKind.STREAMING and route.resumable
    return is_resumable and bool(incoming.last_event)


async def find_origin(
    gateway: Gateway, incoming: IncomingRequest, route: Route
) -> StreamOrigin | None:
    """Return the origin of the stream that a request takes up; None for a new one.

    :raises PrimrosefordError: STREAM_VERSION_UNKNOWN, or STREAM_VERSION_GONE if the
        route no longer has the pool in which the stream began
    """
    if not takes_up_stream(incoming, route):
        return None
    origin = await gateway.streams.find(incoming.began_as, route, incoming.request_id)
    if all(pool != origin.pool for pool, _ in route.pools):
        raise PrimrosefordError(
            ResultCode.STREAM_VERSION_GONE,
            f"the stream began in pool {origin.pool!r}, which its route no longer has",
            retry_after=gateway.allocator.add_jitter(GONE_RETRY_SECONDS),
        )
    return origin


def stream_id(context: RequestContext) -> RequestId:
    """Return the id of the request that begins the stream of a response."""
    incoming = context.incoming
    if takes_up_stream(incoming, context.route):
        return incoming.began_as
    return incoming.request_id


def record_origin(gateway: Gateway, context: RequestContext) -> None:
    """Let other hosts know at which version a stream begins, at its first event."""
    if context.route.kind is RouteKind.STREAMING and context.route.resumable:
        gateway.streams.begin(
            stream_id(context), context.current_origin, context.deadline
        )
