"""Finds entries of the gateway's tables without effect or with contradictions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primroseford.errors import ResultCode
from primroseford.gateway.tables import RouteKind

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator
    from collections.abc import Mapping
    from collections.abc import Sequence

    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route
    from primroseford.ids import OrganisationId
    from primroseford.ids import PoolName

TOKENS_PER_REQUEST = 1
"""Tokens of a rate limit that ``Quotas.try_admit`` takes for a request."""
SHARED_BURST = 2
"""Smallest burst with which a full bucket admits a request while any number of other
hosts admit requests: ``Quotas.try_admit`` then needs one token and half the burst."""


@dataclass(frozen=True)
class Finding:
    """One entry that has no effect or contradicts another.

    :param field: attribute of the decoded type; ``keys`` for an organisation's keys
    :param is_error: whether the entry doesn't work at all; otherwise it works, but
        hardly as intended
    """

    code: ResultCode
    field: str
    message: str
    is_error: bool = True


def check_route(route: Route, pools: Collection[PoolName]) -> Iterator[Finding]:
    """Yield the findings about one route.

    :param pools: names of the existing pools
    """
    yield from _check_match(route)
    yield from _check_pools(route, pools)
    if route.timeout < route.objective:
        yield _warning(
            "timeout",
            f"a request ends after {route.timeout:g} s, before its objective of "
            f"{route.objective:g} s",
        )
    if route.max_attempts > 1 and not route.repeatable:
        yield _warning(
            "max_attempts",
            f"{route.max_attempts} attempts have no effect, since requests of this "
            "route are not repeated",
        )
    if route.kind is RouteKind.BATCH and route.due > route.abandon_after:
        yield _warning(
            "due",
            f"items are abandoned after {route.abandon_after:g} s, before they are due "
            f"after {route.due:g} s",
        )


def _check_match(route: Route) -> Iterator[Finding]:
    prefix = route.path_prefix
    if prefix and not prefix.startswith("/"):
        yield _error("path_prefix", "the route never matches: paths begin with a slash")
    elif not prefix.endswith("/"):
        yield _warning(
            "path_prefix",
            "the prefix doesn't end with a slash and matches longer names as well",
        )
    name, _, port = route.host.rpartition(":")
    if name and port.isdigit():
        yield _error("host", "the route never matches: hosts are compared without port")


def _check_pools(route: Route, pools: Collection[PoolName]) -> Iterator[Finding]:
    for pool, _ in route.pools:
        if pool not in pools:
            text = f"there is no service {pool!r}"
            yield Finding(ResultCode.DANGLING_REFERENCE, "pools", text)
    if any(weight > 0 for _, weight in route.pools):
        return
    if len(route.pools) == 1:
        yield _warning("pools", "a weight of 0 has no effect on the only backend")
    else:
        # ``random.choices`` raises ``ValueError`` if the weights sum to 0.
        yield _error("pools", "no backend can be chosen: all weights are 0")


def find_hidden_routes(routes: Sequence[Route]) -> dict[int, int]:
    """Return the positions of routes that never match because of an equal, earlier one.

    :returns: position of the earlier route by position of the hidden one
    """
    first: dict[tuple[str, str], int] = {}
    hidden = {}
    for position, route in enumerate(routes):
        earlier = first.setdefault((route.host, route.path_prefix), position)
        if earlier != position:
            hidden[position] = earlier
    return hidden


def check_organisation(
    organisation: Organisation,
    keys: Sequence[str],
    owners: Mapping[str, OrganisationId],
) -> Iterator[Finding]:
    """Yield the findings about one organisation.

    :param keys: API keys of the organisation
    :param owners: organisation by API key, of the organisations before this one
    """
    if not keys:
        yield _warning("keys", "the organisation has no key and can't send requests")
    for other in sorted({owners[key] for key in keys if key in owners}):
        yield Finding(
            ResultCode.DUPLICATE_NAME, "keys", f"{other!r} has one of the keys as well"
        )
    if organisation.rate <= 0:
        return
    if organisation.burst < TOKENS_PER_REQUEST:
        yield _error(
            "burst",
            f"a burst of {organisation.burst:g} admits no request; at least "
            f"{TOKENS_PER_REQUEST} is needed with a rate",
        )
    elif organisation.burst < SHARED_BURST:
        yield _warning(
            "burst",
            f"a burst of {organisation.burst:g} is below {SHARED_BURST}: a host may "
            "reject requests within the rate while other hosts admit some",
        )


def _error(field: str, message: str) -> Finding:
    return Finding(ResultCode.INVALID_VALUE, field, message)


def _warning(field: str, message: str) -> Finding:
    return Finding(ResultCode.INVALID_VALUE, field, message, is_error=False)
