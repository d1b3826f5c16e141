from __future__ import annotations

import asyncio

import pytest

from primroseford.batch.platform_client import BatchClient
from primroseford.batch.runners import ItemAnswer
from primroseford.batch.runners import ItemRequest
from primroseford.batch.tests.conftest import ENDPOINT
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import answer_ok
from primroseford.batch.tests.fleet import started
from primroseford.batch.tracked_items import create_tracked_run_item
from primroseford.clock import ManualClock
from primroseford.errors import Outcome
from primroseford.metrics import Metrics
from primroseford.online.slot_allocator import SlotAllocator
from primroseford.platform.limiter import Priority
from primroseford.routing.poller import create_load_poller
from primroseford.routing.tracker import AttemptResult
from primroseford.routing.tracker import create_runner_tracker


def create_components(answer):
    """Return tables, tracker, slot allocator and a tracked ``run_item``.

    :param answer: function that returns the runner's answer to a request
    """
    store = Fleet().tables()
    tracker = create_runner_tracker("a", "d", ManualClock())
    allocator = SlotAllocator(store, tracker)

    async def run_item(request):
        await asyncio.sleep(0)
        return answer(request)

    run = create_tracked_run_item(run_item, tracker, allocator.release)
    return store, tracker, allocator, run


def request_of(store) -> ItemRequest:
    """Return an item for the only runner."""
    pool = store.current().pools["vans"]
    return ItemRequest(pool, pool.runners[0], ENDPOINT, {}, "id", 5.0)


@pytest.mark.parametrize(
    ("kind", "bulk"),
    [("filechunks", True), ("resultparts", True), ("jobs", False)],
)
async def test_only_content_has_bulk_priority(kind, bulk):
    """Guards against writes of content that delay lease renewals or commits.

    The rate limiter reserves tokens for calls of a higher priority than bulk.
    """
    seen = []

    class Client:
        async def create(self, *arguments, purpose, priority):
            seen.append((purpose, priority))

    await BatchClient(Client()).create(kind, "n", {})
    assert seen == [("batch", Priority.BULK if bulk else Priority.CLAIM)]


async def test_failures_refusals_and_commits_are_counted():
    """Guards against retries, refusals and commits that the metrics do not count."""
    fleet = Fleet()
    name = await fleet.accept(3)
    host = await started(fleet, "a")
    answers = [
        ItemAnswer(503, b"", Outcome.NOT_RUN),
        ItemAnswer(500, b"", Outcome.RAN),
        ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN, died=True),
    ]
    fleet.runner.answer = lambda request: (
        answers.pop() if answers else answer_ok(request)
    )
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    counters = host.feeder.context.counters
    assert counters.refusals.labels("runner")._value.get() == 1
    for reason in ("runner_died", "runner_failed"):
        assert counters.retries.labels(reason)._value.get() == 1
    assert counters.commits._value.get() == 1


async def test_batch_items_count_in_the_runners_load():
    """Guards against a load balancer that ignores the batch items on a runner."""
    store, tracker, _, run = create_components(answer_ok)
    request = request_of(store)
    task = asyncio.create_task(run(request))
    await asyncio.sleep(0)
    view = tracker.view_of(request.pool, request.runner)
    assert (view.in_flight, view.batch, tracker.online_in_flight("r")) == (1, 1, 0)
    await task
    cancelled = asyncio.create_task(run(request))
    await asyncio.sleep(0)
    cancelled.cancel()
    await asyncio.gather(cancelled, return_exceptions=True)
    assert view.in_flight == 0


async def test_finished_batch_item_frees_a_slot_for_a_queued_request():
    """Guards against an online request that stays queued after a slot became free."""
    store, tracker, allocator, run = create_components(answer_ok)
    request = request_of(store)
    pool = request.pool
    view = tracker.view_of(pool, request.runner)
    for _ in range(pool.max_in_flight):
        tracker.start(view)
    waiting = asyncio.create_task(allocator.acquire(pool, "org-0", None, 60.0, []))
    await asyncio.sleep(0)
    assert len(allocator.pool_queues["vans"].queue) == 1
    tracker.finish(view, AttemptResult.SUCCEEDED)
    await run(request)
    await asyncio.sleep(0)
    assert waiting.done() and waiting.result() is view


@pytest.mark.parametrize(
    ("answer", "ejected", "unavailable"),
    [
        (ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN, died=True), True, True),
        (ItemAnswer(503, b"", Outcome.NOT_RUN, retry_after=7.0), False, True),
        (ItemAnswer(500, b"", Outcome.RAN), False, False),
        (ItemAnswer(422, b"", Outcome.RAN), False, False),
    ],
)
async def test_answers_eject_only_runners_that_died(answer, ejected, unavailable):
    """Guards against invalid items that eject a healthy runner."""
    store, tracker, _, run = create_components(lambda request: answer)
    request = request_of(store)
    for _ in range(3):
        await run(request)
    view = tracker.view_of(request.pool, request.runner)
    assert view.probing is ejected
    assert (view.unavailable_until > tracker.clock()) is unavailable


async def test_runners_with_a_feeder_are_polled_outside_the_subset():
    """Guards against a feeder whose runner is not polled.

    The feeder computes its window from the runner's load reports, and a host would poll
    only the runners of its own subset.
    """
    store, tracker, _, _ = create_components(answer_ok)
    request = request_of(store)
    view = tracker.view_of(request.pool, request.runner)
    tracker._accepts_new_requests = lambda runner: False
    fed_views = []
    poller = create_load_poller(store, tracker, None, Metrics(), lambda: fed_views)
    assert poller.views_in_use() == []
    fed_views.append(view)
    assert poller.views_in_use() == [view]
