"""Routes, pools and organisations that are in force, as immutable values."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from random import Random

    from primroseford.ids import OrganisationId
    from primroseford.ids import PoolName
    from primroseford.ids import RouteName
    from primroseford.ids import Version


class RouteKind(Enum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True)
class Route:
    """A route: whose requests go to which pools.

    :param host: host name of the requests
    :param path_prefix: start of their paths; ends with a slash
    :param pools: pools with their weights; the weights have no fixed sum
    :param timeout: seconds that a request may take
    :param objective: seconds in which an answer is on time
    :param priority: rank among waiting requests; 0 goes first
    :param max_attempts: runners that one request may run on
    :param public: whether requests need no key
    :param resumable: whether a cut stream may go on at another runner
    :param due: seconds after its submission in which a batch job is due
    :param abandon_after: seconds after its submission at which an item may be given up
    :param max_waiting_tokens: tokens of batch items that one organisation may have
        waiting; 0 is no limit
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[tuple[PoolName, float], ...]
    timeout: float
    objective: float
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    due: float = 0.0
    abandon_after: float = 0.0
    max_waiting_tokens: int = 0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


@dataclass(frozen=True)
class Pool:
    """A pool of runners of one service.

    :param is_engine: whether the runners are model engines
    :param health_path: path of their health check
    """

    name: PoolName
    is_engine: bool
    health_path: str


@dataclass(frozen=True)
class Organisation:
    """An organisation with its rate over the whole fleet.

    :param rate: requests a second; 0 is no limit
    :param burst: requests above the rate
    :param priority: rank that goes before the route's, if given
    """

    name: OrganisationId
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller sends.

    :param max_body_bytes: largest body
    """

    max_body_bytes: int = 4 * 1024 * 1024


@dataclass(frozen=True)
class Tables:
    """One version of the configuration.

    :param version: the operator's version
    :param keys: organisation by key; absent if requests need no keys
    """

    version: Version
    routes: tuple[Route, ...]
    pools: dict[PoolName, Pool]
    organisations: dict[OrganisationId, Organisation]
    keys: dict[str, OrganisationId] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix.

        :param host: host name without a port
        :param path: path without the query
        """
        found = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if found is None or len(route.path_prefix) > len(found.path_prefix):
                found = route
        return found

    def authorise(self, route: Route, key: str | None) -> Organisation | None:
        """Return the organisation that a request runs for; none on public routes.

        :raises PrimrosefordError: KEY_MISSING or KEY_UNKNOWN
        """
        if route.public or self.keys is None:
            return None
        if not key:
            raise PrimrosefordError(ResultCode.KEY_MISSING, "the request has no key")
        name = self.keys.get(key)
        if name is None:
            raise PrimrosefordError(ResultCode.KEY_UNKNOWN, "the key is not known")
        return self.organisations[name]


def choose_pool(route: Route, random: Random) -> PoolName:
    """Return the pool for one request, by weight.

    :param random: source of randomness
    """
    if len(route.pools) == 1:
        return route.pools[0][0]
    names = [name for name, _ in route.pools]
    return random.choices(names, [weight for _, weight in route.pools])[0]
