"""Caller disconnects at a host with one engine stand-in, on loopback."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from primroseford.configuration.edits import issue_key
from primroseford.daemon.host import running_host
from primroseford.daemon.host import wait_until_ready
from primroseford.demo.fleet import SECRET
from primroseford.demo.fleet import apply_documents
from primroseford.demo.fleet import host_settings
from primroseford.platform.client import create_platform_client
from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.platform import create_platform_application
from primroseford.standins.platform import create_platform_stand_in
from primroseford.standins.serving import serve

WAIT_SECONDS = 20.0
CHAT = "/v1/chat/completions"


def documents(engine_url):
    address = engine_url.removeprefix("http://")
    runner = {"name": "r", "address": address, "failure_domain": "d"}
    match = {"models": ["m"]}
    return [
        {"kind": "Organisation", "name": "o", "rate": 1000, "burst": 1000},
        {"kind": "Pool", "name": "p", "runners": [runner], "max_in_flight": 1},
        {
            "kind": "Route",
            "name": "c",
            "match": match,
            "pool": "p",
            "organisations": ["o"],
        },
    ]


async def wait_for(condition):
    """Poll a condition; fail after ``WAIT_SECONDS``."""
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.002)


@pytest.fixture
async def host_with_slow_engine(tmp_path):
    """A ready host with one slot on one slow engine, and a caller's session."""
    async with contextlib.AsyncExitStack() as stack:
        platform = await serve(create_platform_application(create_platform_stand_in()))
        stack.push_async_callback(platform.stop)
        engine = create_engine_stand_in(EngineSettings(token_seconds=0.05))
        served = await serve(create_engine_application(engine))
        stack.push_async_callback(served.stop)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        client = create_platform_client(platform.url, session)
        await apply_documents(client, documents(served.url))
        key = (await issue_key(client, "o")).secret
        secret_file = tmp_path / "peer-secret"
        secret_file.write_text(SECRET)
        secret_file.chmod(0o600)
        settings = host_settings(1, platform.url, secret_file)
        host = await stack.enter_async_context(running_host(settings))
        await wait_until_ready(host)
        headers = {"Authorization": f"Bearer {key}"}
        caller_session = await stack.enter_async_context(
            aiohttp.ClientSession(f"http://{host.address}", headers=headers)
        )
        yield host, engine, caller_session


async def test_caller_disconnects_end_running_and_queued_requests(
    host_with_slow_engine,
):
    """Guards against requests that keep their slot or queue position after the caller
    disconnected, because the handler is not cancelled."""
    host, engine, caller_session = host_with_slow_engine
    online = host.components.online

    async def send_request():
        body = {"model": "m", "messages": [], "max_tokens": 9000}
        async with caller_session.post(CHAT, json=body) as response:
            await response.read()

    running_request = asyncio.create_task(send_request())
    await wait_for(lambda: engine.state.running == 1)
    queued_request = asyncio.create_task(send_request())
    await wait_for(lambda: any(w.queue for w in online.allocator.pool_queues.values()))
    queued_request.cancel()
    await wait_for(lambda: len(online.open_requests.entries) == 1)
    assert not any(wait.queue for wait in online.allocator.pool_queues.values())
    running_request.cancel()
    await wait_for(lambda: not online.open_requests.entries)
    await wait_for(lambda: engine.state.running == 0)
    assert sum(engine.state.run_counts.values()) == 1
