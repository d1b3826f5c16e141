"""Reading of the fleet's state from one host."""

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
"""Above the longest wait of a host for the runner's lease and the answer."""


async def read_versions(url: str) -> dict[HostId, HostVersion | None]:
    """Return the version in force of each host.

    :param url: operator address of any host, which serves ``/versions`` as
        ``{host: {version, age} | null}``
    """
    body = await fetch_json(f"{url}/versions")
    try:
        return {
            HostId(host): None
            if found is None
            else HostVersion(Version(found["version"]), found["age"], 0.0)
            for host, found in body.items()
        }
    except (AttributeError, KeyError, TypeError) as error:
        raise PrimrosefordError(
            ResultCode.MALFORMED, f"{url}/versions did not answer as expected"
        ) from error


async def give_order(url: str, wanted: dict[str, str]) -> dict[str, Any]:
    """Give an order through a host and return what became of it.

    :param url: operator address of any host
    :param wanted: runner, order and model
    :raises PrimrosefordError: the host's refusal, or PEER_UNREACHABLE
    """
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"{url}/orders", json=wanted) as answer,
        ):
            body = await answer.json(content_type=None)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise PrimrosefordError(
            ResultCode.PEER_UNREACHABLE,
            f"{url}/orders did not answer",
            hint="read the engine's state before you give the order again",
            outcome=Outcome.MAY_HAVE_RUN,
        ) from error
    if "error" in body:
        found = body["error"]
        raise PrimrosefordError(
            ResultCode(found["code"]), found["message"], field=found["param"]
        )
    return body
