"""Validation of input lines and their grouping into chunks."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from dataclasses import field

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

MAX_ITEMS = 57_000
MAX_FILE_BYTES = 200 * 1024 * 1024
MAX_LINE_BYTES = 256 * 1024
MAX_CUSTOM_ID_CHARACTERS = 256
MAX_MODEL_CHARACTERS = 64
MAX_CHUNK_ITEMS = 500
MAX_CHUNK_BYTES = 512 * 1024
"""Largest chunk as JSON text; the platform's service stores values up to 1 MB."""
ENDPOINTS = ("/v1/chat/completions", "/v1/completions", "/v1/embeddings")
FIELDS = frozenset({"custom_id", "method", "url", "body"})
DEFAULT_COMPLETION_TOKENS = 16
BYTES_PER_TOKEN = 4


@dataclass(frozen=True)
class Item:
    """One validated line of an input file.

    :param cost: estimated tokens of prompt and completion
    """

    custom_id: str
    url: str
    model: str | None
    body: dict
    cost: int


@dataclass
class UploadState:
    """State of an upload in progress.

    :ivar partial_line: received bytes after the last line end
    :ivar custom_id_digests: digests of the ``custom_id`` of all items so far
    :ivar first_item: first item; all others must have the same url and model
    :ivar chunk: lines of the current chunk
    :ivar chunk_size: size of the current chunk as JSON text
    :ivar chunk_items: number of items in each complete chunk
    """

    digest: hashlib._Hash = field(default_factory=hashlib.sha256)
    size: int = 0
    line_count: int = 0
    partial_line: bytes = b""
    custom_id_digests: set[bytes] = field(default_factory=set)
    first_item: Item | None = None
    chunk: list[str] = field(default_factory=list)
    chunk_size: int = 0
    chunk_items: list[int] = field(default_factory=list)


def line_error(line: int, path: str, message: str) -> PrimrosefordError:
    """Return the error for an invalid line.

    :param line: number of the line, from 1
    :param path: path of the field in the line
    """
    field_path = f"line {line}" + (f".{path}" if path else "")
    return PrimrosefordError(
        ResultCode.ITEM_INVALID, f"line {line}: {message}", field=field_path
    )


def check_line(text: bytes, line: int) -> Item:
    """Validate one input line and return its item.

    :param text: the line without its line end
    :param line: number of the line, from 1
    :raises PrimrosefordError: ITEM_INVALID with the line's number and field
    """
    if len(text) > MAX_LINE_BYTES:
        raise line_error(line, "", f"longer than {MAX_LINE_BYTES} bytes")
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise line_error(line, "", "not valid JSON") from None
    if not isinstance(value, dict):
        raise line_error(line, "", "not a JSON object")
    unknown = sorted(value.keys() - FIELDS)
    if unknown:
        raise line_error(line, unknown[0][:64], "unknown field")
    custom_id, body = value.get("custom_id"), value.get("body")
    if not isinstance(custom_id, str) or not 0 < len(custom_id) <= (
        MAX_CUSTOM_ID_CHARACTERS
    ):
        limit = MAX_CUSTOM_ID_CHARACTERS
        raise line_error(line, "custom_id", f"must be text of 1 to {limit} characters")
    if value.get("method", "POST") != "POST":
        raise line_error(line, "method", "must be POST")
    if value.get("url") not in ENDPOINTS:
        raise line_error(line, "url", f"must be one of {', '.join(ENDPOINTS)}")
    if not isinstance(body, dict):
        raise line_error(line, "body", "must be a JSON object")
    return Item(custom_id, value["url"], *_check_body(body, line, len(text)))


def _check_body(body: dict, line: int, size: int) -> tuple[str | None, dict, int]:
    model = body.get("model")
    if model is not None and (
        not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARACTERS
    ):
        limit = MAX_MODEL_CHARACTERS
        raise line_error(line, "body.model", f"must be text of 1 to {limit} characters")
    if body.get("stream"):
        raise line_error(line, "body.stream", "items of a job cannot be streamed")
    tokens = body.get("max_tokens", body.get("max_completion_tokens"))
    if tokens is None:
        tokens = DEFAULT_COMPLETION_TOKENS
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 1:
        raise line_error(line, "body.max_tokens", "must be a positive whole number")
    return model, body, size // BYTES_PER_TOKEN + tokens


def add_line(upload_state: UploadState, text: bytes) -> list[str] | None:
    """Validate one line and add it to the current chunk.

    :returns: lines of the previous chunk if it was full, else ``None``
    :raises PrimrosefordError: ITEM_INVALID or TOO_MANY_ITEMS
    """
    upload_state.line_count += 1
    text = text.strip()
    if not text:
        return None
    if len(upload_state.custom_id_digests) >= MAX_ITEMS:
        raise PrimrosefordError(
            ResultCode.TOO_MANY_ITEMS,
            f"line {upload_state.line_count}: the file has more than {MAX_ITEMS} items",
            field=f"line {upload_state.line_count}",
            hint="split the file into several jobs",
        )
    item = check_line(text, upload_state.line_count)
    _check_against_earlier_lines(upload_state, item)
    decoded = text.decode()
    size = len(json.dumps(decoded))
    full_chunk = None
    if (
        len(upload_state.chunk) >= MAX_CHUNK_ITEMS
        or upload_state.chunk_size + size > MAX_CHUNK_BYTES
    ):
        full_chunk = close_chunk(upload_state)
    upload_state.chunk.append(decoded)
    upload_state.chunk_size += size
    return full_chunk


def _check_against_earlier_lines(upload_state: UploadState, item: Item) -> None:
    # The set holds digests of 16 bytes, since a custom_id can be much longer.
    digest = hashlib.blake2b(item.custom_id.encode(errors="surrogatepass")).digest()[
        :16
    ]
    if digest in upload_state.custom_id_digests:
        raise line_error(
            upload_state.line_count, "custom_id", "used by an earlier line"
        )
    upload_state.custom_id_digests.add(digest)
    first = upload_state.first_item = upload_state.first_item or item
    if item.url != first.url:
        raise line_error(
            upload_state.line_count, "url", "differs from the first line's url"
        )
    if item.model != first.model:
        raise line_error(
            upload_state.line_count, "body.model", "differs from the first line's model"
        )


def close_chunk(upload_state: UploadState) -> list[str]:
    """Close the current chunk and return its lines."""
    lines, upload_state.chunk, upload_state.chunk_size = upload_state.chunk, [], 0
    if lines:
        upload_state.chunk_items.append(len(lines))
    return lines


def split_lines(upload_state: UploadState, data: bytes) -> list[bytes]:
    """Add received bytes and return the lines that are now complete.

    :raises PrimrosefordError: BODY_TOO_LARGE or ITEM_INVALID
    """
    upload_state.digest.update(data)
    upload_state.size += len(data)
    if upload_state.size > MAX_FILE_BYTES:
        raise PrimrosefordError(
            ResultCode.BODY_TOO_LARGE,
            f"the file is larger than {MAX_FILE_BYTES} bytes",
            field="file",
        )
    *lines, upload_state.partial_line = (upload_state.partial_line + data).split(b"\n")
    if len(upload_state.partial_line) > MAX_LINE_BYTES:
        number = upload_state.line_count + len(lines) + 1
        raise line_error(number, "", f"longer than {MAX_LINE_BYTES} bytes")
    return lines
