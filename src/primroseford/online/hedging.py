"""Hedging: sends a repeatable request to a second runner if the first one is slow."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp import web

    from primroseford.online.request_context import RequestContext
    from primroseford.online.state import OnlineState
    from primroseford.routing.runner_selection import RunnerView

    SendAttempt = Callable[
        [OnlineState, RequestContext, RunnerView], Awaitable[web.StreamResponse]
    ]

log = structlog.get_logger()


class HedgedAttempts:
    """Concurrent attempts at a request; the first response is used.

    :ivar winner: attempt whose response is being streamed to the caller, if any
    """

    def __init__(
        self, state: OnlineState, context: RequestContext, send: SendAttempt
    ) -> None:
        self.state = state
        self.context = context
        self.send = send
        self.tasks: list[asyncio.Task[web.StreamResponse]] = []
        self.winner: asyncio.Task | None = None

    def start(self, view: RunnerView) -> None:
        """Send the request to a runner on which a slot is reserved."""
        context = replace(self.context, before_relaying=self._select_response)
        self.tasks.append(asyncio.ensure_future(self.send(self.state, context, view)))

    def _select_response(self) -> None:
        # Only one attempt may write to the caller.
        if self.winner is not None and self.winner is not asyncio.current_task():
            raise asyncio.CancelledError
        self.winner = asyncio.current_task()
        for task in self.tasks:
            if task is not self.winner:
                task.cancel()

    async def wait_for_response(self) -> web.StreamResponse:
        """Return the first response, or raise the last failure if all attempts fail."""
        pending = set(self.tasks)
        failed: PrimrosefordError | None = None
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                try:
                    return task.result()
                except asyncio.CancelledError:
                    continue
                except PrimrosefordError as error:
                    failed = error
                    if error.outcome is not Outcome.NOT_RUN:
                        self.context.entry.may_have_run = True
        raise failed or asyncio.CancelledError

    async def stop(self) -> None:
        """Cancel the other attempts; each cancels its request at its runner."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def send_hedged(
    state: OnlineState, context: RequestContext, view: RunnerView, send: SendAttempt
) -> web.StreamResponse:
    """Send a request, and send it to a second runner if the first one is slow.

    The second attempt counts against the retry budget. It is not made once a response
    is being streamed to the caller, or while other requests wait for a slot.

    :param view: runner on which a slot is reserved
    :param send: sends one attempt and releases its slot
    """
    attempts = HedgedAttempts(state, context, send)
    attempts.start(view)
    try:
        await asyncio.wait(attempts.tasks, timeout=context.route.hedge_after_seconds)
        if not attempts.tasks[0].done() and attempts.winner is None:
            _start_hedge(state, context, view, attempts)
        return await attempts.wait_for_response()
    finally:
        await attempts.stop()


def _start_hedge(
    state: OnlineState,
    context: RequestContext,
    view: RunnerView,
    attempts: HedgedAttempts,
) -> None:
    try:
        context.update_pool(state.store.current())
    except PrimrosefordError as error:
        # The first attempt is still running and may succeed.
        log.info("request not hedged", route=context.route.name, error=str(error))
        return
    hedge_view = state.allocator.find_other(
        context.pool, context.prefix, [*context.tried, view]
    )
    if hedge_view is None or not state.budget.try_spend():
        return
    # From here on entry.attempt is the second attempt, while the first one may still
    # send bytes of the request.
    context.entry.may_have_run = True
    state.tracker.start(hedge_view, context.prefix)
    context.tried.append(hedge_view)
    state.hedges.inc()
    attempts.start(hedge_view)
