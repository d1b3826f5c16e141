"""Cache of matched routes."""

from __future__ import annotations

from primroseford.configuration.tables import Route
from primroseford.configuration.tables import RouteMatch
from primroseford.configuration.tables import Tables
from primroseford.routing.match import MAX_CACHED_MATCHES
from primroseford.routing.match import RouteCache
from primroseford.routing.match import match_route


def route(name, prefix, models=(), priority=0):
    match = RouteMatch(path_prefix=prefix, models=models)
    return Route(name=name, match=match, pool="p", open=True, priority=priority)


def tables(*records):
    return Tables(routes={r.name: r for r in records})


def test_cached_matches_equal_uncached_ones():
    """Guards against a cached route of an earlier version of the tables."""
    wide, chat = route("wide", "/v1/"), route("chat", "/v1/chat", ("m",))
    top = route("top", "/v1/", ("m",), priority=1)
    versions = [tables(wide, chat), tables(wide), tables(wide, chat, top)]
    paths, models = ("/v1/chat", "/v1/x"), ("m", "n", None)
    requests = [("h", path, model) for path in paths for model in models]
    cache = RouteCache()
    for version in versions * 2:
        for request in requests * 2:
            assert cache.match(version, *request) is match_route(version, *request)
        assert cache.needs_model(version, "/v1/chat") is (len(version.routes) > 1)


def test_cached_matches_are_bounded():
    """Guards against a cache that callers can grow with arbitrary paths and models."""
    cache, version = RouteCache(), tables(route("wide", "/v1/"))
    for number in range(2 * MAX_CACHED_MATCHES):
        cache.match(version, "h", f"/v1/{number}", "x" * number)
    assert len(cache.cached) <= MAX_CACHED_MATCHES
    cache.match(version, "h", "/v1/" + "x" * 10_000, None)
    assert max(len(path) for _, path, _ in cache.cached) < 10_000
