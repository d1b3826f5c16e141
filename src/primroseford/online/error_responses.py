"""HTTP responses for errors."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from primroseford.errors import PrimrosefordError

CODE_HEADER = "X-Primroseford-Code"
OUTCOME_HEADER = "X-Primroseford-Outcome"


def error_body(error: PrimrosefordError) -> dict:
    """Return the JSON body of an error, in the format of OpenAI's API."""
    return {
        "error": {
            "message": str(error),
            "type": error.code.name.lower(),
            "code": int(error.code),
            "param": error.field,
            "outcome": error.outcome.value,
        }
    }


def error_response(error: PrimrosefordError) -> web.Response:
    """Return the HTTP response that reports an error.

    :param error: the error, with its result code and outcome
    """
    headers = {
        CODE_HEADER: str(int(error.code)),
        OUTCOME_HEADER: error.outcome.value,
    }
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return web.json_response(
        error_body(error), status=error.http_status, headers=headers
    )
