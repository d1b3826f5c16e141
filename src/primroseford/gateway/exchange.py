"""One attempt of a request at a runner."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.runner_connection import RunnerConnector
from primroseford.online.exchange import CURRENT_ATTEMPT
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import SendTrackingRequest
from primroseford.platform.runner_calls import did_not_run
from primroseford.platform.runner_calls import matches_request_id
from primroseford.platform.runner_calls import names_other_runner

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from multidict import CIMultiDict

    from primroseford.gateway.runners import RunnerEntry

CONNECT_SECONDS = 0.15
"""Time for a connection, which takes about 4 ms: a lost opening packet or a runner
without power costs this once."""
READ_BUFFER_BYTES = 64 * 1024
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Longest answer of a runner: the largest body that a host takes from a caller, and
several times the events of the largest prompts and outputs of the workloads."""
MAX_EVENT_BYTES = 128 * 1024
"""Longest event of a stream: some hundred tokens at most are in one. Twenty of them
at once take an eighth of the memory that such answers may cost a host."""
EXCHANGE_ERRORS = (aiohttp.ClientError, OSError, ValueError)


FAILURE_WORDS = (
    (TimeoutError, "timed out"),
    (aiohttp.ServerDisconnectedError, "the runner closed the connection"),
    (aiohttp.ClientPayloadError, "the body broke off or is malformed"),
    (aiohttp.ClientResponseError, "the head is malformed or too long"),
    (aiohttp.ClientError, "the connection broke"),
    (OSError, "the connection broke"),
    (ValueError, "the answer is malformed"),
)
"""What errors of the HTTP library mean; the first that fits counts."""


class RunnerReplaced(PrimrosefordError):
    """Another runner has the address; the request did not run."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.POOL_UNAVAILABLE, "another runner has the address now"
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


class InactivityTimeout:
    """Ends an exchange when the runner gives no sign of life, or at the deadline.

    :param deadline: time of the event loop in seconds
    :param limit: longest silence in seconds; nothing to wait until the deadline
    """

    def __init__(self, deadline: float, limit: float | None) -> None:
        self.deadline = deadline
        self.limit = limit
        self.loop = asyncio.get_running_loop()
        self.timeout = asyncio.timeout_at(self._next())

    def _next(self) -> float:
        if self.limit is None:
            return self.deadline
        return min(self.deadline, self.loop.time() + self.limit)

    def reset(self) -> None:
        """Start the silence anew."""
        if self.limit is not None:
            self.timeout.reschedule(self._next())

    @property
    def at_deadline(self) -> bool:
        """Whether the whole time is over."""
        return self.loop.time() >= self.deadline - 0.001


def create_fleet_session() -> aiohttp.ClientSession:
    """Return the HTTP session for runners.

    Each exchange has a connection of its own. A request that may not be repeated is
    lost if it is sent into a kept connection that a runner has closed, that went
    silent, or on which the answer to another request is still to come.
    """
    session = aiohttp.ClientSession(
        connector=RunnerConnector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Content-Type", "Accept", "Accept-Encoding"),
        timeout=aiohttp.ClientTimeout(
            total=None, connect=CONNECT_SECONDS, sock_read=None
        ),
        request_class=SendTrackingRequest,
        read_bufsize=READ_BUFFER_BYTES,
    )
    # aiohttp would send some methods again by itself.
    session._retry_connection = False
    return session


async def send_to_runner(
    session: aiohttp.ClientSession,
    entry: RunnerEntry,
    call: RunnerRequest,
    attempt: Attempt,
) -> aiohttp.ClientResponse:
    """Send a request and return the runner's answer after checking its head.

    :param attempt: tells whether bytes were sent
    :raises PrimrosefordError: RUNNER_UNREACHABLE, RUNNER_FAILED, ANSWER_MISMATCHED,
        or POOL_UNAVAILABLE if the runner says that it did not run the request
    """
    CURRENT_ATTEMPT.set(attempt)
    try:
        answer = await session.request(
            call.method,
            URL(f"http://{entry.address}{call.target}", encoded=True),
            data=call.body or None,
            headers=call.headers,
            allow_redirects=False,
        )
    except (*EXCHANGE_ERRORS, TimeoutError) as error:
        if attempt.sent:
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED, f"no answer: {describe_error(error)}"
            ) from error
        raise PrimrosefordError(
            ResultCode.RUNNER_UNREACHABLE, f"no connection: {describe_error(error)}"
        ) from error
    if not matches_request_id(answer, call.request_id):
        answer.close()
        raise may_have_run_error(
            ResultCode.ANSWER_MISMATCHED, "the answer has another request's id"
        )
    if did_not_run(answer):
        answer.close()
        if names_other_runner(answer, entry.key.name):
            raise RunnerReplaced()
        raise PrimrosefordError(
            ResultCode.POOL_UNAVAILABLE,
            f"the runner refused the request with status {answer.status}",
        )
    return answer


async def read_bounded(
    answer: aiohttp.ClientResponse, limit: int = MAX_ANSWER_BYTES
) -> AsyncIterator[bytes]:
    """Yield the body of an answer as it comes.

    :param limit: bytes after which the answer is given up
    :raises PrimrosefordError: RUNNER_FAILED if it is longer
    """
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED, f"the answer is longer than {limit} bytes"
            )
        yield chunk


def describe_error(error: BaseException) -> str:
    """Return what an error means, without anything that a runner has sent."""
    if isinstance(error, OSError) and error.errno in errno.errorcode:
        return errno.errorcode[error.errno]
    return next(words for kind, words in FAILURE_WORDS if isinstance(error, kind))


def may_have_run_error(code: ResultCode, message: str) -> PrimrosefordError:
    """Return the error of a request that may have run."""
    return PrimrosefordError(code, message, outcome=Outcome.MAY_HAVE_RUN)
