"""Single HTTP calls to the platform's service: bounds, counters and errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.limiter import Priority

if TYPE_CHECKING:
    from primroseford.metrics import Metrics
    from primroseford.platform.limiter import CallLimiter

PREFIX = "/objects"
CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 0.6
"""Time beyond the wait of a watch after which its connection counts as dead."""
KEEPALIVE_SECONDS = 10.0
MAX_VALUE_BYTES = 1_000_000
"""Largest object that the service takes."""
MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Bound on one answer; a page of a list has about one megabyte."""
READ_BYTES = 256 * 1024

STATUS_CODES = {
    404: ResultCode.NOT_FOUND,
    409: ResultCode.VERSION_CONFLICT,
    410: ResultCode.WATCH_EXPIRED,
    413: ResultCode.BODY_TOO_LARGE,
    429: ResultCode.CALLS_LIMITED,
}
READ_VERBS = frozenset({"GET", "LIST", "WATCH"})


@dataclass(frozen=True)
class Call:
    """One call to the service.

    :param verb: ``GET``, ``LIST``, ``WATCH``, ``POST``, ``PUT`` or ``DELETE``
    :param path: path below the API's prefix
    :param purpose: mechanism that the call is made for, as counted
    :param priority: priority in the host's call limit
    :param body: encoded object of a write
    :param params: query parameters
    :param timeout: seconds for the whole call, if not the usual ones
    """

    verb: str
    path: str
    purpose: str
    priority: Priority = Priority.READ
    body: bytes | None = None
    params: dict[str, str] = field(default_factory=dict)
    timeout: float | None = None


class Transport:
    """Sends calls and maps answers to result codes.

    :param base_url: address of the service
    :param session: HTTP session, owned by the caller
    :param limiter: the host's call limit
    :param metrics: where calls are counted
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        limiter: CallLimiter,
        metrics: Metrics,
    ) -> None:
        self.base_url = base_url.rstrip("/") + PREFIX
        self.session = session
        self.limiter = limiter
        self.calls = metrics.counter(
            "platform_calls",
            "Calls to the platform's service.",
            ("purpose", "verb"),
        )
        self.failures = metrics.counter(
            "platform_call_failures",
            "Calls to the platform's service that failed, by result code.",
            ("purpose", "code"),
        )

    async def call(self, call: Call) -> dict[str, Any]:
        """Make one call and return the decoded answer.

        :raises PrimrosefordError: with an outcome that says whether a write may
            have taken effect
        """
        if call.body is not None and len(call.body) > MAX_VALUE_BYTES:
            raise self._failed(call, _too_large(call, len(call.body)))
        await self._admit(call)
        timeout = aiohttp.ClientTimeout(
            total=call.timeout or CALL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._request(call, timeout) as response:
                content = await _read_bounded(response)
                if response.status >= 400:
                    raise self._failed(call, _status_error(response.status, call))
                return json.loads(content)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise self._failed(call, _unavailable(call, error)) from error

    async def _admit(self, call: Call) -> None:
        try:
            await self.limiter.acquire(call.priority)
        except PrimrosefordError as error:
            raise self._failed(call, error) from None
        self.calls.labels(call.purpose, call.verb).inc()

    def _request(self, call: Call, timeout: aiohttp.ClientTimeout):
        method = "GET" if call.verb in READ_VERBS else call.verb
        return self.session.request(
            method,
            f"{self.base_url}/{call.path}",
            data=call.body,
            params=call.params,
            timeout=timeout,
            headers={"Content-Type": "application/json"} if call.body else {},
            read_bufsize=READ_BYTES,
            middlewares=() if call.verb in READ_VERBS else (_send_once,),
        )

    def _failed(self, call: Call, error: PrimrosefordError) -> PrimrosefordError:
        self.failures.labels(call.purpose, error.code.name).inc()
        return error


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a write again when a reused connection breaks.

    The first send may have taken effect. The second would be refused because of
    it, and the refusal would be taken for another writer's.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError("the connection broke") from error


async def _read_bounded(response: aiohttp.ClientResponse) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise ValueError("answer is too large")
        parts.append(part)
    return b"".join(parts)


def _too_large(call: Call, size: int) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.BODY_TOO_LARGE,
        f"the object for {call.path} has {size} bytes; "
        f"the platform's service takes {MAX_VALUE_BYTES}",
        hint="split the content over several objects",
    )


def _status_error(status: int, call: Call) -> PrimrosefordError:
    code = STATUS_CODES.get(status, ResultCode.PLATFORM_UNAVAILABLE)
    if 400 <= status < 500 and status not in STATUS_CODES:
        code = ResultCode.MALFORMED
    # The service promises that a 503 did nothing; other 5xx promise nothing.
    unknown = status >= 500 and status != 503 and call.verb not in READ_VERBS
    return PrimrosefordError(
        code,
        f"the platform's service answered {status} for {call.path}",
        outcome=Outcome.MAY_HAVE_RUN if unknown else Outcome.NOT_RUN,
        retry_after=1.0 if status == 429 or status >= 500 else None,
    )


def _unavailable(call: Call, error: Exception) -> PrimrosefordError:
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    not_run = unsent or call.verb in READ_VERBS
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        f"the platform's service did not answer for {call.path}",
        outcome=Outcome.NOT_RUN if not_run else Outcome.MAY_HAVE_RUN,
        retry_after=1.0,
    )
