"""Edits of single objects: keys and runners."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.keys.secrets import create_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from primroseford.ids import Version
    from primroseford.keys.secrets import NewKey
    from primroseford.platform.client import PlatformClient

EDIT_ATTEMPTS = 5


async def edit_object(
    client: PlatformClient,
    kind: str,
    name: str,
    edit: Callable[[dict[str, Any]], dict[str, Any]],
) -> Version:
    """Change an object with a compare-and-set on its version.

    After a conflict the edit is applied again to the new spec, so that the other
    writer's change is kept.

    :param edit: returns the new spec; an unchanged spec is not written
    :returns: version of the object after the edit
    :raises PrimrosefordError: NOT_FOUND, VERSION_CONFLICT or PLATFORM_UNAVAILABLE
    """
    for _ in range(EDIT_ATTEMPTS):
        found = await client.get(kind, name)
        spec = edit(found.spec)
        if spec == found.spec:
            return found.version
        try:
            written = await client.update(
                kind, name, spec, found.version, dict(found.labels)
            )
        except PrimrosefordError as error:
            if error.code is not ResultCode.VERSION_CONFLICT:
                raise
        else:
            return written.version
    raise PrimrosefordError(
        ResultCode.VERSION_CONFLICT,
        f"{kind}/{name} was changed by others {EDIT_ATTEMPTS} times in a row",
        hint="try again",
    )


async def issue_key(client: PlatformClient, organisation: str) -> NewKey:
    """Create a key for an organisation and store its hash.

    :raises PrimrosefordError: NOT_FOUND if there is no such organisation
    """
    await client.get("organisations", organisation)
    key = create_key()
    spec = {"organisation": organisation, "hash": key.hash, "withdrawn": False}
    await client.create("keys", key.key_id, spec)
    return key


async def withdraw_key(client: PlatformClient, key_id: str) -> Version:
    """Withdraw a key; an already withdrawn key is left unchanged.

    :returns: version at which the key is withdrawn
    """
    return await edit_object(
        client, "keys", key_id, lambda spec: spec | {"withdrawn": True}
    )


async def drain_runner(client: PlatformClient, pool: str, runner: str) -> Version:
    """Set the state of a pool's runner to ``leaving``, so that it gets no new work.

    :raises PrimrosefordError: NOT_FOUND if the pool or the runner does not exist
    """

    def edit(spec: dict[str, Any]) -> dict[str, Any]:
        runners = spec.get("runners", [])
        if not any(entry.get("name") == runner for entry in runners):
            raise PrimrosefordError(
                ResultCode.NOT_FOUND,
                f"the pool {pool!r} has no runner {runner!r}",
                hint=f"see 'get pools {pool}'",
            )
        changed = [
            entry | {"state": "leaving"} if entry.get("name") == runner else entry
            for entry in runners
        ]
        return spec | {"runners": changed}

    return await edit_object(client, "pools", pool, edit)
