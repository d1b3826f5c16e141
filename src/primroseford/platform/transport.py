"""Single HTTP calls to the platform's service, with limits, counters and errors."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import aiohttp
from yarl import URL

from primroseford.bounded_http import BoundedConnector
from primroseford.bounded_http import read_limited
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.platform.lenient_json import decode_json
from primroseford.platform.limiter import Priority

if TYPE_CHECKING:
    from primroseford.metrics import Metrics
    from primroseford.platform.limiter import CallLimiter

PREFIX = "/objects"
CALL_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 0.6
"""Time after the wait of a watch call after which its connection counts as broken."""
KEEPALIVE_SECONDS = 0.5
"""Time for which an idle connection may be reused. All connections can stop delivering
packets at the same time. A watch without a response, or a peer with a newer version,
reveals this only after a longer time, so the calls that follow use new connections."""
RELAY_TIMEOUT_SECONDS = 31.0
"""Timeout of a call that is relayed for another host. It is longer than the wait of a
watch call, so that the other host's own timeout applies."""
MAX_VALUE_BYTES = 1_000_000
"""Largest object that the service accepts."""
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Limit on one response; a page of a list has about one megabyte."""
READ_BUFFER_BYTES = 256 * 1024

STATUS_CODES = {
    404: ResultCode.NOT_FOUND,
    409: ResultCode.VERSION_CONFLICT,
    410: ResultCode.WATCH_EXPIRED,
    413: ResultCode.BODY_TOO_LARGE,
    429: ResultCode.CALLS_LIMITED,
}
UNAVAILABLE_STATUSES = frozenset({429, 500, 502, 503, 504})
"""Statuses of a service that refuses this host's calls or has failed."""
READ_VERBS = frozenset({"GET", "LIST", "WATCH"})


@dataclass(frozen=True)
class Call:
    """One call to the service.

    :param verb: ``GET``, ``LIST``, ``WATCH``, ``POST``, ``PUT`` or ``DELETE``
    :param path: path below the API's prefix
    :param purpose: mechanism under which the call is counted
    :param priority: priority in the host's call limit
    :param body: encoded object of a write
    :param params: query parameters
    :param timeout: timeout of the whole call in seconds, if not the default
    """

    verb: str
    path: str
    purpose: str
    priority: Priority = Priority.READ
    body: bytes | None = None
    params: dict[str, str] = field(default_factory=dict)
    timeout: float | None = None


class EndpointSelector(Protocol):
    """Chooses between the direct connection to the service and relays."""

    def base_url(self) -> str:
        """Return the base URL for the next call."""

    def report(self, base_url: str, available: bool) -> None:
        """Record whether the service answered a call."""


class Transport:
    """Sends calls and maps error responses to result codes.

    :param base_url: address of the service
    :param session: HTTP session, owned by the caller
    :param limiter: the host's call limit
    :param metrics: registry of the call counters
    :ivar path: selects the base URL of each call; none if there is only one
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        limiter: CallLimiter,
        metrics: Metrics,
    ) -> None:
        self.base_url = base_url.rstrip("/")
        self.path: EndpointSelector | None = None
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
        """Make one call and return the decoded response.

        :raises PrimrosefordError: its outcome tells whether a write may have taken
            effect
        """
        if call.body is not None and len(call.body) > MAX_VALUE_BYTES:
            raise self._count_failure(call, _too_large_error(call, len(call.body)))
        await self._admit(call)
        base_url = self.path.base_url() if self.path else self.base_url
        timeout = aiohttp.ClientTimeout(
            total=call.timeout or CALL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        try:
            async with self._request(base_url, call, timeout) as response:
                content = await read_limited(response, MAX_RESPONSE_BYTES)
                self._report(base_url, response.status not in UNAVAILABLE_STATUSES)
                if response.status >= 400:
                    raise self._count_failure(
                        call, _status_error(response.status, call)
                    )
                return decode_json(content)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._report(base_url, False)
            raise self._count_failure(call, _unavailable_error(call, error)) from error

    def _report(self, base_url: str, available: bool) -> None:
        if self.path is not None:
            self.path.report(base_url, available)

    async def _admit(self, call: Call) -> None:
        try:
            await self.limiter.acquire(call.priority)
        except PrimrosefordError as error:
            raise self._count_failure(call, error) from None
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
            read_bufsize=READ_BUFFER_BYTES,
            middlewares=() if call.verb in READ_VERBS else (_send_once,),
        )

    def _count_failure(self, call: Call, error: PrimrosefordError) -> PrimrosefordError:
        self.failures.labels(call.purpose, error.code.name).inc()
        return error


def create_session() -> aiohttp.ClientSession:
    """Return an HTTP session for calls to the service, and to other hosts."""
    return aiohttp.ClientSession(connector=BoundedConnector(KEEPALIVE_SECONDS))


async def probe_service(
    session: aiohttp.ClientSession, base_url: str, seconds: float
) -> bool:
    """Return whether the service answers.

    :param seconds: timeout
    """
    # A stale response is sufficient and costs a tenth.
    url = f"{base_url}{PREFIX}/config/main?stale_ok=1"
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
        async with session.get(url, timeout=timeout) as response:
            await read_limited(response, MAX_RESPONSE_BYTES)
            return response.status in (200, 404)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


async def relay_call(
    session: aiohttp.ClientSession, method: str, url: str, body: bytes
) -> tuple[int, bytes]:
    """Relay another host's call to the service and return status and content.

    The status is 503 if the call was certainly not sent, and 504 if it may have been.
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
            return response.status, await read_limited(response, MAX_RESPONSE_BYTES)
    except aiohttp.ClientConnectorError:
        return 503, b""
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return 504, b""


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a write after a reused connection breaks.

    The first attempt may have taken effect. The second would then conflict with it, and
    the conflict would be attributed to another writer.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError("the connection was closed") from error


def _too_large_error(call: Call, size: int) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.BODY_TOO_LARGE,
        f"the object for {call.path} has {size} bytes; "
        f"the platform's service accepts at most {MAX_VALUE_BYTES}",
        hint="split the content over several objects",
    )


def _status_error(status: int, call: Call) -> PrimrosefordError:
    code = STATUS_CODES.get(status, ResultCode.PLATFORM_UNAVAILABLE)
    if 400 <= status < 500 and status not in STATUS_CODES:
        code = ResultCode.MALFORMED
    # The service guarantees that a call with status 503 had no effect; other 5xx
    # statuses guarantee nothing.
    unknown = status >= 500 and status != 503 and call.verb not in READ_VERBS
    return PrimrosefordError(
        code,
        f"the platform's service returned status {status} for {call.path}",
        outcome=Outcome.MAY_HAVE_RUN if unknown else Outcome.NOT_RUN,
        retry_after=1.0 if status == 429 or status >= 500 else None,
    )


def _unavailable_error(call: Call, error: Exception) -> PrimrosefordError:
    unsent = isinstance(error, aiohttp.ClientConnectorError)
    not_run = unsent or call.verb in READ_VERBS
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        f"the platform's service did not answer for {call.path}",
        outcome=Outcome.NOT_RUN if not_run else Outcome.MAY_HAVE_RUN,
        retry_after=1.0,
    )
