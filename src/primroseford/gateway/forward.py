"""Forwarding of online requests to runners, with admission and retries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.affinity import prefix_cache_key
from primroseford.gateway.crash_subjects import CrashSubjects
from primroseford.gateway.exchange import MAX_EVENT_BYTES
from primroseford.gateway.exchange import InactivityTimeout
from primroseford.gateway.exchange import RunnerAttempt
from primroseford.gateway.exchange import RunnerRequest
from primroseford.gateway.exchange import is_full
from primroseford.gateway.exchange import may_have_run_error
from primroseford.gateway.exchange import send_to_runner
from primroseford.gateway.load_probes import choose_by_probes
from primroseford.gateway.preemption import PREEMPTION_DELAY_SECONDS
from primroseford.gateway.preemption import uses_preemption_requests
from primroseford.gateway.preemption import waits_for_batch
from primroseford.gateway.request_context import RequestContext
from primroseford.gateway.request_context import ResponseAborted
from primroseford.gateway.resumption import find_origin
from primroseford.gateway.retry import RetryDecision
from primroseford.gateway.retry import decide_retry
from primroseford.gateway.retry import inactivity_timeout
from primroseford.gateway.runner_responses import relay_response
from primroseford.gateway.runner_responses import relay_stream
from primroseford.gateway.runner_starts import ensure_same_instance
from primroseford.gateway.tables import RouteKind
from primroseford.gateway.tables import choose_pool
from primroseford.online.events import EventSplitter
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
"""Longest wait for a token of the rate limit. It is shorter than the round trip of a
caller who retries after a refusal, and a sixth of the shortest latency objective of the
workloads."""
CALLER_LEFT = "CALLER_LEFT"
"""Outcome of a request whose caller closed the connection. It is no result code, since
no response can be sent."""

log = structlog.get_logger()


async def forward(
    gateway: Gateway,
    request: BaseRequest,
    incoming: IncomingRequest,
    route: Route,
    organisation: Organisation | None,
    started: float,
) -> web.StreamResponse:
    """Forward an online request to a runner, with retries.

    :param started: local time in seconds when the request was received
    :raises PrimrosefordError: with the request's actual outcome, if the response has
        not been started
    """
    # A request that will be refused does not count against its organisation's rate.
    timeout = min(route.timeout, incoming.timeout or route.timeout)
    deadline = gateway.limit_to_stop(started + timeout)
    subjects = CrashSubjects(incoming, organisation)
    gateway.quarantine.check(subjects.known(gateway.quarantine.has_evidence))
    origin = await find_origin(gateway, incoming, route)
    await admit(gateway, organisation)
    pool = origin.pool if origin else choose_pool(route, gateway.random)
    context = RequestContext(
        request,
        incoming,
        subjects,
        route,
        organisation,
        pool,
        started,
        deadline,
        origin=origin,
        splitter=EventSplitter(
            MAX_EVENT_BYTES, incoming.last_event if origin else None
        ),
    )
    end = ResultCode.OK.name
    gateway.open_requests.add(context)
    try:
        return await _send_with_retries(gateway, context)
    except ResponseAborted as aborted:
        end = aborted.error.code.name
        _abort_connection(request)
        return context.response
    except PrimrosefordError as error:
        end = error.code.name
        if error.outcome is Outcome.NOT_RUN and organisation is not None:
            gateway.quotas.refund(organisation)
        raise
    except asyncio.CancelledError:
        end = CALLER_LEFT
        raise
    except Exception:
        end = ResultCode.INTERNAL.name
        if context.response is None:
            raise
        # An error response would become part of the one that has been started.
        log.exception("response aborted", request_id=incoming.request_id)
        _abort_connection(request)
        return context.response
    finally:
        gateway.open_requests.discard(context)
        _record_end(gateway, context, end)


async def admit(gateway: Gateway, organisation: Organisation | None) -> None:
    """Take a token from an organisation's token bucket, with a short wait if needed.

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


def _abort_connection(request: BaseRequest) -> None:
    # Without the terminating chunk the caller detects that the response is incomplete.
    if request.transport is not None:
        request.transport.abort()


def _record_end(gateway: Gateway, context: RequestContext, end: str) -> None:
    seconds = gateway.clock() - context.started
    gateway.metrics.requests.labels(context.route.kind.value, end.lower()).inc()
    gateway.metrics.seconds.labels(context.route.kind.value).observe(seconds)
    log.info(
        "request ended",
        request_id=context.incoming.request_id,
        code=end,
        route=context.route.name,
        organisation=context.organisation.name if context.organisation else None,
        runners=context.runners,
        versions=context.versions,
        runs=context.runs,
        refusals=context.refusals,
        placed_ms=round(context.placement_seconds * 1000),
        first_ms=round(context.first_byte_seconds * 1000),
        total_ms=round(seconds * 1000),
        tables=gateway.tables.version if gateway.tables else None,
    )


async def _send_with_retries(
    gateway: Gateway, context: RequestContext
) -> web.StreamResponse:
    while True:
        runner = await _acquire_slot(gateway, context)
        attempt = RunnerAttempt()
        try:
            return await _attempt(gateway, context, runner, attempt)
        except PrimrosefordError as error:
            _handle_failure(gateway, context, runner, attempt, error)


async def _acquire_slot(gateway: Gateway, context: RequestContext) -> RunnerState:
    organisation = context.organisation.name if context.organisation else ""
    prefix_key = prefix_cache_key(context.incoming.prompt)
    try:
        runner = await gateway.allocator.acquire(
            context.pool,
            organisation,
            context.deadline,
            context.tried_runners,
            prefix_key,
            context.subjects,
            context.origin.version if context.origin else None,
        )
        if not prefix_key:
            runner = await choose_by_probes(gateway, context, runner)
        _check_quarantine(gateway, context, runner)
    except PrimrosefordError as error:
        if context.runs:
            error.outcome = Outcome.MAY_HAVE_RUN
        if context.response is not None:
            raise ResponseAborted(error) from error
        if context.runs:
            error.code = ResultCode.RUNNER_FAILED
        raise
    if not context.runners:
        context.placement_seconds = gateway.clock() - context.started
    context.runners.append(runner.entry.key.name)
    context.versions.append(runner.entry.version)
    return runner


def _check_quarantine(
    gateway: Gateway, context: RequestContext, runner: RunnerState
) -> None:
    """Refuse a request whose prompt was quarantined while it waited for its slot.

    :raises PrimrosefordError: PROMPT_QUARANTINED; the slot has been released then
    """
    parts = context.subjects.known(gateway.quarantine.has_evidence)
    try:
        gateway.quarantine.check(parts)
    except PrimrosefordError:
        gateway.allocator.release(runner, unused=True)
        raise
    gateway.quarantine.begin_trial(parts)


def _handle_failure(
    gateway: Gateway,
    context: RequestContext,
    runner: RunnerState,
    attempt: RunnerAttempt,
    error: PrimrosefordError,
) -> None:
    """Return if the request may be retried; raise its final error otherwise."""
    may_have_run = error.outcome is not Outcome.NOT_RUN
    context.runs += may_have_run
    context.refusals += not may_have_run
    if context.origin is None or not is_full(error):
        # A stream has few runners of its version, and a full one has room again soon.
        context.tried_runners.add(runner.entry.key)
    response_started = context.response is not None
    step = decide_retry(
        context.route, context.runs, context.refusals, may_have_run, response_started
    )
    if (
        gateway.clock() >= context.deadline
        or response_started
        and not context.splitter.can_resume()
    ):
        step = RetryDecision.FAIL
    log.info(
        "attempt failed",
        request_id=context.incoming.request_id,
        runner=runner.entry.key.name,
        version=runner.entry.version,
        code=error.code.name,
        reason=error.message,
        may_have_run=may_have_run,
        stage=attempt.stage.value,
        prompt=[part.id for part in context.incoming.prompt],
        request=context.subjects.request if may_have_run else None,
        next=step.value,
    )
    if step is RetryDecision.AGAIN:
        gateway.metrics.retries.labels(error.code.name.lower()).inc()
        return
    if context.runs:
        error.outcome = Outcome.MAY_HAVE_RUN
        if error.http_status == 503:
            error.code = ResultCode.RUNNER_FAILED
    elif error.http_status not in (429, 503):
        # No attempt ran, so the caller may retry.
        error.code = ResultCode.POOL_UNAVAILABLE
        error.retry_after = gateway.allocator.add_jitter(
            gateway.allocator.expected_wait(context.pool)
        )
    if context.response is not None:
        raise ResponseAborted(error) from error
    raise error


async def _attempt(
    gateway: Gateway,
    context: RequestContext,
    runner: RunnerState,
    attempt: RunnerAttempt,
) -> web.StreamResponse:
    started = gateway.clock()
    loop = asyncio.get_running_loop()
    limit = inactivity_timeout(context.route, context.runs, runner.latency)
    if limit is not None:
        limit *= gateway.speeds.silence_factor(runner)
    inactivity = InactivityTimeout(loop.time() + context.deadline - started, limit)
    context.inactivity = inactivity
    duration: float | None = None
    token = gateway.track_exchange(runner)
    cancel_preemption = _request_preemption(gateway, context, runner)

    def on_event() -> None:
        if not attempt.event_received:
            attempt.event_received = True
            gateway.pace.note_answer(runner, gateway.clock() - started)
            gateway.quarantine.record_served(
                context.subjects.known(gateway.quarantine.has_evidence)
            )
        cancel_preemption()

    try:
        async with inactivity.timeout:
            response = await _exchange(
                gateway, context, runner, attempt, inactivity, on_event
            )
        duration = gateway.clock() - started
        gateway.allocator.clear_suspicion(runner)
        return response
    except TimeoutError as error:
        raise _timeout_error(gateway, runner, attempt, inactivity) from error
    except PrimrosefordError as error:
        gateway.note_failure(runner, error)
        gateway.crash_detector.note_interruption(
            runner, attempt, context.subjects.positions, error
        )
        raise
    finally:
        cancel_preemption()
        runner.waiting.pop(token, None)
        gateway.allocator.release(runner, seconds=duration)


def _request_preemption(
    gateway: Gateway, context: RequestContext, runner: RunnerState
) -> Callable[[], None]:
    """Request the preemption of a batch item for a stream that waits for its slot.

    The request is made at once if batch items fill the runner, and again if the stream
    has no event after a delay.

    :returns: function that cancels the delayed request; called at the first event and
        at the end of the attempt
    """
    if context.route.kind is not RouteKind.STREAMING or not uses_preemption_requests(
        gateway.allocator.hosts
    ):
        return _do_nothing
    if waits_for_batch(runner.load()):
        gateway.request_preemption(runner)
    loop = asyncio.get_running_loop()
    return loop.call_later(
        PREEMPTION_DELAY_SECONDS, gateway.request_preemption, runner
    ).cancel


def _do_nothing() -> None:
    """Do nothing; used where there is no request to cancel."""


def _timeout_error(
    gateway: Gateway,
    runner: RunnerState,
    attempt: RunnerAttempt,
    inactivity: InactivityTimeout,
) -> PrimrosefordError:
    if not attempt.sent:
        return PrimrosefordError(
            ResultCode.DEADLINE_UNREACHABLE,
            "the deadline passed before the request was sent",
        )
    if not inactivity.at_deadline:
        gateway.suspect(runner, "silent")
    return may_have_run_error(
        ResultCode.RUNNER_TIMEOUT, "the runner did not respond in time"
    )


async def _exchange(
    gateway: Gateway,
    context: RequestContext,
    runner: RunnerState,
    attempt: RunnerAttempt,
    inactivity: InactivityTimeout,
    on_event: Callable[[], None],
) -> web.StreamResponse:
    incoming = context.incoming
    if context.route.kind is RouteKind.STREAMING and context.route.resumable:
        await ensure_same_instance(gateway, runner, context.origin is not None)
    last_event = context.splitter.last_event_id() if context.response else None
    headers = runner_headers(
        incoming.headers,
        runner.entry.key.name,
        context.organisation.name if context.organisation else None,
        context.deadline - gateway.clock(),
        last_event,
    )
    call = RunnerRequest(
        incoming.method, incoming.target, headers, incoming.body, incoming.request_id
    )
    runner_response = await send_to_runner(
        gateway.session,
        runner.entry,
        call,
        attempt,
        lambda notice: gateway.note_notice(runner, notice),
        lambda load: gateway.note_load(runner, load),
    )
    try:
        gateway.allocator.clear_suspicion(runner)
        if 200 <= runner_response.status < 300 and not is_signed(runner_response):
            raise may_have_run_error(
                ResultCode.ANSWER_MISMATCHED, "the response has no signature"
            )
        if context.route.kind is RouteKind.STREAMING and runner_response.status == 200:
            return await relay_stream(
                gateway, context, runner, runner_response, inactivity, on_event
            )
        return await relay_response(
            gateway, context, runner, runner_response, inactivity, on_event
        )
    finally:
        runner_response.close()
