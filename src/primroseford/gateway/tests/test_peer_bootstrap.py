"""Lists that a restarted host loads from peers while the platform is unreachable."""

from __future__ import annotations

import aiohttp
import pytest
from aiohttp import web

from primroseford.gateway.gen.messages.ttypes import Heartbeat
from primroseford.gateway.members import Members
from primroseford.gateway.peer_bootstrap import PATH
from primroseford.gateway.peer_bootstrap import create_peer_reader
from primroseford.gateway.peer_bootstrap import peers_by_version

KINDS = ("config", "servers")


@pytest.fixture
async def peers():
    """Return a factory of peers that serve lists of given versions."""
    servers = []

    async def serve(
        config: int, servers_version: int, age: float, body: object = None
    ) -> str:
        async def handle(request: web.BaseRequest) -> web.Response:
            if not config:
                return web.Response(status=503)
            versions = zip(KINDS, (config, servers_version), strict=True)
            lists = {kind: {"version": n, "items": []} for kind, n in versions}
            responses = {"lists": lists, "confirmed_seconds_ago": age}
            return web.json_response(responses if body is None else body)

        application = web.Application()
        application.router.add_get(PATH, handle)
        runner = web.AppRunner(application)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        servers.append(runner)
        port = site._server.sockets[0].getsockname()[1]
        return f"http://127.0.0.1:{port}"

    yield serve
    for runner in servers:
        await runner.cleanup()


@pytest.mark.parametrize(
    ("responses", "expected"),
    [
        ([(5, 9, 1.0)], (5, 9, 1.0)),
        ([(5, 9, 20.0), (7, 9, 1.0)], (7, 9, 1.0)),
        ([(7, 9, 1.0), (5, 9, 20.0)], (7, 9, 1.0)),
        ([(5, 12, 20.0), (7, 9, 1.0)], (7, 12, 1.0)),
        ([(7, 9, 8.0), (7, 9, 2.0)], (7, 9, 2.0)),
        ([(0, 0, 0.0), (7, 9, 1.0)], (7, 9, 1.0)),
        ([(0, 0, 0.0)] * 4 + [(7, 9, 1.0)], (7, 9, 1.0)),
        ([(0, 0, 0.0)], None),
    ],
)
async def test_newest_lists_of_the_peers_are_loaded(peers, responses, expected):
    """Guards against reuse of a withdrawn key or a removed runner.

    A peer that was partitioned before the withdrawal answers like any other peer.
    """
    urls = [await peers(*fields) for fields in responses]
    async with aiohttp.ClientSession() as session:
        found = await create_peer_reader(session, lambda: urls)()
    if expected is None:
        assert found is None
        return
    lists, age = found
    assert (*(lists[kind].version for kind in KINDS), age) == expected


EMPTY = {"version": 3, "items": []}


@pytest.mark.parametrize(
    "body",
    [
        {"lists": {"config": EMPTY}, "confirmed_seconds_ago": 1.0},
        {"lists": {"servers": EMPTY}, "confirmed_seconds_ago": 1.0},
        {"lists": {}, "confirmed_seconds_ago": 1.0},
        {"lists": [], "confirmed_seconds_ago": 1.0},
        {"lists": {"config": EMPTY, "servers": EMPTY}, "confirmed_seconds_ago": None},
        {"lists": {"config": EMPTY, "servers": []}, "confirmed_seconds_ago": 1.0},
        [],
    ],
)
@pytest.mark.parametrize("others", [0, 1])
async def test_incomplete_response_of_a_peer(peers, body, others):
    """Guards against a failed start because of a peer of another software version."""
    urls = [await peers(5, 9, 1.0, body)] + [await peers(7, 9, 1.0)] * others
    async with aiohttp.ClientSession() as session:
        found = await create_peer_reader(session, lambda: urls)()
    if not others:
        assert found is None
        return
    lists, age = found
    assert (*(lists[kind].version for kind in KINDS), age) == (7, 9, 1.0)


def test_peers_with_the_newest_versions_come_first():
    """Guards against a host that queries only peers with old versions."""
    members = Members("own")
    for number in range(40):
        beat = Heartbeat(
            host=f"host-{number}",
            incarnation="1",
            address=f"10.0.0.{number}:7000",
            sequence=1,
            configuration=9 if number == 30 else 8,
            runner_list=60 if number == 20 else 50,
            jobs=[],
        )
        members.receive(beat, 0.0)
    first, second = peers_by_version(members, 0.1)[:2]
    assert {first.host, second.host} == {"host-30", "host-20"}
