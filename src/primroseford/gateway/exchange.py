"""HTTP exchange of one attempt with a runner."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from primroseford.bounded_http import ResponseTooLong
from primroseford.bounded_http import iterate_limited
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.runner_connector import RunnerConnector
from primroseford.online.exchange import CURRENT_ATTEMPT
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import SendTrackingRequest
from primroseford.platform.runner_calls import decode_load
from primroseford.platform.runner_calls import decode_notice
from primroseford.platform.runner_calls import did_not_run
from primroseford.platform.runner_calls import matches_request_id
from primroseford.platform.runner_calls import names_other_runner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

    from multidict import CIMultiDict

    from primroseford.gateway.notices import ReportedLoad
    from primroseford.gateway.notices import RunnerNotice
    from primroseford.gateway.runners import RunnerEntry

CONNECTION_SECONDS = 0.3
"""Timeout for opening a connection by any way; each way has shorter ones."""
READ_BUFFER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Longest response body of a runner. It equals the largest request body that a host
accepts, and is several times the events of the largest prompts and outputs of the
workloads."""
MAX_EVENT_BYTES = 128 * 1024
"""Longest event of a stream; an event carries some hundred tokens at most. Twenty
streams that each buffer such an event use an eighth of the memory limit for them."""
EXCHANGE_ERRORS = (aiohttp.ClientError, OSError, ValueError)
INTERRUPTED_CODES = frozenset({ResultCode.RUNNER_FAILED, ResultCode.STREAM_TRUNCATED})
"""Codes of exchanges that broke off after the request was sent."""


ERROR_DESCRIPTIONS = (
    (TimeoutError, "timed out"),
    (aiohttp.ServerDisconnectedError, "the runner closed the connection"),
    (aiohttp.ClientPayloadError, "the body is incomplete or malformed"),
    (aiohttp.ClientResponseError, "the response head is malformed or too long"),
    (aiohttp.ClientError, "the connection was lost"),
    (OSError, "the connection was lost"),
    (ValueError, "the response is malformed"),
)
"""Descriptions of the HTTP library's errors; the first matching type is used."""


class RunnerReplaced(PrimrosefordError):
    """The address belongs to another runner now; the request did not run."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.POOL_UNAVAILABLE, "the address belongs to another runner now"
        )


class RunnerRestarted(PrimrosefordError):
    """The runner has started again; nothing was sent to the new instance."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.POOL_UNAVAILABLE, "the runner has started again unregistered"
        )


class RunnerUnchecked(PrimrosefordError):
    """A cold runner gets no more checks of its start now; nothing was sent to it."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.POOL_UNAVAILABLE, "the cold runner cannot be asked for its start"
        )


def is_full(error: PrimrosefordError) -> bool:
    """Return whether a runner has refused a request for lack of room."""
    return error.code is ResultCode.POOL_UNAVAILABLE and not isinstance(
        error, RunnerReplaced | RunnerRestarted
    )


def is_interruption(error: PrimrosefordError) -> bool:
    """Return whether an exchange broke off in a way in which a process may have ended.

    An invalid request or response is no sign of that.
    """
    return error.code in INTERRUPTED_CODES and not isinstance(
        error.__cause__, ValueError
    )


@dataclass(frozen=True)
class RunnerRequest:
    """A request as it is sent to one runner.

    :param target: path and query
    """

    method: str
    target: str
    headers: CIMultiDict[str]
    body: bytes
    request_id: str


class AttemptStage(Enum):
    """How far a runner had got with an attempt."""

    UNSENT = "unsent"
    SENT = "sent"
    STARTED = "started"
    STREAMING = "streaming"


@dataclass
class RunnerAttempt(Attempt):
    """An attempt whose progress at the runner is tracked.

    :ivar head_received: whether the runner accepted the request and sent the head of
        its response
    :ivar event_received: whether a complete event or a complete body was received
    """

    head_received: bool = False
    event_received: bool = False

    @property
    def stage(self) -> AttemptStage:
        """Stage that the attempt has reached."""
        if self.event_received:
            return AttemptStage.STREAMING
        if self.head_received:
            return AttemptStage.STARTED
        return AttemptStage.SENT if self.sent else AttemptStage.UNSENT


class InactivityTimeout:
    """Cancels an exchange when the runner is inactive for too long, or at the deadline.

    :param deadline: event loop time in seconds
    :param limit: longest inactivity in seconds; None for no limit but the deadline
    """

    def __init__(self, deadline: float, limit: float | None) -> None:
        self.deadline = deadline
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout_at(self._expires_at())

    def _expires_at(self) -> float:
        if self.limit is None:
            return self.deadline
        return min(self.deadline, self.loop.time() + self.limit)

    def reset(self) -> None:
        """Restart the inactivity timeout after a sign of life."""
        if self.limit is not None:
            self.timeout.reschedule(self._expires_at())

    def shorten(self, seconds: float) -> None:
        """Set an earlier deadline.

        :param seconds: time by which the deadline is earlier
        """
        self.deadline -= seconds
        when = self.timeout.when()
        if when is not None and when > self.deadline:
            self.timeout.reschedule(max(self.deadline, self.loop.time()))

    @property
    def at_deadline(self) -> bool:
        """Whether the deadline has passed."""
        return self.loop.time() >= self.deadline - 0.001


def create_fleet_session() -> aiohttp.ClientSession:
    """Return the HTTP session for runners.

    Connections are not reused. A request that must not be repeated would be lost if it
    were sent on a pooled connection that the runner has closed, that no longer delivers
    packets, or on which the response to another request is still outstanding.
    """
    session = aiohttp.ClientSession(
        connector=RunnerConnector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Content-Type", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(
            total=None, connect=CONNECTION_SECONDS, sock_read=None
        ),
        request_class=SendTrackingRequest,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # Disables aiohttp's own retry of idempotent methods.
    session._retry_connection = False
    return session


async def send_to_runner(
    session: aiohttp.ClientSession,
    entry: RunnerEntry,
    call: RunnerRequest,
    attempt: RunnerAttempt,
    on_notice: Callable[[RunnerNotice], None],
    on_load: Callable[[ReportedLoad], None],
) -> aiohttp.ClientResponse:
    """Send a request and return the runner's response after checking its head.

    :param attempt: records how far the attempt gets
    :param on_notice: called with what the runner says about itself in its response
    :param on_load: called with the load that it reports there, if it does
    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED, ANSWER_MISMATCHED,
        or POOL_UNAVAILABLE if the runner reports that it did not run the request
    """
    CURRENT_ATTEMPT.set(attempt)
    try:
        response = await session.request(
            call.method,
            URL(f"http://{entry.address}{call.target}", encoded=True),
            data=call.body or None,
            headers=call.headers,
            allow_redirects=False,
        )
    except (*EXCHANGE_ERRORS, TimeoutError) as error:
        if attempt.sent:
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED, f"no response: {describe_error(error)}"
            ) from error
        raise PrimrosefordError(
            ResultCode.RUNNER_UNREACHABLE, f"no connection: {describe_error(error)}"
        ) from error
    if not matches_request_id(response, call.request_id):
        response.close()
        raise may_have_run_error(
            ResultCode.ANSWER_MISMATCHED,
            "the response carries the id of another request",
        )
    if did_not_run(response):
        response.close()
        if names_other_runner(response, entry.key.name):
            raise RunnerReplaced()
        on_notice(decode_notice(response))
        _pass_load(response, on_load)
        raise PrimrosefordError(
            ResultCode.POOL_UNAVAILABLE,
            f"the runner refused the request with status {response.status}",
        )
    attempt.head_received = True
    on_notice(decode_notice(response))
    _pass_load(response, on_load)
    return response


def _pass_load(
    response: aiohttp.ClientResponse, on_load: Callable[[ReportedLoad], None]
) -> None:
    load = decode_load(response)
    if load is not None:
        on_load(load)


async def read_bounded(
    response: aiohttp.ClientResponse, limit: int = MAX_ANSWER_BYTES
) -> AsyncIterator[bytes]:
    """Yield the chunks of a response body as they are received.

    :param limit: maximum length of the body in bytes
    :raises PrimrosefordError: RUNNER_FAILED if the body is longer
    """
    try:
        async for chunk in iterate_limited(response, limit):
            yield chunk
    except ResponseTooLong as error:
        raise may_have_run_error(ResultCode.RUNNER_FAILED, str(error)) from error


def describe_error(error: BaseException) -> str:
    """Return a description of an error that contains no bytes sent by the runner."""
    if isinstance(error, OSError) and error.errno in errno.errorcode:
        return errno.errorcode[error.errno]
    return next(
        description
        for kind, description in ERROR_DESCRIPTIONS
        if isinstance(error, kind)
    )


def may_have_run_error(code: ResultCode, message: str) -> PrimrosefordError:
    """Return the error of a request that may have run."""
    return PrimrosefordError(code, message, outcome=Outcome.MAY_HAVE_RUN)
