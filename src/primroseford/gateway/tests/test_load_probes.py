"""Requests that are placed by the present load of a few runners."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from primroseford.gateway.notices import ReportedLoad
from primroseford.gateway.placement import MAX_DIRECT_HOSTS
from primroseford.gateway.placement import PROBED_RUNNERS
from primroseford.gateway.placement import RunnerLoad
from primroseford.gateway.placement import best_probed
from primroseford.gateway.placement import is_sufficient
from primroseford.gateway.placement import needs_probes
from primroseford.gateway.placement import probe_candidates
from primroseford.gateway.runners import RunnerKey
from primroseford.gateway.slot_allocator import SlotAllocator

CHOSEN, OTHER, THIRD = (RunnerKey(name, 1) for name in ("i-1", "i-2", "i-3"))
FULL, FREE = "8,3,8,100", "2,0,8,100"


@pytest.mark.parametrize(
    ("reports", "lasting", "best"),
    [
        ({CHOSEN: (8, 1, 8, 100), OTHER: (7, 0, 8, 100)}, {}, OTHER),
        ({CHOSEN: (7, 0, 8, 100), OTHER: (2, 0, 8, 100)}, {}, CHOSEN),
        ({CHOSEN: (7, 0, 8, 250), OTHER: (7, 0, 8, 100)}, {}, OTHER),
        ({CHOSEN: (7, 0, 8, 250), OTHER: (9, 9, 8, 100)}, {}, CHOSEN),
        ({CHOSEN: (7, 0, 8, 100), OTHER: (7, 0, 8, 100)}, {CHOSEN: 0.55}, OTHER),
        ({CHOSEN: (7, 0, 8, 100), OTHER: (9, 3, 8, 100)}, {CHOSEN: 0.55}, CHOSEN),
        ({CHOSEN: (8, 9, 8, 100), OTHER: (8, 1, 8, 250), THIRD: None}, {}, OTHER),
        ({CHOSEN: None, OTHER: (8, 1, 8, 100)}, {}, OTHER),
        ({CHOSEN: None, OTHER: None}, {}, None),
        ({CHOSEN: (1, 0, 8, None), OTHER: (1, 0, 8, 100)}, {}, CHOSEN),
    ],
)
def test_request_waits_at_a_full_or_slow_runner_beside_a_better_one(
    reports, lasting, best
):
    """Guards against a choice that ignores what the runners have just reported."""
    loads = {key: load and ReportedLoad(*load) for key, load in reports.items()}
    speeds = dict.fromkeys(reports, 1.0) | lasting
    assert best_probed(loads, speeds, CHOSEN, 0.05, 0.7) == best


@pytest.mark.parametrize(
    ("report", "sufficient"),
    [
        (None, False),
        ((7, 0, 8, 100), True),
        ((8, 0, 8, 100), False),
        ((4, 4, 8, 100), False),
        ((0, 0, 8, 149), True),
        ((0, 0, 8, 150), False),
        ((7, 0, 8, None), True),
    ],
)
def test_others_are_probed_beside_a_runner_with_a_free_slot(report, sufficient):
    """Guards against probes of which the result does not matter."""
    load = report and ReportedLoad(*report)
    assert is_sufficient(load) is sufficient


@pytest.mark.parametrize(
    ("hosts", "online", "needed"),
    [(68, 5, True), (68, 4, False), (MAX_DIRECT_HOSTS, 8, False)],
)
def test_probes_where_load_reports_are_new_or_slots_are_free(hosts, online, needed):
    """Guards against probes that tell nothing new."""
    assert needs_probes(RunnerLoad(CHOSEN, "a", 8, online, 0), hosts) is needed


def test_candidates_without_free_slots_are_probed():
    """Guards against probes of runners that are known to be full."""
    loads = [RunnerLoad(RunnerKey(f"i-{n}", 1), "a", 8, n, 0) for n in range(12)]
    found = probe_candidates(loads, loads[0].key, Random(1))
    assert len(found) == PROBED_RUNNERS - 1
    assert all(load.free > 0 and load.key != loads[0].key for load in found)


@pytest.fixture
async def large_fleet(site, monkeypatch):
    """A site whose host believes that it is one of many and has old load reports.

    By these reports both runners have few free slots, and the first one is chosen.
    """
    monkeypatch.setattr(SlotAllocator, "hosts", property(lambda self: 68))
    monkeypatch.setattr(
        SlotAllocator, "choose_by_speed", lambda self, pool, loads, **_: loads[0]
    )
    allocator = site.hosts[0].gateway.allocator
    for runner in site.runners:
        runner.faults.load = FREE
    assert (await site.call("/nudge/x", "first"))[0] == 200
    assert allocator.slowness_pools
    allocator.runners["i-1"].set_peer_load("host-9", online=5, batch=0)
    allocator.runners["i-2"].set_peer_load("host-9", online=6, batch=0)
    for runner in site.runners:
        runner.received.clear()
        runner.checks = 0
    return site


@pytest.mark.parametrize(
    ("loads", "served_by"),
    [((FULL, FREE), "i-2"), ((FREE, FREE), "i-1"), ((FREE, FULL), "i-1")],
)
@pytest.mark.parametrize("path", ["/nudge/x", "/pick/x", "/once/whole"])
async def test_old_load_reports_decide_in_a_surge(large_fleet, path, loads, served_by):
    """Guards against a request that waits at a full runner beside a free one."""
    site = large_fleet
    for runner, load in zip(site.runners, loads, strict=True):
        runner.faults.load = load
    assert (await site.call(path, "second"))[0] == 200
    assert [r.name for r in site.runners if r.received] == [served_by]
    states = site.hosts[0].gateway.allocator.runners.values()
    assert not any(state.online for state in states)


@pytest.mark.parametrize(
    ("loads", "served_by"),
    [(("8,3,8", "2,0,8"), "i-2"), (("2,0,8", "8,3,8"), "i-1"), (("", ""), "i-1")],
)
async def test_requests_of_competing_callers_wait_beside_free_slots(
    large_fleet, loads, served_by
):
    """Guards against old load reports where runners do not report their slowness."""
    site = large_fleet
    allocator = site.hosts[0].gateway.allocator
    allocator.slowness_pools.clear()
    allocator.reads_reports = True
    for runner, load in zip(site.runners, loads, strict=True):
        runner.faults.load = load
    assert (await site.call("/nudge/x", "second"))[0] == 200
    assert [r.name for r in site.runners if r.received] == [served_by]


async def test_runner_that_does_not_answer_probes_gets_the_request(large_fleet):
    """Guards against a request that goes to a runner that has stopped responding."""
    site = large_fleet
    site.runners[0].crash()
    assert (await site.call("/nudge/x", "second"))[0] == 200
    assert [r.name for r in site.runners if r.received] == ["i-2"]


async def test_pool_without_slowness_is_probed(large_fleet):
    """Guards against probes of runners whose health checks wait for a slot."""
    site = large_fleet
    site.hosts[0].gateway.allocator.slowness_pools.clear()
    for runner in site.runners:
        runner.faults.load = ""
    assert (await site.call("/nudge/x", "second"))[0] == 200
    assert not any(runner.checks for runner in site.runners)


async def test_caller_that_leaves_during_probes_keeps_a_slot(large_fleet, monkeypatch):
    """Guards against a reserved slot that is never released."""
    site = large_fleet
    started = asyncio.Event()

    async def hang(gateway, runners):
        started.set()
        await asyncio.sleep(60)

    monkeypatch.setattr("primroseford.gateway.load_probes._probe_all", hang)
    call = asyncio.create_task(site.call("/nudge/x", "second"))
    await started.wait()
    call.cancel()
    states = site.hosts[0].gateway.allocator.runners.values()
    await site.until(lambda: not any(state.online for state in states))
