from __future__ import annotations

import json

import pytest

from primroseford.standins import platform_state
from primroseford.standins.platform_state import Expired
from primroseford.standins.platform_state import PlatformState

ROOT = "/apis/primroseford.dev/v1/pools"


def body(name: str, version: str | None = None) -> dict:
    metadata = {"name": name, "labels": {"zone": name}}
    if version is not None:
        metadata["resourceVersion"] = version
    return {"metadata": metadata, "spec": {}}


async def test_status_codes(platform, session):
    """Guards against a stand-in that accepts what the service refuses."""
    steps = [
        ("POST", "", body("a"), 201),
        ("POST", "", body("a"), 409),
        ("PUT", "/a", body("a"), 409),
        ("PUT", "/a", body("a", "9"), 409),
        ("PUT", "/b", body("b", "1"), 404),
        ("PUT", "/a", body("b", "1"), 400),
        ("PUT", "/a", body("a", "1"), 200),
        ("DELETE", "/a?resourceVersion=1", None, 409),
        ("GET", "/a", None, 200),
        ("DELETE", "/a?resourceVersion=2", None, 200),
        ("DELETE", "/a", None, 404),
        ("GET", "/a", None, 404),
        ("POST", "", {"metadata": {}}, 400),
        ("POST", "", body("x" * 1_000_000), 413),
    ]
    for method, path, item, status in steps:
        url = platform.url + ROOT + path
        async with session.request(method, url, json=item) as answer:
            assert answer.status == status, (method, path, item)


async def test_watch_reports_each_change_with_a_growing_version(platform, session):
    """Guards against deletes that carry an old version and so are ignored."""
    for method, path, item in [
        ("POST", "", body("a")),
        ("PUT", "/a", body("a", "1")),
        ("DELETE", "/a", None),
    ]:
        url = platform.url + ROOT + path
        async with session.request(method, url, json=item) as answer:
            assert answer.status < 300
    params = {"watch": "1", "resourceVersion": "0"}
    async with session.get(platform.url + ROOT, params=params) as answer:
        lines = [json.loads(await answer.content.readline()) for _ in range(4)]
    seen = [(x["type"], x["object"]["metadata"]["resourceVersion"]) for x in lines]
    types = ["ADDED", "MODIFIED", "DELETED", "BOOKMARK"]
    assert seen == list(zip(types, ["1", "2", "3", "3"], strict=True))


async def test_list_selects_by_label(platform, session):
    """Guards against lists that ignore the selector."""
    for name in ("a", "b"):
        platform.state.create("pools", body(name))
    params = {"labelSelector": "zone=b"}
    async with session.get(platform.url + ROOT, params=params) as answer:
        found = await answer.json()
    assert [item["metadata"]["name"] for item in found["items"]] == ["b"]
    assert found["metadata"]["resourceVersion"] == "2"


def test_old_versions_expire(monkeypatch):
    """Guards against a watch that silently starts after a gap."""
    monkeypatch.setattr(platform_state, "CHANGE_LOG_LENGTH", 3)
    state = PlatformState()
    for number in range(5):
        state.create("pools", body(f"p{number}"))
    with pytest.raises(Expired):
        state.changes_since("pools", 1)
    assert [change.version for change in state.changes_since("pools", 2)] == [3, 4, 5]
