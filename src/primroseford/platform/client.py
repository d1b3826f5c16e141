"""Client of the platform's service, whose writes tolerate lost responses."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING
from typing import Any

import structlog

from primroseford.clock import boottime
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import Version
from primroseford.metrics import Metrics
from primroseford.platform.encoding import encode_json
from primroseford.platform.limiter import CallLimiter
from primroseford.platform.limiter import Priority
from primroseford.platform.objects import DECODING_ERRORS
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import Spec
from primroseford.platform.objects import WatchEvent
from primroseford.platform.objects import decode_object
from primroseford.platform.objects import decode_version
from primroseford.platform.objects import encode_object
from primroseford.platform.transport import WATCH_MARGIN_SECONDS
from primroseford.platform.transport import Call
from primroseford.platform.transport import Transport
from primroseford.platform.writes import MAX_ATTEMPTS
from primroseford.platform.writes import ReadBackResult
from primroseford.platform.writes import Write
from primroseford.platform.writes import WriteVerb
from primroseford.platform.writes import backoff_delay
from primroseford.platform.writes import evaluate_read_back

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable

    import aiohttp

    from primroseford.clock import Clock

    Sleep = Callable[[float], Awaitable[None]]

OTHER_PURPOSE = "other"
MAX_LIST_OBJECTS = 100_000
"""Largest list that is accepted: ten times the runners of the largest fleet."""
WATCH_WAIT_SECONDS = 2.0
"""Longest wait of a watch call. It bounds the time for which a connection that delivers
no packets hides changes."""
MAX_LOGGED_NAME_LENGTH = 64
MAX_LOGGED_REASON_LENGTH = 200

log = structlog.get_logger()


class PlatformClient:
    """Typed access to the platform's objects.

    Every method has a ``purpose``, under which the call is counted, and a ``priority``
    in the host's call limit.

    :param transport: sends single calls
    :param sleep: waits between attempts of a write
    """

    def __init__(self, transport: Transport, sleep: Sleep = asyncio.sleep) -> None:
        self.transport = transport
        self.sleep = sleep

    async def get(
        self,
        kind: str,
        name: str,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.READ,
    ) -> PlatformObject:
        """Return one object.

        :raises PrimrosefordError: NOT_FOUND, CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        call = Call("GET", f"{kind}/{name}", purpose, priority)
        found = _decode(kind, await self.transport.call(call))
        if found.name != name:
            raise _malformed_response_error(kind)
        return found

    async def list(
        self,
        kind: str,
        labels: dict[str, str] | None = None,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.READ,
        stale: bool = False,
        after: str = "",
    ) -> ObjectList:
        """Return the objects of a kind that have the given labels.

        The service cannot select by label, so all objects of the kind are read and
        filtered here.

        The version is that of the first page, so a watch from it also returns changes
        made while later pages were read.

        :param labels: labels that the objects must have
        :param stale: accept a response that is seconds old, at a tenth of the cost
        :param after: name after which the list starts
        :raises PrimrosefordError: CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        items: dict[str, PlatformObject] = {}
        version: Version | None = None
        fixed = {"stale_ok": "1"} if stale else {}
        params = fixed | ({"after": after} if after else {})
        while True:
            call = Call("LIST", kind, purpose, priority, params=params)
            body = await self.transport.call(call)
            try:
                page = [
                    item
                    for content in body["items"]
                    if (item := _decode_foreign(kind, content)) is not None
                ]
                version = version or decode_version(body["as_of"])
                more = bool(body["has_more"])
            except DECODING_ERRORS as error:
                raise _malformed_response_error(kind) from error
            names = [item.name for item in page]
            # Names must increase from page to page, so that a list terminates.
            if any(name <= after for name in names) or len(items) > MAX_LIST_OBJECTS:
                raise _malformed_response_error(kind)
            items.update(zip(names, page, strict=True))
            if not more or not page:
                wanted = (labels or {}).items()
                selected = (i for i in items.values() if wanted <= i.labels.items())
                return ObjectList(version, tuple(selected))
            after = max(names)
            params = fixed | {"after": after}

    async def create(
        self,
        kind: str,
        name: str,
        spec: Spec,
        labels: dict[str, str] | None = None,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.CLAIM,
    ) -> PlatformObject:
        """Create an object.

        :raises PrimrosefordError: ALREADY_EXISTS, BODY_TOO_LARGE, CALLS_LIMITED, or
            PLATFORM_UNAVAILABLE with the outcome
        """
        write = Write(WriteVerb.CREATE, kind, name, uuid.uuid4().hex)
        body = _encode(write, spec, labels)
        call = Call("POST", kind, purpose, priority, body)
        try:
            return await self._write(write, call)
        except PrimrosefordError as error:
            if error.code is ResultCode.VERSION_CONFLICT:
                error.code = ResultCode.ALREADY_EXISTS
            raise

    async def update(
        self,
        kind: str,
        name: str,
        spec: Spec,
        version: Version,
        labels: dict[str, str] | None = None,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.CLAIM,
    ) -> PlatformObject:
        """Replace an object if it still has the given version.

        :raises PrimrosefordError: VERSION_CONFLICT, NOT_FOUND, BODY_TOO_LARGE,
            CALLS_LIMITED, or PLATFORM_UNAVAILABLE with the outcome
        """
        write = Write(WriteVerb.UPDATE, kind, name, uuid.uuid4().hex, version)
        body = _encode(write, spec, labels)
        call = Call("PUT", f"{kind}/{name}", purpose, priority, body)
        return await self._write(write, call)

    async def delete(
        self,
        kind: str,
        name: str,
        version: Version | None = None,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.CLAIM,
    ) -> None:
        """Delete an object; with a version, only if it still has that version.

        After a lost response an absent object counts as deleted by this call, so a
        delete must not be used to claim something.

        :raises PrimrosefordError: VERSION_CONFLICT, NOT_FOUND, CALLS_LIMITED, or
            PLATFORM_UNAVAILABLE with the outcome
        """
        write = Write(WriteVerb.DELETE, kind, name, uuid.uuid4().hex, version)
        params = {} if version is None else {"revision": str(version)}
        path = f"{kind}/{name}"
        await self._write(write, Call("DELETE", path, purpose, priority, params=params))

    async def set_status(
        self,
        kind: str,
        name: str,
        status: Any,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.CLAIM,
    ) -> None:
        """Replace an object's status; the call is idempotent.

        :raises PrimrosefordError: NOT_FOUND, CALLS_LIMITED, or PLATFORM_UNAVAILABLE
        """
        body = {"metadata": {"name": name}, "status": status}
        await self.transport.call(
            Call("PUT", f"{kind}/{name}/status", purpose, priority, encode_json(body))
        )

    async def watch(
        self,
        kind: str,
        since: Version,
        *,
        purpose: str = OTHER_PURPOSE,
        priority: Priority = Priority.READ,
        wait_seconds: Callable[[], float] = lambda: WATCH_WAIT_SECONDS,
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes of a kind after a version, and a bookmark per response.

        :param since: version that the reader has reached
        :param wait_seconds: returns how long the next call waits for a change
        :raises PrimrosefordError: WATCH_EXPIRED, CALLS_LIMITED, or
            PLATFORM_UNAVAILABLE
        """
        while True:
            wait = wait_seconds()
            timeout = wait + WATCH_MARGIN_SECONDS
            params = {"watch": str(since), "wait_ms": str(int(wait * 1000))}
            call = Call("WATCH", kind, purpose, priority, None, params, timeout)
            body = await self.transport.call(call)
            events = _decode_events(kind, body, since)
            for event in events:
                yield event
            since = events[-1].version

    async def _write(self, write: Write, call: Call) -> Any:
        """Retry a write until its outcome is known or the attempts are used up."""
        in_doubt = False
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                body = await self.transport.call(call)
                return None if call.verb == "DELETE" else _decode(write.kind, body)
            except PrimrosefordError as error:
                failure = error
            in_doubt = in_doubt or failure.outcome is Outcome.MAY_HAVE_RUN
            if not in_doubt:
                raise failure
            result, found = await self._read_back(write, call)
            if result is ReadBackResult.DONE:
                return found
            if result is not ReadBackResult.RETRY:
                raise _conflict_error(write, result)
            if attempt < MAX_ATTEMPTS:
                await self.sleep(backoff_delay(attempt, random.random()))
        raise _unknown_outcome_error(write)

    async def _read_back(
        self, write: Write, call: Call
    ) -> tuple[ReadBackResult, PlatformObject | None]:
        try:
            found = await self.get(
                write.kind, write.name, purpose=call.purpose, priority=call.priority
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.NOT_FOUND:
                raise _unknown_outcome_error(write) from error
            found = None
        return evaluate_read_back(write, found), found


def create_platform_client(
    base_url: str,
    session: aiohttp.ClientSession,
    clock: Clock = boottime,
    limits: CallLimiter | None = None,
    metrics: Metrics | None = None,
) -> PlatformClient:
    """Return a client of the platform's service.

    :param base_url: address of the service
    :param session: HTTP session, owned by the caller
    :param clock: local clock of the call limit
    :param limits: the host's call limit, shared by all its clients
    :param metrics: registry of the call counters
    """
    limiter = limits or CallLimiter(clock=clock)
    return PlatformClient(Transport(base_url, session, limiter, metrics or Metrics()))


def _encode(write: Write, spec: Spec, labels: dict[str, str] | None) -> bytes:
    item = encode_object(write.name, spec, labels or {}, write.operation, write.version)
    return encode_json(item)


def _decode(kind: str, body: dict[str, Any]) -> PlatformObject:
    try:
        return decode_object(kind, body)
    except DECODING_ERRORS as error:
        raise _malformed_response_error(kind) from error


def _decode_foreign(kind: str, body: Any) -> PlatformObject | None:
    """Decode one of several objects; ``None`` if another writer has made it unreadable.

    The other objects of the response still count.
    """
    try:
        return decode_object(kind, body)
    except DECODING_ERRORS as error:
        metadata = body.get("metadata") if isinstance(body, dict) else None
        name = metadata.get("name") if isinstance(metadata, dict) else None
        log.warning(
            "object ignored",
            kind=kind,
            name=str(name)[:MAX_LOGGED_NAME_LENGTH],
            reason=repr(error)[:MAX_LOGGED_REASON_LENGTH],
        )
        return None


def _decode_events(kind: str, body: dict[str, Any], since: Version) -> list[WatchEvent]:
    """Return the events of one response, followed by a bookmark."""
    events = []
    reached = since
    try:
        for event in body["events"]:
            item = _decode_foreign(kind, event["object"] if event else None)
            if item is None:
                continue
            if event["deleted"]:
                # A deleted object may have the version of its last change before.
                reached = Version(max(reached + 1, item.version))
                events.append(WatchEvent(EventType.DELETED, reached, item))
            else:
                reached = Version(max(reached, item.version))
                events.append(WatchEvent(EventType.MODIFIED, item.version, item))
        reached = Version(max(reached, decode_version(body["as_of"])))
    except DECODING_ERRORS as error:
        raise _malformed_response_error(kind) from error
    return [*events, WatchEvent(EventType.BOOKMARK, reached, None)]


def _malformed_response_error(kind: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        f"the platform's service returned a malformed response for {kind}",
        outcome=Outcome.MAY_HAVE_RUN,
        retry_after=1.0,
    )


def _conflict_error(write: Write, result: ReadBackResult) -> PrimrosefordError:
    # The write may have taken effect before another writer changed the object.
    absent = result is ReadBackResult.ABSENT
    change = "deleted" if absent else "changed"
    return PrimrosefordError(
        ResultCode.NOT_FOUND if absent else ResultCode.VERSION_CONFLICT,
        f"{write.kind}/{write.name} was {change} by another writer",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def _unknown_outcome_error(write: Write) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.PLATFORM_UNAVAILABLE,
        f"the outcome of the write to {write.kind}/{write.name} is unknown",
        hint="read the object before writing it again",
        outcome=Outcome.MAY_HAVE_RUN,
        retry_after=1.0,
    )
