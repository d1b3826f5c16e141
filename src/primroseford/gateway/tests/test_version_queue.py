"""Choice of runners for requests that only one software version may serve."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseford.clock import ManualClock
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.slot_queue import SlotQueue
from primroseford.gateway.slot_queue import Waiter

POOL = "models"
SLOTS = 2
ROOM = SLOTS + 2
"""Requests that one runner takes, its own queue included."""
LATE = 1e9
"""Deadline that no wait can reach."""


def entry(name: str, version: str, stage=RunnerStage.READY, born: int = 1):
    """Return an entry of the runner list."""
    key = RunnerKey(name, born)
    return RunnerEntry(key, POOL, "x:1", "a", SLOTS, stage, version)


def list_runners(allocator: SlotAllocator, *entries: RunnerEntry) -> None:
    """Replace the runner list."""
    allocator.set_runners({listed.key.name: listed for listed in entries})


def create_allocator(*versions: str) -> SlotAllocator:
    """Return an allocator with one runner for each of the versions."""
    allocator = SlotAllocator("a", ManualClock(), Random(1))
    entries = [entry(f"i-{n}", version) for n, version in enumerate(versions)]
    list_runners(allocator, *entries)
    return allocator


def fill(allocator: SlotAllocator, version: str) -> None:
    """Use all room of the runners of a version."""
    for runner in allocator.pool_runners(POOL, version):
        runner.online = ROOM


async def begin(allocator: SlotAllocator, version: str | None, **fields):
    """Begin to acquire a slot, and return the task once it has or waits for one."""
    task = asyncio.create_task(
        allocator.acquire(POOL, "o", LATE, version=version, **fields)
    )
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return task


def versions_of(tasks) -> list[str | None]:
    """Return the version that each task has acquired a slot of, if it has."""
    return [
        task.result().entry.version if task.done() and not task.cancelled() else None
        for task in tasks
    ]


async def stop(tasks) -> None:
    """Cancel the requests that still wait."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize(
    ("version", "loaded", "tried", "chosen"),
    [
        (None, (), (), {"i-0", "i-1", "i-2"}),
        ("v1", (), (), {"i-0", "i-1"}),
        ("v1", ("i-0",), (), {"i-1"}),
        ("v1", ("i-0", "i-1"), (), set()),
        ("v1", (), ("i-0",), {"i-1"}),
        ("v1", (), ("i-0", "i-1"), set()),
        ("v1", ("i-1",), ("i-0",), set()),
        ("v2", ("i-0", "i-1"), (), {"i-2"}),
        ("v3", (), (), set()),
    ],
)
@pytest.mark.parametrize("prefix", ["", "p1", "p2", "p3"])
@pytest.mark.parametrize("hosts", [1, 40])
def test_choice_among_runners_of_a_version(
    version, loaded, tried, chosen, prefix, hosts
):
    """Guards against load, samples or caches that lead to another version."""
    allocator = create_allocator("v1", "v1", "v2")
    allocator.peer_waiting = {f"h-{n}": 0 for n in range(hosts - 1)}
    for name in loaded:
        allocator.runners[name].online = ROOM
    keys = [RunnerKey(name, 1) for name in tried]
    found = {
        runner.entry.key.name
        for _ in range(40)
        if (runner := allocator._choose(POOL, keys, prefix, version)) is not None
    }
    assert found <= chosen and bool(found) == bool(chosen)


@pytest.mark.parametrize("suspected_by_others", [False, True])
def test_suspected_runner_of_a_version_without_others(suspected_by_others):
    """Guards against streams without a runner because of a false suspicion."""
    allocator = create_allocator("v1", "v2", "v2")
    only = allocator.runners["i-0"]
    if suspected_by_others:
        only.suspected_by.add("host-9")
    else:
        allocator.suspect(only)
    assert only not in allocator.usable(POOL)
    assert allocator.usable(POOL, "v1") == [only]


@pytest.mark.parametrize(
    ("version", "tried", "code"),
    [
        (None, ("i-0", "i-1"), ResultCode.POOL_UNAVAILABLE),
        ("v3", (), ResultCode.STREAM_VERSION_GONE),
        ("v1", ("i-0",), ResultCode.STREAM_VERSION_GONE),
        ("v1", ("i-0", "i-1"), ResultCode.STREAM_VERSION_GONE),
    ],
)
async def test_request_without_a_runner_left_is_refused_at_once(version, tried, code):
    """Guards against a wait until the deadline for a version that is gone."""
    allocator = create_allocator("v1", "v2")
    keys = [RunnerKey(name, 1) for name in tried]
    with pytest.raises(PrimrosefordError) as caught:
        await allocator.acquire(POOL, "o", LATE, keys, version=version)
    assert caught.value.code is code and caught.value.retry_after > 0
    assert caught.value.http_status == 503
    assert caught.value.outcome is Outcome.NOT_RUN and not allocator.waiting()


@pytest.mark.parametrize(
    ("after", "tried"),
    [
        ([entry("i-1", "v2")], ()),
        ([entry("i-0", "v1", RunnerStage.DRAINING), entry("i-1", "v2")], ()),
        ([entry("i-0", "v2", born=2), entry("i-1", "v2")], ()),
        ([entry("i-0", "v2"), entry("i-1", "v2")], ()),
        ([entry("i-1", "v2"), entry("i-2", "v1")], ("i-2",)),
    ],
    ids=["removed", "draining", "restarted", "other version", "tried"],
)
async def test_waiting_request_whose_version_is_gone_is_refused(after, tried):
    """Guards against a request that waits for a version without a runner."""
    allocator = create_allocator("v1", "v2")
    fill(allocator, "v1")
    keys = [RunnerKey(name, 1) for name in tried]
    task = await begin(allocator, "v1", tried=keys)
    other = await begin(allocator, None)
    assert not task.done() and versions_of([other]) == ["v2"]
    list_runners(allocator, *after)
    with pytest.raises(PrimrosefordError) as caught:
        await task
    assert caught.value.code is ResultCode.STREAM_VERSION_GONE
    assert not allocator.waiting()
    assert allocator.runners["i-1"].online == 1


async def test_waiting_request_is_served_by_a_new_runner_of_its_version():
    """Guards against a refusal as long as the version has a runner."""
    allocator = create_allocator("v1", "v2")
    fill(allocator, "v1")
    task = await begin(allocator, "v1")
    list_runners(allocator, entry("i-1", "v2"), entry("i-2", "v1"))
    assert (await task).entry.key.name == "i-2"


async def test_requests_that_wait_for_a_version_hold_up_nobody():
    """Guards against head-of-line blocking by requests for a full version."""
    allocator = create_allocator("v1", "v2", "v3")
    fill(allocator, "v1")
    fill(allocator, "v3")
    old = [await begin(allocator, "v1") for _ in range(3)]
    new = [await begin(allocator, None), await begin(allocator, "v2")]
    assert versions_of(old) == [None] * 3
    assert versions_of(new) == ["v2", "v2"]
    allocator.release(allocator.runners["i-0"])
    allocator.release(allocator.runners["i-2"])
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert versions_of(old) == ["v1", None, None]
    await stop(old)
    assert not allocator.waiting()


async def test_request_does_not_overtake_one_that_waits_for_the_same_slot():
    """Guards against streams of an old version that never get a slot."""
    allocator = create_allocator("v1", "v2")
    fill(allocator, "v1")
    fill(allocator, "v2")
    waiting = [await begin(allocator, "v1")]
    # Room that no call of grant has seen yet.
    allocator.runners["i-0"].online -= 1
    waiting.append(await begin(allocator, None))
    waiting.append(await begin(allocator, "v1"))
    assert versions_of(waiting) == ["v1", None, None]
    await stop(waiting)


async def test_failed_runner_is_not_tried_again_for_want_of_others():
    """Guards against a stream that goes on at another version or a failed runner."""
    allocator = create_allocator("v1", "v1", "v2")
    fill(allocator, "v1")
    task = await begin(allocator, "v1", tried=[RunnerKey("i-0", 1)])
    allocator.runners["i-0"].online = 0
    allocator.grant()
    await asyncio.sleep(0)
    assert not task.done()
    allocator.runners["i-1"].online = 0
    allocator.grant()
    assert (await task).entry.key.name == "i-1"


@pytest.mark.parametrize(
    ("version", "queued", "peers", "wait"),
    [
        (None, (), 0, 0.0),
        ("v1", (), 0, 0.7 / SLOTS),
        ("v1", ("v1", "v1"), 0, 3 * 0.7 / SLOTS),
        ("v1", ("v2", "v2"), 0, 0.7 / SLOTS),
        ("v1", (None, None), 0, 2 * 0.7 / SLOTS),
        ("v1", (), 4, 3 * 0.7 / SLOTS),
        ("v2", ("v1",), 0, 0.0),
        ("v3", ("v1",), 0, float("inf")),
    ],
)
def test_expected_wait_of_a_version(version, queued, peers, wait):
    """Guards against estimates from slots that a stream cannot use."""
    allocator = create_allocator("v1", "v2")
    fill(allocator, "v1")
    allocator.peer_waiting = {"h-1": peers}
    queue = allocator.queues[POOL] = SlotQueue()
    for number in queued:
        queue.push("o", Waiter(None, (), "", (), number))
    assert allocator.expected_wait(POOL, version) == pytest.approx(wait)


REQUESTS = st.lists(
    st.tuples(st.sampled_from(["push", "pop", "first", "remove"]), st.integers(0, 5))
)


@given(REQUESTS)
def test_queue_counts_the_versions_of_its_requests(steps):
    """Guards against a count that holds back batch or skips a waiting request."""
    queue, waiting = SlotQueue(), []
    for step, number in steps:
        name = f"o{number % 2}"
        if step == "push":
            version = (None, "v1", "v2")[number % 3]
            waiting.append((name, Waiter(None, (), "", (), version)))
            queue.push(*waiting[-1])
        elif step == "remove" and waiting:
            assert queue.remove(*waiting.pop(number % len(waiting)))
        elif step in ("pop", "first") and waiting:
            found = queue.pop() if step == "pop" else queue.pop_first(lambda w: True)
            waiting = [pair for pair in waiting if pair[1] is not found]
        versions = [waiter.version for _, waiter in waiting]
        assert len(queue) == len(versions)
        assert queue.unversioned == versions.count(None)
        for version in ("v1", "v2"):
            assert queue.versions.get(version, 0) == versions.count(version)
            has_waiter = version in versions or None in versions
            assert queue.has_waiter_for(version) == has_waiter


@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=40))
def test_fairness_without_versions_is_that_of_a_plain_queue(steps):
    """Guards against another order of requests that any version may serve."""

    async def run() -> None:
        allocator = create_allocator("v1", "v2")
        fill(allocator, "v1")
        fill(allocator, "v2")
        queue = allocator.queues[POOL] = SlotQueue()
        plain = SlotQueue()
        loop = asyncio.get_running_loop()
        for organisation, frees in steps:
            waiter = Waiter(loop.create_future(), (), "", ())
            queue.push(f"o{organisation}", waiter)
            plain.push(f"o{organisation}", waiter)
            if not frees:
                continue
            allocator.release(allocator.runners[f"i-{organisation % 2}"])
            expected = plain.pop()
            assert expected.future.done()
            assert set(queue) == set(plain)

    asyncio.run(run())
