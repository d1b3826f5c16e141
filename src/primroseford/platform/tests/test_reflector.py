from __future__ import annotations

import asyncio
import math

import pytest

from primroseford.errors import PrimrosefordError
from primroseford.ids import Version
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent
from primroseford.platform.reflector import Reflector
from primroseford.platform.reflector import create_reflector
from primroseford.platform.view import View
from primroseford.platform.view import apply_event
from primroseford.platform.view import apply_list


def item(name: str, version: int) -> PlatformObject:
    return PlatformObject("pools", name, Version(version), {})


@pytest.fixture
def deltas() -> list:
    return []


@pytest.fixture
async def reflector(client, deltas):
    built = create_reflector(
        client, "pools", deltas.append, purpose="test", fraction=lambda: 0.0
    )
    yield built
    await built.stop()


def store(platform, name: str) -> None:
    platform.state.create("pools", {"metadata": {"name": name}, "spec": {}})
    platform.announce()


def remove(platform, name: str) -> None:
    platform.state.delete("pools", name, None)
    platform.announce()


def test_older_list_and_event_are_ignored():
    """Guards against a view that returns to an older state after a late response."""
    view = View(Version(5), {"a": item("a", 5)})
    assert apply_list(view, ObjectList(Version(4), ())) is None
    late = WatchEvent(EventType.DELETED, Version(5), item("a", 5))
    assert apply_event(view, late) is None
    assert (view.version, set(view.objects)) == (5, {"a"})


def test_list_reports_deletes_that_no_event_reported():
    """Guards against objects that remain in the view after a missed deletion."""
    view = View(Version(5), {"a": item("a", 4), "b": item("b", 5)})
    delta = apply_list(view, ObjectList(Version(9), (item("b", 8), item("c", 9))))
    assert [(event.type, event.object.name) for event in delta.events] == [
        (EventType.DELETED, "a"),
        (EventType.MODIFIED, "b"),
        (EventType.ADDED, "c"),
    ]
    assert set(view.objects) == {"b", "c"}


async def test_refresh_returns_without_the_latest_changes(
    platform, reflector, eventually
):
    """Guards against a decision on an old view while the watch delivers nothing."""
    store(platform, "a")
    await reflector.start()
    await eventually(lambda: set(reflector.view.objects) == {"a"})
    platform.faults.hold_watches = True
    store(platform, "b")
    await reflector.refresh()
    assert set(reflector.view.objects) == {"a", "b"}
    # The list of the first of these calls may be older than the change.
    lists = platform.state.calls["GET", "pools"]
    calls = [asyncio.create_task(reflector.refresh())]
    await eventually(lambda: platform.state.calls["GET", "pools"] > lists)
    store(platform, "c")
    calls += [asyncio.create_task(reflector.refresh()) for _ in range(10)]
    await asyncio.gather(*calls)
    assert set(reflector.view.objects) == {"a", "b", "c"}
    # One for the first call, one for the next one, one for those made meanwhile.
    assert platform.state.calls["GET", "pools"] <= lists + 3


async def test_refresh_without_an_answer_counts_as_done(platform, reflector):
    """Guards against a view that counts as current although no list was received."""
    store(platform, "a")
    await reflector.start()
    await reflector.refresh()
    platform.faults.down = True
    store(platform, "b")
    for _ in range(2):
        with pytest.raises(PrimrosefordError):
            await reflector.refresh()
    platform.faults.down = False
    await reflector.refresh()
    assert set(reflector.view.objects) == {"a", "b"}


def create_following(client, deltas):
    """Return a reflector that also reports what came and went between two lists."""
    return create_reflector(
        client, "pools", deltas.append, purpose="test", keeps_events=True
    )


async def list_again(reflector) -> None:
    """List again as after the end of a watch."""
    await reflector._list(await reflector._try_events())


@pytest.mark.parametrize("is_history_gone", [False, True])
@pytest.mark.parametrize(
    "read", [Reflector.refresh, list_again], ids=["refresh", "list"]
)
async def test_list_hides_objects_that_came_and_went(
    platform, client, deltas, read, is_history_gone
):
    """Guards against a history that counts as whole although a change is missing."""
    store(platform, "a")
    reflector = create_following(client, deltas)
    await reflector._list()
    assert reflector.gap_at == -math.inf
    store(platform, "b")
    remove(platform, "b")
    platform.faults.expire_watches = int(is_history_gone)
    await read(reflector)
    names = [event.object.name for delta in deltas for event in delta.events]
    assert names == (["a"] if is_history_gone else ["a", "b", "b"])
    assert (reflector.gap_at > -math.inf) == is_history_gone


async def test_refresh_that_fails_ends_the_history(platform, client, deltas):
    """Guards against a gap because the service was slow once."""
    store(platform, "a")
    reflector = create_following(client, deltas)
    await reflector._list()
    store(platform, "b")
    remove(platform, "b")
    platform.faults.hold_watches = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await reflector.refresh()
    platform.faults.hold_watches = False
    await reflector.refresh()
    names = [event.object.name for delta in deltas for event in delta.events]
    assert names == ["a", "b", "b"] and reflector.gap_at == -math.inf


async def test_watch_that_breaks_hides_objects_that_came_and_went(
    platform, client, deltas, eventually
):
    """Guards against a list after a broken watch that leaves a change out."""
    store(platform, "a")
    reflector = create_following(client, deltas)
    await reflector.start()
    await eventually(lambda: set(reflector.view.objects) == {"a"})
    platform.faults.hold_watches = True
    await asyncio.sleep(0)
    store(platform, "b")
    remove(platform, "b")
    reflector.restart_watch("test")
    platform.faults.hold_watches = False
    await eventually(lambda: sum(len(delta.events) for delta in deltas) > 2)
    await reflector.stop()
    names = [event.object.name for delta in deltas for event in delta.events]
    assert names == ["a", "b", "b"] and reflector.gap_at == -math.inf


async def test_changes_of_one_response_are_reported_one_by_one(
    platform, client, deltas
):
    """Guards against work for each change where one step for all of them is enough."""
    store(platform, "a")
    reflector = create_following(client, deltas)
    await reflector._list()
    for name in ("b", "c", "d"):
        store(platform, name)
    remove(platform, "c")
    await reflector.refresh()
    names = [[event.object.name for event in delta.events] for delta in deltas]
    assert names == [["a"], ["b", "c", "d", "c"]]


@pytest.mark.parametrize(
    ("since", "names"), [(1, ["b", "b", "c"]), (2, ["b", "c"]), (4, [])]
)
async def test_changes_after_a_version_are_incomplete(
    platform, client, deltas, since, names
):
    """Guards against changes that are missing from what the service still has."""
    for name in ("a", "b"):
        store(platform, name)
    remove(platform, "b")
    store(platform, "c")
    reflector = create_following(client, deltas)
    events = await reflector.read_events(Version(since))
    assert [event.object.name for event in events if event.object] == names
    platform.faults.expire_watches = 1
    assert await reflector.read_events(Version(since)) is None


async def test_follows_changes(platform, reflector, deltas, eventually):
    """Guards against missed changes and deletions without faults."""
    store(platform, "a")
    await reflector.start()
    await eventually(lambda: set(reflector.view.objects) == {"a"})
    store(platform, "b")
    remove(platform, "a")
    await eventually(lambda: set(reflector.view.objects) == {"b"})
    versions = [delta.version for delta in deltas]
    assert versions == sorted(versions)
    assert reflector.confirmed_at is not None


@pytest.mark.parametrize("expired", [0, 2])
async def test_broken_and_expired_watch(
    platform, reflector, deltas, eventually, expired
):
    """Guards against changes and deletions lost when a watch breaks or expires."""
    store(platform, "a")
    await reflector.start()
    await eventually(lambda: "a" in reflector.view.objects)
    platform.faults.cut_watches = 1
    platform.faults.expire_watches = expired
    remove(platform, "a")
    store(platform, "b")
    await eventually(lambda: set(reflector.view.objects) == {"b"})
    events = [(e.type, e.object.name) for delta in deltas for e in delta.events]
    assert events.count((EventType.DELETED, "a")) == 1
    versions = [delta.version for delta in deltas]
    assert versions == sorted(versions)


async def test_skipped_event_is_found_by_the_next_list(
    platform, client, deltas, eventually
):
    """Guards against a deletion that the watch skipped and that is never noticed."""
    reflector = create_reflector(
        client, "pools", deltas.append, purpose="test", relist_seconds=0.1
    )
    store(platform, "a")
    await reflector.start()
    await eventually(lambda: "a" in reflector.view.objects)
    platform.faults.skip_watch_events = 1
    remove(platform, "a")
    await eventually(lambda: not reflector.view.objects)
    await reflector.stop()


async def test_repeated_failures_back_off(platform, client):
    """Guards against hosts that overload a service that has just recovered."""
    reflector = create_reflector(
        client, "pools", lambda _: None, purpose="test", fraction=lambda: 1.0
    )
    platform.faults.down = True
    delays = [await reflector.run_once() for _ in range(8)]
    assert delays[:3] == [0.2, 0.4, 0.8]
    assert delays[-1] == 10.0


async def test_changes_in_quick_succession_cost_one_call(platform, client, eventually):
    """Guards against one call per runner when many runners start together."""
    reflector = create_reflector(
        client, "pools", lambda _: None, purpose="test", pause_seconds=lambda: 0.2
    )
    store(platform, "a")
    await reflector.start()
    await eventually(lambda: "a" in reflector.view.objects)
    store(platform, "b")
    await eventually(lambda: "b" in reflector.view.objects)
    before = platform.state.calls["WATCH", "pools"]
    for number in range(20):
        store(platform, f"c{number}")
    await eventually(lambda: len(reflector.view.objects) == 22)
    assert platform.state.calls["WATCH", "pools"] <= before + 2
    await reflector.stop()
