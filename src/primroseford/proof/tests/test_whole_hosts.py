"""Tests of single failures that need complete hosts."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import unquote

import pytest

from primroseford.online.error_responses import OUTCOME_HEADER
from primroseford.proof.fleet import CHAT

STREAMS = 60


@pytest.mark.parametrize("arrival_seconds", [0.0, 0.15])
async def test_withdrawn_key_stops_working_on_every_host(fleet, arrival_seconds):
    """Guards against a host that still accepts a withdrawn key.

    A call that is in flight while its key is withdrawn gets 401 and may reach the
    service after that response, so later calls are counted by their ``X-Call`` header.
    """
    await fleet.start()
    fleet.service.arrival_seconds = arrival_seconds
    for name in fleet.hosts:
        assert (await fleet.call(name))[0] == 200
    fleet.withdraw("depot")

    async def refused() -> bool:
        return {(await fleet.call(n))[0] for n in fleet.hosts} == {401}

    async with asyncio.timeout(9.0):
        await fleet.until(refused)
    for name in fleet.hosts:
        withdrawn, valid = {"X-Call": f"old-{name}"}, {"X-Call": f"good-{name}"}
        status, headers, _ = await fleet.call(name, headers=withdrawn)
        assert (status, headers[OUTCOME_HEADER]) == (401, "not_run")
        called = await fleet.call(name, headers=valid, organisation="garage")
        assert called[0] == 200
    await asyncio.sleep(2 * arrival_seconds)
    named = {call: n for call, n in fleet.service.runs.items() if call != "/desk/x"}
    assert named == {f"good-{name}": 1 for name in fleet.hosts}


async def test_planned_stop_interrupts_no_stream(fleet):
    """Guards against a planned stop that interrupts open streams."""
    await fleet.start(3, {"max_in_flight": 100}, a="d0", b="d1")
    for engine in fleet.engines:
        engine.settings.slowdown = 0.0
    calls = [
        asyncio.create_task(fleet.call("a", CHAT, stream=True, max_tokens=300))
        for _ in range(STREAMS)
    ]
    host = fleet.hosts.pop("a")
    await fleet.until(
        lambda: len(host.components.online.open_requests.entries) == STREAMS
    )
    await host.stop_gracefully()
    for status, _, content in await asyncio.gather(*calls):
        assert status == 200 and content.endswith(b"data: [DONE]\n\n")
    assert (await fleet.call("b"))[0] == 200
    assert sum(e.state.run_counts.total() for e in fleet.engines) == STREAMS
    assert {n for e in fleet.engines for n in e.state.run_counts.values()} == {1}


@pytest.mark.parametrize("pause_seconds", [0.0, 0.02, 0.1])
async def test_planned_stop_serves_new_connections(fleet, monkeypatch, pause_seconds):
    """Guards against a planned stop that closes new connections without a response.

    :param pause_seconds: time from opening a connection to sending the request on it
    """
    await fleet.start(2, a="d0", b="d1")
    address, port = fleet.addresses["a"].rsplit(":", 1)
    host = fleet.hosts.pop("a")
    lag = 0.2
    stop = host.settings.stop.model_copy(update={"balancer_lag": lag})
    host.settings = host.settings.model_copy(update={"stop": stop})
    left = asyncio.Event()
    leave = host.components.membership.leave

    async def leave_and_notify() -> None:
        await leave()
        left.set()

    monkeypatch.setattr(host.components.membership, "leave", leave_and_notify)
    stopping = asyncio.create_task(host.stop_gracefully())
    await left.wait()
    await asyncio.sleep(lag - 0.02)
    reader, writer = await asyncio.open_connection(address, int(port))
    await asyncio.sleep(pause_seconds)
    lines = [
        "POST /desk/x HTTP/1.1",
        f"Host: {address}",
        f"Authorization: {fleet.bearer()['Authorization']}",
        "Content-Type: application/json",
        "Content-Length: 2",
    ]
    writer.write("\r\n".join([*lines, "", "{}"]).encode())
    response = await reader.read()
    writer.close()
    assert response.startswith(b"HTTP/1.1 200")
    await stopping


async def test_no_backend_server_sees_a_key(fleet):
    """Guards against an API key that is forwarded to a backend server."""
    await fleet.start(a="d0")
    secret = fleet.keys["depot"].secret
    encoded = f"{secret[:-1]}%{ord(secret[-1]):02x}"
    bearer, plain = fleet.bearer(), {"model": "van-round", "messages": []}
    requests = [
        ("", bearer, plain),
        ("", {"X-Api-Key": secret}, plain),
        (f"?api_key={secret}", {}, plain),
        ("", {"Cookie": f"a=b; primroseford-key={secret}"}, plain),
        ("", bearer | {"X-Copy": secret}, plain),
        ("", bearer | {"Referer": f"http://desk/?api_key={secret}"}, plain),
        ("", bearer | {"Cookie": f"session={secret}; a=b"}, plain),
        (f"?token={secret}&x=1", bearer, plain),
        (f"?token={encoded}&x=1", bearer, plain),
        (f"/{secret}", bearer, plain),
        ("", bearer, plain | {"api_key": secret}),
    ]
    for path in ("/desk/a", CHAT):
        statuses = []
        for path_suffix, headers, body in requests:
            url = fleet.url("a", path + path_suffix)
            async with fleet.client.post(url, json=body, headers=headers) as response:
                statuses.append(response.status)
        assert statuses == [200] * 9 + [400] * 2
    seen = fleet.service.seen_headers + fleet.engines[0].state.seen_headers
    assert len(seen) == 18
    assert all(secret not in unquote(json.dumps(s)) for s in seen)
