"""Passes a runner's answer on to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.credentials import answer_headers
from primroseford.online.events import EventSplitter
from primroseford.online.events import error_event
from primroseford.online.exchange import REQUEST_ID_HEADER
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import RunnerRequest
from primroseford.online.exchange import failure
from primroseford.online.exchange import has_verifiable_length
from primroseford.online.exchange import open_exchange

if TYPE_CHECKING:
    from primroseford.online.open_requests import OpenRequest
    from primroseford.online.request_context import Flow
    from primroseford.online.state import OnlineState

WHOLE_ANSWER_BYTES = 1024 * 1024
"""Answers up to this size are passed on only when they are complete."""
MAX_RESUMES = 3
END_SECONDS = 1.0
CANCEL_SECONDS = 2.0
CUT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class CallerLeft(Exception):
    """The caller's connection is gone."""


async def _write(response: web.StreamResponse, data: bytes) -> None:
    # Waits while the caller reads slowly; reading from the runner stops meanwhile.
    try:
        await response.write(data)
    except OSError as error:
        raise CallerLeft from error


async def _prepare(
    state: OnlineState,
    flow: Flow,
    answer: aiohttp.ClientResponse,
    call: RunnerRequest,
    whole: bytes | None = None,
) -> web.StreamResponse:
    headers = answer_headers(answer.headers)
    headers[REQUEST_ID_HEADER] = call.request_id
    if whole is not None:
        response = web.Response(status=answer.status, body=whole, headers=headers)
    else:
        if flow.before_passing_on is not None:
            flow.before_passing_on()
        response = web.StreamResponse(status=answer.status, headers=headers)
        flow.entry.response = response
    if state.draining:
        response.force_close()
    if whole is None:
        try:
            await response.prepare(flow.request)
        except OSError as error:
            raise CallerLeft from error
    return response


async def relay_body(
    state: OnlineState,
    flow: Flow,
    answer: aiohttp.ClientResponse,
    call: RunnerRequest,
    attempt: Attempt,
) -> web.StreamResponse:
    """Pass an answer on that is not an engine's stream.

    :raises PrimrosefordError: RUNNER_FAILED if the answer is not complete
    """
    event_stream = answer.content_type == "text/event-stream"
    if not event_stream and not has_verifiable_length(answer):
        raise failure(
            ResultCode.RUNNER_FAILED, "the runner's answer has no length", attempt
        )
    response = None
    held: list[bytes] = []
    size = 0
    length = answer.content_length
    try:
        if length is not None and length <= WHOLE_ANSWER_BYTES and not event_stream:
            return await _prepare(state, flow, answer, call, await answer.read())
        async for chunk in answer.content.iter_any():
            if response is not None:
                await _write(response, chunk)
                continue
            held.append(chunk)
            size += len(chunk)
            if event_stream or size > WHOLE_ANSWER_BYTES:
                response = await _prepare(state, flow, answer, call)
                await _write(response, b"".join(held))
    except CUT_ERRORS as error:
        raise failure(
            ResultCode.RUNNER_FAILED, "the runner's answer was cut", attempt
        ) from error
    if response is None:
        return await _prepare(state, flow, answer, call, b"".join(held))
    await _finish(response)
    return response


async def _finish(response: web.StreamResponse) -> None:
    try:
        await response.write_eof()
    except OSError as error:
        raise CallerLeft from error


async def relay_events(
    state: OnlineState,
    flow: Flow,
    answer: aiohttp.ClientResponse,
    call: RunnerRequest,
    attempt: Attempt,
) -> web.StreamResponse:
    """Pass an engine's stream on, resuming it after a cut.

    :raises PrimrosefordError: STREAM_TRUNCATED if it cannot be completed
    """
    splitter = EventSplitter()
    resumes = 0
    while True:
        try:
            await _relay_until_cut(state, flow, answer, call, splitter)
        finally:
            _close(answer)
        if splitter.ended:
            break
        if resumes == MAX_RESUMES or not state.budget.take():
            raise _truncated(attempt)
        resumes += 1
        state.resumes.inc()
        splitter.restart()
        answer = await _resume(state, flow, call, splitter, attempt)
    response = flow.entry.response
    assert response is not None
    await _finish(response)
    return response


def _close(answer: aiohttp.ClientResponse) -> None:
    # Releases the connection only if the answer was read to its end.
    if answer.content.at_eof() and answer.content.exception() is None:
        answer.release()
    else:
        answer.close()


def _truncated(attempt: Attempt) -> PrimrosefordError:
    return failure(
        ResultCode.STREAM_TRUNCATED, "the runner's stream ended early", attempt
    )


async def _relay_until_cut(
    state: OnlineState,
    flow: Flow,
    answer: aiohttp.ClientResponse,
    call: RunnerRequest,
    splitter: EventSplitter,
) -> None:
    response = flow.entry.response
    feed = splitter.feed
    try:
        async for chunk in answer.content.iter_any():
            complete = feed(chunk)
            if not complete:
                continue
            if response is None:
                response = await _prepare(state, flow, answer, call)
                flow.entry.takes_events = True
            await _write(response, complete)
            if splitter.ended:
                async with asyncio.timeout(END_SECONDS):
                    await answer.content.read()
    except CUT_ERRORS:
        return


async def _resume(
    state: OnlineState,
    flow: Flow,
    call: RunnerRequest,
    splitter: EventSplitter,
    attempt: Attempt,
) -> aiohttp.ClientResponse:
    origin = call.url.split("/", 3)[2]
    last = splitter.last_event_id()
    chat = int("/chat/" in flow.path)
    again = RunnerRequest(
        "GET",
        f"http://{origin}/v1/streams/{call.request_id}?chat={chat}",
        {} if last is None else {"Last-Event-ID": last},
        None,
        call.request_id,
        max(0.001, flow.deadline - state.clock()),
        requires_echo=True,
    )
    begun = flow.entry.response is not None
    if begun and (last is None or not splitter.can_resume()):
        raise _truncated(attempt)
    try:
        answer = await open_exchange(state.session, again, Attempt())
    except PrimrosefordError as error:
        raise _truncated(attempt) from error
    if answer.status != 200:
        answer.close()
        raise _truncated(attempt)
    return answer


async def cancel_at_runner(state: OnlineState, address: str, request_id: str) -> None:
    """Tell an engine that nobody waits for a request any more."""
    url = f"http://{address}/v1/streams/{request_id}"
    timeout = aiohttp.ClientTimeout(total=CANCEL_SECONDS)
    try:
        async with state.session.delete(url, timeout=timeout):
            pass
    except (aiohttp.ClientError, TimeoutError, OSError):
        # The engine sees the closed connection as well.
        return


async def end_response(
    entry: OpenRequest, request: web.Request, error: PrimrosefordError
) -> web.StreamResponse:
    """End an answer that cannot be completed, so that the caller notices.

    An engine's stream, which stands at the end of an event, gets an error event; any
    other answer is cut.

    :param error: why the answer ends
    """
    response = entry.response
    assert response is not None
    if entry.takes_events:
        try:
            async with asyncio.timeout(END_SECONDS):
                await response.write(error_event(error))
                await response.write_eof()
            return response
        except RuntimeError:
            # The answer was complete when the request was ended.
            return response
        except (OSError, TimeoutError):
            pass
    response.force_close()
    if request.transport is not None:
        request.transport.abort()
    return response
