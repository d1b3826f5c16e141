"""Decisions of the memory budget, without a network."""

from __future__ import annotations

import pytest

from primroseford.gateway.host_memory import LARGE_SHARE
from primroseford.gateway.host_memory import MB
from primroseford.gateway.host_memory import MIN_BUDGET_BYTES
from primroseford.gateway.host_memory import SMALL_BYTES
from primroseford.gateway.host_memory import STALL_SECONDS
from primroseford.gateway.host_memory import Holding
from primroseford.gateway.host_memory import HostMemory
from primroseford.gateway.host_memory import create_host_memory

BODY_BYTES = 4 * 1024 * 1024
READ_BYTES = 64 * 1024
LATER = STALL_SECONDS + 0.1


def reading(began: float = 0.0) -> Holding:
    """Return the holding of a body that arrives."""
    return Holding(began, evictable=True)


def receive(memory: HostMemory, holding: Holding, size: int, now: float) -> bool:
    """Charge a body in the blocks in which it arrives; return whether all fits."""
    received = holding.size
    while received < size:
        received = min(size, received + READ_BYTES)
        if not memory.charge(holding, received, now).admitted:
            memory.release(holding)
            return False
    return True


@pytest.mark.parametrize("connections", [48, 120, 1000])
@pytest.mark.parametrize("step", [READ_BYTES, 4096])
def test_bodies_that_stop_short_stay_within_the_budget(connections, step):
    """Guards against a host that holds all bodies that stop short of their end.

    Replays the load that was observed: all connections send 4 MiB less 64 KiB in turns
    and stop.
    """
    memory = create_host_memory(160)
    active = [reading() for _ in range(connections)]
    for size in range(step, BODY_BYTES - READ_BYTES + 1, step):
        for holding in list(active):
            if not memory.charge(holding, size, 0.0).admitted:
                memory.release(holding)
                active.remove(holding)
        assert memory.large <= LARGE_SHARE * memory.budget
        assert memory.total <= memory.budget
    assert 0 < len(active) < connections


def test_small_requests_are_admitted_while_large_bodies_fill_their_part():
    """Guards against large bodies that leave no room for ordinary requests."""
    memory = create_host_memory(160)
    while receive(memory, reading(), BODY_BYTES, 0.0):
        pass
    for _ in range(100):
        assert memory.charge(Holding(0.0), SMALL_BYTES, 0.0).admitted


@pytest.mark.parametrize("memory_mb", [None, 64, 128, 160, 2048])
def test_largest_body_is_admitted_without_other_load(memory_mb):
    """Guards against a budget that a single request within the limits exceeds."""
    memory = create_host_memory(memory_mb)
    for _ in range(3):
        holding = reading()
        assert receive(memory, holding, BODY_BYTES, 0.0)
        assert memory.charge(holding, 4 * BODY_BYTES, 0.0).admitted
        memory.release(holding)
        assert (memory.total, memory.large, memory.holdings) == (0, 0, set())


def test_budget_grows_with_the_memory_of_the_host():
    """Guards against a host with much memory that refuses what it could hold."""
    sizes = [create_host_memory(mb).budget for mb in (32, 128, 160, 512, 4096)]
    assert sizes == sorted(set(sizes)) and sizes[0] == MIN_BUDGET_BYTES
    assert create_host_memory(None).budget == create_host_memory(512).budget


def test_stalled_body_that_held_most_for_longest_gives_way_first():
    """Guards against refusals of active callers while stalled ones keep memory."""
    memory = HostMemory(20 * MB)
    recent, old, little = reading(2.0), reading(0.0), reading(0.0)
    assert receive(memory, recent, BODY_BYTES, 2.0)
    assert receive(memory, old, BODY_BYTES, 0.0)
    assert receive(memory, little, 2 * READ_BYTES, 0.0)
    now = 2.0 + LATER
    active = reading(now)
    assert receive(memory, active, BODY_BYTES - READ_BYTES, now)
    decision = memory.charge(active, 2 * BODY_BYTES, now)
    assert decision.admitted and decision.evicted == (old,)
    assert old.size == 0 and recent.size == BODY_BYTES


@pytest.mark.parametrize(
    ("pause", "bytes_at_once", "gives_way"),
    [
        pytest.param(LATER, 1, True, id="drips"),
        pytest.param(0.3, 4096, True, id="too slow"),
        pytest.param(0.3, READ_BYTES, False, id="slow link"),
    ],
)
def test_only_a_body_without_progress_gives_way(pause, bytes_at_once, gives_way):
    """Guards against dripping callers that keep memory, and against refusals of those
    with a slow link."""
    memory = HostMemory(6 * MB)
    slow = reading()
    receive(memory, slow, BODY_BYTES // 2, 0.0)
    now = 0.0
    for _ in range(8):
        now += pause
        assert memory.charge(slow, slow.size + bytes_at_once, now).admitted
    other = reading(now)
    assert receive(memory, other, BODY_BYTES, now) is gives_way
    assert (slow.size == 0) is gives_way


def test_request_that_may_have_been_sent_keeps_its_memory():
    """Guards against the refusal of a request whose body is complete."""
    memory = HostMemory(6 * MB)
    complete = reading()
    assert receive(memory, complete, BODY_BYTES, 0.0)
    complete.evictable = False
    assert not receive(memory, reading(LATER), BODY_BYTES, LATER)
    assert complete.size == BODY_BYTES


def test_small_requests_displace_stalled_small_ones():
    """Guards against many small incomplete bodies that use up the whole budget."""
    memory = create_host_memory(128)
    while receive(memory, reading(), SMALL_BYTES, 0.0):
        pass
    assert receive(memory, reading(LATER), SMALL_BYTES, LATER)
    assert memory.total <= memory.budget


def test_overdue_bodies_are_released():
    """Guards against incomplete bodies that are held without end in calm."""
    memory = create_host_memory(160)
    stalled, active, complete = reading(), reading(), Holding(0.0)
    for holding in (stalled, active, complete):
        assert memory.charge(holding, READ_BYTES, 0.0).admitted
    assert memory.charge(active, 2 * READ_BYTES, 10.0).admitted
    assert memory.overdue(15.0, 15.0) == [stalled]
    assert memory.holdings == {active, complete}
    assert memory.total == 3 * READ_BYTES
