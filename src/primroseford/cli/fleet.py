"""Client of a host's operators' interface."""

from __future__ import annotations

from typing import Any

import aiohttp

from primroseford.cli.base import fetch_json
from primroseford.configuration.relay import HostVersion
from primroseford.errors import Outcome
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import HostId
from primroseford.ids import Version

ORDER_TIMEOUT_SECONDS = 180.0
"""More than a host waits for the runner's lease and the runner's response."""


async def read_versions(url: str) -> dict[HostId, HostVersion | None]:
    """Return the configuration version in force on each host.

    :param url: operator address of any host; ``/versions`` returns
        ``{host: {version, age} | null}``
    :returns: ``None`` for a host without a report
    """
    body = await fetch_json(f"{url}/versions")
    try:
        return {
            HostId(host): None
            if entry is None
            else HostVersion(Version(entry["version"]), entry["age"], 0.0)
            for host, entry in body.items()
        }
    except (AttributeError, KeyError, TypeError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"{url}/versions returned an unexpected response"
        ) from error


async def send_order(url: str, order: dict[str, str]) -> dict[str, Any]:
    """Send an order through a host and return its outcome.

    :param url: operator address of any host
    :param order: runner, order and model
    :raises PrimrosefordError: the error that the host returned, or PEER_UNREACHABLE
    """
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"{url}/orders", json=order) as response,
        ):
            body = await response.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.PEER_UNREACHABLE,
            f"{url}/orders did not answer",
            hint="read the engine's state before you send the order again",
            outcome=Outcome.MAY_HAVE_RUN,
        ) from error
    if "error" in body:
        error_body = body["error"]
        raise PrimrosefordError(
            ResultCode(error_body["code"]),
            error_body["message"],
            field=error_body["param"],
        )
    return body
