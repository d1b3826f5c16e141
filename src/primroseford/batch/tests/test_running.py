from __future__ import annotations

import asyncio

import pytest

from primroseford.batch.gen.ttypes import OnlineLoad
from primroseford.batch.retention import remove_expired
from primroseford.batch.runners import ItemAnswer
from primroseford.batch.state import CHUNK_STATES
from primroseford.batch.state import JOBS
from primroseford.batch.state import RESULT_PARTS
from primroseford.batch.tests.fleet import Fleet
from primroseford.batch.tests.fleet import answer_ok
from primroseford.batch.tests.fleet import check_complete
from primroseford.batch.tests.fleet import ids
from primroseford.batch.tests.fleet import raise_unavailable
from primroseford.batch.tests.fleet import started
from primroseford.errors import Outcome
from primroseford.errors import ResultCode


async def test_job_completes_in_item_order_with_few_writes():
    """Guards against lost or reordered results, and against a write for each item."""
    fleet = Fleet()
    name = await fleet.accept(2000)
    host = await started(fleet, "a")
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    assert [r["custom_id"] for r in await fleet.results(name)] == ids(2000)
    await check_complete(fleet, name, 2000)
    assert max(fleet.runner.runs.values()) == 1
    assert host.client.calls["create"] + host.client.calls["update"] <= 20


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("after", [False, True])
@pytest.mark.parametrize("kill_at", range(1, 16))
async def test_worker_killed_at_each_step(kill_at, after, repeatable):
    """Guards against items lost or duplicated when a host dies between two steps."""
    fleet = Fleet(repeatable=repeatable)
    name = await fleet.accept(12)
    first = fleet.host("a")
    count, dead = 0, asyncio.Event()

    def fault(verb, kind, effect):
        nonlocal count
        count += effect is after
        if count >= kill_at and effect is after:
            dead.set()
            raise_unavailable()

    await first.refresh()
    first.client.fault = fault
    first.start()
    ended = asyncio.create_task(fleet.until_state(name, "completed"))
    waits = [asyncio.create_task(dead.wait()), ended]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    await first.kill()
    fleet.live.discard("a")
    second = await started(fleet, "b")
    await ended
    await second.feeder.stop()
    waits[0].cancel()
    await check_complete(fleet, name, 12)
    if not repeatable:
        assert max(fleet.runner.runs.values()) == 1


@pytest.mark.parametrize("repeatable", [True, False])
async def test_paused_holder_commits_nothing_after_takeover(repeatable):
    """Guards against a second commit by a holder that resumes after a takeover."""
    fleet = Fleet(repeatable=repeatable)
    name = await fleet.accept(10)
    first = await started(fleet, "a")
    fleet.runner.gate.clear()

    async def sent() -> bool:
        return len(fleet.runner.active) > 0

    await fleet.until(sent)
    first.task.cancel()
    fleet.live.discard("a")
    held = list(fleet.runner.active)
    gate, fleet.runner.gate = fleet.runner.gate, asyncio.Event()
    fleet.runner.gate.set()
    second = await started(fleet, "b")
    await fleet.until_state(name, "completed")
    before = await fleet.results(name)
    gate.set()
    first.feeder.context.index.jobs.clear()
    first.start()

    async def dropped() -> bool:
        return not first.feeder.claimed_chunks

    await fleet.until(dropped)
    await first.feeder.stop()
    await second.feeder.stop()
    assert await fleet.results(name) == before
    await check_complete(fleet, name, 10)
    if not repeatable:
        assert max(fleet.runner.runs.values()) == 1
        unknown = await fleet.results(name, False)
        assert len(unknown) == len(held)
        code = str(int(ResultCode.ITEM_OUTCOME_UNKNOWN))
        assert {r["error"]["code"] for r in unknown} == {code}


@pytest.mark.parametrize("kind", [CHUNK_STATES, RESULT_PARTS, JOBS])
@pytest.mark.parametrize("repeatable", [True, False])
async def test_lost_answers_commit_once(kind, repeatable):
    """Guards against a commit that is lost or duplicated when its response is lost."""
    fleet = Fleet(repeatable=repeatable)
    name = await fleet.accept(40)
    host = fleet.host("a")
    await host.refresh()
    lost = 0

    def fault(verb, called, after):
        nonlocal lost
        if after and called == kind and verb in ("create", "update") and lost < 3:
            lost += 1
            raise_unavailable()

    host.client.fault = fault
    host.start()
    # A claim whose response was lost is stored under this host and is taken over
    # later.
    waiting = asyncio.create_task(fleet.until_state(name, "completed"))
    while not waiting.done():
        fleet.clock.advance(5.0)
        await asyncio.sleep(0.005)
    await waiting
    await host.feeder.stop()
    await check_complete(fleet, name, 40)
    if not repeatable:
        assert max(fleet.runner.runs.values()) == 1


async def test_commits_are_delayed_until_an_outage_ends():
    """Guards against results that are lost or committed twice in an outage."""
    fleet = Fleet()
    name = await fleet.accept(30)
    host = await started(fleet, "a")
    fleet.runner.gate.clear()

    async def sent() -> bool:
        return len(fleet.runner.active) > 0

    await fleet.until(sent)
    host.client.fault = lambda *_: raise_unavailable()
    fleet.runner.gate.set()

    async def all_ran() -> bool:
        return len(fleet.runner.runs) == 30 and not fleet.runner.active

    await fleet.until(all_ran)
    assert await fleet.state_of(name) == "active"
    host.client.fault = lambda *_: None
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    await check_complete(fleet, name, 30)
    assert max(fleet.runner.runs.values()) == 1


@pytest.mark.parametrize("kind", [CHUNK_STATES, RESULT_PARTS, None])
async def test_cancelled_job_stops(kind):
    """Guards against a cancelled job that continues to run or completes."""
    fleet = Fleet()
    name = await fleet.accept(600)
    host = fleet.host("a")
    await host.refresh()
    done = asyncio.Event()

    def fault(verb, called, after):
        writes = verb in ("create", "update")
        if writes and not after and called == kind:
            done.set()

    host.client.fault = fault
    if kind is None:
        fleet.runner.gate.clear()
    host.start()
    if kind is not None:
        await done.wait()
    job = await fleet.store().cancel("org-0", name)
    host.feeder.context.index.end(name)
    ran = len(fleet.runner.runs)
    fleet.runner.gate.set()

    async def idle() -> bool:
        return not host.feeder.claimed_chunks and not host.feeder.tasks

    await fleet.until(idle)
    await host.feeder.stop()
    assert job.state.value == await fleet.state_of(name) == "cancelled"
    assert len(fleet.runner.runs) == ran
    found = await fleet.results(name) + await fleet.results(name, False)
    assert sorted(r["custom_id"] for r in found) == sorted(ids(600))


async def test_item_that_kills_its_runner_fails_alone():
    """Guards against other items that fail with an item that crashes its runner."""
    fleet = Fleet()
    name = await fleet.accept(40)
    host = await started(fleet, "a")
    fatal_item = f"{name}-0-7"

    def answer(request):
        if fatal_item in fleet.runner.active:
            return ItemAnswer(0, b"", Outcome.MAY_HAVE_RUN, died=True)
        return answer_ok(request)

    fleet.runner.answer = answer
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    failed = await fleet.results(name, False)
    assert [r["custom_id"] for r in failed] == ["item-7"]
    code = str(int(ResultCode.ITEM_ATTEMPTS_EXHAUSTED))
    assert failed[0]["error"]["code"] == code
    assert fleet.runner.runs[fatal_item] == 3
    await check_complete(fleet, name, 40)


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (ItemAnswer(422, b"{}", Outcome.RAN), ResultCode.ITEM_INVALID),
        (ItemAnswer(500, b"", Outcome.RAN), ResultCode.ITEM_ATTEMPTS_EXHAUSTED),
        (ItemAnswer(200, b"x" * 9_000_000, Outcome.RAN), ResultCode.RESULT_TOO_LARGE),
    ],
)
async def test_failed_items_carry_their_code(answer, code):
    """Guards against a failed item with a wrong code, or without one."""
    fleet = Fleet()
    name = await fleet.accept(2)
    host = await started(fleet, "a")
    fleet.runner.answer = lambda request: answer
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    failed = await fleet.results(name, False)
    assert [r["error"]["code"] for r in failed] == [str(int(code))] * 2


async def test_refused_items_cost_no_attempt_and_no_token():
    """Guards against refusals by a full runner that count as failed attempts."""
    fleet = Fleet(repeatable=False)
    name = await fleet.accept(4)
    host = await started(fleet, "a")
    refusals = 0

    def answer(request):
        nonlocal refusals
        refusals += 1
        if refusals <= 20:
            return ItemAnswer(503, b"", Outcome.NOT_RUN)
        return answer_ok(request)

    fleet.runner.answer = answer
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    assert len(await fleet.results(name)) == 4
    assert host.limiter.acquired - host.limiter.refunded == 4


async def test_large_results_span_objects():
    """Guards against lost answers that exceed the size limit of a stored value."""
    fleet = Fleet()
    name = await fleet.accept(3)
    host = await started(fleet, "a")
    body = b'{"text": "' + b"\\n" * 1_000_000 + b'"}'
    fleet.runner.answer = lambda request: ItemAnswer(200, body, Outcome.RAN)
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    found = await fleet.results(name)
    assert {len(r["response"]["body"]["text"]) for r in found} == {1_000_000}
    parts = fleet.state.objects[RESULT_PARTS].values()
    assert max(len(repr(part)) for part in parts) < 1_000_000


async def test_every_host_is_replaced_during_a_job():
    """Guards against progress or results that exist on one host only."""
    fleet = Fleet()
    name = await fleet.accept(1500)
    for number in range(3):
        host = await started(fleet, f"h{number}")
        target = 300 * (number + 1)

        async def far_enough(target=target) -> bool:
            return len(fleet.runner.runs) >= target

        await fleet.until(far_enough)
        await host.kill()
        fleet.live.discard(host.name)
    last = await started(fleet, "last")
    await fleet.until_state(name, "completed")
    await last.feeder.stop()
    await check_complete(fleet, name, 1500)


async def test_batch_items_are_preempted_when_online_load_arrives():
    """Guards against online requests that wait behind batch items."""
    fleet = Fleet()
    name = await fleet.accept(100)
    host = await started(fleet, "a")
    fleet.runner.gate.clear()

    async def full() -> bool:
        return len(fleet.runner.active) == 16

    await fleet.until(full)
    feeder = host.feeder
    load = feeder.context.load
    load.on_change(lambda runner: feeder.wake.set())
    load.record("b", OnlineLoad("r", 5, 2))
    load.record("b", OnlineLoad("r", 0, 1))
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(fleet.runner.active) == 16 - 5 - 1
    load.record("c", OnlineLoad("r", 11, 1))
    assert feeder.headroom() == 2
    for _ in range(10):
        await asyncio.sleep(0)
    assert len(fleet.runner.active) == 0
    assert feeder.context.counters.preemptions._value.get() == 16
    load.retain_hosts(())
    fleet.runner.gate.set()
    await fleet.until_state(name, "completed")
    await feeder.stop()
    await check_complete(fleet, name, 100)
    assert not any(w.attempts for w in feeder.claimed_chunks)


async def test_retention_removes_everything_and_orphans_only_after_a_day():
    """Guards against results removed too early and chunks kept forever."""
    fleet = Fleet()
    name = await fleet.accept(5)
    host = await started(fleet, "a")
    await fleet.until_state(name, "completed")
    await host.feeder.stop()
    files = fleet.store().files
    await files.client.create("uploads", "lost", {"created_at": fleet.wall_clock()})
    chunk = {"upload": "lost"}
    await files.client.create("filechunks", "lost-0", {"text": ""}, chunk)
    await remove_expired(files, fleet.wall_clock() + 86_399, 7 * 86_400)
    assert "lost-0" in fleet.state.objects["filechunks"]
    await remove_expired(files, fleet.wall_clock() + 86_400, 7 * 86_400)
    assert "lost-0" not in fleet.state.objects["filechunks"]
    assert len(await fleet.results(name)) == 5
    await remove_expired(files, fleet.wall_clock() + 7 * 86_400, 7 * 86_400)
    assert not any(fleet.state.objects.values())
