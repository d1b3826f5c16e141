"""Reading of the fleet's state from one host."""

from __future__ import annotations

from primroseford.cli.base import fetch_json
from primroseford.configuration.relay import HostVersion
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import HostId
from primroseford.ids import Version


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
