from __future__ import annotations

import json

import pytest

from primroseford.batch import items
from primroseford.batch.items import UploadState
from primroseford.batch.items import add_line
from primroseford.batch.items import close_chunk
from primroseford.batch.items import split_lines
from primroseford.batch.tests.conftest import line
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

BAD_LINES = [
    (b"{", "line 2"),
    (b"[" * 100_000, "line 2"),
    (b"[]", "line 2"),
    (b"\xff\xfe", "line 2"),
    (line("b") | {"extra": 1}, "line 2.extra"),
    (line(""), "line 2.custom_id"),
    (line("x" * 257), "line 2.custom_id"),
    (line("a"), "line 2.custom_id"),
    (line("b") | {"custom_id": 7}, "line 2.custom_id"),
    (line("b") | {"method": "GET"}, "line 2.method"),
    (line("b") | {"url": "/v1/orders"}, "line 2.url"),
    (line("b") | {"url": ["/v1/completions"]}, "line 2.url"),
    (line("b") | {"url": "/v1/completions"}, "line 2.url"),
    (line("b") | {"body": "text"}, "line 2.body"),
    (line("b", model=3), "line 2.body.model"),
    (line("b", model="m" * 65), "line 2.body.model"),
    (line("b", model="other"), "line 2.body.model"),
    (line("b", stream=True), "line 2.body.stream"),
    (line("b", max_tokens=0), "line 2.body.max_tokens"),
    (line("b", max_tokens=True), "line 2.body.max_tokens"),
    (line("b", max_tokens="9"), "line 2.body.max_tokens"),
    (line("b", "x" * 300_000), "line 2"),
]


@pytest.mark.parametrize(("second", "field"), BAD_LINES)
def test_bad_line_is_refused_with_its_number(second, field):
    """Guards against an invalid line accepted or reported with a wrong number."""
    text = second if isinstance(second, bytes) else json.dumps(second).encode()
    upload_state = UploadState()
    add_line(upload_state, json.dumps(line("a")).encode())
    with pytest.raises(PrimrosefordError) as caught:
        add_line(upload_state, text)
    assert caught.value.code is ResultCode.ITEM_INVALID
    assert caught.value.field == field


@pytest.mark.parametrize("block", [1, 7, 4096])
def test_lines_survive_any_split_into_blocks(block):
    """Guards against items lost or merged at the boundary of two network reads."""
    texts = [json.dumps(line(f"i{n}", "ä" * n)) for n in range(40)]
    data = "\n".join(texts).encode()
    upload_state = UploadState()
    for start in range(0, len(data), block):
        for found in split_lines(upload_state, data[start : start + block]):
            add_line(upload_state, found)
    add_line(upload_state, upload_state.partial_line)
    assert close_chunk(upload_state) == texts


def test_chunks_respect_both_bounds():
    """Guards against a chunk that exceeds the size limit of a stored value."""
    upload_state, chunks = UploadState(), []
    for n in range(1200):
        content = '"' * 60_000 if n < 20 else "next"
        full = add_line(upload_state, json.dumps(line(f"i{n}", content)).encode())
        chunks += [full] if full else []
    chunks.append(close_chunk(upload_state))
    assert sum(map(len, chunks)) == 1200
    assert max(map(len, chunks)) <= items.MAX_CHUNK_ITEMS
    assert max(len(json.dumps("\n".join(c))) for c in chunks) < 1_000_000


def test_too_many_items_are_refused(monkeypatch):
    """Guards against a job with an unbounded number of items."""
    monkeypatch.setattr(items, "MAX_ITEMS", 1)
    upload_state = UploadState()
    add_line(upload_state, json.dumps(line("a")).encode())
    with pytest.raises(PrimrosefordError) as caught:
        add_line(upload_state, json.dumps(line("b")).encode())
    assert caught.value.code is ResultCode.TOO_MANY_ITEMS
