from __future__ import annotations

import asyncio

import pytest
from aiohttp import web

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import Version
from primroseford.platform import transport
from primroseford.platform.client import create_platform_client
from primroseford.platform.objects import PlatformObject
from primroseford.platform.writes import ReadBackResult
from primroseford.platform.writes import Write
from primroseford.platform.writes import WriteVerb
from primroseford.platform.writes import evaluate_read_back
from primroseford.standins.serving import serve

OWN = "own-operation"


def found(version: int, operation: str) -> PlatformObject:
    return PlatformObject("jobs", "a", Version(version), {}, operation=operation)


async def send(client, verb: WriteVerb, version: Version):
    if verb is WriteVerb.CREATE:
        return await client.create("jobs", "new", {"n": 2})
    if verb is WriteVerb.UPDATE:
        return await client.update("jobs", "a", {"n": 2}, version)
    return await client.delete("jobs", "a", version)


@pytest.mark.parametrize(
    ("verb", "item", "verdict"),
    [
        (WriteVerb.CREATE, None, ReadBackResult.RETRY),
        (WriteVerb.CREATE, found(9, OWN), ReadBackResult.DONE),
        (WriteVerb.CREATE, found(9, "other"), ReadBackResult.CONFLICT),
        (WriteVerb.UPDATE, None, ReadBackResult.ABSENT),
        (WriteVerb.UPDATE, found(9, OWN), ReadBackResult.DONE),
        (WriteVerb.UPDATE, found(9, "other"), ReadBackResult.CONFLICT),
        (WriteVerb.UPDATE, found(5, "other"), ReadBackResult.RETRY),
        (WriteVerb.DELETE, None, ReadBackResult.DONE),
        (WriteVerb.DELETE, found(5, "other"), ReadBackResult.RETRY),
        (WriteVerb.DELETE, found(9, "other"), ReadBackResult.CONFLICT),
    ],
)
def test_read_back_verdict(verb, item, verdict):
    """Guards against a lost response that is treated as a failure or a success."""
    write = Write(verb, "jobs", "a", OWN, Version(5))
    assert evaluate_read_back(write, item) is verdict


@pytest.mark.parametrize("verb", list(WriteVerb))
@pytest.mark.parametrize("lost", [1, 3])
async def test_answer_lost_after_effect(platform, client, verb, lost):
    """Guards against a second effect or a false conflict after a lost response."""
    version = (await client.create("jobs", "a", {"n": 1})).version
    platform.faults.lose_write_answers = lost
    await send(client, verb, version)
    assert platform.state.version == version + 1
    sent = platform.state.calls[verb.value, "jobs"]
    assert sent == (2 if verb is WriteVerb.CREATE else 1)


@pytest.mark.parametrize("verb", list(WriteVerb))
async def test_write_lost_before_effect(platform, client, verb):
    """Guards against a missing retry when the service never received the write."""
    version = (await client.create("jobs", "a", {"n": 1})).version
    platform.faults.lose_writes = 1
    await send(client, verb, version)
    assert platform.state.version == version + 1


@pytest.mark.parametrize("verb", list(WriteVerb))
async def test_service_unavailable_after_the_write(platform, client, verb):
    """Guards against a definite result for a write whose outcome is unknown."""
    version = (await client.create("jobs", "a", {"n": 1})).version
    platform.faults.lose_write_answers = 1
    platform.faults.down_after_writes = 1
    with pytest.raises(PrimrosefordError) as caught:
        await send(client, verb, version)
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE
    assert caught.value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("verb", list(WriteVerb))
async def test_connection_refused_is_not_run(session, verb):
    """Guards against an unknown outcome for a write that was never sent."""
    client = create_platform_client("http://127.0.0.1:1", session)
    with pytest.raises(PrimrosefordError) as caught:
        await send(client, verb, Version(1))
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE
    assert caught.value.outcome is Outcome.NOT_RUN


async def test_slow_service_times_out_as_unknown(platform, client, monkeypatch):
    """Guards against an unbounded wait for a slow service."""
    monkeypatch.setattr(transport, "CALL_TIMEOUT_SECONDS", 0.05)
    platform.faults.delay_seconds = 30.0
    with pytest.raises(PrimrosefordError) as caught:
        await client.create("jobs", "a", {})
    assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE
    assert caught.value.outcome is Outcome.MAY_HAVE_RUN


@pytest.mark.parametrize("lost", [0, 1])
async def test_two_racing_writers_have_one_winner(platform, client, lost):
    """Guards against success reported to two writers of one version."""
    version = (await client.create("jobs", "a", {})).version
    platform.faults.lose_write_answers = lost
    results = await asyncio.gather(
        client.update("jobs", "a", {"by": 1}, version),
        client.update("jobs", "a", {"by": 2}, version),
        return_exceptions=True,
    )
    errors = [item for item in results if isinstance(item, PrimrosefordError)]
    (winner,) = [item for item in results if isinstance(item, PlatformObject)]
    assert [error.code for error in errors] == [ResultCode.VERSION_CONFLICT]
    assert (await client.get("jobs", "a")).spec == winner.spec


@pytest.mark.parametrize(
    ("verb", "code"),
    [
        (WriteVerb.UPDATE, ResultCode.VERSION_CONFLICT),
        (WriteVerb.DELETE, ResultCode.VERSION_CONFLICT),
        (WriteVerb.CREATE, ResultCode.ALREADY_EXISTS),
    ],
)
async def test_plain_conflict_costs_one_call(platform, client, verb, code):
    """Guards against an additional read, which the service counts, per lost race."""
    await client.create("jobs", "new", {})
    await client.create("jobs", "a", {})
    before = platform.state.calls.total()
    with pytest.raises(PrimrosefordError) as caught:
        await send(client, verb, Version(1))
    assert (caught.value.code, caught.value.outcome) == (code, Outcome.NOT_RUN)
    assert platform.state.calls.total() == before + 1


async def test_oversized_object_is_refused_unsent(platform, client):
    """Guards against sending an object that the service would refuse."""
    with pytest.raises(PrimrosefordError) as caught:
        await client.create("jobs", "a", {"text": "x" * 1_000_000})
    assert caught.value.code is ResultCode.BODY_TOO_LARGE
    assert not platform.state.calls


async def test_calls_are_counted_by_purpose_and_verb(client, metrics):
    """Guards against calls that are not attributed to a mechanism."""
    await client.create("jobs", "a", {}, purpose="batch")
    await client.list("jobs", purpose="batch")
    await client.get("jobs", "a", purpose="batch")
    for verb in ("POST", "LIST", "GET"):
        labels = {"purpose": "batch", "verb": verb}
        name = "primroseford_platform_calls_total"
        assert metrics.registry.get_sample_value(name, labels) == 1


@pytest.mark.parametrize("verb", list(WriteVerb))
async def test_rate_limited_service_refuses_unsent(platform, client, verb):
    """Guards against retries that add load to a rate-limited service."""
    platform.faults.calls_per_second = 1e-9
    with pytest.raises(PrimrosefordError) as caught:
        await send(client, verb, Version(1))
    assert caught.value.code is ResultCode.CALLS_LIMITED
    assert caught.value.outcome is Outcome.NOT_RUN
    assert platform.state.calls.total() == 1


@pytest.mark.parametrize("content", [b"", b"{", b"[]", b"{}", b'{"metadata": 1}'])
async def test_malformed_answer_is_unavailable(client, session, content):
    """Guards against exceptions without a result code after a malformed response."""

    async def answer(_) -> web.Response:
        return web.Response(body=content)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    served = await serve(app)
    client.transport.base_url = served.url
    for call in (client.get("jobs", "a"), client.list("jobs")):
        with pytest.raises(PrimrosefordError) as caught:
            await call
        assert caught.value.code is ResultCode.PLATFORM_UNAVAILABLE
    with pytest.raises(PrimrosefordError) as caught:
        await client.create("jobs", "a", {})
    assert caught.value.outcome is Outcome.MAY_HAVE_RUN
    await served.stop()
