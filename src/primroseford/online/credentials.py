"""Reads the caller's key and keeps it from backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Mapping

    from aiohttp import web

KEY_HEADERS = ("Authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization")
KEY_COOKIE = "primroseford-key"
KEY_QUERY = "api_key"
BEARER = "bearer "
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
    # The body is decoded when it is read; the id is new for each attempt; the
    # deadline is what is left of it.
    | {"cookie", "content-encoding", "x-request-id", "x-request-timeout-ms"}
    | {"idempotency-key"}
)


def read_key(request: web.Request) -> str | None:
    """Return the key that came with a request, if any."""
    header = request.headers.get("Authorization", "")
    if header.lower().startswith(BEARER):
        return header[len(BEARER) :].strip()
    for name in KEY_HEADERS[1:3]:
        if name in request.headers:
            return request.headers[name]
    return request.query.get(KEY_QUERY) or request.cookies.get(KEY_COOKIE)


def _nominated(headers: Mapping[str, str]) -> set[str]:
    # A header that Connection names is hop-by-hop too.
    value = headers.get("Connection", "")
    return {part.strip().lower() for part in value.split(",")} if value else set()


def forwarded_headers(request: web.Request) -> CIMultiDict[str]:
    """Return the headers to pass on, without credentials and hop-by-hop headers."""
    dropped = NOT_FORWARDED | _nominated(request.headers)
    headers = CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
    cookies = "; ".join(
        part.strip()
        for header in request.headers.getall("Cookie", ())
        for part in header.split(";")
        if part.strip() and part.split("=", 1)[0].strip() != KEY_COOKIE
    )
    if cookies:
        headers["Cookie"] = cookies
    return headers


def forwarded_path(request: web.Request) -> str:
    """Return the path and query as they came, without the key's parameter."""
    path, mark, query = request.raw_path.partition("?")
    if not mark:
        return path
    kept = [
        part
        for part in query.split("&")
        if unquote_plus(part.split("=", 1)[0]) != KEY_QUERY
    ]
    return f"{path}?{'&'.join(kept)}" if kept else path


def answer_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return a runner's headers to pass on, without hop-by-hop headers."""
    dropped = HOP_BY_HOP | _nominated(headers) | {"x-request-id"}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )
