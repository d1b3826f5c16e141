"""Single HTTP calls to the platform's service: bounds, counters and errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import aiohttp
from yarl import URL

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
KEPT_SECONDS = 0.5
"""Time for which an idle connection is used again. Connections may go silent, all at
once; what shows it, a watch without an answer or a peer's newer version, takes longer,
so that the calls that follow use new ones."""
RELAY_TIMEOUT_SECONDS = 31.0
"""Time for a call that is made for another host: longer than its watches wait, so that
the other host's own time decides."""
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
AWAY_STATUSES = frozenset({429, 500, 502, 503, 504})
"""Answers of a store that turns this host away or does not work."""
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


class Path(Protocol):
    """A choice between ways to the service."""

    def base_url(self) -> str:
        """Return the base URL for the next call."""

    def report(self, base_url: str, good: bool) -> None:
        """Take whether the service answered a call."""


class Transport:
    """Sends calls and maps answers to result codes.

    :param base_url: address of the service
    :param session: HTTP session, owned by the caller
    :param limiter: the host's call limit
    :param metrics: where calls are counted
    :ivar path: chooses the base URL of each call, if there is a choice
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        limiter: CallLimiter,
        metrics: Metrics,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.path: Path | None = None
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
        base_url = self.path.base_url() if self.path else self.base_url
        timeout = aiohttp.ClientTimeout(
            total=call.timeout or CALL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._request(base_url, call, timeout) as response:
                content = await _read_bounded(response)
                self._report(base_url, response.status not in AWAY_STATUSES)
                if response.status >= 400:
                    raise self._failed(call, _status_error(response.status, call))
                return json.loads(content)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._report(base_url, False)
            raise self._failed(call, _unavailable(call, error)) from error

    def _report(self, base_url: str, good: bool) -> None:
        if self.path is not None:
            self.path.report(base_url, good)

    async def _admit(self, call: Call) -> None:
        try:
            await self.limiter.acquire(call.priority)
        except PrimrosefordError as error:
            raise self._failed(call, error) from None
        self.calls.labels(call.purpose, call.verb).inc()

    def _request(self, base_url: str, call: Call, timeout: aiohttp.ClientTimeout):
        method = "GET" if call.verb in READ_VERBS else call.verb
        return self.session.request(
            method,
            f"{base_url}{PREFIX}/{call.path}",
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


def create_session() -> aiohttp.ClientSession:
    """Return an HTTP session for calls to the service, and to other hosts."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEPT_SECONDS)
    return aiohttp.ClientSession(connector=connector)


async def probe_service(
    session: aiohttp.ClientSession, base_url: str, seconds: float
) -> bool:
    """Return whether the service answers.

    :param seconds: longest time for the answer
    """
    # A stale answer shows it as well, at a tenth of the price.
    url = f"{base_url}{PREFIX}/config/main?stale_ok=1"
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with session.get(url, timeout=timeout) as answer:
            await answer.read()
            return answer.status in (200, 404)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def relay_call(
    session: aiohttp.ClientSession, method: str, url: str, body: bytes
) -> tuple[int, bytes]:
    """Make another host's call to the service and return status and content.

    A call that was surely not made gives 503, one that may have been gives 504.
    """
    timeout = aiohttp.ClientTimeout(
        total=RELAY_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    try:
        async with session.request(
            method,
            URL(url, encoded=True),
            data=body or None,
            timeout=timeout,
            headers={"Content-Type": "application/json"} if body else {},
            middlewares=() if method == "GET" else (_send_once,),
        ) as response:
            return response.status, await _read_bounded(response)
    except aiohttp.ClientConnectorError:
        return 503, b""
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return 504, b""


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
