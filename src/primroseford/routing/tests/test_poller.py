"""Polling of load reports and cache events from engine stand-ins."""

from __future__ import annotations

import asyncio

from primroseford.online.tests.conftest import rig  # noqa: F401
from primroseford.online.tests.conftest import until
from primroseford.routing.poller import create_load_poller
from primroseford.routing.tracker import AttemptResult


async def test_reports_reach_the_tracker_and_failures_are_counted(rig):  # noqa: F811
    """Guards against runner selection without load, leaving state or cache events."""
    await rig.start(2)
    poller = create_load_poller(rig.store, rig.tracker, rig.client, rig.metrics)
    for number in range(8):
        async with rig.post(content=f"prompt {number}", max_tokens=1) as answer:
            assert answer.status == 200
    for engine in rig.engines:
        engine.state.running, engine.state.waiting = 4, 3
        engine.record_load()
    rig.engines[0].state.leaving = True
    for view in rig.tracker.views.values():
        view.prefixes.clear()
    views = poller.views_in_use()
    assert len(views) == 2
    await asyncio.sleep(0)
    await poller.poll_round(views, with_cache=True)
    assert [view.other_load for view in views] == [7, 7]
    assert {v.runner.name for v in views if v.report_leaving} == {"runner-0"}
    for view in views:
        engine = rig.engines[int(view.runner.name[-1])]
        # The stand-in drops every seventh event, starting with the first.
        events = [e for e in engine.state.cache_events if e["seq"] % 7]
        assert list(view.prefixes) == [e["prefix"] for e in events]
    rig.tracker.subsets.clear()
    pool = rig.store.current().pools["engines"]
    await until(lambda: len(rig.tracker.pool_views(pool)) == 1)
    assert len(poller.views_in_use()) == 2
    gone = rig.runner("gone", "http://127.0.0.1:1")
    rig.put("pools", "engines", {"runners": [gone]})
    rig.apply()
    await poller.poll_round(poller.views_in_use(), with_cache=False)
    counter = rig.metrics.by_name["load_poll_failures_total"]
    assert counter._value.get() == 1


async def test_runners_without_own_work_are_polled_less_often(rig):  # noqa: F811
    """Guards against idle hosts that poll at full rate, and busy ones that do not."""
    await rig.start(2)
    poller = create_load_poller(rig.store, rig.tracker, rig.client, rig.metrics)
    views = poller.views_to_poll(0)
    assert len(views) == 2
    assert poller.views_to_poll(1) == []
    rig.tracker.start(views[0])
    rig.tracker.start(views[1], batch=True)
    assert poller.views_to_poll(1) == views
    rig.tracker.finish(views[1], AttemptResult.SUCCEEDED, batch=True)
    assert poller.views_to_poll(1) == views
    # Simulates that the last item ended long ago.
    views[1].samples.clear()
    assert poller.views_to_poll(1) == views[:1]
