"""Results and progress that are larger than one object of the platform's store."""

from __future__ import annotations

import asyncio
import base64
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.jobs import recorder
from primroseford.jobs.run import MAX_ITEM_BYTES
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.jobs.state import Progress
from primroseford.jobs.state import decode_progress
from primroseford.jobs.state import decode_result
from primroseford.jobs.state import encode_progress
from primroseford.jobs.state import encode_result
from primroseford.jobs.store import CHECKPOINTS
from primroseford.jobs.store import MAX_PROGRESS_BYTES
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.store import JobStore
from primroseford.jobs.store import first_segment
from primroseford.jobs.store import fitting_progress
from primroseford.jobs.store import join_items
from primroseford.jobs.store import split_item
from primroseford.jobs.store import split_items
from primroseford.jobs.tests.test_jobs import read
from primroseford.jobs.tests.test_jobs import read_all
from primroseford.jobs.tests.test_jobs import service
from primroseford.jobs.tests.test_jobs import stored
from primroseford.jobs.tests.test_jobs import submission
from primroseford.jobs.tests.test_jobs import submit
from primroseford.platform.encoding import encoded_bytes
from primroseford.platform.transport import MAX_VALUE_BYTES
from primroseford.standins.fleet_objects import configuration

JAPANESE = "雹害の修理は可能です"
TEXTS = {
    "ascii": "token",
    "japanese": JAPANESE,
    "accents": "éàü",
    "emoji": "🚗",
    "quotes": '\\"',
    "control": "\x01",
}
EVENT_CHARACTERS = 4000


def set_tokens(site, text: str, characters: int = EVENT_CHARACTERS) -> str:
    """Have all runners send long events; return the text of a complete item."""
    token = (text * characters)[:characters]
    for runner in site.runners:
        runner.token = token
    return "\n".join(f"{token} {number}" for number in range(1, 6))


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
async def test_results_that_wait_for_the_store_are_never_listed(site, text):
    """Guards against results that pile up beyond one object of the store (LOST)."""
    expected = set_tokens(site, text)
    assert await submit(site, "job1", count=12) == 202
    site.platform.faults.down = True
    await site.until(lambda: sum(len(r.received) for r in site.runners) >= 12)
    await asyncio.sleep(0.5)
    site.platform.faults.down = False
    results = await read_all(site, "job1")
    assert {result["text"] for result in results} == {expected}
    assert len({result["id"] for result in results}) == 12


@given(
    st.lists(
        st.tuples(st.text(min_size=1, max_size=20), st.integers(1, 40_000)),
        min_size=1,
        max_size=30,
    )
)
def test_segment_is_larger_than_an_object_of_the_store(drawn):
    """Guards against a segment that is measured in another unit than the store's."""
    results = [
        ItemResult(ItemId(f"it{n}"), ItemState.COMPLETE, (text * length)[:length])
        for n, (text, length) in enumerate(drawn)
    ]
    while results:
        segment = first_segment(results)
        assert segment == results[: len(segment)] and segment
        content = {"results": [encode_result(result) for result in segment]}
        assert encoded_bytes(content) < MAX_VALUE_BYTES
        del results[: len(segment)]


async def test_large_result_is_never_listed(site):
    """Guards against a result that alone exceeds an object of the store (LOST)."""
    expected = set_tokens(site, TEXTS["control"], 100_000)
    assert await submit(site, "job1", count=2) == 202
    results = await read_all(site, "job1")
    assert [result["text"] for result in results] == [expected] * 2


@given(st.text(max_size=20), st.integers(1, MAX_ITEM_BYTES))
def test_stored_result_is_larger_than_an_object_of_the_store(text, length):
    """Guards against a result whose stored form depends on the characters in it."""
    whole = (text * length).encode()[:MAX_ITEM_BYTES].decode(errors="ignore")
    result = ItemResult(ItemId("it0"), ItemState.COMPLETE, whole)
    encoded = encode_result(result)
    assert encoded_bytes({"results": [encoded]}) < MAX_VALUE_BYTES
    assert decode_result(encoded) == result


async def test_text_of_an_item_grows_without_end(site):
    """Guards against an item whose runs add up to more than a result can have."""
    set_tokens(site, TEXTS["ascii"], 20_000)
    for runner in site.runners:
        runner.events = 1_000_000
    assert await submit(site, "job1", count=1) == 202

    def runs_from_the_start() -> int:
        received = [run for runner in site.runners for run in runner.received]
        return sum("Last-Event-Id" not in run.headers for run in received)

    await site.until(lambda: runs_from_the_start() == 3)
    (run,) = service(site.hosts[0]).scheduler.runs.values()
    (item,) = [*run.waiting, *run.running]
    assert len(item.text()) <= MAX_ITEM_BYTES


REFUSALS = [ResultCode.BODY_TOO_LARGE, ResultCode.MALFORMED]


def refuse_result(site, item: str, code: ResultCode) -> None:
    """Have the store refuse for good every segment that has a complete item."""
    transport = service(site.hosts[0]).store.client.transport
    call = transport.call

    async def refuse(sent):
        if sent.path == SEGMENTS and sent.body:
            results = json.loads(sent.body)["spec"]["content"]["results"]
            if [item, "complete"] in [result[:2] for result in results]:
                raise PrimrosefordError(code, "refused by the test")
        return await call(sent)

    transport.call = refuse


@pytest.mark.parametrize("code", REFUSALS, ids=lambda code: code.name)
async def test_refused_result_holds_back_all_others(site, code):
    """Guards against a write that cannot succeed and that others wait behind (LOST)."""
    refuse_result(site, "it2", code)
    assert await submit(site, "job1", count=8) == 202
    listed: list[dict] = []
    async with asyncio.timeout(10):
        while len(listed) < 7:
            listed += (await read(site, "job1", len(listed)))["results"]
    assert {result["id"] for result in listed} == {f"it{n}" for n in range(8)} - {"it2"}


async def test_refused_result_is_never_given_up(site):
    """Guards against an item without a final state after the time for its job."""
    refuse_result(site, "it1", ResultCode.BODY_TOO_LARGE)
    assert await submit(site, "job1", count=3) == 202
    (run,) = service(site.hosts[0]).scheduler.runs.values()
    await site.until(lambda: len(run.view.committed) == 2)
    changed = configuration(version=2)
    for route in changed["routes"]:
        route["max_wait_s"] = 1
    site.put("config", "main", changed)
    results = await read_all(site, "job1")
    assert [r["id"] for r in results if r["state"] == "dead_letter"] == ["it1"]


async def test_large_progress_is_never_stored(site, monkeypatch):
    """Guards against items that start anew since the progress of all is too large."""
    monkeypatch.setattr(recorder, "CHECKPOINT_INTERVAL_SECONDS", 0.1)
    monkeypatch.setattr(recorder, "CHECKPOINT_EVENTS", 10)
    saves: list[str] = []
    save = JobStore.save_progress

    async def count_saves(store, job, *arguments):
        version = await save(store, job, *arguments)
        saves.append(job)
        return version

    monkeypatch.setattr(JobStore, "save_progress", count_saves)
    set_tokens(site, JAPANESE, 8000)
    for runner in site.runners:
        runner.events, runner.event_seconds = 1000, 0.2
    assert await submit(site, "job1", count=16) == 202
    (run,) = service(site.hosts[0]).scheduler.runs.values()
    await site.until(lambda: encoded_bytes(encode_progress(run.progress())) > 2_000_000)
    written = len(saves)
    await site.until(lambda: len(saves) > written)
    saved = decode_progress(
        stored(site, CHECKPOINTS)["job1"]["spec"]["content"]["progress"]
    )
    assert 3 <= len(saved) < 16
    assert encoded_bytes(encode_progress(saved)) > MAX_PROGRESS_BYTES / 2


@given(
    st.lists(
        st.lists(
            st.tuples(st.text(min_size=1, max_size=5), st.integers(1, 20_000)),
            max_size=10,
        ),
        max_size=20,
    )
)
def test_progress_is_larger_than_an_object_of_the_store(drawn):
    """Guards against progress that is measured in another unit than the store's."""
    progress = {
        ItemId(f"it{n}"): Progress([text * length for text, length in data], "1", 0)
        for n, data in enumerate(drawn)
    }
    selected = fitting_progress(progress)
    assert encoded_bytes(encode_progress(selected)) < MAX_VALUE_BYTES
    assert all(progress[item] == done for item, done in selected.items())
    if encoded_bytes(encode_progress(progress)) < MAX_PROGRESS_BYTES:
        assert selected == progress


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
async def test_response_to_a_read_is_too_long(site, text):
    """Guards against a response of over 1 MB, the limit of the read call."""
    set_tokens(site, text, 25_000)
    assert await submit(site, "job1", count=10) == 202
    await site.until(lambda: not service(site.hosts[0]).scheduler.runs)
    position = 0
    while position < 10:
        path = f"/lots/job1?after={position}"
        status, _, body = await site.call(path, method="GET", body=b"")
        assert status == 200 and len(body) <= 1_000_000
        assert json.loads(body)["next"] > position
        position = json.loads(body)["next"]


async def test_item_with_a_large_body_is_refused(site):
    """Guards against a job within the limits of callers that the store cannot take."""
    body = json.loads(submission(2))
    body["items"][1]["body"] = base64.b64encode(b"x" * 800_000).decode()
    content = json.dumps(body).encode()
    assert (await site.call("/notes/x", "job1", body=content))[0] == 202
    service(site.hosts[0]).views.views.clear()
    path = "/items/job1?id=it1"
    status, _, stored_body = await site.call(path, method="GET", body=b"")
    assert (status, stored_body) == (200, b"x" * 800_000)
    assert len(await read_all(site, "job1")) == 2


@given(
    st.lists(
        st.tuples(st.text(max_size=10), st.integers(1, 200_000)),
        min_size=1,
        max_size=5,
    )
)
def test_item_is_larger_than_an_object_of_the_store(drawn):
    """Guards against items whose stored form depends on the characters in them."""
    items = [["it0", "/x", {"Name": text * size}, "", 1] for text, size in drawn]
    pieces = [piece for item in items for piece in split_item(item)]
    parts = split_items(pieces)
    assert all(encoded_bytes({"items": part}) < MAX_VALUE_BYTES for part in parts)
    assert join_items([piece for part in parts for piece in part]) == items


async def test_writes_stay_small_after_a_refusal(site):
    """Guards against one write for each result after the store refused a larger one."""
    assert await submit(site, "job1", count=16) == 202
    (run,) = service(site.hosts[0]).scheduler.runs.values()
    run.max_results = 1
    await read_all(site, "job1")
    assert len(stored(site, SEGMENTS)) <= 6
