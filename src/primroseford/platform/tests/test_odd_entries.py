"""Entries of other writers among those that hosts read."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp import web

from primroseford.platform.client import create_platform_client
from primroseford.platform.reflector import create_reflector
from primroseford.platform.runner_list import decode_runner
from primroseford.standins.serving import serve

SPEC = (
    '{"service": "models", "address": %s, "zone": "a", "version": "v1", "slots": %s,'
    ' "state": "ready", "cold_left_ms": 0, "sequence": 1, "born": %s}'
)
NOT_UTF_8 = b"\xff\xfe\xc3\x28".decode(errors="surrogateescape")
"""Bytes that are sent as they are, and which are no UTF-8."""
ADDRESS = '"127.0.0.1:8000"'


def entry(name: str = '"odd"', revision: str = "3", spec: str = "{}") -> str:
    """Return an object as the store sends it."""
    return (
        f'{{"metadata": {{"name": {name}, "revision": {revision}, "create_rev": 1,'
        f' "finalizers": [], "deleting": false}}, "spec": {spec}, "status": null}}'
    )


def spec(address: str = ADDRESS, slots: str = "8", born: str = "1") -> str:
    """Return the entry of a runner."""
    return SPEC % (address, slots, born)


SOUND = [entry(f'"{name}"', "2", spec()) for name in ("a", "z")]
ODD = {
    "deep": entry(spec="[" * 20_000 + "]" * 20_000),
    "deep-object": entry(spec='{"a":' * 900 + "1" + "}" * 900),
    "digits": entry(spec=spec(slots="9" * 5_000)),
    "slots": entry(spec=spec(slots="1" + "0" * 30)),
    "born": entry(spec=spec(born="1" + "0" * 30)),
    "negative-born": entry(spec=spec(born="-1")),
    "port-0": entry(spec=spec('"127.0.0.1:0"')),
    "port-negative": entry(spec=spec('"127.0.0.1:-5"')),
    "port-large": entry(spec=spec('"127.0.0.1:99999"')),
    "port-underscore": entry(spec=spec('"127.0.0.1:8_0"')),
    "address-space": entry(spec=spec('"127.0.0.1 x:80"')),
    "address-path": entry(spec=spec('"127.0.0.1/x@y:80"')),
    "revision-text": entry(revision='"new"', spec=spec()),
    "revision-infinite": entry(revision="Infinity", spec=spec()),
    "revision-large": entry(revision="1" + "0" * 30, spec=spec()),
    "metadata-null": '{"metadata": null, "spec": {}, "status": null}',
    "null": "null",
    "name-number": entry(name="5", spec=spec()),
    "name-long": entry(name='"' + "n" * 5_000 + '"', spec=spec()),
    "spec-null": entry(spec="null"),
    "bytes-service": entry(spec=spec().replace("models", f"mod{NOT_UTF_8}")),
    "bytes-zone": entry(spec=spec().replace('"a"', f'"{NOT_UTF_8}"')),
    "bytes-version": entry(spec=spec().replace("v1", f"v{NOT_UTF_8}")),
    "version-absent": entry(spec=spec().replace("version", "edition")),
    "version-empty": entry(spec=spec().replace("v1", "")),
    "version-number": entry(spec=spec().replace('"v1"', "1")),
    "version-long": entry(spec=spec().replace("v1", "v" * 257)),
    "bytes-address": entry(spec=spec(f'"{NOT_UTF_8}"')),
    "bytes-key": entry(spec=spec().replace("zone", f"zone{NOT_UTF_8}")),
    "bytes-slots": entry(spec=spec(slots=NOT_UTF_8)),
    "bytes-name": entry(f'"{NOT_UTF_8}"', spec=spec()),
    "bytes-spec": entry(spec=NOT_UTF_8),
    "bytes-escaped": entry(spec=spec().replace("models", f'\\"{NOT_UTF_8}\\"')),
}


class RawStore:
    """A store that sends one list and one watch response as they are given.

    :ivar watches: number of watch calls
    """

    def __init__(self, items: list[str], events: list[str]) -> None:
        self.items = items
        self.events = events
        self.watches = 0

    async def handle(self, request: web.Request) -> web.Response:
        """Answer a list or a watch call."""
        if "watch" not in request.query:
            body = f'{{"items": [{", ".join(self.items)}], "has_more": false'
            return _response(body + ', "as_of": 5}')
        self.watches += 1
        if self.watches > 1:
            await asyncio.sleep(3600)
        events = [f'{{"object": {text}, "deleted": false}}' for text in self.events]
        return _response(f'{{"events": [{", ".join(events)}], "as_of": 9}}')


def _response(text: str) -> web.Response:
    return web.Response(body=text.encode(errors="surrogateescape"))


@pytest.fixture
async def follow(eventually):
    """A function that follows a store and returns the runners that it lists."""
    sessions, stores = [], []

    async def run(items: list[str], events: list[str]) -> set[str]:
        store = RawStore(items, events)
        app = web.Application()
        app.router.add_get("/{path:.*}", store.handle)
        served = await serve(app)
        session = aiohttp.ClientSession()
        stores.append(served)
        sessions.append(session)
        client = create_platform_client(served.url, session)
        reflector = create_reflector(client, "servers", lambda _: None, purpose="test")
        await reflector.start()
        await eventually(lambda: store.watches > 1)
        await reflector.stop()
        entries = (decode_runner(item) for item in reflector.view.objects.values())
        return {found.key.name for found in entries if found is not None}

    yield run
    for session in sessions:
        await session.close()
    for served in stores:
        await served.stop()


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_odd_entry_hides_the_sound_ones_of_a_list(follow, odd):
    """Guards against a list that one entry of another writer makes unreadable."""
    assert await follow([SOUND[0], odd, SOUND[1]], []) == {"a", "z"}


@pytest.mark.parametrize("odd", ODD.values(), ids=ODD.keys())
async def test_odd_entry_ends_a_watch(follow, odd):
    """Guards against a watch that one entry of another writer makes unreadable."""
    events = [odd, entry('"z"', "7", spec())]
    assert await follow([SOUND[0], entry(spec=spec())], events) >= {"a", "z"}


async def test_runner_whose_entry_becomes_odd_stays_listed(follow):
    """Guards against an old entry that stays in use in place of an odd one."""
    odd = entry('"a"', "7", "[" * 20_000 + "]" * 20_000)
    assert await follow(SOUND, [odd]) == {"z"}
    odd = entry('"a"', "7", spec('"127.0.0.1:0"'))
    assert await follow(SOUND, [odd]) == {"z"}
