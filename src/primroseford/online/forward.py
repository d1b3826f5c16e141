"""Admits online requests and forwards them to runners, with retries."""

from __future__ import annotations

import asyncio
import hashlib
import json
from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.authorisation import authorise_route
from primroseford.keys.authorisation import check_route_still_allowed
from primroseford.online.credentials import check_body
from primroseford.online.credentials import forwarded_headers
from primroseford.online.credentials import forwarded_path
from primroseford.online.credentials import read_key
from primroseford.online.exchange import Attempt
from primroseford.online.exchange import end_exchange
from primroseford.online.exchange import open_exchange
from primroseford.online.exchange import retry_after_of
from primroseford.online.hedging import send_hedged
from primroseford.online.relay import CallerDisconnected
from primroseford.online.relay import cancel_at_runner
from primroseford.online.relay import end_response
from primroseford.online.relay import relay_body
from primroseford.online.relay import relay_events
from primroseford.online.request_context import RequestContext
from primroseford.online.request_context import pool_of
from primroseford.routing.tracker import AttemptResult

if TYPE_CHECKING:
    import aiohttp

    from primroseford.configuration.tables import Route
    from primroseford.keys.secrets import Identity
    from primroseford.online.exchange import RunnerRequest
    from primroseford.online.open_requests import OpenRequest
    from primroseford.online.state import OnlineState
    from primroseford.online.state import Permit
    from primroseford.routing.runner_selection import RunnerView

MAX_ATTEMPTS = 4
MAX_PREFIX_CHARACTERS = 64
REFUSAL_BODY_BYTES = 64 * 1024
MAX_KEY_CHARACTERS = 255
HANG_THRESHOLD_SECONDS = 1.0
"""A request that is cancelled after waiting this long for response headers counts as a
failure of the runner; a shorter wait may only mean that the caller's deadline was
short."""
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
IDEMPOTENCY_HEADER = "Idempotency-Key"
RETRYABLE = frozenset(
    {
        ResultCode.RUNNER_UNREACHABLE,
        ResultCode.RUNNER_FAILED,
        ResultCode.POOL_UNAVAILABLE,
        ResultCode.STREAM_TRUNCATED,
        ResultCode.ANSWER_MISMATCHED,
    }
)
RUNNER_FAULTS = RETRYABLE - {ResultCode.POOL_UNAVAILABLE}


def create_forward_handler(state: OnlineState):
    """Return the handler of all requests that are forwarded to runners."""

    async def forward(request: web.Request) -> web.StreamResponse:
        entry = state.open_requests.register()
        try:
            return await _serve(state, request, entry)
        except asyncio.CancelledError:
            if entry.end_error is None:
                raise
            entry.task.uncancel()
            error = entry.correct_outcome(entry.end_error)
        except PrimrosefordError as caught:
            error = entry.correct_outcome(caught)
        except CallerDisconnected:
            return entry.response or web.Response(status=499)
        finally:
            state.open_requests.deregister(entry)
        if entry.response is None:
            raise error
        state.refusals.labels(error.code.name.lower()).inc()
        return await end_response(entry, request, error)

    return forward


async def _serve(
    state: OnlineState, request: web.Request, entry: OpenRequest
) -> web.StreamResponse:
    started = state.clock()
    state.gate()
    body = await request.read()
    tables = state.store.current()
    path = request.path
    content = (
        _parse_json_object(request, body)
        if state.routes.needs_model(tables, path)
        else {}
    )
    model = content.get("model")
    model = model if isinstance(model, str) else None
    route = state.routes.match(tables, _host_name(request), path, model)
    secret = None if route.open else read_key(request)
    identity = authorise_route(tables, route, secret)
    if identity is not None:
        # There is no await between reading the tables and this registration, so that
        # every later withdrawal of the key ends the request.
        state.open_requests.watch(entry, identity, route.name)
    check_body(body)
    deadline = started + _timeout_seconds(route, request)
    loop = asyncio.get_running_loop()
    entry.timer = loop.call_later(
        max(0.0, deadline - state.clock()), entry.end_at_deadline
    )
    context = RequestContext(
        request,
        entry,
        route,
        pool_of(tables, route),
        body,
        forwarded_headers(request),
        forwarded_path(request),
        identity.organisation if identity else "",
        _prefix_of(content),
        deadline,
    )
    if identity is None:
        return await _send(state, context)
    return await _serve_organisation(state, context, identity)


async def _serve_organisation(
    state: OnlineState, context: RequestContext, identity: Identity
) -> web.StreamResponse:
    permit: Permit | None = None
    if state.limiter is not None:
        permit = await state.limiter.acquire(identity.organisation, 1, context.deadline)
    may_have_run = False
    key = context.request.headers.get(IDEMPOTENCY_HEADER)
    claimed = False
    try:
        check_route_still_allowed(state.store.current(), context.route.name, identity)
        if key is not None:
            await _claim(state, context, identity, key)
            claimed = True
        response = await _send(state, context)
        may_have_run = True
        return response
    except PrimrosefordError as error:
        may_have_run = (
            context.entry.correct_outcome(error).outcome is not Outcome.NOT_RUN
        )
        raise
    except BaseException:
        attempt = context.entry.attempt
        sent = attempt is not None and attempt.sent
        may_have_run = context.entry.may_have_run or sent
        raise
    finally:
        if permit is not None and not may_have_run:
            permit.refund()
        if claimed and key is not None and state.claims is not None:
            state.claims.settle(identity.organisation, key, may_have_run)


async def _claim(
    state: OnlineState, context: RequestContext, identity: Identity, key: str
) -> None:
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            f"an idempotency key must have 1 to {MAX_KEY_CHARACTERS} characters",
            field=IDEMPOTENCY_HEADER,
        )
    if state.claims is None:
        raise PrimrosefordError(
            ResultCode.PLATFORM_UNAVAILABLE,
            "idempotency keys cannot be claimed on this host",
            field=IDEMPOTENCY_HEADER,
            retry_after=1.0,
        )
    digest = hashlib.sha256(f"{context.request.method} {context.path}\n".encode())
    digest.update(context.body)
    await state.claims.claim(
        identity.organisation, key, digest.hexdigest(), context.deadline
    )


async def _send(state: OnlineState, context: RequestContext) -> web.StreamResponse:
    """Send the request, and retry it where that is allowed."""
    entry = context.entry
    state.budget.add_request()
    attempts = 0
    failed: PrimrosefordError | None = None
    while True:
        attempts += 1
        view = await _acquire_slot(state, context, failed)
        try:
            if context.route.hedge_after_seconds is not None:
                return await send_hedged(state, context, view, _attempt)
            return await _attempt(state, context, view)
        except PrimrosefordError as error:
            failed = error
            if error.outcome is not Outcome.NOT_RUN:
                entry.may_have_run = True
            if not _may_retry(state, context, error, attempts):
                raise
            state.retries.labels(error.code.name.lower()).inc()
            context.tried.append(view)


async def _acquire_slot(
    state: OnlineState, context: RequestContext, failed: PrimrosefordError | None
) -> RunnerView:
    """Return a runner with a reserved slot.

    If a retry gets no runner, the failure of the last attempt is raised.
    """
    if state.clock() >= context.deadline:
        raise failed or PrimrosefordError(
            ResultCode.DEADLINE_UNREACHABLE, "the request's deadline has passed"
        )
    try:
        context.update_pool(state.store.current())
        return await state.allocator.acquire(
            context.pool,
            context.organisation,
            context.prefix,
            context.deadline,
            context.tried,
        )
    except PrimrosefordError as error:
        raise failed or error from error


def _may_retry(
    state: OnlineState, context: RequestContext, error: PrimrosefordError, attempts: int
) -> bool:
    if error.code not in RETRYABLE or attempts >= MAX_ATTEMPTS:
        return False
    if context.entry.response is not None:
        return False
    if error.outcome is not Outcome.NOT_RUN and not context.route.repeatable:
        return False
    if state.budget.try_spend():
        return True
    state.refusals.labels(ResultCode.RETRY_BUDGET_EXHAUSTED.name.lower()).inc()
    return False


class AttemptRecord:
    """Result of an attempt, as reported to the tracker."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.result = AttemptResult.ABANDONED
        self.latency: float | None = None
        self.retry_after: float | None = None


async def _attempt(
    state: OnlineState, context: RequestContext, view: RunnerView
) -> web.StreamResponse:
    attempt = context.entry.attempt = Attempt()
    record = AttemptRecord(attempt)
    started = state.clock()
    runner_request = context.create_runner_request(view, started)
    answered = False
    try:
        runner_response = await open_exchange(state.session, runner_request, attempt)
        record.latency = state.clock() - started
        response = await _relay_response(
            state, context, runner_response, runner_request, record
        )
        answered = True
        return response
    except PrimrosefordError as error:
        if error.code in RUNNER_FAULTS:
            record.result = AttemptResult.FAILED
        answered = error.code is ResultCode.POOL_UNAVAILABLE
        raise
    except asyncio.CancelledError:
        if record.latency is None and state.clock() - started >= HANG_THRESHOLD_SECONDS:
            record.result = AttemptResult.FAILED
        raise
    finally:
        state.allocator.release(view, record.result, record.latency, record.retry_after)
        if attempt.sent and not answered and context.is_engine:
            state.run_in_background(
                cancel_at_runner(state, view.runner.address, runner_request.request_id)
            )


async def _relay_response(
    state: OnlineState,
    context: RequestContext,
    runner_response: aiohttp.ClientResponse,
    runner_request: RunnerRequest,
    record: AttemptRecord,
) -> web.StreamResponse:
    attempt = record.attempt
    try:
        if runner_response.status in runner_request.not_run_statuses:
            attempt.sent = False
            record.result = AttemptResult.REFUSED
            record.retry_after = retry_after_of(runner_response)
            raise PrimrosefordError(
                ResultCode.POOL_UNAVAILABLE,
                f"a runner of pool {context.pool.name!r} rejected the request",
                retry_after=record.retry_after or 1.0,
            )
        is_stream = runner_response.content_type == "text/event-stream"
        if context.is_engine and is_stream and runner_response.status == 200:
            response = await relay_events(
                state, context, runner_response, runner_request, attempt
            )
        else:
            response = await relay_body(
                state, context, runner_response, runner_request, attempt
            )
        failed = runner_response.status >= 500
        record.result = AttemptResult.FAILED if failed else AttemptResult.SUCCEEDED
        return response
    finally:
        end_exchange(runner_response, runner_request, record.attempt)


def _host_name(request: web.Request) -> str:
    # Cheaper than request.url, which parses the whole URL for each request.
    host = request.host
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()


def _parse_json_object(request: web.Request, body: bytes) -> dict:
    """Return the body's fields if it is a JSON object."""
    if not body or request.content_type != "application/json":
        return {}
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, "the body is not valid JSON", field="body"
        ) from error
    return parsed if isinstance(parsed, dict) else {}


def _prefix_of(content: dict) -> str | None:
    messages = content.get("messages")
    if isinstance(messages, list):
        parts = [str(m.get("content", "")) for m in messages[:4] if isinstance(m, dict)]
        text = "\n".join(parts)
    else:
        text = content.get("prompt")
    if not isinstance(text, str) or not text:
        return None
    return text[:MAX_PREFIX_CHARACTERS]


def _timeout_seconds(route: Route, request: web.Request) -> float:
    header = request.headers.get(TIMEOUT_HEADER)
    if header is None:
        return route.timeout_seconds
    if not (header.isascii() and header.isdigit() and len(header) <= 9):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "the timeout is not a whole number of milliseconds",
            field=TIMEOUT_HEADER,
        )
    return min(route.timeout_seconds, int(header) / 1000)
