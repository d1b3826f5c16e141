"""HTTP interface of the stand-in for a model engine."""

from __future__ import annotations

import asyncio
import json
import time
import uuid
from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.standins.control import add_control_routes
from primroseford.standins.control import field_names
from primroseford.standins.engine import cache_events_since
from primroseford.standins.engine import encode_event
from primroseford.standins.engine import prompt_text
from primroseford.standins.engine import read_counters
from primroseford.standins.engine import record_headers

if TYPE_CHECKING:
    from primroseford.standins.engine import EngineStandIn

DEFAULT_MAX_TOKENS = 16
HANG_SECONDS = 3600.0
INVALID_TEXT = "cannot-be-done"
"""A prompt with this text is rejected with 422, a permanent failure of the item."""
ENGINE_KEY: web.AppKey = web.AppKey("engine", object)


def create_engine_application(engine: EngineStandIn) -> web.Application:
    """Return the HTTP application that serves an engine.

    :param engine: the engine to serve
    """
    app = web.Application(client_max_size=32 * 1024 * 1024)
    app[ENGINE_KEY] = engine
    app.router.add_post("/v1/chat/completions", _generate)
    app.router.add_post("/v1/completions", _generate)
    app.router.add_post("/v1/embeddings", _embed)
    app.router.add_get("/v1/streams/{id}", _resume)
    app.router.add_delete("/v1/streams/{id}", _cancel)
    app.router.add_get("/v1/load", _report_load)
    app.router.add_get("/v1/models", _list_models)
    app.router.add_get("/v1/cache/events", _list_cache_events)
    app.router.add_post("/v1/orders", _accept_order)
    faults = engine.faults
    add_control_routes(app, faults, field_names(faults), lambda: read_counters(engine))
    return app


def _engine(request: web.Request) -> EngineStandIn:
    return request.app[ENGINE_KEY]


async def _read_body(request: web.Request) -> dict:
    try:
        body = json.loads(await request.read())
    except ValueError as error:
        raise web.HTTPBadRequest(text="request body is not valid JSON") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="request body is not a JSON object")
    return body


def _number(value: object) -> int:
    try:
        return int(value)  # type: ignore[call-overload]
    except (TypeError, ValueError) as error:
        raise web.HTTPBadRequest(text=f"{value!r} is not a number") from error


async def _apply_faults(request: web.Request, prompt: str) -> web.Response | None:
    faults = _engine(request).faults
    if faults.refuse_status:
        headers = {"Retry-After": "1"} if faults.refuse_status in (429, 503) else {}
        return web.json_response(
            {"error": {"message": "refused"}},
            status=faults.refuse_status,
            headers=headers,
        )
    if INVALID_TEXT in prompt:
        return web.json_response({"error": {"message": "invalid item"}}, status=422)
    matches_deadly_text = bool(faults.deadly_text) and faults.deadly_text in prompt
    if faults.die_before_answer or matches_deadly_text:
        _abort_connection(request)
    if faults.hang:
        await asyncio.sleep(HANG_SECONDS)
    await asyncio.sleep(faults.answer_delay_seconds)
    return None


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def _response_request_id(request: web.Request, request_id: str) -> str:
    wrong = _engine(request).faults.wrong_request_id
    return uuid.uuid4().hex if wrong else request_id


async def _generate(request: web.Request) -> web.StreamResponse:
    engine = _engine(request)
    record_headers(engine, request)
    body = await _read_body(request)
    prompt = prompt_text(body)
    request_id = request.headers.get("X-Request-Id", uuid.uuid4().hex)
    refusal = await _apply_faults(request, prompt)
    if refusal is not None:
        return refusal
    limit = _number(body.get("max_tokens", body.get("max_completion_tokens")) or 0)
    tokens = engine.generate(request_id, prompt, limit or DEFAULT_MAX_TOKENS)
    chat = request.path.endswith("chat/completions")
    if body.get("stream"):
        return await _stream(request, request_id, tokens, body, chat)
    text = "".join([token async for _, token in tokens])
    response = _complete_response(request_id, body, text, chat)
    if engine.faults.cut_after_tokens >= 0:
        _abort_connection(request)
    headers = {"X-Request-Id": _response_request_id(request, request_id)}
    return web.json_response(response, headers=headers)


def _complete_response(request_id: str, body: dict, text: str, chat: bool) -> dict:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "finish_reason": "stop"}
    count = len(text.split())
    usage = {"prompt_tokens": 1, "completion_tokens": count, "total_tokens": count + 1}
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": int(time.time()),
        "model": body.get("model", ""),
        "choices": [choice | ({"message": message} if chat else {"text": text})],
        "usage": usage,
    }


def _chunk(request_id: str, body: dict, text: str, chat: bool) -> dict:
    delta = {"delta": {"content": text}} if chat else {"text": text}
    return {
        "id": request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": int(time.time()),
        "model": body.get("model", ""),
        "choices": [{"index": 0, "finish_reason": None} | delta],
    }


async def _stream(request, request_id: str, tokens, body: dict, chat: bool):
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    response.headers["X-Request-Id"] = _response_request_id(request, request_id)
    await response.prepare(request)
    faults = _engine(request).faults
    async for index, token in tokens:
        if 0 <= faults.cut_after_tokens <= index and faults.cuts > 0:
            faults.cuts -= 1
            _abort_connection(request)
            return response
        event = _chunk(request_id, body, token, chat)
        await response.write(encode_event(index, event))
    if not faults.omit_end_mark:
        await response.write(b"data: [DONE]\n\n")
    return response


async def _resume(request: web.Request) -> web.StreamResponse:
    engine = _engine(request)
    request_id = request.match_info["id"]
    generation = engine.state.generations.get(request_id)
    if generation is None or generation.cancelled:
        raise web.HTTPNotFound(text="no such stream")
    start = _number(request.headers.get("Last-Event-ID", "-1")) + 1
    chat = request.query.get("chat", "1") == "1"
    async with engine.occupy_slot():
        tokens = engine.produce(generation, start)
        return await _stream(request, request_id, tokens, {}, chat)


async def _cancel(request: web.Request) -> web.Response:
    generation = _engine(request).state.generations.get(request.match_info["id"])
    if generation is None:
        raise web.HTTPNotFound(text="no such stream")
    generation.cancelled = True
    return web.Response(status=204)


async def _embed(request: web.Request) -> web.Response:
    engine = _engine(request)
    record_headers(engine, request)
    body = await _read_body(request)
    request_id = request.headers.get("X-Request-Id", uuid.uuid4().hex)
    refusal = await _apply_faults(request, prompt_text(body))
    if refusal is not None:
        return refusal
    engine.state.run_counts[request_id] += 1
    async with engine.occupy_slot():
        await asyncio.sleep(engine.settings.prefill_seconds)
    inputs = body.get("input", "")
    count = len(inputs) if isinstance(inputs, list) else 1
    vectors = [
        {"object": "embedding", "index": i, "embedding": [0.0, 1.0]}
        for i in range(count)
    ]
    usage = {"prompt_tokens": count, "total_tokens": count}
    response = {"object": "list", "data": vectors, "model": body.get("model", "")}
    headers = {"X-Request-Id": _response_request_id(request, request_id)}
    return web.json_response(response | {"usage": usage}, headers=headers)


async def _report_load(request: web.Request) -> web.Response:
    engine = _engine(request)
    measured_at, running, waiting = engine.delayed_load()
    age = (time.monotonic() - measured_at) * 1000
    return web.json_response(
        {
            "running": running,
            "waiting": waiting,
            "capacity": engine.settings.capacity,
            "measured_ms_ago": round(age),
            "leaving": engine.state.leaving or engine.faults.leaving,
        }
    )


async def _list_models(request: web.Request) -> web.Response:
    models = [
        {"id": name, "object": "model", "created": 0, "owned_by": "primroseford"}
        for name in _engine(request).settings.models
    ]
    return web.json_response({"object": "list", "data": models})


async def _list_cache_events(request: web.Request) -> web.Response:
    since = max(0, _number(request.query.get("since", "0")))
    return web.json_response({"events": cache_events_since(_engine(request), since)})


async def _accept_order(request: web.Request) -> web.Response:
    engine = _engine(request)
    order = await _read_body(request)
    fencing = _number(order.get("fencing", 0))
    if engine.settings.checks_fencing and fencing < engine.state.fencing:
        engine.state.refused_orders += 1
        return web.json_response({"error": "old fencing number"}, status=409)
    engine.state.fencing = max(engine.state.fencing, fencing)
    engine.state.orders.append(order)
    if order.get("order") == "load_model":
        _load_model(engine, str(order.get("model", "")))
    if engine.faults.hang_orders:
        await asyncio.sleep(HANG_SECONDS)
    if engine.faults.lose_order_answers > 0:
        engine.faults.lose_order_answers -= 1
        _abort_connection(request)
    return web.json_response({"accepted": True})


def _load_model(engine: EngineStandIn, model: str) -> None:
    def finish() -> None:
        engine.state.loading -= 1
        if model not in engine.settings.models:
            engine.settings.models.append(model)

    engine.state.loading += 1
    if engine.settings.load_seconds:
        loop = asyncio.get_running_loop()
        loop.call_later(engine.settings.load_seconds, finish)
    else:
        finish()
