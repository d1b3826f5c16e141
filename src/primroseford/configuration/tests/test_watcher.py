"""Tests of the delay until a change is in force, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from primroseford.configuration.objects import ObjectSet
from primroseford.configuration.store import KINDS
from primroseford.configuration.watcher import KEYS_RELIST_INTERVAL_SECONDS
from primroseford.configuration.watcher import ConfigurationWatcher
from primroseford.platform.client import WATCH_WAIT_SECONDS
from primroseford.platform.client import PlatformClient
from primroseford.proof.memory_store import MemoryStore
from primroseford.proof.memory_store import MemoryTransport
from primroseford.proof.virtual_time import run_in_virtual_time

WATCHER_BUDGET_SECONDS = 0.5
"""Time for the watcher, of the one second within which a change takes effect on every
host (docs/operators/security.md); the rest is for the relay."""
QUIET_SECONDS = 20.0
TIMEOUT_SECONDS = 10.0


class WatcherRig:
    """A watcher of an in-memory store, and the changes that it puts in force."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.put("pools", "first", {})
        self.changes = []
        self.changed = asyncio.Event()
        client = PlatformClient(MemoryTransport(self.store, "h0"))
        clock = asyncio.get_running_loop().time
        watcher = ConfigurationWatcher(
            client,
            KINDS,
            ObjectSet(),
            clock,
            asyncio.sleep,
            self.apply_delta,
            lambda at: None,
        )
        self.task = asyncio.create_task(watcher.run())

    def apply_delta(self, delta) -> bool:
        """Record the changes of a delta."""
        self.changes += delta.changes
        self.changed.set()
        return True

    async def seconds_until(self, names: set[str]) -> float:
        """Return the seconds until objects are in force."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while not names <= {change.name for change in self.changes}:
                self.changed.clear()
                await self.changed.wait()
        return loop.time() - started

    def calls(self) -> int:
        """Return the number of calls to the store."""
        return self.store.state.calls.total()


async def started() -> WatcherRig:
    """Return a watcher with the first objects, whose watch calls wait for changes."""
    watched = WatcherRig()
    await watched.seconds_until({"first"})
    await asyncio.sleep(1.3 * WATCH_WAIT_SECONDS)
    return watched


async def seconds_until_in_force(kind: str, after: float) -> float:
    """Return the delay of a change of one kind without changes of other kinds."""
    watched = await started()
    await asyncio.sleep(after)
    watched.store.put(kind, "second", {})
    return await watched.seconds_until({"second"})


async def longest_seconds_until_in_force(pause: float) -> float:
    """Return the longest delay of many changes of all kinds."""
    watched = await started()
    ages = []
    async with asyncio.TaskGroup() as group:
        for number in range(30):
            kind, name = KINDS[number % len(KINDS)], f"n{number}"
            watched.store.put(kind, name, {})
            ages.append(group.create_task(watched.seconds_until({name})))
            await asyncio.sleep(pause)
    return max(age.result() for age in ages)


async def calls_without_changes() -> int:
    """Return the number of calls while nothing changes."""
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
    """Guards against a withdrawn key that stays valid until all watch calls end."""
    assert (
        run_in_virtual_time(seconds_until_in_force(kind, after))
        <= WATCHER_BUDGET_SECONDS
    )


@pytest.mark.parametrize("pause", [0.0, 0.01, 0.05, 0.25])
def test_changes_in_quick_succession(pause):
    """Guards against changes that are held back while more changes arrive."""
    assert (
        run_in_virtual_time(longest_seconds_until_in_force(pause))
        <= WATCHER_BUDGET_SECONDS
    )


def test_calls_of_a_quiet_watcher():
    """Guards against more calls without changes than one per kind and watch wait."""
    most = len(KINDS) * (QUIET_SECONDS / WATCH_WAIT_SECONDS + 1)
    lists = QUIET_SECONDS / KEYS_RELIST_INTERVAL_SECONDS + 1
    assert run_in_virtual_time(calls_without_changes()) <= most + lists
