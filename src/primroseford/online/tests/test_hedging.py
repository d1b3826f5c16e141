"""Hedging of slow responses on repeatable routes."""

from __future__ import annotations

import asyncio

import pytest
from pydantic import ValidationError

from primroseford.configuration.tables import Route
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online import forward
from primroseford.online.tests.conftest import until
from primroseford.online.tests.test_admission import read_all

HEDGED = {"repeatable": True, "hedge_after_seconds": 0.02}


def runs(rig):
    return [sum(engine.state.run_counts.values()) for engine in rig.engines]


async def start(rig, **route):
    """Start two engines; the first one does not respond in time."""
    await rig.start(2, route=HEDGED | route)
    rig.engines[0].settings.prefill_seconds = 3600.0


def test_only_repeatable_routes_hedge():
    """Guards against hedging of a non-repeatable request."""
    with pytest.raises(ValidationError):
        Route(name="r", pool="p", open=True, hedge_after_seconds=1.0)


@pytest.mark.parametrize("stream", [False, True])
async def test_slow_response_is_replaced_and_its_slot_released(rig, stream):
    """Guards against a slow runner that delays the caller or keeps a slot reserved."""
    await start(rig)
    for _ in range(6):
        answer, content = await read_all(rig.post(stream=stream, max_tokens=3))
        assert answer.status == 200
        assert content.endswith(b"data: [DONE]\n\n") is stream
    hedges = rig.metrics.by_name["hedges_total"]._value.get()
    assert 0 < hedges < 6
    await until(
        lambda: not rig.state.background and not rig.state.open_requests.entries
    )
    assert all(view.online == 0 for view in rig.tracker.views.values())
    late = rig.engines[0].state.generations
    await until(lambda: late and all(one.cancelled for one in late.values()))


async def test_started_stream_is_not_hedged(rig):
    """Guards against two attempts that write to one caller."""
    await rig.start(2, route=HEDGED | {"hedge_after_seconds": 0.05})
    answer, content = await read_all(rig.post(stream=True, max_tokens=100))
    assert answer.status == 200 and content.count(b"data: ") > 100
    assert sum(runs(rig)) == 1


async def test_hedges_count_against_the_retry_budget(rig):
    """Guards against hedging that doubles the load of slow runners."""
    await rig.start(2, route=HEDGED | {"timeout_seconds": 0.2})
    for engine in rig.engines:
        engine.faults.answer_delay_seconds = 3600.0
    rig.state.budget.tokens = 1.0
    answers = await asyncio.gather(*(read_all(rig.post()) for _ in range(4)))
    assert [answer.status for answer, _ in answers] == [504] * 4
    outcomes = {answer.headers["X-Primroseford-Outcome"] for answer, _ in answers}
    assert outcomes == {"may_have_run"}
    assert rig.metrics.by_name["hedges_total"]._value.get() == 1


async def test_first_attempt_that_connects_late_may_still_run(rig, monkeypatch):
    """Guards against a false not_run while the first attempt is still connecting."""
    await rig.start(2, route=HEDGED | {"timeout_seconds": 0.3})
    calls = []

    async def connect_late(session, call, attempt):
        calls.append(call)
        if len(calls) == 1:
            await asyncio.sleep(3600.0)
        raise PrimrosefordError(ResultCode.DEADLINE_UNREACHABLE, "refused")

    monkeypatch.setattr(forward, "open_exchange", connect_late)
    answer, _ = await read_all(rig.post())
    assert len(calls) == 2
    assert answer.headers["X-Primroseford-Outcome"] == "may_have_run"


async def test_refusal_after_a_hedge_does_not_say_not_run(rig):
    """Guards against an outcome that covers only the second attempt."""
    pool = {"not_run_statuses": [429]}
    await rig.start(2, route=HEDGED | {"timeout_seconds": 0.3}, pool=pool)
    rig.engines[0].faults.answer_delay_seconds = 3600.0
    rig.engines[1].faults.refuse_status = 429
    outcomes = set()
    while not rig.metrics.by_name["hedges_total"]._value.get():
        rig.tracker.views.clear()
        rig.tracker.subsets.clear()
        answer, _ = await read_all(rig.post())
        outcomes.add((answer.status, answer.headers["X-Primroseford-Outcome"]))
    assert (504, "may_have_run") in outcomes and (503, "not_run") not in outcomes
    assert all(outcome == "may_have_run" for _, outcome in outcomes)


async def test_failed_attempt_leaves_the_other_one_running(rig):
    """Guards against a reported failure while the other attempt is still running."""
    await rig.start(2, route=HEDGED)
    rig.engines[0].faults.die_before_answer = True
    rig.engines[1].faults.answer_delay_seconds = 0.2
    for _ in range(4):
        assert (await read_all(rig.post(max_tokens=1)))[0].status == 200


async def test_disconnected_caller_ends_both_attempts(rig):
    """Guards against attempts that continue after the caller disconnected."""
    await start(rig)
    rig.engines[1].settings.prefill_seconds = 3600.0
    request = asyncio.create_task(read_all(rig.post()))
    await until(lambda: sum(v.online for v in rig.tracker.views.values()) == 2)
    request.cancel()
    await until(
        lambda: not rig.state.open_requests.entries and not rig.state.background
    )
    assert all(view.online == 0 for view in rig.tracker.views.values())
