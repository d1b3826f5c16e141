"""Responses about jobs that are made in pieces while the caller reads them."""

from __future__ import annotations

import base64
import json

import pytest

from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import ItemResult
from primroseford.jobs.state import ItemState
from primroseford.platform.job_calls import MAX_WHOLE_RESPONSE_BYTES
from primroseford.platform.job_calls import encode_item_body
from primroseford.platform.job_calls import encode_results


@pytest.mark.parametrize("size", [0, 1, 2, 3, 49_152, 131_073, 200_000, 2_900_000])
async def test_item_body_is_complete(size):
    """Guards against a body that lacks bytes or declares a wrong length."""
    body = bytes(range(256)) * (size // 256 + 1)
    encoded = base64.b64encode(body[:size]).decode()
    item = Item(ItemId("a"), "/", {}, encoded, 1)
    assert item.decoded_bytes == size
    response = encode_item_body(item)
    assert await read(response) == body[:size]


@pytest.mark.parametrize("text", ["token", "雹", '\\"', "\ud800"])
@pytest.mark.parametrize("characters", [1, MAX_WHOLE_RESPONSE_BYTES])
@pytest.mark.parametrize("count", [0, 1, 3])
async def test_results_are_encoded_alike(text, characters, count):
    """Guards against large responses that differ from small ones in their format."""
    results = [
        ItemResult(ItemId(f"i{number}"), ItemState.COMPLETE, text * characters)
        for number in range(count)
    ]
    whole = {
        "total": 9,
        "next": 4 + count,
        "results": [
            {"id": r.id, "state": r.state.value, "text": r.text} for r in results
        ],
    }
    expected = json.dumps(whole, ensure_ascii=False).encode(errors="backslashreplace")
    response = encode_results(9, 4, results)
    assert response.content_type == "application/json"
    assert await read(response) == expected


async def read(response) -> bytes:
    """Return the body of a response, and check the length that it declares."""
    if isinstance(response.body, bytes):
        return response.body
    data = b"".join([piece async for piece in response.body._value])
    assert len(data) == response.content_length
    return data
