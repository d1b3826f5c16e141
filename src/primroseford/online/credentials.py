"""Reads the caller's key and keeps it from backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from multidict import CIMultiDict

if TYPE_CHECKING:
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
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
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


def forwarded_headers(request: web.Request) -> CIMultiDict[str]:
    """Return the headers to pass on, without credentials and hop-by-hop headers."""
    dropped = {name.lower() for name in KEY_HEADERS} | HOP_BY_HOP | {"cookie"}
    return CIMultiDict(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in dropped
    )
