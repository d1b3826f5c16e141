"""Software versions in the progress that hosts hand over or store, between releases."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from primroseford.jobs import peers as peers_module
from primroseford.jobs import recorder
from primroseford.jobs import store as store_module
from primroseford.jobs.ownership import JobOwnership
from primroseford.jobs.peers import JobPeers
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import Progress
from primroseford.jobs.state import decode_progress
from primroseford.jobs.state import encode_progress
from primroseford.jobs.state import encode_progress_versions
from primroseford.jobs.store import CHECKPOINTS
from primroseford.jobs.store import JobStore
from primroseford.jobs.store import fitting_progress
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submit
from primroseford.jobs.tests.test_software_versions import FIELDS
from primroseford.jobs.tests.test_software_versions import TWO_OF_EACH
from primroseford.jobs.tests.test_software_versions import assert_whole
from primroseford.jobs.tests.test_software_versions import item_with_events
from primroseford.jobs.tests.test_software_versions import load_runners
from primroseford.jobs.tests.test_software_versions import runs_of
from primroseford.platform.encoding import encoded_bytes

PROGRESS = {
    ItemId("it0"): Progress(["a", "b"], "2", 1, "v1"),
    ItemId("it1"): Progress([], None, 3),
}
UNVERSIONED = {
    item: Progress(done.data, done.last_event, done.failures)
    for item, done in PROGRESS.items()
}
ENCODED = [["it0", ["a", "b"], "2", 1], ["it1", [], None, 3]]
"""The progress as hosts of the release before this one write it."""


def decode_as_before(encoded: list[list]) -> dict:
    """Decode progress as hosts of the release before this one do."""

    def create(data, last_event, failures):
        return Progress(data, last_event, failures)

    return {ItemId(item[0]): create(*item[1:]) for item in encoded}


def create_peers(contents: dict[str, dict]) -> JobPeers:
    """Return a client of leaving hosts that answer with these contents."""
    peers = JobPeers(None, lambda job: [], lambda job: list(contents), lambda: 0.0)

    async def request(hosts, job, query, method="GET"):
        return json.loads(json.dumps(contents[hosts[0]]))

    peers._request = request
    return peers


def handed_over(progress: dict, **fields) -> dict:
    """Return what a host answers that hands a job over."""
    return {
        "ended": False,
        "segments": [],
        "checked_ago": None,
        "progress": encode_progress(progress),
    } | fields


@pytest.mark.parametrize(
    ("versions", "expected"),
    [
        ({"it0": "v1"}, PROGRESS),
        ({}, UNVERSIONED),
        (None, UNVERSIONED),
        ({"it0": None}, UNVERSIONED),
        ({"it0": ""}, UNVERSIONED),
        ({"it0": 1}, UNVERSIONED),
        (["v1"], UNVERSIONED),
    ],
)
def test_progress_of_another_release(versions, expected):
    """Guards against progress that a host of this release cannot read."""
    assert decode_progress(ENCODED, versions) == expected


def test_progress_is_unreadable_for_the_release_before():
    """Guards against a takeover that ends with an error at a host that knows less."""
    assert encode_progress(PROGRESS) == ENCODED
    assert decode_as_before(encode_progress(PROGRESS)) == UNVERSIONED
    assert encode_progress_versions(PROGRESS) == {"it0": "v1"}


@pytest.mark.parametrize("has_versions", [True, False])
async def test_checkpoint_with_and_without_versions(has_versions):
    """Guards against a checkpoint of either release that the other cannot read."""
    written = {}

    async def create(kind, name, content, purpose):
        written.update(json.loads(json.dumps(content)))
        return SimpleNamespace(version=1)

    async def get(kind, name, purpose):
        return SimpleNamespace(spec=written)

    job_store = JobStore(SimpleNamespace(create=create, get=get), None)
    await job_store.save_progress("job1", PROGRESS, None)
    assert decode_as_before(written["progress"]) == UNVERSIONED
    if not has_versions:
        del written["versions"]
    expected = PROGRESS if has_versions else UNVERSIONED
    assert await job_store.load_progress("job1") == expected


@pytest.mark.parametrize("has_versions", [True, False])
async def test_handover_with_and_without_versions(has_versions):
    """Guards against a hand-over of either release that the other cannot read."""
    fields = {"versions": {"it0": "v1"}} if has_versions else {}
    peers = create_peers({"a": handed_over(PROGRESS, **fields)})
    view = SimpleNamespace(job=SimpleNamespace(id="job1"), cancelled=False, segments=0)
    expected = PROGRESS if has_versions else UNVERSIONED
    assert await peers.take_over(view) == expected


@pytest.mark.parametrize("order", [("a", "b", "c"), ("c", "b", "a"), ("b", "c", "a")])
async def test_takeover_joins_texts_of_two_hosts(order):
    """Guards against the text of one host with the version or last event of another."""
    texts = {
        "a": Progress(["a"] * 3, "3", 0, "v1"),
        "b": Progress(["b"] * 5, "5", 1, "v2"),
        "c": Progress(["c"] * 4, "4", 2),
    }
    contents = {}
    for name in order:
        progress = {ItemId("it0"): texts[name]}
        versions = encode_progress_versions(progress)
        contents[name] = handed_over(progress, versions=versions)
    view = SimpleNamespace(job=SimpleNamespace(id="job1"), cancelled=False, segments=0)
    assert await create_peers(contents).take_over(view) == {"it0": texts["b"]}


def test_versions_make_progress_larger_than_an_object():
    """Guards against a checkpoint that is measured without its versions."""
    progress = {
        ItemId(f"it{n}"): Progress(["x" * 300], "1", 0, "v" * 200) for n in range(2000)
    }
    selected = fitting_progress(progress)
    content = [encode_progress(selected), encode_progress_versions(selected)]
    assert encoded_bytes(content) <= store_module.MAX_PROGRESS_BYTES
    assert len(selected) > 1000


@pytest.mark.parametrize("cause", ["planned stop", "killed"])
@pytest.mark.parametrize("versions", [("v1", "v1"), ("v1", "v1", "v2", "v2")])
async def test_job_of_an_earlier_release_is_taken_over(
    create_versions_site, monkeypatch, versions, cause
):
    """Guards against progress without a version that goes on at another one."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    for module in (peers_module, store_module):
        monkeypatch.setattr(module, "encode_progress_versions", lambda progress: None)
    site = await create_versions_site(versions, 2, **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    await site.until(lambda: stored(site, CHECKPOINTS))
    if len(set(versions)) > 1:
        load_runners(site, runner.version)
    if cause == "killed":
        await site.kill_host(0)
    else:
        site.hosts[0].gateway.stopping = True
    (result,) = await read_all(site, "job1", host=1)
    assert_whole(result)
    assert "Last-Event-Id" not in runs_of(site, "it0")[-1].headers


async def test_two_hosts_run_an_item_at_two_versions(create_versions_site, monkeypatch):
    """Guards against a text of two versions from hosts that run the same item."""
    monkeypatch.setattr(JobOwnership, "_stop_duplicates", lambda *_: None)
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    site = await create_versions_site(TWO_OF_EACH, 2, **FIELDS)
    assert await submit(site, "job1", count=1) == 202
    _, runner = await item_with_events(site)
    load_runners(site, runner.version)
    other = service(site.hosts[1])
    other.scheduler.start_job(await other.views.load_latest("job1"))
    (result,) = await read_all(site, "job1")
    assert_whole(result)
    runs = runs_of(site, "it0")
    assert len(runs) == 2
    assert not any("Last-Event-Id" in run.headers for run in runs)
    ran = {r.version for r in site.runners for run in r.received if run in runs}
    assert ran == {"v1", "v2"}
