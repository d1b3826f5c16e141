"""Choice of runners of unequal speed."""

from __future__ import annotations

import math
from collections import Counter
from random import Random
from types import SimpleNamespace

import pytest

from primroseford.clock import ManualClock
from primroseford.gateway.affinity import choose_cached_runner
from primroseford.gateway.placement import MAX_RUNNER_QUEUE
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.runner_speeds import MAX_SILENCE_FACTOR
from primroseford.gateway.runner_speeds import RunnerSpeeds
from primroseford.gateway.runners import RunnerEntry
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.runners import RunnerStage
from primroseford.gateway.slot_allocator import SlotAllocator
from primroseford.gateway.speed_placement import choose_by_speed
from primroseford.gateway.speed_placement import known_share
from primroseford.gateway.watchdog import ENGINE_SILENCE_SECONDS
from primroseford.gateway.watchdog import Watchdog

POOL = "models"
RUNNERS = 8
SLOTS = 8
FULL = SLOTS + MAX_RUNNER_QUEUE
FIRST_SECONDS, SERVICE_SECONDS = 0.05, 0.73


def choose(onlines, factors, hosts=1, batch=False, seed=1) -> int | None:
    """Return the number of the chosen runner."""
    loads = [
        RunnerLoad(RunnerKey(f"i-{n}", 1), "a", SLOTS, online, 0)
        for n, online in enumerate(onlines)
    ]
    best = choose_by_speed(
        loads,
        factors,
        hosts,
        FIRST_SECONDS,
        SERVICE_SECONDS,
        Random(seed),
        batch,
    )
    return None if best is None else loads.index(best)


@pytest.mark.parametrize(
    ("onlines", "batch", "chosen"),
    [
        ([], False, None),
        ([FULL, FULL], False, None),
        ([FULL - 1, FULL], False, 0),
        ([SLOTS, SLOTS], True, None),
        ([SLOTS - 1, SLOTS], True, 0),
    ],
)
def test_full_runners_are_not_chosen(onlines, batch, chosen):
    """Guards against requests beyond the queue of a runner, and items that wait."""
    assert choose(onlines, [1.0] * len(onlines), batch=batch) == chosen


@pytest.mark.parametrize("hosts", [1, 8, 68])
def test_slow_runner_gets_less_work(hosts):
    """Guards against slow runners that get as much as others, or nothing."""
    factors = [1 / 0.55] * 2 + [1 / 1.2] * 6
    counts = Counter(choose([2] * 8, factors, hosts, seed=seed) for seed in range(2000))
    slow = (counts[0] + counts[1]) / 2
    fast = sum(counts[n] for n in range(2, 8)) / 6
    assert 0.05 < slow / fast < 0.65


def test_many_hosts_choose_the_same_runner():
    """Guards against a thundering herd at the runner with the best expected times."""
    onlines, factors = [0] + [4] * 59, [0.4] + [1.0] * 59
    for hosts in (8, 68):
        chosen = Counter(choose(onlines, factors, hosts, seed=n) for n in range(hosts))
        assert max(chosen.values()) <= max(3, hosts / 6)


@pytest.mark.parametrize(
    ("hosts", "least", "most"), [(1, 1.0, 1.0), (8, 0.9, 1.0), (68, 0.4, 0.7)]
)
def test_old_reports_count_less(hosts, least, most):
    """Guards against large fleets that rely on loads from before the last requests."""
    assert least <= known_share(hosts, SERVICE_SECONDS) <= most


@pytest.mark.parametrize("seconds", [0.0, 1e-9, 1e9])
def test_unusual_service_times_are_accepted(seconds):
    """Guards against a division by zero in a pool that answers at once."""
    assert 0.0 <= known_share(68, seconds) <= 1.0


@pytest.fixture
def allocator():
    """An allocator with runners of which the first two are slow."""
    allocator = SlotAllocator("a", ManualClock(100.0), Random(1))
    keys = [RunnerKey(f"i-{n}", 1) for n in range(RUNNERS)]
    allocator.set_runners(
        {
            key.name: RunnerEntry(
                key, POOL, f"x:{key.name}", "a", SLOTS, RunnerStage.READY, "v1"
            )
            for key in keys
        }
    )
    for n, runner in enumerate(allocator.runners.values()):
        runner.speed.set_peer_speed("host-9", 0.4 if n < 2 else 1.2, 40)
    return allocator


def chosen_names(allocator, **options) -> Counter[str]:
    """Return how often each runner is chosen for a request."""
    return Counter(
        allocator._choose(POOL, (), **options).entry.key.name for _ in range(800)
    )


def test_pools_without_reports_are_placed_by_free_slots(allocator):
    """Guards against a changed placement in deployments without the fourth figure."""
    without = chosen_names(allocator)
    allocator.slowness_pools.add(POOL)
    by_speed = chosen_names(allocator)
    slow_without = (without["i-0"] + without["i-1"]) / 800
    slow_by_speed = (by_speed["i-0"] + by_speed["i-1"]) / 800
    assert slow_without > 0.2
    assert slow_by_speed < 0.12


def test_momentarily_slow_runner_is_chosen_less(allocator):
    """Guards against reports of slowness that do not reach the placement."""
    allocator.slowness_pools.add(POOL)
    usual = chosen_names(allocator)["i-5"]
    allocator.note_slowness(allocator.runners["i-5"], 250)
    assert chosen_names(allocator)["i-5"] < usual / 2
    allocator.clock.advance(1.0)
    assert chosen_names(allocator)["i-5"] > usual / 2


@pytest.mark.parametrize("number", range(20))
def test_large_shared_part_stays_with_its_runners(allocator, number):
    """Guards against shared parts that all runners read, since speed decides first."""
    allocator.slowness_pools.add(POOL)
    key = f"part-{number}"
    loads = allocator.open_loads(POOL, ())
    home = choose_cached_runner(key, loads, loads[0])
    assert chosen_names(allocator, prefix_key=key) == {home.key.name: 800}


@pytest.mark.parametrize(
    ("max_factor", "slow_allowed"),
    [(math.inf, True), (3.0, True), (1.2, False), (0.1, True)],
)
def test_item_on_a_slow_runner_is_late(allocator, max_factor, slow_allowed):
    """Guards against items that miss their deadline on slow runners.

    If all runners are too slow for it, the item is placed as usual.
    """
    allocator.slowness_pools.add(POOL)
    loads = allocator.open_loads(POOL, (), batch=True)
    names = {
        allocator.choose_by_speed(POOL, loads, True, max_factor).key.name
        for _ in range(400)
    }
    assert bool(names & {"i-0", "i-1"}) == slow_allowed


def test_slow_runner_takes_urgent_item_if_fast_ones_are_full(allocator):
    """Guards against items that wait although a slot is free."""
    allocator.slowness_pools.add(POOL)
    for n, runner in enumerate(allocator.runners.values()):
        runner.online = 0 if n < 2 else SLOTS
    loads = allocator.open_loads(POOL, (), batch=True)
    assert allocator.choose_by_speed(POOL, loads, True, 1.2).key.name in ("i-0", "i-1")


@pytest.mark.parametrize(
    ("reports", "lasting", "slowness", "factor"),
    [
        (False, 0.55, 250, 1.0),
        (True, 1.0, 100, 1.0),
        (True, 1.2, 100, 1.0),
        (True, 0.55, 100, 1.8),
        (True, 1.2, 250, 2.1),
        (True, 0.55, 250, MAX_SILENCE_FACTOR),
    ],
)
def test_slow_runner_counts_as_failed(allocator, reports, lasting, slowness, factor):
    """Guards against a runner that is slow and counts as failed for its pauses."""
    if reports:
        allocator.slowness_pools.add(POOL)
    runner = allocator.runners["i-0"]
    runner.speed.set_peer_speed("host-9", lasting, 40)
    runner.speed.note_slowness(slowness, allocator.clock())
    gateway = SimpleNamespace(
        allocator=allocator,
        clock=allocator.clock,
        is_engine=lambda pool: True,
        probe_interrupted=None,
    )
    gateway.speeds = RunnerSpeeds(gateway)
    watchdog = Watchdog(gateway)
    runner.waiting[1] = allocator.clock()
    limit = ENGINE_SILENCE_SECONDS * factor
    allocator.clock.advance(0.94 * limit)
    assert not watchdog.is_silent(runner, allocator.clock())
    allocator.clock.advance(0.12 * limit)
    assert watchdog.is_silent(runner, allocator.clock())


@pytest.mark.parametrize(
    ("online", "limit", "has_room"), [(0, 3.0, True), (1, 3.0, False), (1, 4.0, True)]
)
def test_item_takes_the_place_of_online_requests_on_a_ramping_runner(
    online, limit, has_room
):
    """Guards against items that use up the limit of a runner that has just started."""
    load = RunnerLoad(RunnerKey("i-0", 1), "a", SLOTS, online, 0, limit=limit)
    options = (1, FIRST_SECONDS, SERVICE_SECONDS, Random(1), True)
    assert (choose_by_speed([load], [1.0], *options) is not None) is has_room
