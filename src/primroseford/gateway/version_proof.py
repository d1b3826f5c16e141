"""Shows that a pool has had one software version, for streams that no host knows."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.gateway.version_history import choose_witness

if TYPE_CHECKING:
    from collections.abc import Mapping

    from primroseford.gateway.state import Gateway
    from primroseford.gateway.version_history import VersionEvidence
    from primroseford.ids import HostId
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion
    from primroseford.ids import Version

REFRESH_SECONDS = 0.1
"""Time for which a caller waits for the platform's list of runners. The platform
responds within some ms."""

log = structlog.get_logger()


class Unproven(Enum):
    """Why a pool cannot be shown to have had one version only."""

    SEVERAL_POOLS = "several_pools"
    SEVERAL_VERSIONS = "several_versions"
    NO_WITNESS = "no_witness"
    LIST_NOT_READ = "list_not_read"
    CHANGES_DISCARDED = "changes_discarded"


@dataclass(frozen=True)
class Proof:
    """The only version that a pool has had lately.

    :param witness: host that has followed the runner list for long enough
    """

    version: SoftwareVersion
    witness: HostId


async def find_only_version(
    gateway: Gateway, pool: PoolName, others: Mapping[HostId, VersionEvidence]
) -> Proof | Unproven:
    """Return the version at which all streams of a pool began that can still go on.

    :param others: what other hosts have answered
    """
    history = gateway.allocator.versions
    told = frozenset[str]().union(*(known.versions for known in others.values()))
    if len(told | history.seen(pool)) > 1:
        return Unproven.SEVERAL_VERSIONS
    if not await refresh_runner_list(gateway):
        return Unproven.LIST_NOT_READ
    versions = told | history.seen(pool)
    if len(versions) > 1:
        return Unproven.SEVERAL_VERSIONS
    own = gateway.members.own
    evidence = {own: history.evidence(pool), **others}
    witness = choose_witness(own, evidence)
    if witness is None or not versions:
        return Unproven.NO_WITNESS
    seen_to = evidence[witness].followed_to
    if witness != own and seen_to < history.followed_from:
        missed = await _read_versions(gateway, pool, seen_to)
        if missed is None:
            return Unproven.CHANGES_DISCARDED
        if missed - versions:
            return Unproven.SEVERAL_VERSIONS
    history.vouch(pool)
    (version,) = versions
    return Proof(version, witness)


async def refresh_runner_list(gateway: Gateway) -> bool:
    """Return whether the list of runners now has all earlier changes."""
    try:
        async with asyncio.timeout(REFRESH_SECONDS):
            await gateway.refresh_runner_list()
    except TimeoutError:
        log.warning("runner list not refreshed", reason="no response in time")
        return False
    except PrimrosefordError as error:
        log.warning("runner list not refreshed", reason=error.message)
        return False
    return True


async def _read_versions(
    gateway: Gateway, pool: PoolName, since: Version
) -> set[SoftwareVersion] | None:
    """Return the versions of the entries that were written after a revision.

    :returns: ``None`` if the platform does not return all changes
    """
    try:
        async with asyncio.timeout(REFRESH_SECONDS):
            versions = await gateway.read_runner_versions(since)
    except TimeoutError:
        log.warning("changes of the runner list not read", reason="no response in time")
        return None
    except PrimrosefordError as error:
        log.warning("changes of the runner list not read", reason=error.message)
        return None
    return None if versions is None else versions.get(pool, set())
