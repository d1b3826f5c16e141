"""Immutable configuration of routes, pools and organisations."""

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
    """Kind of the requests of a route, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"
    BATCH = "batch"


@dataclass(frozen=True)
class Route:
    """A route, which assigns requests to pools.

    :param host: host name of the requests
    :param path_prefix: start of their paths; ends with a slash
    :param pools: pools with their weights; the weights have no fixed sum
    :param timeout: seconds that a request may take
    :param objective: latency objective in seconds
    :param priority: rank among queued requests; 0 is served first
    :param max_attempts: attempts of one request that may be executed
    :param public: whether requests need no API key
    :param resumable: whether an interrupted stream may be resumed on another runner
    :param due: seconds after its submission until which a batch job is due
    :param abandon_after: seconds after submission at which an item may be abandoned
    :param max_waiting_tokens: tokens of waiting batch items that one organisation may
        have; 0 is no limit
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
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind in (RouteKind.IDEMPOTENT, RouteKind.BATCH)


@dataclass(frozen=True)
class Pool:
    """A pool of runners of one service.

    :param is_engine: whether the runners are model engines
    :param health_path: path of their health check
    :param cold_seconds: time for which a runner is cold after it starts
    :param cold_rate: requests per second that it tolerates then; 0 if the runners have
        no cold period
    """

    name: PoolName
    is_engine: bool
    health_path: str
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True)
class Organisation:
    """An organisation with its fleet-wide rate limit.

    :param rate: requests a second; 0 is no limit
    :param burst: capacity of the token bucket in requests
    :param priority: rank that overrides the priority of the route, if given
    """

    name: OrganisationId
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on requests.

    :param max_body_bytes: largest accepted body
    :param max_header_bytes: largest accepted head of a request
    :param header_timeout: seconds from the first byte of a head to its last; 0 is no
        limit
    :param idle_timeout: seconds for which a connection may make no progress; 0 is no
        limit
    """

    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 16 * 1024
    header_timeout: float = 0.0
    idle_timeout: float = 0.0


@dataclass(frozen=True)
class Tables:
    """One version of the configuration.

    :param version: the operator's version
    :param keys: organisation by API key; ``None`` if requests need no keys
    """

    version: Version
    routes: tuple[Route, ...]
    pools: dict[PoolName, Pool]
    organisations: dict[OrganisationId, Organisation]
    keys: dict[str, OrganisationId] | None
    limits: CallerLimits = field(default_factory=CallerLimits)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host name with the longest matching path prefix.

        :param host: host name without a port
        :param path: path without the query
        """
        best = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.path_prefix):
                continue
            if best is None or len(route.path_prefix) > len(best.path_prefix):
                best = route
        return best

    def authorise(self, route: Route, key: str | None) -> Organisation | None:
        """Return the organisation of a request; ``None`` on public routes.

        :raises PrimrosefordError: KEY_MISSING or KEY_UNKNOWN
        """
        if route.public or self.keys is None:
            return None
        if not key:
            raise PrimrosefordError(
                ResultCode.KEY_MISSING, "the request has no API key"
            )
        name = self.keys.get(key)
        if name is None:
            raise PrimrosefordError(ResultCode.KEY_UNKNOWN, "the API key is unknown")
        return self.organisations[name]


def choose_pool(route: Route, random: Random) -> PoolName:
    """Choose the pool for one request at random by weight.

    :param random: source of randomness
    """
    if len(route.pools) == 1:
        return route.pools[0][0]
    names = [name for name, _ in route.pools]
    return random.choices(names, [weight for _, weight in route.pools])[0]
