"""Stand-in for the platform's object API over HTTP, with faults that can be set."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.standins.control import COUNTS_PATH
from primroseford.standins.control import FAULTS_PATH
from primroseford.standins.control import add_control_routes
from primroseford.standins.control import field_names
from primroseford.standins.platform_state import MAX_VALUE_BYTES
from primroseford.standins.platform_state import Conflict
from primroseford.standins.platform_state import Expired
from primroseford.standins.platform_state import ObjectNotFound
from primroseford.standins.platform_state import PlatformFaults
from primroseford.standins.platform_state import PlatformState

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

PREFIX = "/objects"
PAGE_ITEMS = 500
MAX_WATCH_SECONDS = 30.0
FAULT_CHECK_SECONDS = 0.2
"""Interval at which an open watch checks for faults."""
WRITES = frozenset({"POST", "PUT", "DELETE"})


class PlatformStandIn:
    """The platform service: objects, conditional updates and watches.

    :param state: stored objects
    :param faults: faults that tests and the demo set
    """

    def __init__(self, state: PlatformState, faults: PlatformFaults) -> None:
        self.state = state
        self.faults = faults
        self.changed = asyncio.Event()
        self.tokens = 0.0
        self.refilled_at = time.monotonic()

    def announce(self) -> None:
        """Wake the open watches after a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def allow_call(self) -> bool:
        """Take a token from the bucket of the rate limit; return whether it had one."""
        rate = self.faults.calls_per_second
        if not rate:
            return True
        now = time.monotonic()
        self.tokens = min(rate, self.tokens + (now - self.refilled_at) * rate)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def create_platform_stand_in() -> PlatformStandIn:
    """Return an empty platform service without faults."""
    return PlatformStandIn(PlatformState(), PlatformFaults())


def create_platform_application(stand_in: PlatformStandIn) -> web.Application:
    """Return the HTTP application that serves a stand-in.

    :param stand_in: the state and faults to serve
    """
    app = web.Application(
        middlewares=[_fault_middleware(stand_in)], client_max_size=2 * MAX_VALUE_BYTES
    )
    app.router.add_get(PREFIX + "/{kind}", _list_handler(stand_in))
    app.router.add_post(PREFIX + "/{kind}", _create_handler(stand_in))
    app.router.add_get(PREFIX + "/{kind}/{name}", _get_handler(stand_in))
    app.router.add_put(PREFIX + "/{kind}/{name}", _update_handler(stand_in))
    app.router.add_put(PREFIX + "/{kind}/{name}/status", _status_handler(stand_in))
    app.router.add_delete(PREFIX + "/{kind}/{name}", _delete_handler(stand_in))
    faults = stand_in.faults
    add_control_routes(app, faults, field_names(faults), lambda: _counts(stand_in))
    return app


def _counts(stand_in: PlatformStandIn) -> dict[str, object]:
    calls = stand_in.state.calls
    return {
        "version": stand_in.state.version,
        "calls": {f"{verb} {kind}": count for (verb, kind), count in calls.items()},
        "objects": {kind: len(items) for kind, items in stand_in.state.objects.items()},
    }


def _status(code: int, reason: str, message: str) -> web.Response:
    body = {"kind": "Status", "code": code, "reason": reason, "message": message}
    return web.json_response(body, status=code)


def _fault_middleware(stand_in: PlatformStandIn):
    @web.middleware
    async def apply_faults(request: web.Request, handler: Handler):
        if request.path in (FAULTS_PATH, COUNTS_PATH):
            return await handler(request)
        faults = stand_in.faults
        verb = "WATCH" if "watch" in request.query else request.method
        stand_in.state.calls[verb, request.match_info.get("kind", "")] += 1
        if faults.down:
            return _status(503, "ServiceUnavailable", "the service is down")
        if not stand_in.allow_call():
            return _status(429, "TooManyRequests", "call rate exceeded")
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if request.method not in WRITES:
            return await _handle_errors(request, handler)
        if faults.lose_writes > 0:
            faults.lose_writes -= 1
            return _abort_connection(request)
        response = await _handle_errors(request, handler)
        if faults.down_after_writes > 0:
            faults.down_after_writes -= 1
            faults.down = faults.down_after_writes == 0
        if faults.lose_write_answers > 0:
            faults.lose_write_answers -= 1
            return _abort_connection(request)
        return response

    return apply_faults


def _abort_connection(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except ObjectNotFound as error:
        return _status(404, "NotFound", f"{error} does not exist")
    except Conflict as error:
        return _status(409, "Conflict", f"{error} exists or has another version")
    except Expired as error:
        return _status(410, "Expired", f"version {error} is too old")


def _list_handler(stand_in: PlatformStandIn) -> Handler:
    async def list_objects(request: web.Request) -> web.StreamResponse:
        if "watch" in request.query:
            return await _watch(stand_in, request)
        after = request.query.get("after", "")
        state = stand_in.state
        listed = state.list(request.match_info["kind"])
        items = [item for item in listed if item["metadata"]["name"] > after]
        page = items[:PAGE_ITEMS]
        more = len(page) < len(items)
        return web.json_response(
            {"items": page, "has_more": more, "as_of": state.version}
        )

    return list_objects


async def _watch(stand_in: PlatformStandIn, request: web.Request) -> web.Response:
    """Respond as soon as there is a change, or when the wait time is over."""
    kind = request.match_info["kind"]
    try:
        version = int(request.query["watch"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
    except ValueError as error:
        raise web.HTTPBadRequest(text="watch or wait_ms is not an integer") from error
    faults = stand_in.faults
    if faults.expire_watches > 0:
        faults.expire_watches -= 1
        raise Expired(str(version))
    deadline = time.monotonic() + min(wait, MAX_WATCH_SECONDS)
    while not faults.down:
        if faults.cut_watches > 0:
            faults.cut_watches -= 1
            return _abort_connection(request)
        if faults.hold_watches:
            await asyncio.sleep(FAULT_CHECK_SECONDS)
            continue
        changed = stand_in.changed
        changes = stand_in.state.changes_since(kind, version)
        remaining = deadline - time.monotonic()
        if changes or remaining <= 0:
            skipped = min(faults.skip_watch_events, len(changes))
            faults.skip_watch_events -= skipped
            return web.json_response(
                {
                    "events": [
                        {"object": c.object, "deleted": c.type == "DELETED"}
                        for c in changes[skipped:]
                    ],
                    "as_of": stand_in.state.version,
                }
            )
        try:
            await asyncio.wait_for(changed.wait(), min(remaining, FAULT_CHECK_SECONDS))
        except TimeoutError:
            continue
    return _abort_connection(request)


async def _read_object(request: web.Request) -> dict:
    body = await request.read()
    if len(body) > MAX_VALUE_BYTES:
        raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(body))
    try:
        item = json.loads(body)
        name = item["metadata"]["name"]
        if not name or request.match_info.get("name", name) != name:
            raise ValueError("metadata.name differs from the name in the path")
    except (ValueError, KeyError, TypeError) as error:
        raise web.HTTPBadRequest(text=f"malformed object: {error}") from error
    return item


def _create_handler(stand_in: PlatformStandIn) -> Handler:
    async def create_object(request: web.Request) -> web.Response:
        item = await _read_object(request)
        stored = stand_in.state.create(request.match_info["kind"], item)
        stand_in.announce()
        return web.json_response(stored, status=201)

    return create_object


def _get_handler(stand_in: PlatformStandIn) -> Handler:
    async def get_object(request: web.Request) -> web.Response:
        match = request.match_info
        return web.json_response(stand_in.state.get(match["kind"], match["name"]))

    return get_object


def _update_handler(stand_in: PlatformStandIn) -> Handler:
    async def update_object(request: web.Request) -> web.Response:
        item = await _read_object(request)
        stored = stand_in.state.update(request.match_info["kind"], item)
        stand_in.announce()
        return web.json_response(stored)

    return update_object


def _status_handler(stand_in: PlatformStandIn) -> Handler:
    async def set_status(request: web.Request) -> web.Response:
        match = request.match_info
        item = json.loads(await request.read())
        stored = stand_in.state.set_status(match["kind"], match["name"], item)
        stand_in.announce()
        return web.json_response(stored)

    return set_status


def _delete_handler(stand_in: PlatformStandIn) -> Handler:
    async def delete_object(request: web.Request) -> web.Response:
        match = request.match_info
        revision = request.query.get("revision")
        version = None if revision is None else int(revision)
        removed = stand_in.state.delete(match["kind"], match["name"], version)
        stand_in.announce()
        return web.json_response(removed)

    return delete_object
