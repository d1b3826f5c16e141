"""The path of an online request from the tables to a runner's answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import prefix_cache_key
from primroseford.gateway.answers import relay_stream
from primroseford.gateway.answers import relay_whole
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import RunnerRequest
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import send_to_runner
from primroseford.gateway.preemption import PREEMPTION_DELAY_SECONDS
from primroseford.gateway.preemption import uses_preemption_requests
from primroseford.gateway.preemption import waits_for_batch
from primroseford.gateway.request_context import CutShort
from primroseford.gateway.request_context import RequestContext
from primroseford.gateway.retry import RetryDecision
from primroseford.gateway.retry import decide_retry
from primroseford.gateway.retry import inactivity_timeout
from primroseford.gateway.tables import RouteKind
from primroseford.gateway.tables import choose_pool
from primroseford.online.exchange import Attempt
from primroseford.platform.runner_calls import is_signed
from primroseford.platform.runner_calls import runner_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web
    from aiohttp.web_request import BaseRequest

    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.runner_state import RunnerState
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route

TOKEN_WAIT_SECONDS = 0.05
"""Longest wait for a token: shorter than the round trip of a refused caller who comes
back, and a sixth of the shortest objective of the workloads of letter 1."""
CALLER_LEFT = "CALLER_LEFT"
"""End of a request whose caller closed the connection; it has no result code, since
nobody gets one."""

log = structlog.get_logger()


async def forward(
    gateway: Gateway,
    request: BaseRequest,
    incoming: IncomingRequest,
    route: Route,
    organisation: Organisation | None,
    started: float,
) -> web.StreamResponse:
    """Serve an online request.

    :param started: local time of the request's arrival in seconds
    :raises PrimrosefordError: with a truthful outcome, if no answer was begun
    """
    await admit(gateway, organisation)
    allowed = min(route.timeout, incoming.allowed or route.timeout)
    pool = choose_pool(route, gateway.random)
    flow = RequestContext(
        request, incoming, route, organisation, pool, started, started + allowed
    )
    end = ResultCode.OK.name
    gateway.open_requests.add(flow)
    try:
        return await _send(gateway, flow)
    except CutShort as cut:
        end = cut.error.code.name
        _cut(request)
        return flow.response
    except PrimrosefordError as error:
        end = error.code.name
        if error.outcome is Outcome.NOT_RUN and organisation is not None:
            gateway.quotas.refund(organisation)
        raise
    except asyncio.CancelledError:
        end = CALLER_LEFT
        raise
    finally:
        gateway.open_requests.discard(flow)
        _report(gateway, flow, end)


async def admit(gateway: Gateway, organisation: Organisation | None) -> None:
    """Take a token of an organisation's rate, waiting shortly for the next one.

    :raises PrimrosefordError: RATE_LIMITED
    """
    if organisation is None:
        return
    wait = gateway.quotas.try_admit(organisation, gateway.clock())
    if 0 < wait <= TOKEN_WAIT_SECONDS:
        await asyncio.sleep(wait)
        wait = gateway.quotas.try_admit(organisation, gateway.clock())
    if wait > 0:
        raise PrimrosefordError(
            ResultCode.RATE_LIMITED,
            f"organisation {organisation.name!r} is above its rate",
            retry_after=gateway.allocator.add_jitter(wait),
        )


def _cut(request: BaseRequest) -> None:
    # Without the end of the chunks the caller sees that the answer is not whole.
    if request.transport is not None:
        request.transport.abort()


def _report(gateway: Gateway, flow: RequestContext, end: str) -> None:
    seconds = gateway.clock() - flow.started
    gateway.metrics.requests.labels(flow.route.kind.value, end.lower()).inc()
    gateway.metrics.seconds.labels(flow.route.kind.value).observe(seconds)
    log.info(
        "request ended",
        request_id=flow.incoming.request_id,
        code=end,
        route=flow.route.name,
        organisation=flow.organisation.name if flow.organisation else None,
        runners=flow.runners,
        runs=flow.runs,
        refusals=flow.refusals,
        placed_ms=round(flow.placed_after * 1000),
        first_ms=round(flow.first_after * 1000),
        total_ms=round(seconds * 1000),
        tables=gateway.tables.version if gateway.tables else None,
    )


async def _send(gateway: Gateway, flow: RequestContext) -> web.StreamResponse:
    while True:
        runner = await _place(gateway, flow)
        try:
            return await _attempt(gateway, flow, runner)
        except PrimrosefordError as error:
            _judge(gateway, flow, runner, error)


async def _place(gateway: Gateway, flow: RequestContext) -> RunnerState:
    organisation = flow.organisation.name if flow.organisation else ""
    try:
        runner = await gateway.allocator.acquire(
            flow.pool,
            organisation,
            flow.deadline,
            flow.tried,
            prefix_cache_key(flow.incoming.prompt),
        )
    except PrimrosefordError as error:
        if flow.runs:
            error.outcome = Outcome.MAY_HAVE_RUN
            error.code = ResultCode.RUNNER_FAILED
        if flow.response is not None:
            raise CutShort(error) from error
        raise
    if not flow.runners:
        flow.placed_after = gateway.clock() - flow.started
    flow.runners.append(runner.entry.key.name)
    return runner


def _judge(
    gateway: Gateway,
    flow: RequestContext,
    runner: RunnerState,
    error: PrimrosefordError,
) -> None:
    """Return if the request may be sent again; raise its final error otherwise."""
    may_have_run = error.outcome is not Outcome.NOT_RUN
    flow.runs += may_have_run
    flow.refusals += not may_have_run
    flow.tried.add(runner.entry.key)
    begun = flow.response is not None
    step = decide_retry(flow.route, flow.runs, flow.refusals, may_have_run, begun)
    if gateway.clock() >= flow.deadline or begun and not flow.splitter.can_resume():
        step = RetryDecision.FAIL
    log.info(
        "attempt failed",
        request_id=flow.incoming.request_id,
        runner=runner.entry.key.name,
        code=error.code.name,
        reason=error.message,
        may_have_run=may_have_run,
        next=step.value,
    )
    if step is RetryDecision.AGAIN:
        gateway.metrics.retries.labels(error.code.name.lower()).inc()
        return
    if flow.runs:
        error.outcome = Outcome.MAY_HAVE_RUN
        if error.http_status == 503:
            error.code = ResultCode.RUNNER_FAILED
    elif error.http_status not in (429, 503):
        # No attempt ran, so the caller may be told to come back.
        error.code = ResultCode.POOL_UNAVAILABLE
        error.retry_after = gateway.allocator.add_jitter(
            gateway.allocator.expected_wait(flow.pool)
        )
    if flow.response is not None:
        raise CutShort(error) from error
    raise error


async def _attempt(
    gateway: Gateway, flow: RequestContext, runner: RunnerState
) -> web.StreamResponse:
    started = gateway.clock()
    attempt = Attempt()
    loop = asyncio.get_running_loop()
    inactivity = InactivityTimeout(
        loop.time() + flow.deadline - started,
        inactivity_timeout(flow.route, flow.runs, runner.latency),
    )
    served: float | None = None
    token = gateway.track_exchange(runner)
    stop_asking = _ask_for_slot(gateway, flow, runner)
    try:
        async with inactivity.timeout:
            response = await _exchange(
                gateway, flow, runner, attempt, inactivity, stop_asking
            )
        served = gateway.clock() - started
        gateway.allocator.clear_suspicion(runner)
        return response
    except TimeoutError as error:
        raise _timed_out(gateway, runner, attempt, inactivity) from error
    except PrimrosefordError as error:
        gateway.note_failure(runner, error)
        raise
    finally:
        stop_asking()
        runner.waiting.pop(token, None)
        gateway.allocator.release(runner, seconds=served)


def _ask_for_slot(
    gateway: Gateway, flow: RequestContext, runner: RunnerState
) -> Callable[[], None]:
    """Have a batch item step back if a stream waits for its slot, now or soon.

    :returns: called at the first event and at the end, so that nothing is asked again
    """
    if flow.route.kind is not RouteKind.STREAMING or not uses_preemption_requests(
        gateway.allocator.hosts
    ):
        return _nothing
    if waits_for_batch(runner.load()):
        gateway.request_preemption(runner)
    loop = asyncio.get_running_loop()
    return loop.call_later(
        PREEMPTION_DELAY_SECONDS, gateway.request_preemption, runner
    ).cancel


def _nothing() -> None:
    """Stand for what need not be done."""


def _timed_out(
    gateway: Gateway,
    runner: RunnerState,
    attempt: Attempt,
    inactivity: InactivityTimeout,
) -> PrimrosefordError:
    if not attempt.sent:
        return PrimrosefordError(
            ResultCode.DEADLINE_UNREACHABLE, "the time was over before it was sent"
        )
    if not inactivity.at_deadline:
        gateway.suspect(runner, "silent")
    return may_have_run_error(
        ResultCode.RUNNER_TIMEOUT, "the runner did not answer in time"
    )


async def _exchange(
    gateway: Gateway,
    flow: RequestContext,
    runner: RunnerState,
    attempt: Attempt,
    inactivity: InactivityTimeout,
    on_event: Callable[[], None],
) -> web.StreamResponse:
    incoming = flow.incoming
    last_event = flow.splitter.last_event_id() if flow.response else None
    headers = runner_headers(
        incoming.headers,
        runner.entry.key.name,
        flow.organisation.name if flow.organisation else None,
        flow.deadline - gateway.clock(),
        last_event,
    )
    call = RunnerRequest(
        incoming.method, incoming.target, headers, incoming.body, incoming.request_id
    )
    answer = await send_to_runner(gateway.session, runner.entry, call, attempt)
    try:
        gateway.allocator.clear_suspicion(runner)
        if 200 <= answer.status < 300 and not is_signed(answer):
            raise may_have_run_error(
                ResultCode.ANSWER_MISMATCHED, "the answer has no signature"
            )
        if flow.route.kind is RouteKind.STREAMING and answer.status == 200:
            return await relay_stream(
                gateway, flow, runner, answer, inactivity, on_event
            )
        return await relay_whole(gateway, flow, runner, answer, inactivity)
    finally:
        answer.close()
