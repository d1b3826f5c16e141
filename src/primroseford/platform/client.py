"""Client of the platform's service with writes that survive lost answers."""

from __future__ import annotations

import json
import uuid
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import Version
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import Spec
from primroseford.platform.objects import WatchEvent
from primroseford.platform.objects import decode_object
from primroseford.platform.objects import encode_object

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

PREFIX = "/apis/primroseford.dev/v1"
CALL_TIMEOUT_SECONDS = 2.0
WATCH_READ_TIMEOUT_SECONDS = 10.0
MAX_LINE_BYTES = 2 * 1024 * 1024

STATUS_CODES = {
    404: ResultCode.NOT_FOUND,
    409: ResultCode.VERSION_CONFLICT,
    410: ResultCode.WATCH_EXPIRED,
    413: ResultCode.BODY_TOO_LARGE,
    429: ResultCode.CALLS_LIMITED,
}


class PlatformClient:
    """Typed access to the platform's objects.

    :param base_url: address of the service, without a trailing slash
    :param session: HTTP session, owned by the caller
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self.base_url = base_url.rstrip("/") + PREFIX
        self.session = session

    async def get(self, kind: str, name: str) -> PlatformObject:
        """Return one object.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        return decode_object(kind, await self._call("GET", f"{kind}/{name}"))

    async def list(
        self, kind: str, selector: dict[str, str] | None = None
    ) -> ObjectList:
        """Return the objects of a kind.

        :param selector: labels that the objects must carry
        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        pairs = ",".join(f"{k}={v}" for k, v in (selector or {}).items())
        body = await self._call("GET", kind, params={"labelSelector": pairs})
        version = Version(int(body["metadata"]["resourceVersion"]))
        items = tuple(decode_object(kind, item) for item in body["items"])
        return ObjectList(version, items)

    async def create(
        self, kind: str, name: str, spec: Spec, labels: dict[str, str] | None = None
    ) -> PlatformObject:
        """Create an object.

        :raises PrimrosefordError: ALREADY_EXISTS, or PLATFORM_UNAVAILABLE
        """
        operation = uuid.uuid4().hex
        body = encode_object(name, spec, labels or {}, operation)
        try:
            return decode_object(kind, await self._call("POST", kind, body))
        except PrimrosefordError as error:
            if error.code is ResultCode.VERSION_CONFLICT:
                error.code = ResultCode.ALREADY_EXISTS
            if error.code is not ResultCode.PLATFORM_UNAVAILABLE:
                raise
        return await self._read_back(kind, name, operation)

    async def update(
        self,
        kind: str,
        name: str,
        spec: Spec,
        version: Version,
        labels: dict[str, str] | None = None,
    ) -> PlatformObject:
        """Replace an object on condition of its version.

        :raises PrimrosefordError: VERSION_CONFLICT, NOT_FOUND, or
            PLATFORM_UNAVAILABLE
        """
        operation = uuid.uuid4().hex
        body = encode_object(name, spec, labels or {}, operation, version)
        path = f"{kind}/{name}"
        try:
            return decode_object(kind, await self._call("PUT", path, body))
        except PrimrosefordError as error:
            if error.code is not ResultCode.PLATFORM_UNAVAILABLE:
                raise
        return await self._read_back(kind, name, operation)

    async def delete(
        self, kind: str, name: str, version: Version | None = None
    ) -> None:
        """Delete an object, on condition of its version if one is given.

        :raises PrimrosefordError: VERSION_CONFLICT, NOT_FOUND, or
            PLATFORM_UNAVAILABLE
        """
        params = {} if version is None else {"resourceVersion": str(version)}
        await self._call("DELETE", f"{kind}/{name}", params=params)

    async def watch(self, kind: str, since: Version) -> AsyncIterator[WatchEvent]:
        """Yield the changes of a kind after a version.

        :param since: version that the reader has
        :raises PrimrosefordError: WATCH_EXPIRED, or PLATFORM_UNAVAILABLE
        """
        params = {"watch": "1", "resourceVersion": str(since)}
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=WATCH_READ_TIMEOUT_SECONDS
        )
        try:
            async with self.session.get(
                f"{self.base_url}/{kind}",
                params=params,
                timeout=timeout,
                read_bufsize=MAX_LINE_BYTES,
            ) as response:
                if response.status != 200:
                    raise _status_error(response.status, kind)
                async for line in response.content:
                    yield _decode_event(kind, json.loads(line))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise _unavailable(kind) from error

    async def _read_back(self, kind: str, name: str, operation: str) -> PlatformObject:
        found = await self.get(kind, name)
        if found.operation != operation:
            raise PrimrosefordError(
                ResultCode.VERSION_CONFLICT, f"{kind}/{name} was changed by another"
            )
        return found

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        params: dict[str, str] | None = None,
    ) -> dict[str, Any]:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_SECONDS)
        try:
            async with self.session.request(
                method,
                f"{self.base_url}/{path}",
                json=body,
                params=params,
                timeout=timeout,
            ) as response:
                content = await response.read()
                if response.status >= 400:
                    raise _status_error(response.status, path)
                return json.loads(content)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise _unavailable(path) from error


def create_platform_client(
    base_url: str, session: aiohttp.ClientSession
) -> PlatformClient:
    """Return a client of the platform's service.

    :param base_url: address of the service
    :param session: HTTP session, owned by the caller
    """
    return PlatformClient(base_url, session)


def _decode_event(kind: str, body: dict[str, Any]) -> WatchEvent:
    event_type = EventType(body["type"])
    version = Version(int(body["object"]["metadata"]["resourceVersion"]))
    if event_type is EventType.BOOKMARK:
        return WatchEvent(event_type, version, None)
    return WatchEvent(event_type, version, decode_object(kind, body["object"]))


def _status_error(status: int, path: str) -> PrimrosefordError:
    code = STATUS_CODES.get(status, ResultCode.PLATFORM_UNAVAILABLE)
    return PrimrosefordError(
        code, f"the platform's service answered {status} for {path}"
    )


def _unavailable(path: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        f"the platform's service did not answer for {path}",
        retry_after=1.0,
    )
