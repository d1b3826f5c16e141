from __future__ import annotations

import asyncio

import pytest

from primroseford.standins.engine import create_engine_stand_in
from primroseford.standins.engine_http import create_engine_application
from primroseford.standins.engine_state import EngineSettings
from primroseford.standins.serving import serve

PROMPT = {"prompt": "next", "max_tokens": 6, "stream": True}
HEADERS = {"X-Request-Id": "r1"}


@pytest.fixture
async def engine():
    """Return an engine that serves HTTP at its ``url``."""
    built = create_engine_stand_in(EngineSettings())
    served = await serve(create_engine_application(built))
    built.url = served.url
    yield built
    await served.stop()


async def event_ids(response) -> list[str]:
    text = await response.text()
    return [line[4:] for line in text.splitlines() if line.startswith("id: ")]


async def test_stream_resumes_after_the_last_event(engine, session):
    """Guards against a resume that repeats or skips events."""
    url = f"{engine.url}/v1/completions"
    async with session.post(url, json=PROMPT, headers=HEADERS) as response:
        assert response.headers["X-Request-Id"] == "r1"
        assert await event_ids(response) == list("012345")
    url = f"{engine.url}/v1/streams/r1"
    async with session.get(url, headers={"Last-Event-ID": "2"}) as response:
        assert await event_ids(response) == list("345")
        assert (await response.text()).endswith("data: [DONE]\n\n")


async def test_concurrent_readers_of_a_generation_get_the_same_tokens(
    engine, eventually
):
    """Guards against a token that is generated twice.

    This happens if a stream is resumed while the interrupted one still runs.
    """

    async def collect(tokens) -> list[str]:
        return [token async for _, token in tokens]

    first = asyncio.create_task(collect(engine.generate("r1", "next", 6)))
    await eventually(lambda: "r1" in engine.state.generations)
    generation = engine.state.generations["r1"]
    second = await collect(engine.produce(generation, 0))
    assert await first == second == [f"t{index} " for index in range(6)]


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("GET", "/v1/streams/none", None, 404),
        ("DELETE", "/v1/streams/none", None, 404),
        ("GET", "/v1/cache/events?since=x", None, 400),
        ("POST", "/v1/orders", {"fencing": "x"}, 400),
        ("POST", "/v1/completions", {"prompt": "cannot-be-done"}, 422),
        ("POST", "/v1/completions", {"max_tokens": "x"}, 400),
    ],
)
async def test_invalid_requests_are_rejected(
    engine, session, method, path, body, status
):
    """Guards against an internal error instead of a rejection of invalid requests."""
    async with session.request(method, engine.url + path, json=body) as response:
        assert response.status == status


async def test_load_report(engine, session):
    """Guards against a load report without the fields that routing reads."""
    engine.faults.leaving = True
    async with session.get(f"{engine.url}/v1/load") as response:
        report = await response.json()
    names = {"running", "waiting", "capacity", "measured_ms_ago", "leaving"}
    assert set(report) == names
    assert report["leaving"] is True
