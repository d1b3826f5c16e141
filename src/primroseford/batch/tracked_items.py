"""Records batch items in the runner tracker."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import Outcome
from primroseford.routing.tracker import AttemptResult

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
    """Return a function that sends an item and records it in the runner tracker.

    :param release: ``SlotAllocator.release``, which assigns the free slot to a queued
        request
    """

    async def run(request: ItemRequest) -> ItemAnswer:
        view: RunnerView = tracker.view_of(request.pool, request.runner)
        tracker.start(view, batch=True)
        result, retry_after = AttemptResult.ABANDONED, None
        try:
            answer = await run_item(request)
            result, retry_after = tracker_result(answer), answer.retry_after
            return answer
        finally:
            release(view, result, None, retry_after, batch=True)

    return run


def tracker_result(answer: ItemAnswer) -> AttemptResult:
    """Return the result that the runner tracker records for an answer.

    Only a lost connection or a timeout is recorded as a failure, which may eject the
    runner: a status such as 500 may be caused by the item.
    """
    if answer.died:
        return AttemptResult.FAILED
    if answer.outcome is Outcome.NOT_RUN:
        return AttemptResult.REFUSED
    succeeded = answer.outcome is Outcome.RAN and 200 <= answer.status < 300
    return AttemptResult.SUCCEEDED if succeeded else AttemptResult.ABANDONED
