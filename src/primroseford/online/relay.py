"""Relays a runner's response to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from primroseford.bounded_http import iterate_limited
from primroseford.bounded_http import read_limited
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.credentials import forwarded_response_headers
from primroseford.online.events import EVENT_END_BYTES
from primroseford.online.events import EVENT_STREAM
from primroseford.online.events import EventSplitter
from primroseford.online.events import ends_after_event
from primroseford.online.events import error_event
from primroseford.online.exchange import MAX_RESPONSE_BYTES
from primroseford.online.exchange import REQUEST_ID_HEADER
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import RunnerRequest
from primroseford.online.exchange import create_exchange_error
from primroseford.online.exchange import has_verifiable_length
from primroseford.online.exchange import open_exchange

if TYPE_CHECKING:
    from primroseford.online.open_requests import OpenRequest
    from primroseford.online.request_context import RequestContext
    from primroseford.online.state import OnlineState

MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024
"""Responses up to this size are buffered and sent only when they are complete."""
MAX_RESUMES = 3
MAX_TRAILING_BYTES = 64 * 1024
"""Bytes that may follow the end mark of a stream."""
STREAM_END_TIMEOUT_SECONDS = 1.0
CANCEL_TIMEOUT_SECONDS = 2.0
RESPONSE_READ_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class CallerDisconnected(Exception):
    """The caller closed the connection."""


async def _write(response: web.StreamResponse, data: bytes) -> None:
    # Backpressure: waits while the caller reads slowly, so that nothing more is read
    # from the runner.
    try:
        await response.write(data)
    except OSError as error:
        raise CallerDisconnected from error


async def _start_response(
    state: OnlineState,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    runner_request: RunnerRequest,
    body: bytes | None = None,
) -> web.StreamResponse:
    headers = forwarded_response_headers(runner_response.headers)
    headers[REQUEST_ID_HEADER] = runner_request.request_id
    if body is not None:
        response = web.Response(
            status=runner_response.status, body=body, headers=headers
        )
    else:
        if context.before_relaying is not None:
            context.before_relaying()
        response = web.StreamResponse(status=runner_response.status, headers=headers)
        context.entry.response = response
    if state.draining:
        response.force_close()
    if body is None:
        try:
            await response.prepare(context.request)
        except OSError as error:
            raise CallerDisconnected from error
    return response


async def relay_body(
    state: OnlineState,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    runner_request: RunnerRequest,
    attempt: Attempt,
) -> web.StreamResponse:
    """Relay a response that is not an engine's event stream.

    :raises PrimrosefordError: RUNNER_FAILED if the response is not complete
    """
    event_stream = runner_response.content_type == EVENT_STREAM
    if not event_stream and not has_verifiable_length(runner_response):
        raise create_exchange_error(
            ResultCode.RUNNER_FAILED, "the runner's response has no length", attempt
        )
    response = None
    buffered: list[bytes] = []
    size = 0
    tail = b""
    length = runner_response.content_length
    held_for = runner_request.request_id
    try:
        if (
            length is not None
            and length <= MAX_BUFFERED_RESPONSE_BYTES
            and not event_stream
            and state.held.may_hold(held_for, length)
        ):
            return await _start_response(
                state,
                context,
                runner_response,
                runner_request,
                await read_limited(runner_response, MAX_BUFFERED_RESPONSE_BYTES),
            )
        async for chunk in iterate_limited(runner_response, MAX_RESPONSE_BYTES):
            tail = (tail + chunk)[-EVENT_END_BYTES:]
            if response is not None:
                await _write(response, chunk)
                continue
            buffered.append(chunk)
            size += len(chunk)
            if (
                event_stream
                or size > MAX_BUFFERED_RESPONSE_BYTES
                or not state.held.may_hold(held_for, size)
            ):
                state.held.release(held_for)
                response = await _start_response(
                    state, context, runner_response, runner_request
                )
                await _write(response, b"".join(buffered))
                buffered.clear()
    except RESPONSE_READ_ERRORS as error:
        raise create_exchange_error(
            ResultCode.RUNNER_FAILED, "the runner's response was interrupted", attempt
        ) from error
    finally:
        state.held.release(held_for)
    if event_stream and not ends_after_event(tail):
        raise create_exchange_error(
            ResultCode.RUNNER_FAILED, "the response ended inside an event", attempt
        )
    if response is None:
        return await _start_response(
            state, context, runner_response, runner_request, b"".join(buffered)
        )
    await _write_eof(response)
    return response


async def _write_eof(response: web.StreamResponse) -> None:
    try:
        await response.write_eof()
    except OSError as error:
        raise CallerDisconnected from error


async def relay_events(
    state: OnlineState,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    runner_request: RunnerRequest,
    attempt: Attempt,
) -> web.StreamResponse:
    """Relay an engine's event stream, resuming it after an interruption.

    :raises PrimrosefordError: STREAM_TRUNCATED if the stream cannot be completed
    """
    splitter = EventSplitter()
    resumes = 0
    while True:
        try:
            await _relay_until_interrupted(
                state, context, runner_response, runner_request, splitter
            )
        finally:
            state.held.release(runner_request.request_id)
            _close_or_release(runner_response)
        if splitter.ended:
            break
        if resumes == MAX_RESUMES or not state.budget.try_spend():
            raise _create_truncated_error(attempt)
        resumes += 1
        state.resumes.inc()
        splitter.restart()
        runner_response = await _resume(
            state, context, runner_request, splitter, attempt
        )
    response = context.entry.response
    assert response is not None
    await _write_eof(response)
    return response


def _close_or_release(runner_response: aiohttp.ClientResponse) -> None:
    # The connection can be reused only if the response was read to its end.
    if runner_response.content.at_eof() and runner_response.content.exception() is None:
        runner_response.release()
    else:
        runner_response.close()


def _create_truncated_error(attempt: Attempt) -> PrimrosefordError:
    return create_exchange_error(
        ResultCode.STREAM_TRUNCATED,
        "the runner's stream ended before its end mark",
        attempt,
    )


async def _relay_until_interrupted(
    state: OnlineState,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    runner_request: RunnerRequest,
    splitter: EventSplitter,
) -> None:
    response = context.entry.response
    feed = splitter.feed
    try:
        async for chunk in iterate_limited(runner_response, MAX_RESPONSE_BYTES):
            complete = feed(chunk)
            if not state.held.may_hold(
                runner_request.request_id, len(splitter.pending)
            ):
                raise aiohttp.ClientPayloadError("the host holds too many bytes")
            if not complete:
                continue
            if response is None:
                response = await _start_response(
                    state, context, runner_response, runner_request
                )
                context.entry.relays_events = True
            await _write(response, complete)
            if splitter.ended:
                async with asyncio.timeout(STREAM_END_TIMEOUT_SECONDS):
                    await _discard_rest(runner_response)
                return
    except RESPONSE_READ_ERRORS:
        # Frees the partial event now; it is never passed on.
        splitter.pending = b""
        return


async def _discard_rest(runner_response: aiohttp.ClientResponse) -> None:
    """Read what follows the end mark, so that the connection can be used again.

    :raises ResponseTooLong: if it is more than the end of the response
    """
    async for _ in iterate_limited(runner_response, MAX_TRAILING_BYTES):
        pass


async def _resume(
    state: OnlineState,
    context: RequestContext,
    runner_request: RunnerRequest,
    splitter: EventSplitter,
    attempt: Attempt,
) -> aiohttp.ClientResponse:
    origin = runner_request.url.split("/", 3)[2]
    last_id = splitter.last_event_id()
    chat = int("/chat/" in context.path)
    resume_request = RunnerRequest(
        "GET",
        f"http://{origin}/v1/streams/{runner_request.request_id}?chat={chat}",
        {} if last_id is None else {"Last-Event-ID": last_id},
        None,
        runner_request.request_id,
        max(0.001, context.deadline - state.clock()),
        requires_echo=True,
    )
    started = context.entry.response is not None
    if started and (last_id is None or not splitter.can_resume()):
        raise _create_truncated_error(attempt)
    try:
        runner_response = await open_exchange(state.session, resume_request, Attempt())
    except PrimrosefordError as error:
        raise _create_truncated_error(attempt) from error
    is_stream = runner_response.content_type == "text/event-stream"
    if runner_response.status != 200 or not is_stream:
        runner_response.close()
        raise _create_truncated_error(attempt)
    return runner_response


async def cancel_at_runner(state: OnlineState, address: str, request_id: str) -> None:
    """Cancel a request at an engine whose response is no longer needed."""
    url = f"http://{address}/v1/streams/{request_id}"
    timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_SECONDS)
    try:
        async with state.session.delete(url, timeout=timeout):
            pass
    except (aiohttp.ClientError, TimeoutError, OSError):
        # Best effort: the engine also notices the closed connection.
        return


async def end_response(
    entry: OpenRequest, request: web.Request, error: PrimrosefordError
) -> web.StreamResponse:
    """End a response that cannot be completed, so that the caller detects it.

    An engine's stream, of which only complete events were sent, ends with an error
    event. For any other response the connection is aborted.

    :param error: reason why the response ends
    """
    response = entry.response
    assert response is not None
    if entry.relays_events:
        try:
            async with asyncio.timeout(STREAM_END_TIMEOUT_SECONDS):
                await response.write(error_event(error))
                await response.write_eof()
            return response
        except RuntimeError:
            # The response was already complete when the request was ended.
            return response
        except (OSError, TimeoutError):
            pass
    response.force_close()
    if request.transport is not None:
        request.transport.abort()
    return response
