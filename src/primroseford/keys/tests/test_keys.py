"""Tests of the withdrawal of keys while callers are connected, and authorisation."""

from __future__ import annotations

import pytest

from primroseford.configuration.store import ConfigurationStore
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.authorisation import authorise_route
from primroseford.keys.authorisation import check_owner
from primroseford.keys.authorisation import check_route_still_allowed
from primroseford.keys.secrets import authenticate
from primroseford.keys.secrets import create_key
from primroseford.keys.watch import create_key_watch
from primroseford.platform.objects import PlatformObject

KEYS = [create_key() for _ in range(2)]


def objects(version, withdrawn=(), listed=("a", "b"), organisations=("a", "b")):
    found = [
        PlatformObject("organisations", name, version, {"rate": 1, "burst": 1})
        for name in organisations
    ]
    for key, name in zip(KEYS, ("a", "b"), strict=True):
        spec = {"organisation": name, "hash": key.hash, "withdrawn": name in withdrawn}
        found.append(PlatformObject("keys", key.key_id, version, spec))
    route = {"pool": "p", "organisations": list(listed)}
    found.append(PlatformObject("routes", "r", version, route))
    found.append(PlatformObject("routes", "open", version, {"pool": "p", "open": True}))
    return found


@pytest.fixture
def store():
    store = ConfigurationStore()
    store.replace(1, objects(1))
    return store


@pytest.mark.parametrize(
    "change",
    [{"withdrawn": ("a",)}, {"organisations": ("b",)}, {"listed": ("b",)}],
    ids=["key withdrawn", "organisation removed", "route closed"],
)
def test_streams_and_queued_requests_are_ended(store, change):
    """Guards against streams and queued requests that continue without a valid key."""
    watch = create_key_watch(store)
    ended = []
    first, second = (authenticate(store.current(), key.secret) for key in KEYS)

    def listed(name):
        return lambda tables: name in tables.routes["r"].organisations

    def failing():
        ended.append("failing")
        raise RuntimeError

    watch.register(first, failing, listed("a"))
    watch.register(first, lambda: ended.append("queued"), listed("a"))
    gone = watch.register(first, lambda: ended.append("gone"), listed("a"))
    watch.register(second, lambda: ended.append("other"), listed("b"))
    watch.deregister(gone)
    store.replace(2, objects(2, **change))
    store.replace(3, objects(3, **change))
    assert sorted(ended) == ["failing", "queued"]
    assert len(watch.watched_requests) == len(watch.by_key) == 1


def test_connected_caller_is_refused_at_its_next_request(store):
    """Guards against a withdrawn key that stays valid on an open connection, and
    against requests that are registered after the withdrawal."""
    identity = authenticate(store.current(), KEYS[0].secret)
    watch = create_key_watch(store)
    store.replace(2, objects(2, withdrawn=("a",)))
    with pytest.raises(PrimrosefordError) as caught:
        authenticate(store.current(), KEYS[0].secret)
    assert caught.value.code is ResultCode.KEY_WITHDRAWN
    ended = []
    watch.register(identity, lambda: ended.append(1))
    assert ended == [1]
    assert not watch.watched_requests


@pytest.mark.parametrize(
    "secret, code",
    [
        (None, ResultCode.KEY_MISSING),
        ("", ResultCode.KEY_MISSING),
        ("x" * 100_000, ResultCode.KEY_UNKNOWN),
        ("pk--", ResultCode.KEY_UNKNOWN),
        (KEYS[0].secret + "x", ResultCode.KEY_UNKNOWN),
        (f"pk-{KEYS[0].key_id}-\udcff", ResultCode.KEY_UNKNOWN),
        (f"xx-{KEYS[0].key_id}-", ResultCode.KEY_UNKNOWN),
    ],
    # The keys are random in each process. The ids must not depend on them, because all
    # pytest-xdist workers have to collect the same ids.
    ids=lambda value: value.name if isinstance(value, ResultCode) else "secret",
)
def test_bad_secrets_are_refused(store, secret, code):
    """Guards against a malformed key that is accepted or causes an exception."""
    with pytest.raises(PrimrosefordError) as caught:
        authenticate(store.current(), secret)
    assert caught.value.code is code


def test_authorisation_by_route_and_owner(store):
    """Guards against requests of an organisation that the route does not list."""
    tables = store.current()
    route = tables.routes["r"]
    identity = authorise_route(tables, route, KEYS[0].secret)
    assert identity.organisation == "a"
    assert authorise_route(tables, tables.routes["open"], None) is None
    store.replace(2, objects(2, listed=("b",)))
    tables = store.current()
    for refused in (
        lambda: authorise_route(tables, tables.routes["r"], KEYS[0].secret),
        lambda: check_route_still_allowed(tables, "r", identity),
        lambda: check_route_still_allowed(tables, "absent", identity),
    ):
        with pytest.raises(PrimrosefordError) as caught:
            refused()
        assert caught.value.code is ResultCode.NOT_AUTHORISED
    check_owner(identity, "a", "job j")
    with pytest.raises(PrimrosefordError) as caught:
        check_owner(identity, "b", "job j")
    assert caught.value.code is ResultCode.NOT_FOUND
