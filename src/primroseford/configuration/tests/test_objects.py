"""Tests of late, repeated, reordered and gapped deltas, and of the feed merge."""

from __future__ import annotations

import pytest

from primroseford.configuration.merge import create_merge
from primroseford.configuration.merge import next_delta
from primroseford.configuration.merge import record_event
from primroseford.configuration.merge import record_list
from primroseford.configuration.objects import Change
from primroseford.configuration.objects import Delta
from primroseford.configuration.objects import ObjectSet
from primroseford.configuration.objects import apply_delta
from primroseford.configuration.objects import make_delta
from primroseford.configuration.store import ConfigurationStore
from primroseford.platform.objects import EventType
from primroseford.platform.objects import ObjectList
from primroseford.platform.objects import PlatformObject
from primroseford.platform.objects import WatchEvent


def delta(start, end, *changes):
    return Delta(start, end, tuple(Change(v, "pools", n, b) for v, n, b in changes))


@pytest.mark.parametrize(
    "late, applied",
    [
        (delta(0, 2, (1, "a", b"1"), (2, "b", b"2")), False),
        (delta(2, 3, (3, "b", None)), False),
        (delta(4, 5, (5, "c", b"5")), False),
        (delta(3, 4, (4, "c", b"4")), True),
        (delta(0, 4, (1, "a", b"1"), (2, "b", b"2"), (4, "c", b"4")), True),
    ],
    ids=["late", "duplicate", "gap", "next", "overlapping"],
)
def test_delta_cannot_restore_older_objects(late, applied):
    """Guards against late, repeated or gapped deltas that restore old objects."""
    state = ObjectSet()
    apply_delta(state, delta(0, 2, (1, "a", b"1"), (2, "b", b"2")))
    apply_delta(state, delta(2, 3, (3, "b", None)))
    assert (apply_delta(state, late) is not None) is applied
    assert state.version == (4 if applied else 3)
    assert ("pools", "b") not in state.objects
    assert (("pools", "c") in state.objects) is applied


def test_log_is_bounded_and_a_receiver_beyond_it_needs_a_snapshot():
    """Guards against unbounded memory, and against a delta with missing changes."""
    state = ObjectSet(max_log=8)
    for version in range(1, 1000):
        apply_delta(state, delta(version - 1, version, (version, "a", b"x")))
    assert len(state.log) <= 10
    assert make_delta(state, 5) is None
    assert make_delta(state, 998).changes == (Change(999, "pools", "a", b"x"),)


def item(kind, name, version):
    return PlatformObject(kind, name, version, {"v": version})


def test_merge_waits_for_all_kinds_and_orders_them():
    """Guards against a route that is in force before its pool."""
    merge = create_merge(("pools", "routes"), ObjectSet())
    for kind in merge.feeds:
        record_list(merge.feeds[kind], ObjectList(1, ()))
    assert next_delta(merge).end == 1
    route = WatchEvent(EventType.ADDED, 3, item("routes", "r", 3))
    record_event(merge.feeds["routes"], route)
    assert next_delta(merge) is None
    record_event(
        merge.feeds["pools"], WatchEvent(EventType.ADDED, 2, item("pools", "p", 2))
    )
    assert [c.name for c in next_delta(merge).changes] == ["p"]
    record_event(merge.feeds["pools"], WatchEvent(EventType.BOOKMARK, 3, None))
    assert [c.name for c in next_delta(merge).changes] == ["r"]


def test_write_after_a_deletion_without_version_is_kept():
    """Guards against an update that is lost after a deletion of another object."""
    merge = create_merge(("pools",), ObjectSet())
    feed = merge.feeds["pools"]
    record_list(feed, ObjectList(2, (item("pools", "a", 1), item("pools", "b", 2))))
    next_delta(merge)
    record_event(feed, WatchEvent(EventType.DELETED, 1, item("pools", "a", 1)))
    record_event(feed, WatchEvent(EventType.MODIFIED, 4, item("pools", "b", 4)))
    found = {(c.name, c.body is None) for c in next_delta(merge).changes}
    assert found == {("a", True), ("b", False)}


def test_one_edit_keeps_all_other_records():
    """Guards against an edit that parses or copies unchanged records."""
    store = ConfigurationStore()
    organisation = {"rate": 1, "burst": 1}
    objects = [
        PlatformObject("organisations", f"o{n}", 1, organisation) for n in range(50)
    ]
    objects.append(PlatformObject("pools", "p", 1, {}))
    store.replace(1, objects)
    before = store.current()
    seen = []
    store.subscribe("organisations", seen.extend)
    store.subscribe("jobs", seen.extend)
    body = b'{"spec":{"rate":2,"burst":2},"labels":{}}'
    store.apply(2, [Change(2, "organisations", "o1", body)])
    after = store.current()
    assert after.pools is before.pools
    assert after.organisations["o2"] is before.organisations["o2"]
    assert after.organisations["o1"].rate == 2
    assert before.organisations["o1"].rate == 1
    assert [c.name for c in seen] == ["o1"]


@pytest.mark.parametrize(
    "spec", [b'{"rate":-1,"burst":2}', b'{"rates":1}', b"[1]", b"null", b"7"]
)
def test_invalid_record_does_not_affect_other_records(spec):
    """Guards against an invalid object or a failing callback that blocks others."""
    store = ConfigurationStore()
    seen = []
    store.on_change(lambda tables: 1 / 0)
    store.on_change(lambda tables: seen.append(tables.version))
    good = b'{"spec":{"rate":2,"burst":2},"labels":{}}'
    key = b'{"spec":{"organisation":"o1","hash":"' + b"0" * 64 + b'"},"labels":{}}'
    bad = b'{"spec":' + spec + b',"labels":{}}'
    names = (("organisations", "o1", good), ("keys", "k", key))
    store.apply(3, [Change(3, *name) for name in names])
    store.apply(4, [Change(4, kind, name, bad) for kind, name, _ in names])
    assert store.current().organisations["o1"].rate == 2
    assert not store.current().keys
    assert set(store.rejected) == {("organisations", "o1"), ("keys", "k")}
    assert seen == [3, 4]


def test_versions_without_changed_records_call_no_callback():
    """Guards against callbacks, which iterate over all runners, per lease renewal."""
    store = ConfigurationStore()
    seen = []
    store.on_change(lambda tables: seen.append(tables.version))
    body = b'{"spec":{"rate":2,"burst":2},"labels":{}}'
    store.apply(3, [Change(3, "organisations", "o1", body)])
    store.apply(4, [])
    store.apply(5, [Change(5, "jobs", "j", b'{"spec":{},"labels":{}}')])
    assert store.current().version == 5
    assert seen == [3]
    store.apply(6, [Change(6, "organisations", "o1", None)])
    assert seen == [3, 6]
