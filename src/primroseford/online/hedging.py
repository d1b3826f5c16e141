"""Sends a repeatable request to a second runner when the first one is late."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp import web

    from primroseford.online.request_context import Flow
    from primroseford.online.state import OnlineState
    from primroseford.routing.runner_selection import RunnerView

    SendAttempt = Callable[
        [OnlineState, Flow, RunnerView], Awaitable[web.StreamResponse]
    ]


class Race:
    """Attempts at one request of which the first whole answer is used.

    :ivar winner: the attempt whose answer is passed on as it comes, if any
    """

    def __init__(self, state: OnlineState, flow: Flow, send: SendAttempt) -> None:
        self.state = state
        self.flow = flow
        self.send = send
        self.tasks: list[asyncio.Task[web.StreamResponse]] = []
        self.winner: asyncio.Task | None = None

    def start(self, view: RunnerView) -> None:
        """Send the request to a runner on which a place is taken."""
        flow = replace(self.flow, before_passing_on=self._win)
        self.tasks.append(asyncio.ensure_future(self.send(self.state, flow, view)))

    def _win(self) -> None:
        # Two attempts must not write to the same caller.
        if self.winner is not None and self.winner is not asyncio.current_task():
            raise asyncio.CancelledError
        self.winner = asyncio.current_task()
        for task in self.tasks:
            if task is not self.winner:
                task.cancel()

    async def result(self) -> web.StreamResponse:
        """Return the first answer, or raise the last failure if all fail."""
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
                        self.flow.entry.may_have_run = True
        raise failed or asyncio.CancelledError

    async def stop(self) -> None:
        """Cancel the attempts that lost; each cancels its request at the runner."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def send_hedged(
    state: OnlineState, flow: Flow, view: RunnerView, send: SendAttempt
) -> web.StreamResponse:
    """Send a request, and once more if its answer is late.

    A second attempt counts as a retry. It is not made once an answer is being passed
    on, or while other requests wait for a place.

    :param view: runner on which a place is taken
    :param send: sends one attempt and gives its place back
    """
    race = Race(state, flow, send)
    race.start(view)
    try:
        await asyncio.wait(race.tasks, timeout=flow.route.hedge_after_seconds)
        if not race.tasks[0].done() and race.winner is None:
            _start_second(state, flow, view, race)
        return await race.result()
    finally:
        await race.stop()


def _start_second(state: OnlineState, flow: Flow, view: RunnerView, race: Race) -> None:
    other = state.allocator.find_other(flow.pool, flow.prefix, [*flow.tried, view])
    if other is None or not state.budget.take():
        return
    # The entry follows the second attempt from here on, and the first one may still
    # send its bytes.
    flow.entry.may_have_run = True
    state.tracker.start(other, flow.prefix)
    flow.tried.append(other)
    state.hedges.inc()
    race.start(other)
