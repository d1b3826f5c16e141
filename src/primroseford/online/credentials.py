"""Reads the caller's key and removes it from what is forwarded to runners."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from multidict import CIMultiDict

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.secrets import KEY_PATTERN

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import web

KEY_HEADERS = ("Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization")
KEY_COOKIE = "primroseford-key"
KEY_QUERY = "api_key"
BEARER = "bearer "
KEY_TEXT_PATTERN = re.compile(KEY_PATTERN)
KEY_BYTES_PATTERN = re.compile(KEY_PATTERN.encode())
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
NOT_FORWARDED = (
    HOP_BY_HOP
    | {name.lower() for name in KEY_HEADERS}
    # The cookies are filtered and the body is decoded; each attempt has its own request
    # id, and its timeout is the time left until the deadline.
    | {"cookie", "content-encoding", "x-request-id", "x-request-timeout-ms"}
    | {"idempotency-key"}
)


def read_key(request: web.Request) -> str | None:
    """Return the key in a request, if any."""
    header = request.headers.get("Authorization", "")
    if header.lower().startswith(BEARER):
        return header[len(BEARER) :].strip()
    for name in KEY_HEADERS[1:3]:
        if name in request.headers:
            return request.headers[name]
    return request.query.get(KEY_QUERY) or request.cookies.get(KEY_COOKIE)


def check_body(body: bytes) -> None:
    """Reject a body that contains a key, since the body is forwarded unchanged.

    :raises PrimrosefordError: INVALID_VALUE
    """
    if KEY_BYTES_PATTERN.search(body):
        raise _create_misplaced_key_error("body")


def _contains_key(text: str) -> bool:
    # A key may also be percent-encoded.
    return bool(
        KEY_TEXT_PATTERN.search(text) or KEY_TEXT_PATTERN.search(unquote_plus(text))
    )


def _create_misplaced_key_error(field: str) -> PrimrosefordError:
    return PrimrosefordError(
        ResultCode.INVALID_VALUE,
        f"the {field} contains a key, which must not reach a backend server",
        field=field,
        hint="send the key in the Authorization header only",
    )


def _connection_headers(headers: Mapping[str, str]) -> set[str]:
    # Headers named in Connection are hop-by-hop too.
    value = headers.get("Connection", "")
    return {part.strip().lower() for part in value.split(",")} if value else set()


def forwarded_headers(request: web.Request) -> CIMultiDict[str]:
    """Return the headers to forward, without credentials and hop-by-hop headers."""
    dropped = NOT_FORWARDED | _connection_headers(request.headers)
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped and not _contains_key(value)
    )
    cookies = "; ".join(
        part.strip()
        for header in request.headers.getall("Cookie", ())
        for part in header.split(";")
        if part.strip()
        and part.split("=", 1)[0].strip() != KEY_COOKIE
        and not _contains_key(part)
    )
    if cookies:
        headers["Cookie"] = cookies
    return headers


def forwarded_path(request: web.Request) -> str:
    """Return the raw path and query, without parameters that contain a key.

    :raises PrimrosefordError: INVALID_VALUE if the path itself contains a key
    """
    path, separator, query = request.raw_path.partition("?")
    if _contains_key(path):
        raise _create_misplaced_key_error("path")
    if not separator:
        return path
    kept = [
        part
        for part in query.split("&")
        if unquote_plus(part.split("=", 1)[0]) != KEY_QUERY and not _contains_key(part)
    ]
    return f"{path}?{'&'.join(kept)}" if kept else path


def forwarded_response_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return a runner's headers to forward, without hop-by-hop headers."""
    dropped = HOP_BY_HOP | _connection_headers(headers) | {"x-request-id"}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )
