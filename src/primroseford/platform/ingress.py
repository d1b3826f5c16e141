"""Decodes callers' requests and encodes the error responses of this system."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.gateway.requests import IncomingRequest
from primroseford.ids import RequestId
from primroseford.platform.headers import API_KEY
from primroseford.platform.headers import DEADLINE
from primroseford.platform.headers import LAST_EVENT
from primroseford.platform.headers import REQUEST_ID
from primroseford.platform.headers import RESUMES
from primroseford.platform.headers import SET_BY_SYSTEM
from primroseford.platform.headers import end_to_end
from primroseford.platform.prompts import decode_prompt

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest


def request_id_of(request: BaseRequest) -> RequestId:
    """Return the id of a request; empty if the header is missing."""
    return RequestId(request.headers.get(REQUEST_ID, ""))


def decode_request(request: BaseRequest) -> IncomingRequest:
    """Decode a request, except for its body.

    :raises PrimrosefordError: INVALID_VALUE
    """
    name, _, port = request.headers.get("Host", "").rpartition(":")
    host = name if name and port.isdigit() else request.headers.get("Host", "")
    return IncomingRequest(
        request_id=request_id_of(request),
        method=request.method,
        host=host.lower(),
        target=request.raw_path,
        headers=end_to_end(request.headers, SET_BY_SYSTEM),
        key=request.headers.get(API_KEY),
        timeout=_allowed_seconds(request),
        last_event=request.headers.get(LAST_EVENT),
        began_as=RequestId(request.headers.get(RESUMES, "")),
        prompt=decode_prompt(request.headers),
    )


def _allowed_seconds(request: BaseRequest) -> float | None:
    value = request.headers.get(DEADLINE)
    if value is None:
        return None
    try:
        return max(0.0, float(value) / 1000)
    except ValueError as error:
        raise PrimrosefordError(
            ResultCode.INVALID_VALUE, "the deadline is not a number", field=DEADLINE
        ) from error


def encode_refusal(error: PrimrosefordError, request_id: str) -> web.Response:
    """Return the response to a request that this system refuses or cannot complete.

    :param error: reason
    :param request_id: id of the request, which the response echoes
    """
    headers = {REQUEST_ID: request_id} if request_id else {}
    if error.retry_after is not None and error.http_status in (429, 503):
        headers["Retry-After"] = f"{max(0.001, error.retry_after):.3f}"
    body = {"code": int(error.code), "message": error.message}
    return web.Response(
        status=error.http_status,
        body=json.dumps(body).encode(),
        content_type="application/json",
        headers=headers,
    )
