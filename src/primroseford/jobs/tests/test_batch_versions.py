"""Choice of runners for batch items beside requests that need a software version."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from primroseford.clock import ManualClock
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.slot_queue import SlotQueue
from primroseford.gateway.slot_queue import Waiter
from primroseford.jobs.batch_capacity import BatchCapacity

POOL = "models"
KEYS = [RunnerKey(f"i-{number}", 1) for number in range(4)]
VERSIONS = ("v1", "v1", "v2", "v2")
LIMITED = (KEYS[1], KEYS[3])


@pytest.fixture
def capacity():
    """Batch capacity on two versions, each with one runner that limits its requests."""
    allocator = SlotAllocator("a", ManualClock(), Random(1))
    stage = RunnerStage.READY
    allocator.set_runners(
        {
            key.name: RunnerEntry(key, POOL, "x:1", "a", 8, stage, version)
            for key, version in zip(KEYS, VERSIONS, strict=True)
        }
    )
    allocator.tokens = SimpleNamespace(
        is_limited=lambda key: key in LIMITED,
        may_send=lambda key, batch: True,
        rate=lambda key: 1.0 if key in LIMITED else None,
        has_limits=True,
    )
    gateway = SimpleNamespace(allocator=allocator, random=Random(1))
    return BatchCapacity(gateway, None)


@pytest.mark.parametrize(
    ("waiting", "version", "tried", "chosen"),
    [
        ((), None, (), {0, 1, 2, 3}),
        ((), "v1", (), {0, 1}),
        ((), "v2", (), {2, 3}),
        ((), "v3", (), set()),
        ((), "v1", (0,), {1}),
        ((), "v1", (0, 1), set()),
        ((None,), None, (), set()),
        ((None, "v1"), "v2", (), set()),
        (("v1",), None, (), {2, 3}),
        (("v1",), "v1", (), set()),
        (("v1",), "v2", (), {2, 3}),
        (("v1", "v2"), None, (), set()),
        (("v3",), None, (), {0, 1, 2, 3}),
    ],
)
def test_runners_of_items(capacity, waiting, version, tried, chosen):
    """Guards against items at another version, or in slots that requests wait for."""
    queue = capacity.gateway.allocator.queues[POOL] = SlotQueue()
    for needed in waiting:
        queue.push("o", Waiter(None, (), "", (), needed))
    keys = [KEYS[number] for number in tried]
    for limited in (False, True):
        choose = capacity.choose_limited_runner if limited else capacity.choose_runner
        found = {choose(POOL, keys, version=version) for _ in range(20)} - {None}
        expected = {KEYS[n] for n in chosen if (KEYS[n] in LIMITED) is limited}
        assert {runner.entry.key for runner in found} == expected


@pytest.mark.parametrize(
    ("waiting", "batch", "preempted"),
    [
        ((), (10, 0), {}),
        (("v1",), (10, 0), {"i-0": 3}),
        (("v1", "v1", "v2"), (10, 0), {"i-0": 3}),
        (("v2",), (10, 0), {}),
        (("v1",), (7, 0), {}),
        (("v1",), (10, 10), {"i-0": 6, "i-2": 6}),
        (("v3",), (10, 0), {}),
    ],
)
def test_items_end_for_a_request_whose_version_is_full(
    capacity, waiting, batch, preempted
):
    """Guards against a stream that waits for items while the pool has free slots.

    :param batch: items of this host on the runners without a limit
    :param preempted: the most that may end, by the runners where they do
    """
    allocator = capacity.gateway.allocator
    queue = allocator.queues[POOL] = SlotQueue()
    for needed in waiting:
        queue.push("o", Waiter(None, (), "", (), needed))
    for number, count in zip((0, 2), batch, strict=True):
        allocator.runners[f"i-{number}"].batch = count
    found = {}
    for runners, count in capacity.preemptions(POOL):
        assert not found.keys() & runners
        found |= dict.fromkeys(runners, count)
    assert found.keys() == preempted.keys()
    assert all(0 < found[name] <= preempted[name] for name in found)
