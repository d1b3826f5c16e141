"""One HTTP exchange with a runner, with a truthful outcome.

Online requests and batch items both use it.
"""

from __future__ import annotations

import asyncio
from contextvars import ContextVar
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from aiohttp.connector import Connection

REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
CONNECT_TIMEOUT_SECONDS = 2.0
KEEPALIVE_SECONDS = 4.0
"""Shorter than the 5 s after which common Python servers close an idle connection,
so that a request is seldom sent into a connection that is being closed."""
READ_BUFFER_BYTES = 256 * 1024
BODILESS_STATUSES = frozenset({204, 304})


@dataclass
class Attempt:
    """Whether any byte of a request was handed to a connection."""

    sent: bool = False


@dataclass(frozen=True)
class RunnerRequest:
    """A request as it is sent to a runner.

    :param url: absolute URL, already encoded
    :param headers: headers without hop-by-hop headers and credentials
    :param request_id: unique for each attempt
    :param timeout: seconds left for the whole exchange
    :param requires_echo: a successful answer must carry the request id
    :param not_run_statuses: statuses by which the runner says it did not run
    :param max_response_bytes: a longer answer is given up; no bound if nothing
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes | None
    request_id: str
    timeout: float
    requires_echo: bool = False
    not_run_statuses: Collection[int] = ()
    max_response_bytes: int | None = None


@dataclass(frozen=True)
class Reply:
    """A runner's whole answer.

    :param outcome: ``NOT_RUN`` only for a status that the pool declares
    :param retry_after: seconds that the runner asks to wait, if any
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    outcome: Outcome
    retry_after: float | None


CURRENT_ATTEMPT: ContextVar[Attempt | None] = ContextVar("attempt", default=None)


class SendTrackingRequest(aiohttp.ClientRequest):
    """Marks the attempt directly before the first byte is written.

    aiohttp's tracing hooks show the same, at a higher cost for each request.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        attempt = CURRENT_ATTEMPT.get()
        if attempt is not None:
            attempt.sent = True
        return await super().send(conn)


def create_runner_session() -> aiohttp.ClientSession:
    """Return the HTTP session for exchanges with runners.

    It keeps no cookies, since they belong to callers, and never repeats a request by
    itself.
    """
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Content-Type", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=None
        ),
        request_class=SendTrackingRequest,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # aiohttp sends GET, PUT and DELETE again when a kept connection was closed, even
    # after bytes were sent; a request that may not be repeated would run twice.
    session._retry_connection = False
    return session


def failure(
    code: ResultCode, message: str, attempt: Attempt, retry_after: float | None = None
) -> PrimrosefordError:
    """Return an error whose outcome says whether bytes were sent."""
    outcome = Outcome.MAY_HAVE_RUN if attempt.sent else Outcome.NOT_RUN
    return PrimrosefordError(code, message, outcome=outcome, retry_after=retry_after)


async def open_exchange(
    session: aiohttp.ClientSession, call: RunnerRequest, attempt: Attempt
) -> aiohttp.ClientResponse:
    """Send a request and return the answer once its headers were checked.

    The caller closes the answer; if the exchange fails here, the connection is closed.

    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED or ANSWER_MISMATCHED
    """
    headers = {**call.headers, REQUEST_ID_HEADER: call.request_id}
    headers[TIMEOUT_HEADER] = str(max(1, int(call.timeout * 1000)))
    CURRENT_ATTEMPT.set(attempt)
    try:
        answer = await session.request(
            call.method,
            URL(call.url, encoded=True),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
        )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        code = (
            ResultCode.RUNNER_FAILED if attempt.sent else ResultCode.RUNNER_UNREACHABLE
        )
        raise failure(code, "the runner did not answer", attempt) from error
    echoed = answer.headers.get(REQUEST_ID_HEADER)
    missing = echoed is None and call.requires_echo and answer.status == 200
    if missing or (echoed is not None and echoed != call.request_id):
        answer.close()
        raise failure(
            ResultCode.ANSWER_MISMATCHED,
            "the runner answered with another request id",
            attempt,
        )
    return answer


def has_verifiable_length(answer: aiohttp.ClientResponse) -> bool:
    """Return whether a cut would show: the answer has a length or is chunked."""
    if answer.status in BODILESS_STATUSES or answer.method == "HEAD":
        return True
    return (
        "Content-Length" in answer.headers
        or "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
    )


def retry_after_of(answer: aiohttp.ClientResponse) -> float | None:
    """Return the seconds in ``Retry-After``; the date form is not used."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "")))
    except ValueError:
        return None


async def send_and_read(
    session: aiohttp.ClientSession, call: RunnerRequest, attempt: Attempt | None = None
) -> Reply:
    """Send a request and return the whole answer.

    On failure, timeout and cancellation the connection is closed and not used again.

    :param session: from :func:`create_runner_session`
    :param attempt: tells a caller that cancels whether bytes were sent
    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED, RUNNER_TIMEOUT,
        ANSWER_MISMATCHED or RESULT_TOO_LARGE, with a truthful outcome
    """
    attempt = attempt or Attempt()
    try:
        async with asyncio.timeout(call.timeout):
            answer = await open_exchange(session, call, attempt)
            try:
                body = await _read_whole(answer, attempt, call.max_response_bytes)
            except BaseException:
                answer.close()
                raise
            answer.release()
    except TimeoutError as error:
        raise failure(
            ResultCode.RUNNER_TIMEOUT, "the runner did not answer in time", attempt
        ) from error
    not_run = answer.status in call.not_run_statuses
    outcome = Outcome.NOT_RUN if not_run else Outcome.RAN
    retry_after = retry_after_of(answer)
    return Reply(answer.status, answer.headers, body, outcome, retry_after)


async def _read_whole(
    answer: aiohttp.ClientResponse, attempt: Attempt, limit: int | None
) -> bytes:
    if not has_verifiable_length(answer):
        raise failure(
            ResultCode.RUNNER_FAILED, "the runner's answer has no length", attempt
        )
    try:
        if limit is None:
            return await answer.read()
        return await _read_bounded(answer, limit)
    except (aiohttp.ClientError, OSError) as error:
        raise failure(
            ResultCode.RUNNER_FAILED, "the runner's answer was cut", attempt
        ) from error


async def _read_bounded(answer: aiohttp.ClientResponse, limit: int) -> bytes:
    body = bytearray()
    async for block in answer.content.iter_any():
        body += block
        if len(body) > limit:
            raise PrimrosefordError(
                ResultCode.RESULT_TOO_LARGE,
                f"the runner's answer is longer than {limit} bytes",
                outcome=Outcome.RAN,
            )
    return bytes(body)
