"""Hands what a host follows on to a host that starts while the platform is away.

Such a host hears the heartbeats of its peers, which know its address from before its
restart, and asks them for the configuration and the runner list.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web

from primroseford.platform.view import decode_list
from primroseford.platform.view import encode_list

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.gateway.follow import Followers
    from primroseford.platform.objects import ObjectList

PATH = "/followed"
TIMEOUT_SECONDS = 1.0
"""Time for an answer, which takes some ms and is up to a megabyte."""

log = structlog.get_logger()


def create_hand_on_handler(followers: Followers):
    """Return the handler of other hosts' questions."""

    async def handle(request: BaseRequest) -> web.Response:
        reflectors = (followers.tables, followers.runners)
        if not all(reflector.view.version for reflector in reflectors):
            return web.Response(status=503)
        gateway = followers.gateway
        lists = {r.kind: encode_list(r.view) for r in reflectors}
        age = gateway.clock() - gateway.confirmed_at
        body = {"lists": lists, "confirmed_seconds_ago": age}
        return web.Response(body=json.dumps(body).encode())

    return handle


def create_peer_reader(
    session: aiohttp.ClientSession, peers: Callable[[], list[str]]
) -> Callable[[], Awaitable[tuple[dict[str, ObjectList], float] | None]]:
    """Return a function that asks peers for what they follow.

    It returns the objects by kind and the age in seconds of the platform's last word
    on the configuration, or nothing if no peer answers.

    :param session: HTTP session for calls between hosts
    :param peers: base URLs of the live hosts
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)

    async def read() -> tuple[dict[str, ObjectList], float] | None:
        for base_url in peers():
            try:
                async with session.get(base_url + PATH, timeout=timeout) as answer:
                    if answer.status != 200:
                        continue
                    body = json.loads(await answer.read())
                    lists = {
                        kind: decode_list(kind, content)
                        for kind, content in body["lists"].items()
                    }
                    return lists, float(body["confirmed_seconds_ago"])
            except (
                aiohttp.ClientError,
                TimeoutError,
                OSError,
                ValueError,
                KeyError,
            ) as error:
                log.info("peer not read", peer=base_url, reason=repr(error))
        return None

    return read
