"""Tests that unchanged records keep their identity in new versions of the tables."""

from __future__ import annotations

import pytest

from primroseford.configuration.objects import encode_change
from primroseford.configuration.store import ConfigurationStore
from primroseford.ids import Version
from primroseford.platform.objects import PlatformObject


def item(kind, name, version, **spec):
    return PlatformObject(kind, name, Version(version), spec)


FIRST = [
    item("pools", "a", 1, queue_limit=1),
    item("pools", "b", 1, queue_limit=1),
    item("routes", "a", 1, pool="a", open=True),
    item("routes", "b", 1, pool="b", open=True),
]
EDITED = item("pools", "b", 2, queue_limit=2)


@pytest.mark.parametrize("snapshot", [False, True])
def test_records_that_did_not_change_keep_their_identity(snapshot):
    """Guards against caches that are dropped without a change or kept despite one."""
    store = ConfigurationStore()
    store.replace(Version(1), FIRST)
    before = store.current()
    if snapshot:
        store.replace(Version(2), [FIRST[0], EDITED, *FIRST[2:]])
    else:
        store.apply(Version(2), [encode_change(EDITED)])
    after = store.current()
    assert after.pools["a"] is before.pools["a"]
    assert after.pools["b"].queue_limit == 2
    assert after.routes is before.routes
    store.replace(Version(3), [FIRST[0], EDITED, FIRST[2]])
    assert set(store.current().routes) == {"a"}
    assert store.current().routes["a"] is before.routes["a"]
    assert store.current().pools is after.pools
    assert store.current().version == 3
