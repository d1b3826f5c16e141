"""How soon a watcher puts a change in force, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.configuration.objects import ObjectSet
from primroseford.configuration.store import KINDS
from primroseford.configuration.watcher import KEYS_RELIST_SECONDS
from primroseford.configuration.watcher import PlatformWatcher
from primroseford.platform.client import WATCH_WAIT_SECONDS
from primroseford.platform.client import PlatformClient
from primroseford.proof.memory_store import MemoryStore
from primroseford.proof.memory_store import MemoryTransport
from primroseford.proof.virtual_time import run_in_virtual_time

PART_SECONDS = 0.5
"""The watcher's part of the second in which operators are promised a change on every
host (docs/operators/security.md); the rest is left to the relay."""
QUIET_SECONDS = 20.0
GENEROUS_SECONDS = 10.0


class Watched:
    """A watcher of a store in memory, and what it puts in force."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put("pools", "first", {})
        self.changes = []
        self.changed = asyncio.Event()
        client = PlatformClient(MemoryTransport(self.store, "h0"))
        clock = asyncio.get_running_loop().time
        watcher = PlatformWatcher(
            client,
            KINDS,
            ObjectSet(),
            clock,
            asyncio.sleep,
            self.take,
            lambda at: None,
        )
        self.task = asyncio.create_task(watcher.run())

    def take(self, delta) -> bool:
        """Put a delta in force."""
        self.changes += delta.changes
        self.changed.set()
        return True

    async def seconds_until(self, names: set[str]) -> float:
        """Return how long it takes until objects are in force."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(GENEROUS_SECONDS):
            while not names <= {change.name for change in self.changes}:
                self.changed.clear()
                await self.changed.wait()
        return loop.time() - started

    def calls(self) -> int:
        """Return how many calls the store has had."""
        return self.store.state.calls.total()


async def started() -> Watched:
    """Return a watcher that has the first objects and whose watches wait."""
    watched = Watched()
    await watched.seconds_until({"first"})
    await asyncio.sleep(1.3 * WATCH_WAIT_SECONDS)
    return watched


async def age_of_change(kind: str, after: float) -> float:
    """Return how long a change of one kind takes while the others are quiet."""
    watched = await started()
    await asyncio.sleep(after)
    watched.store.put(kind, "second", {})
    return await watched.seconds_until({"second"})


async def longest_age_of_changes(pause: float) -> float:
    """Return the longest time that one of many changes of all kinds takes."""
    watched = await started()
    ages = []
    async with asyncio.TaskGroup() as group:
        for number in range(30):
            kind, name = KINDS[number % len(KINDS)], f"n{number}"
            watched.store.put(kind, name, {})
            ages.append(group.create_task(watched.seconds_until({name})))
            await asyncio.sleep(pause)
    return max(age.result() for age in ages)


async def calls_while_quiet() -> int:
    """Return how many calls are made while nothing changes."""
    watched = await started()
    watched.store.put("keys", "second", {})
    await watched.seconds_until({"second"})
    await asyncio.sleep(WATCH_WAIT_SECONDS)
    before = watched.calls()
    await asyncio.sleep(QUIET_SECONDS)
    return watched.calls() - before


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("after", [0.0, 0.3, 1.1, 1.9])
def test_change_does_not_wait_for_the_watches_of_quiet_kinds(kind, after):
    """Guards against a withdrawn key that works on until all watch calls have ended."""
    assert run_in_virtual_time(age_of_change(kind, after)) <= PART_SECONDS


@pytest.mark.parametrize("pause", [0.0, 0.01, 0.05, 0.25])
def test_changes_that_follow_closely(pause):
    """Guards against changes that are held back while others come."""
    assert run_in_virtual_time(longest_age_of_changes(pause)) <= PART_SECONDS


def test_calls_of_a_quiet_watcher():
    """Guards against more calls in steady state than one a kind and watch wait."""
    most = len(KINDS) * (QUIET_SECONDS / WATCH_WAIT_SECONDS + 1)
    lists = QUIET_SECONDS / KEYS_RELIST_SECONDS + 1
    assert run_in_virtual_time(calls_while_quiet()) <= most + lists
