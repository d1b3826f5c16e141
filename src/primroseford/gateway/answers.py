"""Passes the answers of runners on to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.errors import ResultCode
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import read_bounded
from primroseford.gateway.request_context import CutShort
from primroseford.gateway.request_context import RequestContext
from primroseford.platform.runner_calls import response_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway

HELD_BYTES = 128 * 1024
"""Part of an answer that is not a stream which is held back until the answer is whole,
so that a request can be sent again; longer answers are passed on as they come."""


async def relay_whole(
    gateway: Gateway,
    flow: RequestContext,
    runner: RunnerState,
    answer: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
) -> web.StreamResponse:
    """Pass on an answer that is not a stream, once it is whole or too long to hold."""
    if flow.response is not None:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, f"resuming gave status {answer.status}"
        )
    if answer.status >= 500 and flow.route.repeatable:
        if flow.runs + 1 < flow.route.max_attempts:
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED, f"the runner gave {answer.status}"
            )
    held = bytearray()
    try:
        async for chunk in read_bounded(answer):
            held += chunk
            if len(held) > HELD_BYTES:
                inactivity.reset()
                await _pass_on(gateway, flow, answer, bytes(held))
                held.clear()
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.RUNNER_FAILED, f"the answer was cut: {describe_error(error)}"
        ) from error
    seconds = gateway.clock() - flow.started
    runner.latency += 0.1 * (seconds - runner.latency) if runner.latency else seconds
    if flow.response is not None:
        return await _end(gateway, flow, answer, bytes(held))
    flow.first_after = seconds
    response = web.Response(
        status=answer.status, body=bytes(held), headers=response_headers(answer)
    )
    if gateway.stopping:
        response.force_close()
    return response


async def relay_stream(
    gateway: Gateway,
    flow: RequestContext,
    runner: RunnerState,
    answer: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
    on_event: Callable[[], None],
) -> web.StreamResponse:
    """Pass on the events of a stream as they come.

    Only whole events are a sign of life: a runner that has stalled may still send a
    byte now and then.

    :param on_event: called when events have come
    """
    splitter = flow.splitter
    splitter.restart()
    sent_at = flow.started + flow.placed_after
    resumable = flow.route.resumable
    try:
        async for chunk in read_bounded(answer):
            events = splitter.feed(chunk)
            if events:
                inactivity.reset()
                on_event()
                runner.last_byte = gateway.clock()
                if flow.response is None and len(flow.runners) == 1:
                    gateway.allocator.note_first_event(
                        runner, runner.last_byte - sent_at
                    )
            data = events if resumable else chunk
            if data:
                await _pass_on(gateway, flow, answer, data)
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, f"the stream broke: {describe_error(error)}"
        ) from error
    if splitter.pending:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, "the stream ended inside an event"
        )
    return await _end(gateway, flow, answer, b"")


async def _end(
    gateway: Gateway, flow: RequestContext, answer: aiohttp.ClientResponse, data: bytes
) -> web.StreamResponse:
    """Pass on the last bytes of an answer and its end."""
    if data or flow.response is None:
        await _pass_on(gateway, flow, answer, data)
    try:
        await flow.response.write_eof()
    except OSError as error:
        raise CutShort(
            may_have_run_error(ResultCode.STREAM_TRUNCATED, "the caller left")
        ) from error
    return flow.response


async def _pass_on(
    gateway: Gateway, flow: RequestContext, answer: aiohttp.ClientResponse, data: bytes
) -> None:
    try:
        if flow.response is None:
            flow.first_after = gateway.clock() - flow.started
            response = web.StreamResponse(
                status=answer.status, headers=response_headers(answer)
            )
            if gateway.stopping:
                response.force_close()
            flow.response = response
            await response.prepare(flow.request)
        if data:
            await flow.response.write(data)
    except OSError as error:
        raise CutShort(
            may_have_run_error(ResultCode.STREAM_TRUNCATED, "the caller left")
        ) from error
