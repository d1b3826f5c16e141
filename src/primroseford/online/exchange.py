"""HTTP exchange with a runner that reports whether the request may have run.

Online requests and batch items both use it.
"""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING
from weakref import WeakSet

import aiohttp
from yarl import URL

from primroseford.bounded_http import BoundedConnector
from primroseford.bounded_http import ResponseTooLong
from primroseford.bounded_http import read_limited
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
CONNECT_TIMEOUT_SECONDS = 2.0
KEEPALIVE_SECONDS = 4.0
"""Shorter than the 5 s after which common Python servers close an idle connection, so
that requests are seldom sent on a connection that the server is closing."""
READ_BUFFER_BYTES = 64 * 1024
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Longest response body of a runner: about the embeddings of the largest usual
request."""
BODILESS_STATUSES = frozenset({204, 304})


@dataclass
class Attempt:
    """Attempt to send a request to a runner.

    :ivar sent: whether bytes of the request may have been written to a connection
    :ivar connection: connection on which the request was sent
    """

    sent: bool = False
    connection: ResponseHandler | None = None


@dataclass(frozen=True)
class RunnerRequest:
    """A request as it is sent to a runner.

    :param url: absolute URL, already encoded
    :param headers: headers without hop-by-hop headers and credentials
    :param request_id: unique for each attempt
    :param timeout: seconds left for the whole exchange
    :param requires_echo: whether a response with status 200 must return the request id
    :param not_run_statuses: statuses that mean that the request did not run
    :param max_response_bytes: size limit of the response body
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes | None
    request_id: str
    timeout: float
    requires_echo: bool = False
    not_run_statuses: Collection[int] = ()
    max_response_bytes: int = MAX_RESPONSE_BYTES


@dataclass(frozen=True)
class RunnerResponse:
    """Complete response of a runner.

    :param outcome: ``NOT_RUN`` only for a status in ``not_run_statuses``
    :param retry_after: seconds in the ``Retry-After`` header, if any
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: Outcome
    retry_after: float | None


REFUSING_CONNECTIONS: WeakSet[ResponseHandler] = WeakSet()
"""Connections on which a runner sent a refusal without a request id. They are closed,
but the next request may have been sent on one before that."""

CURRENT_ATTEMPT: ContextVar[Attempt | None] = ContextVar("attempt", default=None)


class SendTrackingRequest(aiohttp.ClientRequest):
    """Marks the attempt as sent directly before the first byte is written.

    aiohttp's tracing hooks give the same information at a higher cost per request.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        attempt = CURRENT_ATTEMPT.get()
        if attempt is not None:
            attempt.sent = True
            attempt.connection = conn.protocol
        return await super().send(conn)


def create_runner_session() -> aiohttp.ClientSession:
    """Return the HTTP session for exchanges with runners.

    It stores no cookies, since they belong to callers, and never retries a request by
    itself.
    """
    session = aiohttp.ClientSession(
        connector=BoundedConnector(KEEPALIVE_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Content-Type", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None
        ),
        request_class=SendTrackingRequest,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # aiohttp retries GET, PUT and DELETE if a reused connection was closed, even after
    # bytes were sent; a non-repeatable request could run twice.
    session._retry_connection = False
    return session


def create_exchange_error(
    code: ResultCode, message: str, attempt: Attempt, retry_after: float | None = None
) -> PrimrosefordError:
    """Return an error whose outcome depends on whether bytes were sent."""
    outcome = Outcome.MAY_HAVE_RUN if attempt.sent else Outcome.NOT_RUN
    return PrimrosefordError(code, message, outcome=outcome, retry_after=retry_after)


async def open_exchange(
    session: aiohttp.ClientSession, request: RunnerRequest, attempt: Attempt
) -> aiohttp.ClientResponse:
    """Send a request and return the response after checking its headers.

    The calling code closes the response; if the exchange fails here, the connection is
    closed.

    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED or ANSWER_MISMATCHED
    """
    headers = {**request.headers, REQUEST_ID_HEADER: request.request_id}
    headers[TIMEOUT_HEADER] = str(max(1, int(request.timeout * 1000)))
    CURRENT_ATTEMPT.set(attempt)
    try:
        response = await session.request(
            request.method,
            URL(request.url, encoded=True),
            data=request.body or None,
            headers=headers,
            allow_redirects=False,
        )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        code = (
            ResultCode.RUNNER_FAILED if attempt.sent else ResultCode.RUNNER_UNREACHABLE
        )
        raise create_exchange_error(
            code, "the connection to the runner failed", attempt
        ) from error
    echoed = response.headers.get(REQUEST_ID_HEADER)
    missing = echoed is None and request.requires_echo and response.status == 200
    if missing or (echoed is not None and echoed != request.request_id):
        response.close()
        raise create_exchange_error(
            ResultCode.ANSWER_MISMATCHED,
            "the runner's response has a missing or different request id",
            attempt,
        )
    if _is_anonymous_refusal(response, request):
        if attempt.connection in REFUSING_CONNECTIONS:
            response.close()
            raise create_exchange_error(
                ResultCode.ANSWER_MISMATCHED,
                "the refusal may be that of an earlier request",
                attempt,
            )
        REFUSING_CONNECTIONS.add(attempt.connection)
    return response


def _is_anonymous_refusal(
    response: aiohttp.ClientResponse, request: RunnerRequest
) -> bool:
    """Return whether a refusal carries no id of the request that it refuses."""
    return (
        response.status in request.not_run_statuses
        and REQUEST_ID_HEADER not in response.headers
    )


def end_exchange(
    response: aiohttp.ClientResponse, request: RunnerRequest, attempt: Attempt
) -> None:
    """End an exchange, and keep its connection only if it is safe to use again.

    A faulty runner may write a refusal once more. Without a request id it would count
    as the refusal of the next request on the connection, which may have run.
    """
    if _is_anonymous_refusal(response, request):
        response.close()
        # The library may have returned the connection to its pool already.
        if attempt.connection is not None:
            attempt.connection.close()
    elif response.content.at_eof():
        response.release()
    else:
        response.close()


def has_verifiable_length(response: aiohttp.ClientResponse) -> bool:
    """Return whether a truncated body can be detected by its length or chunks."""
    if response.status in BODILESS_STATUSES or response.method == "HEAD":
        return True
    return (
        "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


def retry_after_of(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds in ``Retry-After``; its date form is ignored."""
    try:
        return max(0.0, float(response.headers.get("Retry-After", "")))
    except ValueError:
        return None


async def send_and_read(
    session: aiohttp.ClientSession,
    request: RunnerRequest,
    attempt: Attempt | None = None,
) -> RunnerResponse:
    """Send a request and return the complete response.

    On failure, timeout and cancellation the connection is closed and not reused.

    :param session: from :func:`create_runner_session`
    :param attempt: shows code that cancels this call whether bytes were sent
    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED, RUNNER_TIMEOUT,
        ANSWER_MISMATCHED or RESULT_TOO_LARGE; its outcome is ``NOT_RUN`` only if the
        request certainly did not run
    """
    attempt = attempt or Attempt()
    try:
        async with asyncio.timeout(request.timeout):
            response = await open_exchange(session, request, attempt)
            try:
                body = await _read_body(response, attempt, request.max_response_bytes)
            except BaseException:
                response.close()
                raise
            end_exchange(response, request, attempt)
    except TimeoutError as error:
        raise create_exchange_error(
            ResultCode.RUNNER_TIMEOUT,
            "the runner did not respond before the timeout",
            attempt,
        ) from error
    not_run = response.status in request.not_run_statuses
    outcome = Outcome.NOT_RUN if not_run else Outcome.RAN
    retry_after = retry_after_of(response)
    return RunnerResponse(response.status, response.headers, body, outcome, retry_after)


async def _read_body(
    response: aiohttp.ClientResponse, attempt: Attempt, limit: int
) -> bytes:
    if not has_verifiable_length(response):
        raise create_exchange_error(
            ResultCode.RUNNER_FAILED, "the runner's response has no length", attempt
        )
    try:
        return await read_limited(response, limit)
    except ResponseTooLong as error:
        raise PrimrosefordError(
            ResultCode.RESULT_TOO_LARGE, str(error), outcome=Outcome.RAN
        ) from error
    except (aiohttp.ClientError, OSError) as error:
        raise create_exchange_error(
            ResultCode.RUNNER_FAILED, "the runner's response was interrupted", attempt
        ) from error
