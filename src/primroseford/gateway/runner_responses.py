"""Relays the responses of runners to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.errors import ResultCode
from primroseford.gateway.exchange import EXCHANGE_ERRORS
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import describe_error
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import read_bounded
from primroseford.gateway.request_context import RequestContext
from primroseford.gateway.request_context import ResponseAborted
from primroseford.gateway.resumption import record_origin
from primroseford.online.events import EVENT_END_BYTES
from primroseford.online.events import EVENT_STREAM
from primroseford.online.events import count_events
from primroseford.online.events import ends_after_event
from primroseford.platform.runner_calls import response_headers
from primroseford.runner_speed.pool import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway

RESPONSE_BUFFER_BYTES = 128 * 1024
"""Bytes of a non-streaming response that are buffered until it is complete, so that the
request can still be retried. Longer responses are relayed as they are received."""


async def relay_response(
    gateway: Gateway,
    context: RequestContext,
    runner: RunnerState,
    runner_response: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
    on_data: Callable[[], None],
) -> web.StreamResponse:
    """Relay a non-streaming response once it is complete or exceeds the buffer.

    :param on_data: called when the response is complete or exceeds the buffer
    """
    if context.response is not None:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED,
            f"resuming failed with status {runner_response.status}",
        )
    if runner_response.status >= 500 and context.route.repeatable:
        if context.runs + 1 < context.route.max_attempts:
            raise may_have_run_error(
                ResultCode.RUNNER_FAILED,
                f"the runner responded with {runner_response.status}",
            )
    buffered = bytearray()
    tail = b""
    try:
        async for chunk in read_bounded(runner_response):
            buffered += chunk
            tail = (tail + chunk)[-EVENT_END_BYTES:]
            if len(buffered) > RESPONSE_BUFFER_BYTES:
                inactivity.reset()
                on_data()
                await _write_chunk(gateway, context, runner_response, bytes(buffered))
                buffered.clear()
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.RUNNER_FAILED,
            f"the response was interrupted: {describe_error(error)}",
        ) from error
    if runner_response.content_type == EVENT_STREAM and not ends_after_event(tail):
        raise may_have_run_error(
            ResultCode.RUNNER_FAILED, "the response ended inside an event"
        )
    on_data()
    seconds = gateway.clock() - context.started
    runner.latency += 0.1 * (seconds - runner.latency) if runner.latency else seconds
    if context.response is not None:
        return await _finish(gateway, context, runner_response, bytes(buffered))
    context.first_byte_seconds = seconds
    response = web.Response(
        status=runner_response.status,
        body=bytes(buffered),
        headers=response_headers(runner_response),
    )
    if gateway.stopping:
        response.force_close()
    return response


async def relay_stream(
    gateway: Gateway,
    context: RequestContext,
    runner: RunnerState,
    runner_response: aiohttp.ClientResponse,
    inactivity: InactivityTimeout,
    on_event: Callable[[], None],
) -> web.StreamResponse:
    """Relay the events of a stream as they are received.

    Only complete events reset the inactivity timeout, since a stalled runner may still
    send single bytes.

    :param on_event: called when complete events have been received
    """
    begun = context.response
    if begun is not None and begun.content_type != runner_response.content_type:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED,
            "resuming failed with a response that is not an event stream",
        )
    splitter = context.splitter
    splitter.restart()
    sent_at = context.started + context.placement_seconds
    resumable = context.route.resumable
    times = ResponseTimes()
    is_measured = gateway.speeds.covers(runner)
    try:
        async for chunk in read_bounded(runner_response):
            events = splitter.feed(chunk)
            if events:
                inactivity.reset()
                on_event()
                runner.last_byte = gateway.clock()
                if is_measured:
                    times.note(count_events(events), runner.last_byte)
                if context.response is None and len(context.runners) == 1:
                    seconds = runner.last_byte - sent_at
                    gateway.allocator.note_first_event(runner, seconds)
                    if is_measured:
                        gateway.speeds.note_first_event(runner, seconds)
            data = events if resumable else chunk
            if events and context.response is None:
                record_origin(gateway, context)
            if data:
                await _write_chunk(gateway, context, runner_response, data)
    except EXCHANGE_ERRORS as error:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED,
            f"the stream was interrupted: {describe_error(error)}",
        ) from error
    if splitter.pending:
        raise may_have_run_error(
            ResultCode.STREAM_TRUNCATED, "the stream ended inside an event"
        )
    gateway.speeds.note_response(runner, times)
    return await _finish(gateway, context, runner_response, b"")


async def _finish(
    gateway: Gateway,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    data: bytes,
) -> web.StreamResponse:
    """Relay the last bytes of a response and finish it."""
    if data or context.response is None:
        await _write_chunk(gateway, context, runner_response, data)
    try:
        await context.response.write_eof()
    except OSError as error:
        raise ResponseAborted(
            may_have_run_error(ResultCode.STREAM_TRUNCATED, "the caller left")
        ) from error
    return context.response


async def _write_chunk(
    gateway: Gateway,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    data: bytes,
) -> None:
    try:
        if context.response is None:
            context.first_byte_seconds = gateway.clock() - context.started
            response = web.StreamResponse(
                status=runner_response.status, headers=response_headers(runner_response)
            )
            if gateway.stopping:
                response.force_close()
            context.response = response
            context.origin = context.current_origin
            await response.prepare(context.request)
        if data:
            await context.response.write(data)
    except OSError as error:
        raise ResponseAborted(
            may_have_run_error(ResultCode.STREAM_TRUNCATED, "the caller left")
        ) from error
