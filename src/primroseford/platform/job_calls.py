"""Decodes callers' requests about batch jobs and encodes the responses."""

from __future__ import annotations

import base64
import binascii
import json
import re
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs

from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import JobId
from primroseford.jobs.state import Item
from primroseford.jobs.state import ItemId
from primroseford.platform.headers import WAIT
from primroseford.platform.objects import DECODING_ERRORS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator
    from collections.abc import Sequence

    from primroseford.gateway.requests import IncomingRequest
    from primroseford.jobs.state import ItemResult

JOB_PATH = "/lots/"
ITEM_PATH = "/items/"
MAX_ITEMS = 200
MAX_WAIT_SECONDS = 1.0
SEPARATOR_BYTES = 2
"""Size of the separator between two results of a response."""
MAX_WHOLE_RESPONSE_BYTES = 128 * 1024
"""Size up to which a response is encoded as a whole; larger ones are encoded in pieces
while they are sent."""
ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,80}")


class JobVerb(Enum):
    """Operation on a job."""

    READ = "read"
    READ_BODY = "read_body"
    CANCEL = "end"


@dataclass(frozen=True)
class JobCall:
    """A caller's request about an existing job.

    :param after: number of results that the caller already has
    :param wait: longest time to wait for a result, in seconds
    :param item: item whose body is requested
    """

    verb: JobVerb
    job: JobId
    after: int = 0
    wait: float = 0.0
    item: ItemId = ItemId("")


def decode_job_call(incoming: IncomingRequest) -> JobCall | None:
    """Decode a request about a job; return none if it is another request.

    :raises PrimrosefordError: INVALID_VALUE
    """
    path, _, query = incoming.target.partition("?")
    fields = parse_qs(query)
    if path.startswith(JOB_PATH):
        job = _validate_id(path.removeprefix(JOB_PATH), "job")
        if incoming.method == "DELETE":
            return JobCall(JobVerb.CANCEL, job)
        if incoming.method == "GET":
            after = _parse_number(fields.get("after", ["0"])[0], "after")
            wait = _parse_number(incoming.headers.get(WAIT, "0"), WAIT) / 1000
            wait = min(wait, MAX_WAIT_SECONDS)
            return JobCall(JobVerb.READ, job, after, wait)
    if path.startswith(ITEM_PATH) and incoming.method == "GET":
        job = _validate_id(path.removeprefix(ITEM_PATH), "job")
        item = ItemId(fields.get("id", [""])[0])
        return JobCall(JobVerb.READ_BODY, job, item=item)
    return None


def decode_submission(incoming: IncomingRequest) -> tuple[JobId, tuple[Item, ...]]:
    """Decode the id and the items of a submitted job.

    :raises PrimrosefordError: MALFORMED, INVALID_VALUE or TOO_MANY_ITEMS
    """
    job = _validate_id(incoming.request_id, "Request-Id")
    try:
        listed = json.loads(incoming.body)["items"]
        items = tuple(_decode_item(item) for item in listed)
    except DECODING_ERRORS as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"the job is not readable: {error!r}", field="items"
        ) from error
    if not items or len({item.id for item in items}) != len(items):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "a job needs at least one item, and the ids of its items must be unique",
            field="id",
        )
    if len(items) > MAX_ITEMS:
        raise PrimrosefordError(
            ResultCode.TOO_MANY_ITEMS, f"a job has at most {MAX_ITEMS} items"
        )
    return job, items


def _decode_item(item: dict[str, Any]) -> Item:
    body = item.get("body") or ""
    try:
        base64.b64decode(body, validate=True)
    except binascii.Error as error:
        raise ValueError("an item's body is not valid base64") from error
    headers = {str(name): str(value) for name, value in item["headers"].items()}
    return Item(
        ItemId(str(item["id"])), str(item["path"]), headers, body, int(item["tokens"])
    )


def encode_results(
    total: int, after: int, results: Sequence[ItemResult]
) -> web.Response:
    """Return the response to a read of results.

    :param total: number of items of the job
    :param after: position of the first result
    :param results: results from this position on
    """
    listed = [_result_fields(result) for result in results]
    body = {"total": total, "next": after + len(listed), "results": listed}
    encoded = _encode(body)
    if len(encoded) <= MAX_WHOLE_RESPONSE_BYTES:
        return web.Response(body=encoded, content_type="application/json")
    pieces = _encode_pieces(total, after, results)
    return _respond_in_pieces(pieces, len(encoded), "application/json")


def encode_item_body(item: Item) -> web.Response:
    """Return the response to a read of an item's body."""
    if item.decoded_bytes <= MAX_WHOLE_RESPONSE_BYTES:
        return web.Response(body=item.decoded_body())
    return _respond_in_pieces(
        item.decoded_blocks(), item.decoded_bytes, "application/octet-stream"
    )


def _encode_pieces(
    total: int, after: int, results: Sequence[ItemResult]
) -> Iterator[bytes]:
    """Yield the encoded response to a read of results, one result at a time."""
    head = _encode({"total": total, "next": after + len(results), "results": []})
    yield head.removesuffix(b"]}")
    for number, result in enumerate(results):
        separator = b", " if number else b""
        yield separator + _encode(_result_fields(result))
    yield b"]}"


def _respond_in_pieces(
    pieces: Iterator[bytes], size: int, content_type: str
) -> web.Response:
    """Return a response whose pieces are made as the caller reads them.

    A caller that does not read holds the memory of one piece instead of the whole.
    """

    async def iterate() -> AsyncIterator[bytes]:
        for piece in pieces:
            yield piece

    headers = {"Content-Length": str(size)}
    return web.Response(body=iterate(), headers=headers, content_type=content_type)


def result_bytes(result: ItemResult) -> int:
    """Return the size of one result in the response to a read."""
    return len(_encode(_result_fields(result))) + SEPARATOR_BYTES


def _result_fields(result: ItemResult) -> dict[str, str]:
    return {"id": result.id, "state": result.state.value, "text": result.text}


def _encode(value: Any) -> bytes:
    """Encode JSON in UTF-8; only lone surrogates, which UTF-8 lacks, are escaped."""
    return json.dumps(value, ensure_ascii=False).encode(errors="backslashreplace")


def _validate_id(value: str, field: str) -> JobId:
    if not ID_PATTERN.fullmatch(value):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "an id must have 1 to 80 letters, digits, dots, underscores or hyphens",
            field=field,
        )
    return JobId(value)


def _parse_number(value: str, field: str) -> int:
    if not (value.isascii() and value.isdigit() and len(value) <= 9):
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE,
            "the value must be a whole number of at most 9 digits",
            field=field,
        )
    return int(value)
