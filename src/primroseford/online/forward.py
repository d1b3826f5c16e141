"""The path of an online request, from the gate to the runner's answer."""

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
from primroseford.online.exchange import open_exchange
from primroseford.online.exchange import retry_after_of
from primroseford.online.hedging import send_hedged
from primroseford.online.relay import CallerLeft
from primroseford.online.relay import cancel_at_runner
from primroseford.online.relay import end_response
from primroseford.online.relay import relay_body
from primroseford.online.relay import relay_events
from primroseford.online.request_context import Flow
from primroseford.routing.tracker import AttemptResult

if TYPE_CHECKING:
    import aiohttp

    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Tables
    from primroseford.keys.secrets import Identity
    from primroseford.online.exchange import RunnerRequest
    from primroseford.online.open_requests import OpenRequest
    from primroseford.online.state import OnlineState
    from primroseford.online.state import Permit
    from primroseford.routing.runner_selection import RunnerView

MAX_ATTEMPTS = 4
PREFIX_CHARACTERS = 64
REFUSAL_BODY_BYTES = 64 * 1024
MAX_KEY_CHARACTERS = 255
HANG_SECONDS = 1.0
"""A runner that gave no answer for this long when the request ended counts as failed;
a shorter wait says more about the caller's deadline than about the runner."""
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
    """Return the handler of all requests that go to a runner."""

    async def forward(request: web.Request) -> web.StreamResponse:
        entry = state.open.enter()
        try:
            return await _serve(state, request, entry)
        except asyncio.CancelledError:
            if entry.ended is None:
                raise
            entry.task.uncancel()
            error = entry.truthful(entry.ended)
        except PrimrosefordError as caught:
            error = entry.truthful(caught)
        except CallerLeft:
            return entry.response or web.Response(status=499)
        finally:
            state.open.leave(entry)
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
    content = _parse(request, body) if state.routes.needs_model(tables, path) else {}
    model = content.get("model")
    model = model if isinstance(model, str) else None
    route = state.routes.match(tables, _host_name(request), path, model)
    secret = None if route.open else read_key(request)
    identity = authorise_route(tables, route, secret)
    if identity is not None:
        # No await lies between reading the tables and this registration, so that
        # every later withdrawal ends the request.
        state.open.watch(entry, identity, route.name)
    check_body(body)
    deadline = started + _allowed_seconds(route, request)
    loop = asyncio.get_running_loop()
    entry.timer = loop.call_later(
        max(0.0, deadline - state.clock()), entry.end_at_deadline
    )
    flow = Flow(
        request,
        entry,
        route,
        _pool_of(tables, route),
        body,
        forwarded_headers(request),
        forwarded_path(request),
        identity.organisation if identity else "",
        _prefix_of(content),
        deadline,
    )
    if identity is None:
        return await _send(state, flow)
    return await _serve_organisation(state, flow, identity)


async def _serve_organisation(
    state: OnlineState, flow: Flow, identity: Identity
) -> web.StreamResponse:
    permit: Permit | None = None
    if state.limiter is not None:
        permit = await state.limiter.acquire(identity.organisation, 1, flow.deadline)
    settled = False
    key = flow.request.headers.get(IDEMPOTENCY_HEADER)
    claimed = False
    try:
        check_route_still_allowed(state.store.current(), flow.route.name, identity)
        if key is not None:
            await _claim(state, flow, identity, key)
            claimed = True
        response = await _send(state, flow)
        settled = True
        return response
    except PrimrosefordError as error:
        settled = flow.entry.truthful(error).outcome is not Outcome.NOT_RUN
        raise
    except BaseException:
        attempt = flow.entry.attempt
        sent = attempt is not None and attempt.sent
        settled = flow.entry.may_have_run or sent
        raise
    finally:
        if permit is not None and not settled:
            permit.refund()
        if claimed and key is not None and state.claims is not None:
            state.claims.settle(identity.organisation, key, settled)


async def _claim(state: OnlineState, flow: Flow, identity: Identity, key: str) -> None:
    if not key or len(key) > MAX_KEY_CHARACTERS:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            f"an idempotency key has 1 to {MAX_KEY_CHARACTERS} characters",
            field=IDEMPOTENCY_HEADER,
        )
    if state.claims is None:
        raise PrimrosefordError(
            ResultCode.PLATFORM_UNAVAILABLE,
            "idempotency keys cannot be claimed on this host",
            field=IDEMPOTENCY_HEADER,
            retry_after=1.0,
        )
    digest = hashlib.sha256(f"{flow.request.method} {flow.path}\n".encode())
    digest.update(flow.body)
    await state.claims.claim(
        identity.organisation, key, digest.hexdigest(), flow.deadline
    )


async def _send(state: OnlineState, flow: Flow) -> web.StreamResponse:
    """Send the request, again only where that is allowed."""
    entry = flow.entry
    state.budget.add_request()
    number = 0
    failed: PrimrosefordError | None = None
    while True:
        number += 1
        view = await _place(state, flow, failed)
        try:
            if flow.route.hedge_after_seconds is not None:
                return await send_hedged(state, flow, view, _attempt)
            return await _attempt(state, flow, view)
        except PrimrosefordError as error:
            failed = error
            if error.outcome is not Outcome.NOT_RUN:
                entry.may_have_run = True
            if not _may_retry(state, flow, error, number):
                raise
            state.retries.labels(error.code.name.lower()).inc()
            flow.tried.append(view)


async def _place(
    state: OnlineState, flow: Flow, failed: PrimrosefordError | None
) -> RunnerView:
    """Return a runner; if a retry finds none, the first failure is the answer."""
    if state.clock() >= flow.deadline:
        raise failed or PrimrosefordError(
            ResultCode.DEADLINE_UNREACHABLE, "the request's time is over"
        )
    try:
        return await state.allocator.acquire(
            flow.pool, flow.organisation, flow.prefix, flow.deadline, flow.tried
        )
    except PrimrosefordError as error:
        raise failed or error from error


def _may_retry(
    state: OnlineState, flow: Flow, error: PrimrosefordError, number: int
) -> bool:
    if error.code not in RETRYABLE or number >= MAX_ATTEMPTS:
        return False
    if flow.entry.response is not None:
        return False
    if error.outcome is not Outcome.NOT_RUN and not flow.route.repeatable:
        return False
    if state.budget.take():
        return True
    state.refusals.labels(ResultCode.RETRY_BUDGET_EXHAUSTED.name.lower()).inc()
    return False


class Ending:
    """How an attempt ends, as the tracker will be told."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.result = AttemptResult.ABANDONED
        self.latency: float | None = None
        self.retry_after: float | None = None


async def _attempt(
    state: OnlineState, flow: Flow, view: RunnerView
) -> web.StreamResponse:
    attempt = flow.entry.attempt = Attempt()
    ending = Ending(attempt)
    started = state.clock()
    call = flow.call(view, started)
    answered = False
    try:
        answer = await open_exchange(state.session, call, attempt)
        ending.latency = state.clock() - started
        response = await _pass_on(state, flow, answer, call, ending)
        answered = True
        return response
    except PrimrosefordError as error:
        if error.code in RUNNER_FAULTS:
            ending.result = AttemptResult.FAILED
        answered = error.code is ResultCode.POOL_UNAVAILABLE
        raise
    except asyncio.CancelledError:
        if ending.latency is None and state.clock() - started >= HANG_SECONDS:
            ending.result = AttemptResult.FAILED
        raise
    finally:
        state.allocator.release(view, ending.result, ending.latency, ending.retry_after)
        if attempt.sent and not answered and flow.is_engine:
            state.run_in_background(
                cancel_at_runner(state, view.runner.address, call.request_id)
            )


async def _pass_on(
    state: OnlineState,
    flow: Flow,
    answer: aiohttp.ClientResponse,
    call: RunnerRequest,
    ending: Ending,
) -> web.StreamResponse:
    attempt = ending.attempt
    try:
        if answer.status in call.not_run_statuses:
            attempt.sent = False
            ending.result = AttemptResult.REFUSED
            ending.retry_after = retry_after_of(answer)
            raise PrimrosefordError(
                ResultCode.POOL_UNAVAILABLE,
                f"a runner of pool {flow.pool.name!r} refused the request",
                retry_after=ending.retry_after or 1.0,
            )
        is_stream = answer.content_type == "text/event-stream"
        if flow.is_engine and is_stream and answer.status == 200:
            response = await relay_events(state, flow, answer, call, attempt)
        else:
            response = await relay_body(state, flow, answer, call, attempt)
        failed = answer.status >= 500
        ending.result = AttemptResult.FAILED if failed else AttemptResult.SUCCEEDED
        return response
    finally:
        if answer.content.at_eof():
            answer.release()
        else:
            answer.close()


def _host_name(request: web.Request) -> str:
    # request.url would be parsed anew for each request.
    host = request.host
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()


def _parse(request: web.Request, body: bytes) -> dict:
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
    return text[:PREFIX_CHARACTERS]


def _pool_of(tables: Tables, route: Route) -> Pool:
    pool = tables.pools.get(route.pool)
    if pool is None:
        raise PrimrosefordError(
            ResultCode.DANGLING_REFERENCE,
            f"route {route.name!r} names pool {route.pool!r}, which does not exist",
            field=f"routes/{route.name}.pool",
        )
    return pool


def _allowed_seconds(route: Route, request: web.Request) -> float:
    header = request.headers.get(TIMEOUT_HEADER)
    if header is None:
        return route.timeout_seconds
    if not (header.isascii() and header.isdigit() and len(header) <= 9):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "the timeout is not a number of milliseconds",
            field=TIMEOUT_HEADER,
        )
    return min(route.timeout_seconds, int(header) / 1000)
