"""Hands what a host follows on to a host that starts while the platform is away.

Such a host hears the heartbeats of its peers, which know its address from before its
restart, and asks them for the configuration and the runner list.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web

from primroseford.platform.configuration import CONFIGURATION_KIND
from primroseford.platform.objects import DECODING_ERRORS
from primroseford.platform.runner_list import RUNNER_KIND
from primroseford.platform.view import decode_list
from primroseford.platform.view import encode_list

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.gateway.members import Members
    from primroseford.gateway.members import Peer
    from primroseford.gateway.platform_watcher import PlatformWatcher
    from primroseford.platform.objects import ObjectList

PATH = "/followed"
TIMEOUT_SECONDS = 1.0
"""Time for an answer, which takes some ms and is up to a megabyte."""
HANDED_ON = (CONFIGURATION_KIND, RUNNER_KIND)
"""Kinds without which a host cannot start."""
PARALLEL_REQUESTS = 3
"""Peers that are asked at once: the newest configuration and the newest runner list may
be at two hosts, and one host may not answer."""

log = structlog.get_logger()


def create_hand_on_handler(followers: PlatformWatcher):
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

    It returns the newest objects by kind and the age in seconds of the platform's last
    word on that configuration, or nothing if no peer answers. A single peer may have
    been cut off before a key was withdrawn or a runner left.

    :param session: HTTP session for calls between hosts
    :param peers: base URLs of the live hosts, those that know the most first
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)

    async def ask(base_url: str) -> tuple[dict[str, ObjectList], float] | None:
        try:
            async with session.get(base_url + PATH, timeout=timeout) as answer:
                if answer.status != 200:
                    return None
                body = json.loads(await answer.read())
                # A peer of another version may hand on other kinds, too.
                lists = {k: decode_list(k, body["lists"][k]) for k in HANDED_ON}
                return lists, float(body["confirmed_seconds_ago"])
        except (aiohttp.ClientError, OSError, *DECODING_ERRORS) as error:
            log.info("peer not read", peer=base_url, reason=repr(error))
            return None

    async def read() -> tuple[dict[str, ObjectList], float] | None:
        urls = peers()
        for first in range(0, len(urls), PARALLEL_REQUESTS):
            asked = (ask(url) for url in urls[first : first + PARALLEL_REQUESTS])
            found = [answer for answer in await asyncio.gather(*asked) if answer]
            if found:
                return newest_lists(found)
        return None

    return read


def newest_lists(
    found: list[tuple[dict[str, ObjectList], float]],
) -> tuple[dict[str, ObjectList], float]:
    """Return the newest list of each kind, and the age of the configuration's."""
    lists = {
        kind: max((listed[kind] for listed, _ in found), key=lambda one: one.version)
        for kind in found[0][0]
    }
    newest = lists[CONFIGURATION_KIND].version
    ages = [age for told, age in found if told[CONFIGURATION_KIND].version == newest]
    return lists, min(ages)


def peers_by_version(members: Members, now: float) -> list[Peer]:
    """Return the live peers, first those that know the newest of each kind.

    :param now: local time in seconds
    """
    live = members.live(now)
    if not live:
        return []
    newest = max(live, key=lambda peer: peer.heartbeat.runner_list)
    rest = [peer for peer in live if peer is not newest]
    rest.sort(key=lambda peer: peer.heartbeat.configuration, reverse=True)
    return [newest, *rest]
