"""Transfer of the configuration and the runner list to a host that starts in an outage.

While the platform is unreachable, a restarted host still receives the heartbeats of its
peers, which know its address from before the restart. It requests both lists from them.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web

from primroseford.bounded_http import read_limited
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
"""Timeout of a response, which takes some ms and has up to a megabyte."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
BOOTSTRAP_KINDS = (CONFIGURATION_KIND, RUNNER_KIND)
"""Kinds of objects that a host needs to start."""
PARALLEL_REQUESTS = 3
"""Number of peers that are queried in parallel: two hosts may have the newest
configuration and the newest runner list, and one host may not answer."""

log = structlog.get_logger()


def create_lists_handler(watcher: PlatformWatcher):
    """Return the handler that serves the lists of this host to its peers."""

    async def handle(request: BaseRequest) -> web.Response:
        reflectors = (watcher.tables, watcher.runners)
        if not all(reflector.view.version for reflector in reflectors):
            return web.Response(status=503)
        gateway = watcher.gateway
        lists = {r.kind: encode_list(r.view) for r in reflectors}
        age = gateway.clock() - gateway.confirmed_at
        body = {"lists": lists, "confirmed_seconds_ago": age}
        return web.Response(body=json.dumps(body).encode())

    return handle


def create_peer_reader(
    session: aiohttp.ClientSession, peers: Callable[[], list[str]]
) -> Callable[[], Awaitable[tuple[dict[str, ObjectList], float] | None]]:
    """Return a function that reads the lists of peers.

    The function returns the newest list by kind and the age in seconds of the
    platform's last confirmation of that configuration, or None if no peer answers.
    Several peers are read because a single one may have been partitioned from the store
    before a key was withdrawn or a runner left.

    :param session: HTTP session for calls between hosts
    :param peers: returns the base URLs of the live hosts, the best informed ones first
    """
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)

    async def read_peer(base_url: str) -> tuple[dict[str, ObjectList], float] | None:
        try:
            async with session.get(base_url + PATH, timeout=timeout) as response:
                if response.status != 200:
                    return None
                body = json.loads(await read_limited(response, MAX_RESPONSE_BYTES))
                # A peer of another software version may send further kinds.
                lists = {k: decode_list(k, body["lists"][k]) for k in BOOTSTRAP_KINDS}
                return lists, float(body["confirmed_seconds_ago"])
        except (aiohttp.ClientError, OSError, *DECODING_ERRORS) as error:
            log.info("peer not read", peer=base_url, reason=repr(error))
            return None

    async def read() -> tuple[dict[str, ObjectList], float] | None:
        urls = peers()
        for first in range(0, len(urls), PARALLEL_REQUESTS):
            requests = (
                read_peer(url) for url in urls[first : first + PARALLEL_REQUESTS]
            )
            responses = [
                response for response in await asyncio.gather(*requests) if response
            ]
            if responses:
                return newest_lists(responses)
        return None

    return read


def newest_lists(
    responses: list[tuple[dict[str, ObjectList], float]],
) -> tuple[dict[str, ObjectList], float]:
    """Return the newest list of each kind, and the age of the configuration."""
    lists = {
        kind: max(
            (listed[kind] for listed, _ in responses), key=lambda one: one.version
        )
        for kind in responses[0][0]
    }
    newest = lists[CONFIGURATION_KIND].version
    ages = [
        age
        for peer_lists, age in responses
        if peer_lists[CONFIGURATION_KIND].version == newest
    ]
    return lists, min(ages)


def peers_by_version(members: Members, now: float) -> list[Peer]:
    """Return the live peers, first those with the newest version of each kind.

    :param now: local time in seconds
    """
    live = members.live(now)
    if not live:
        return []
    newest = max(live, key=lambda peer: peer.heartbeat.runner_list)
    rest = [peer for peer in live if peer is not newest]
    rest.sort(key=lambda peer: peer.heartbeat.configuration, reverse=True)
    return [newest, *rest]
