"""Bad input, credentials, withdrawal of keys, queues, drain and the OpenAI client."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import openai
import pytest
from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.tests.conftest import CHAT
from primroseford.online.tests.conftest import until

JSON = {"Content-Type": "application/json"}
BAD = [
    # path, headers, body, status, code
    (CHAT, "depot", JSON, b"{", 400, 1001),
    (CHAT, "depot", JSON, b"[" * 100_000, 400, 1001),
    (CHAT, "depot", JSON, b'{"model": "none"}', 404, 1008),
    (CHAT, "depot", JSON, b'{"model": 3}', 404, 1007),
    ("/nowhere", "depot", {}, b"", 404, 1007),
    ("/desk/x", "", {}, b"", 401, 2001),
    ("/desk/x", "", {"Authorization": "Bearer nonsense"}, b"", 401, 2002),
    ("/desk/x", "other", {}, b"", 403, 2004),
    ("/desk/x", "depot", {}, b"x" * (32 * 1024 * 1024 + 1), 413, 1006),
    ("/desk/x", "depot", {"X-Request-Timeout-Ms": "-1"}, b"", 400, 1003),
    ("/desk/x", "depot", {"X-Request-Timeout-Ms": "0"}, b"", 503, 3003),
    ("/desk/x", "depot", {"Idempotency-Key": "k"}, b"", 503, 5001),
]


@pytest.mark.parametrize("case", BAD, ids=lambda case: f"{case[0]}-{case[5]}")
async def test_bad_input_is_refused_and_not_run(rig, case):
    """Guards against invalid requests that crash the handler or reach a runner."""
    path, organisation, headers, body, status, code = case
    await rig.start()
    if organisation:
        headers = headers | rig.bearer(organisation)
    async with rig.client.post(path, data=body, headers=headers) as answer:
        assert answer.status == status
        assert answer.headers["X-Primroseford-Code"] == str(code)
        assert answer.headers["X-Primroseford-Outcome"] == "not_run"
    name = ResultCode(code).name.lower()
    assert rig.metrics.by_name["refusals_total"].labels(name)._value.get() == 1
    assert not rig.service.runs and not rig.engines[0].state.run_counts


async def test_no_backend_server_sees_a_key(rig):
    """Guards against a key that is forwarded in a header, the query or a cookie."""
    await rig.start()
    secret = rig.keys["depot"].secret
    requests = [
        ("/desk/a?x=1&y=%20", {"Authorization": f"Bearer {secret}"}),
        ("/desk/a?x=1&y=%20", {"X-Api-Key": secret, "Api-Key": secret}),
        (f"/desk/a?x=1&api_key={secret}&y=%20", {}),
        (f"/desk/a?x=1&api%5Fkey={secret}&y=%20", {}),
        ("/desk/a?x=1&y=%20", {"Cookie": f"a=b; primroseford-key={secret}; c=d"}),
    ]
    for path, headers in requests:
        async with rig.client.get(path, headers=headers) as answer:
            assert answer.status == 200
            assert (await answer.json())["path"] == "/desk/a"
    for seen in rig.service.seen_headers:
        assert secret not in json.dumps(seen)
        assert seen[":path"] == "/desk/a?x=1&y=%20"
    assert rig.service.seen_headers[-1]["Cookie"] == "a=b; c=d"
    async with rig.client.get("/open/a", headers=rig.bearer()) as answer:
        assert answer.status == 200
    assert secret not in json.dumps(rig.service.seen_headers[-1])


async def read_all(request):
    async with request as answer:
        return answer, await answer.read()


async def test_withdrawn_key_ends_streams_queued_and_next_requests(rig):
    """Guards against a withdrawn key that stays usable on open connections."""
    await rig.start(pool={"max_in_flight": 1})
    stream = asyncio.create_task(read_all(rig.post(stream=True, max_tokens=9000)))
    await until(lambda: rig.engines[0].state.running)
    queued = asyncio.create_task(read_all(rig.post()))
    await until(lambda: len(rig.state.open_requests.entries) == 2)
    rig.withdraw("depot")
    answer, content = await stream
    assert b'"code": 2003' in content and b"[DONE]" not in content
    answer, _ = await queued
    assert (answer.status, answer.headers["X-Primroseford-Code"]) == (401, "2003")
    assert answer.headers["X-Primroseford-Outcome"] == "not_run"
    answer, _ = await read_all(rig.post())
    assert answer.status == 401
    assert (await read_all(rig.post(organisation="vans")))[0].status == 200


@pytest.mark.parametrize("removed", ["organisation", "route"])
async def test_caller_removed_from_a_route_loses_queued_requests_and_streams(
    rig, removed
):
    """Guards against requests that continue after the caller lost access to a route."""
    await rig.start(pool={"max_in_flight": 1})
    stream = asyncio.create_task(read_all(rig.post(stream=True, max_tokens=9000)))
    await until(lambda: any(e.relays_events for e in rig.state.open_requests.entries))
    queued = asyncio.create_task(read_all(rig.post()))
    await until(lambda: any(w.queue for w in rig.state.allocator.pool_queues.values()))
    if removed == "route":
        del rig.objects["routes", "chat"]
    else:
        rig.objects["routes", "chat"] |= {"organisations": ["vans"]}
    rig.apply()
    assert b'"code": 2004' in (await stream)[1]
    answer, _ = await queued
    assert (answer.status, answer.headers["X-Primroseford-Code"]) == (403, "2004")
    assert answer.headers["X-Primroseford-Outcome"] == "not_run"
    await until(lambda: not rig.state.open_requests.entries)
    assert (
        not rig.state.open_requests.keys.watched_requests
        and not rig.state.open_requests.keys.by_key
    )
    assert sum(rig.engines[0].state.run_counts.values()) == 1


async def test_full_queue_is_refused_with_retry_after(rig):
    """Guards against unbounded queues and rejections without Retry-After."""
    await rig.start(pool={"max_in_flight": 1, "queue_limit": 1})
    first = asyncio.create_task(read_all(rig.post(max_tokens=40)))
    await until(lambda: rig.engines[0].state.running)
    second = asyncio.create_task(read_all(rig.post()))
    await until(lambda: len(rig.state.open_requests.entries) == 2)
    answer, _ = await read_all(rig.post())
    assert answer.headers["X-Primroseford-Code"] == "3002"
    assert int(answer.headers["Retry-After"]) >= 1
    assert (await first)[0].status == (await second)[0].status == 200


async def test_leaving_runners_get_no_new_requests(rig):
    """Guards against requests to a runner that leaves by configuration or list."""
    await rig.start(3)
    rig.pool["runners"][0]["state"] = "leaving"
    rig.apply()
    rig.leaving.add("runner-1")
    rig.tracker.subsets.clear()
    for _ in range(12):
        assert (await read_all(rig.post(max_tokens=1)))[0].status == 200
    counts = [sum(e.state.run_counts.values()) for e in rig.engines]
    assert counts == [0, 0, 12]


async def test_drain_completes_200_streams(rig):
    """Guards against a drain that interrupts requests.

    At the start of the drain, 64 callers have received the first events of their
    stream, and the other 136 requests wait in the queues of the engines.
    """
    await rig.start(4, pool={"max_in_flight": 100})
    for engine in rig.engines:
        engine.settings.slowdown = 0.0
        engine.faults.hold_at_token = 20
    streams = [
        asyncio.create_task(read_all(rig.post(stream=True, max_tokens=100)))
        for _ in range(200)
    ]
    await until(lambda: len(rig.state.open_requests.entries) == 200)
    await until(
        lambda: sum(e.relays_events for e in rig.state.open_requests.entries) == 64
    )
    engines = [engine.state for engine in rig.engines]
    await until(lambda: sum(e.waiting for e in engines) == 136)
    assert [e.running for e in engines] == [16] * 4
    stop = asyncio.create_task(rig.state.drain(20.0))
    await until(lambda: rig.state.draining)
    for engine in rig.engines:
        engine.faults.hold_at_token = -1
    assert await stop == 0
    for answer, content in await asyncio.gather(*streams):
        assert answer.status == 200 and content.endswith(b"data: [DONE]\n\n")
        assert content.count(b"\n\n") == 101
    await until(lambda: not any(c.transport for c in rig.state.connections))


async def test_drain_timeout_ends_streams_with_an_error_event(rig):
    """Guards against an unbounded drain, and streams that end without an error."""
    await rig.start()
    stream = asyncio.create_task(read_all(rig.post(stream=True, max_tokens=9000)))
    await until(lambda: rig.engines[0].state.running)
    await until(lambda: any(e.response for e in rig.state.open_requests.entries))
    assert await rig.state.drain(0.05) == 1
    assert b'"code": 3005' in (await stream)[1]


class Permit:
    """A token that counts refunds."""

    def __init__(self, limiter):
        self.limiter = limiter

    def refund(self):
        self.limiter.refunded += 1


class FakeLimiter:
    """A rate limiter with a fixed number of tokens."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.refunded = 0

    async def acquire(self, organisation, amount, deadline):
        if not self.tokens:
            raise PrimrosefordError(ResultCode.RATE_LIMITED, "rate", retry_after=2.5)
        self.tokens -= amount
        return Permit(self)


async def test_token_is_refunded_only_if_the_request_did_not_run(rig):
    """Guards against tokens that are lost on rejections or refunded after a run."""
    limiter = FakeLimiter(3)
    await rig.start(limiter=limiter)
    assert (await read_all(rig.post()))[0].status == 200
    rig.engines[0].faults.die_before_answer = True
    assert (await read_all(rig.post()))[0].status == 502
    assert limiter.refunded == 0
    rig.put("pools", "engines", {"runners": []})
    rig.apply()
    assert (await read_all(rig.post()))[0].status == 503
    assert limiter.refunded == 1
    answer, _ = await read_all(rig.post())
    assert (answer.status, answer.headers["Retry-After"]) == (429, "3")


async def test_catch_all_route_does_not_hide_later_routes(rig):
    """Guards against batch routes that are hidden by the catch-all route."""

    async def files(request):
        return web.Response(text="files")

    await rig.start(prepare=lambda app: app.router.add_get("/v1/files", files))
    async with rig.client.get("/v1/files") as answer:
        assert await answer.text() == "files"


async def test_gate_refuses_before_anything_runs(rig):
    """Guards against a stopping host that admits requests."""

    def gate():
        raise PrimrosefordError(ResultCode.HOST_STOPPING, "stopping", retry_after=1)

    await rig.start(gate=gate)
    answer, _ = await read_all(rig.post())
    assert answer.headers["X-Primroseford-Code"] == "3005"


async def test_openai_client_works_unmodified(rig):
    """Guards against responses that OpenAI's client library cannot parse."""
    await rig.start()
    async with openai.AsyncOpenAI(
        base_url=rig.url + "/v1", api_key=rig.keys["depot"].secret, max_retries=0
    ) as client:
        assert [m.id async for m in await client.models.list()] == ["van-round"]
        chat = {"model": "van-round", "messages": [{"role": "user", "content": "x"}]}
        whole = await client.chat.completions.create(**chat, max_tokens=3)
        assert whole.choices[0].message.content == "t0 t1 t2 "
        stream = await client.chat.completions.create(**chat, max_tokens=3, stream=True)
        parts = [chunk.choices[0].delta.content async for chunk in stream]
        assert parts == ["t0 ", "t1 ", "t2 "]
        text = {"model": "van-round", "prompt": "x", "max_tokens": 2}
        assert (await client.completions.create(**text)).choices[0].text == "t0 t1 "
        stream = await client.completions.create(**text, stream=True)
        assert [c.choices[0].text async for c in stream] == ["t0 ", "t1 "]
        vectors = await client.embeddings.create(model="van-round", input=["a", "b"])
        assert len(vectors.data) == 2
        rig.engines[0].faults.omit_end_mark = True
        stream = await client.chat.completions.create(**chat, stream=True)
        with pytest.raises(openai.APIError):
            [chunk async for chunk in stream]
        rig.withdraw("depot")
        with pytest.raises(openai.AuthenticationError):
            await client.models.list()


async def test_response_headers_and_timeout_are_forwarded(rig):
    """Guards against lost response headers and a timeout that restarts at the host."""
    await rig.start()
    headers = rig.bearer() | {"X-Request-Timeout-Ms": "900"}
    async with rig.client.delete("/desk/a", headers=headers) as answer:
        assert answer.status == 200
        assert (await answer.json())["method"] == "DELETE"
    left = int(rig.service.seen_headers[0]["X-Request-Timeout-Ms"])
    assert 0 < left <= 900
    assert isinstance(rig.client, aiohttp.ClientSession)
