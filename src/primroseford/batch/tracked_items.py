"""Counts batch items among the requests of their runner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.routing.tracker import Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.batch.runners import ItemAnswer
    from primroseford.batch.runners import ItemRequest
    from primroseford.batch.runners import RunItem
    from primroseford.routing.runner_selection import RunnerView
    from primroseford.routing.tracker import RunnerTracker


def create_tracked_run_item(
    run_item: RunItem, tracker: RunnerTracker, release: Callable[..., None]
) -> RunItem:
    """Return a function that sends an item and counts it on its runner.

    :param release: ``Places.release``, which hands the place to a waiting request
    """

    async def run(request: ItemRequest) -> ItemAnswer:
        view: RunnerView = tracker.view_of(request.pool, request.runner)
        tracker.start(view, batch=True)
        result, retry_after = Result.ABANDONED, None
        try:
            answer = await run_item(request)
            result, retry_after = result_of(answer), answer.retry_after
            return answer
        finally:
            release(view, result, None, retry_after, batch=True)

    return run


def result_of(answer: ItemAnswer) -> Result:
    """Return how far a runner is to blame for an item's answer.

    A status such as 500 may be due to the item, so it ejects no runner.
    """
    if answer.died:
        return Result.FAILED
    if answer.outcome is Outcome.NOT_RUN:
        return Result.REFUSED
    fine = answer.outcome is Outcome.RAN and 200 <= answer.status < 300
    return Result.SUCCEEDED if fine else Result.ABANDONED
