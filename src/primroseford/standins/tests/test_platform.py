from __future__ import annotations

import pytest

from primroseford.standins import platform as platform_standin
from primroseford.standins import platform_state
from primroseford.standins.platform_state import Expired
from primroseford.standins.platform_state import PlatformState

ROOT = "/objects/pools"


def body(name: str, revision: int | None = None, spec: object = None) -> dict:
    metadata = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision
    return {"metadata": metadata, "spec": spec}


async def test_status_codes(platform, session):
    """Guards against a stand-in that accepts calls that the real service rejects."""
    steps = [
        ("POST", "", body("a"), 201),
        ("POST", "", body("a"), 409),
        ("PUT", "/a", body("a", 9), 409),
        ("PUT", "/b", body("b", 1), 404),
        ("PUT", "/a", body("b", 1), 400),
        ("PUT", "/a", body("a", 1, "new"), 200),
        ("PUT", "/a/status", {"status": {"state": "running"}}, 200),
        ("PUT", "/b/status", {"status": {}}, 404),
        ("DELETE", "/a?revision=2", None, 409),
        ("GET", "/a", None, 200),
        ("DELETE", "/a?revision=3", None, 200),
        ("DELETE", "/a", None, 404),
        ("GET", "/a", None, 404),
        ("POST", "", {"metadata": {}}, 400),
        ("POST", "", body("x" * 1_000_000), 413),
    ]
    for method, path, item, status in steps:
        url = platform.url + ROOT + path
        async with session.request(method, url, json=item) as response:
            assert response.status == status, (method, path, item)


async def test_watch_reports_each_change_with_a_growing_version(platform, session):
    """Guards against delete events with an old version, which watchers ignore."""
    for method, path, item in [
        ("POST", "", body("a")),
        ("PUT", "/a", body("a", 1, "new")),
        ("PUT", "/a", body("a", 2, "new")),
        ("DELETE", "/a", None),
    ]:
        url = platform.url + ROOT + path
        async with session.request(method, url, json=item) as response:
            assert response.status < 300
    params = {"watch": "0", "wait_ms": "1000"}
    async with session.get(platform.url + ROOT, params=params) as response:
        found = await response.json()
    seen = [
        (event["object"]["metadata"]["revision"], event["deleted"])
        for event in found["events"]
    ]
    assert seen == [(1, False), (2, False), (3, True)]
    assert found["as_of"] == 3


async def test_list_has_pages(platform, session, monkeypatch):
    """Guards against a list without pages, which would hide readers' paging faults."""
    monkeypatch.setattr(platform_standin, "PAGE_ITEMS", 2)
    for name in ("a", "b", "c"):
        platform.state.create("pools", body(name))
    pages = []
    for params in ({}, {"after": "b"}):
        async with session.get(platform.url + ROOT, params=params) as response:
            found = await response.json()
        names = [item["metadata"]["name"] for item in found["items"]]
        pages.append((names, found["has_more"], found["as_of"]))
    assert pages == [(["a", "b"], True, 3), (["c"], False, 3)]


def test_old_versions_expire(monkeypatch):
    """Guards against a watch that skips changes missing from the change log."""
    monkeypatch.setattr(platform_state, "CHANGE_LOG_LENGTH", 3)
    state = PlatformState()
    for number in range(5):
        state.create("pools", body(f"p{number}"))
    with pytest.raises(Expired):
        state.changes_since("pools", 1)
    assert [change.version for change in state.changes_since("pools", 2)] == [3, 4, 5]
