"""Runner failures, late and mismatched responses, and streams."""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import RawTestServer

from primroseford.online.events import EventSplitter
from primroseford.online.tests.conftest import until
from primroseford.standins.engine_state import Generation
from primroseford.standins.serving import serve

FAULTS = [
    # fault, stream, repeatable, status, code, outcome, runs at most
    ("die_before_answer", False, False, 502, 4002, "may_have_run", 1),
    ("die_before_answer", True, False, 502, 4002, "may_have_run", 1),
    ("wrong_request_id", False, False, 502, 4005, "may_have_run", 1),
    ("wrong_request_id", True, False, 502, 4005, "may_have_run", 1),
    ("hang", False, False, 504, 4003, "may_have_run", 1),
    ("hang", True, True, 504, 4003, "may_have_run", 1),
    ("wrong_request_id", False, True, 502, 4005, "may_have_run", 4),
]


@pytest.mark.parametrize("case", FAULTS)
async def test_failure_before_the_first_byte_has_a_correct_outcome(rig, case):
    """Guards against false outcomes and retries of non-repeatable requests."""
    fault, stream, repeatable, status, code, outcome, runs = case
    await rig.start(route={"repeatable": repeatable, "timeout_seconds": 0.3})
    setattr(rig.engines[0].faults, fault, True)
    async with rig.post(stream=stream) as answer:
        assert answer.status == status
        assert answer.headers["X-Primroseford-Code"] == str(code)
        assert answer.headers["X-Primroseford-Outcome"] == outcome
        assert (await answer.json())["error"]["outcome"] == outcome
    assert sum(rig.engines[0].state.run_counts.values()) <= runs


async def test_repeatable_request_moves_to_another_runner(rig):
    """Guards against a reported failure while a healthy runner is available."""
    await rig.start(2, route={"repeatable": True})
    rig.engines[0].faults.die_before_answer = True
    for _ in range(20):
        async with rig.post(max_tokens=2) as answer:
            assert answer.status == 200
    assert rig.tracker.pool_views(rig.store.current().pools["engines"])


async def test_unreachable_runner_is_not_run(rig):
    """Guards against a false outcome when the connection is refused."""
    await rig.start(0)
    gone = rig.runner("gone", "http://127.0.0.1:1")
    rig.put("pools", "engines", {"runners": [gone]})
    rig.apply()
    async with rig.post() as answer:
        assert answer.status == 502
        assert answer.headers["X-Primroseford-Outcome"] == "not_run"


async def events_of(answer):
    text = (await answer.read()).decode()
    return [part for part in text.split("\n\n") if part]


def tokens_of(events):
    bodies = [json.loads(e.split("data: ")[1]) for e in events if "choices" in e]
    return [body["choices"][0]["delta"]["content"] for body in bodies]


async def test_interrupted_stream_is_resumed_without_loss_or_repetition(rig):
    """Guards against lost or repeated events when a runner's connection breaks."""
    await rig.start()
    faults = rig.engines[0].faults
    faults.cut_after_tokens, faults.cuts = 3, 1
    async with rig.post(stream=True, max_tokens=9) as answer:
        first = await answer.content.readuntil(b"\n\n")
        events = await events_of(answer)
    assert rig.metrics.by_name["stream_resumes_total"]._value.get() == 1
    assert answer.status == 200 and events[-1] == "data: [DONE]"
    tokens = tokens_of([first.decode(), *events])
    assert tokens == [f"t{n} " for n in range(9)]


@pytest.mark.parametrize("fault", [{"omit_end_mark": True}, {"cut_after_tokens": 2}])
async def test_stream_that_cannot_be_completed_ends_with_an_error_event(rig, fault):
    """Guards against a truncated stream that appears complete."""
    await rig.start()
    for name, value in fault.items():
        setattr(rig.engines[0].faults, name, value)
    async with rig.post(stream=True, max_tokens=4) as answer:
        events = await events_of(answer)
    assert events[-1].startswith("event: error\n")
    assert '"code": 4004' in events[-1] and "data: [DONE]" not in events
    tokens = tokens_of(events)
    assert tokens == [f"t{n} " for n in range(len(tokens))]


class StreamsOfOthers(OrderedDict):
    """Streams of an engine that has lost its own and knows those of all others."""

    def get(self, request_id: str) -> Generation | None:
        """Return the stream of another engine."""
        if request_id in self:
            return None
        return Generation([f"other{number} " for number in range(9)], 9)


@pytest.mark.parametrize("repeatable", [False, True])
async def test_stream_goes_on_only_at_the_engine_that_began_it(rig, repeatable):
    """Guards against a stream with events of two software versions."""
    await rig.start(2, route={"repeatable": repeatable})
    for engine in rig.engines:
        engine.state.generations = StreamsOfOthers()
        engine.faults.cut_after_tokens, engine.faults.cuts = 3, 1
    async with rig.post(stream=True, max_tokens=9) as answer:
        events = await events_of(answer)
    assert tokens_of(events) == [f"t{number} " for number in range(3)]
    assert events[-1].startswith("event: error\n") and '"code": 4004' in events[-1]
    assert rig.metrics.by_name["stream_resumes_total"]._value.get() == 1
    assert sum(len(engine.state.seen_headers) for engine in rig.engines) == 1


async def test_late_response_is_not_returned_for_the_next_request(rig):
    """Guards against a response that arrives after its request timed out."""
    await rig.start(route={"timeout_seconds": 0.2})
    rig.engines[0].faults.answer_delay_seconds = 0.3
    async with rig.post(content="one", max_tokens=1) as late:
        assert late.status == 504
    rig.engines[0].faults.answer_delay_seconds = 0.0
    for count in range(2, 12):
        async with rig.post(max_tokens=count) as answer:
            body = await answer.json()
            assert body["usage"]["completion_tokens"] == count
            assert body["id"] == answer.headers["X-Request-Id"]


@pytest.mark.parametrize("stream", [True, False])
async def test_disconnected_caller_cancels_the_request_at_the_runner(rig, stream):
    """Guards against runners that keep processing requests of disconnected callers."""
    await rig.start()
    state = rig.engines[0].state
    request = asyncio.create_task(_read_all(rig.post(stream=stream, max_tokens=5000)))
    await until(lambda: any(len(g.tokens) > 3 for g in state.generations.values()))
    request.cancel()
    await until(lambda: all(g.cancelled for g in state.generations.values()))
    await until(lambda: not rig.state.open_requests.entries)
    views = rig.tracker.pool_views(rig.store.current().pools["engines"])
    assert [view.in_flight for view in views] == [0]


async def _read_all(request):
    async with request as answer:
        return answer.status, await answer.read()


@pytest.mark.parametrize(
    ("path", "method", "runs"),
    [("/desk/invoice", "POST", 1), ("/desk/invoice", "PUT", 1), ("/again/x", "PUT", 4)],
)
async def test_connection_lost_after_the_body_was_sent(rig, path, method, runs):
    """Guards against a second run of a non-repeatable request.

    aiohttp's client retries PUT by itself on a reused connection, so the test first
    makes a request that leaves a connection open.
    """
    await rig.start()
    async with rig.client.request(method, path, headers=rig.bearer()) as answer:
        assert answer.status == 200
    rig.service.cut_after_run = True
    headers = rig.bearer() | {"X-Call": "invoice-1"}
    async with rig.client.request(
        method, path, data=b"x" * 100, headers=headers
    ) as answer:
        assert answer.status == 502
        assert answer.headers["X-Primroseford-Outcome"] == "may_have_run"
    assert rig.service.runs["invoice-1"] == runs


async def test_refusals_in_a_burst_are_retried_elsewhere_and_honoured(rig):
    """Guards against failed requests when a runner rejects them with Retry-After."""
    await rig.start(2, pool={"not_run_statuses": [429]})
    rig.engines[0].faults.refuse_status = 429
    answers = await asyncio.gather(*(_read_all(rig.post()) for _ in range(8)))
    assert [status for status, _ in answers] == [200] * 8
    before = len(rig.engines[0].state.seen_headers)
    await asyncio.gather(*(_read_all(rig.post()) for _ in range(8)))
    assert len(rig.engines[0].state.seen_headers) == before


async def test_slow_caller_stops_the_reading_from_the_runner(rig):
    """Guards against unbounded buffering when a caller reads slowly."""
    await rig.start(pool={"runner_kind": "service"})
    sent = 0

    async def endless(request):
        nonlocal sent
        response = aiohttp.web.StreamResponse()
        response.headers["X-Request-Id"] = request.headers["X-Request-Id"]
        response.content_type = "text/event-stream"
        await response.prepare(request)
        while True:
            await response.write(b"data: " + b"x" * 65536 + b"\n\n")
            sent += 1

    app = aiohttp.web.Application()
    app.router.add_post("/v1/chat/completions", endless)
    served = await serve(app)
    rig.stops.append(served.stop)
    rig.put("pools", "engines", {"runners": [rig.runner("endless", served.url)]})
    rig.apply()
    async with rig.post() as answer:
        await answer.content.readany()
        seen, unchanged = -1, 0

        def reading_has_stopped():
            nonlocal seen, unchanged
            unchanged = unchanged + 1 if seen == sent else 0
            seen = sent
            return unchanged == 100 or sent >= 1000

        await until(reading_has_stopped)
        assert sent < 1000


async def test_interrupted_service_stream_is_aborted_for_the_caller(rig):
    """Guards against an error event that is appended to a partial event."""
    await rig.start()

    async def partial(request):
        response = aiohttp.web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await response.write(b"data: a\n\ndata: par")
        await until(lambda: any(e.response for e in rig.state.open_requests.entries))
        request.transport.abort()
        return response

    app = aiohttp.web.Application()
    app.router.add_get("/desk/stream", partial)
    served = await serve(app)
    rig.stops.append(served.stop)
    runners = [rig.runner("partial", served.url)]
    rig.put("pools", "desk", {"runner_kind": "service", "runners": runners})
    rig.apply()
    with pytest.raises(aiohttp.ClientPayloadError):
        async with rig.client.get("/desk/stream", headers=rig.bearer()) as answer:
            await answer.read()


@pytest.mark.parametrize(
    ("received", "resumable"),
    [
        (b"id: 1\ndata: a\n\n", True),
        (b"id: \xff\ndata: a\n\n", False),
        (b"id: 1\ndata: a\n\nid: \xff\ndata: b\n\n", False),
    ],
)
def test_stream_is_resumed_without_its_last_event_id(received, resumable):
    """Guards against a stream that is resumed at its start."""
    splitter = EventSplitter()
    splitter.feed(received)
    assert splitter.can_resume() == resumable
    assert (splitter.last_event_id() is not None) == resumable


@pytest.mark.parametrize(
    ("stream", "is_complete"),
    [
        (b"data: one\n\n", True),
        (b"data: one\r\n\r\n", True),
        (b"", True),
        (b"data: one\n\ndata: tw", False),
        (b"data: one\n", False),
    ],
)
async def test_service_stream_that_ends_inside_an_event_looks_complete(
    rig, stream, is_complete
):
    """Guards against a stream without its end that ends as a complete one."""
    await rig.start()

    async def respond(request):
        headers = {"X-Request-Id": request.headers["X-Request-Id"]}
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await response.write(stream)
        return response

    server = RawTestServer(respond)
    await server.start_server()
    rig.stops.append(server.close)
    runner = rig.runner("streams", f"{server.host}:{server.port}")
    rig.put("pools", "desk", {"runner_kind": "service", "runners": [runner]})
    rig.apply()
    async with rig.post("/desk/x", data=b"") as answer:
        if is_complete:
            assert await answer.read() == stream
        else:
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()
