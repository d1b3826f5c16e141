"""The two tables, organisations and keys as checked, immutable values."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import model_validator

from primroseford.ids import KeyId
from primroseford.ids import OrganisationId
from primroseford.ids import PoolName
from primroseford.ids import RouteName
from primroseford.ids import Version

if TYPE_CHECKING:
    from collections.abc import Mapping

NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,62}[a-z0-9])?$"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
HASH_PATTERN = r"^[0-9a-f]{64}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Record(BaseModel):
    """Base of all table entries: immutable, without unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PoolKind(Enum):
    """What stands behind a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class RunnerState(Enum):
    """Whether a runner takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class RouteMatch(Record):
    """Which requests a route takes; an empty field matches all.

    :param host: host name in the request
    :param path_prefix: start of the path
    :param models: models named in the body
    """

    host: Annotated[str, Field(max_length=255)] = ""
    path_prefix: Annotated[str, Field(pattern=r"^/", max_length=1024)] = "/v1/"
    models: Annotated[tuple[Name, ...], Field(max_length=256)] = ()


class Route(Record):
    """Whose requests go to which pool.

    :param pool: name of the pool
    :param organisations: organisations that may use the route
    :param open: any caller may use the route, without a key
    :param repeatable: requests may run more than once
    :param timeout_seconds: longest time until the answer is complete
    :param priority: the matching route with the highest number is used
    :param hedge_after_seconds: a repeatable request without an answer after this time
        is sent to a second runner too; none by default
    """

    name: Name
    match: RouteMatch = RouteMatch()
    pool: Name
    organisations: Annotated[tuple[Name, ...], Field(max_length=10_000)] = ()
    open: bool = False
    repeatable: bool = False
    timeout_seconds: Annotated[float, Field(gt=0, le=86_400)] = 60.0
    priority: Annotated[int, Field(ge=-1000, le=1000)] = 0
    hedge_after_seconds: Annotated[float, Field(gt=0, le=86_400)] | None = None

    @model_validator(mode="after")
    def check_hedging(self) -> Route:
        """Refuse hedging of requests that may not run twice."""
        if self.hedge_after_seconds is not None and not self.repeatable:
            raise ValueError("only a repeatable route can hedge")
        return self

    @model_validator(mode="after")
    def check_audience(self) -> Route:
        """Refuse a route that is open and also lists organisations."""
        if self.open and self.organisations:
            raise ValueError("an open route must not list organisations")
        return self


class Runner(Record):
    """One runner on a backend server.

    :param name: name of the runner, unique over all pools
    :param address: IP number and port
    :param failure_domain: failure domain of the backend server
    :param state: a leaving runner gets no new work
    """

    name: Name
    address: Annotated[str, Field(pattern=ADDRESS_PATTERN)]
    failure_domain: Name
    state: RunnerState = RunnerState.READY


class BatchShare(Record):
    """How much of a runner batch work may use.

    :param headroom: places kept free for an online burst
    :param share_nonrepeatable: largest part of the places for items that may not
        be repeated, since these cannot be preempted
    """

    headroom: Annotated[int, Field(ge=0, le=10_000)] = 2
    share_nonrepeatable: Annotated[float, Field(ge=0, le=1)] = 0.1


class Pool(Record):
    """Runners that stand ready for the same work.

    :param models: models that the runners serve
    :param runner_kind: whether the runners are model engines or plain services
    :param max_in_flight: requests in flight on one runner
    :param queue_limit: requests that wait for the pool on one host
    :param checks_fencing: the engines refuse orders with an old fencing number
    :param not_run_statuses: HTTP statuses by which a runner says that the request
        did not run; none unless declared, since only the operator knows
    """

    name: Name
    runner_kind: PoolKind = PoolKind.ENGINE
    models: Annotated[tuple[Name, ...], Field(max_length=256)] = ()
    runners: Annotated[tuple[Runner, ...], Field(max_length=4000)] = ()
    max_in_flight: Annotated[int, Field(gt=0, le=10_000)] = 16
    queue_limit: Annotated[int, Field(ge=0, le=100_000)] = 256
    batch: BatchShare = BatchShare()
    checks_fencing: bool = False
    not_run_statuses: tuple[Literal[408, 425, 429, 502, 503, 504], ...] = ()


class Organisation(Record):
    """A customer with its share of the fleet.

    :param rate: requests a second over all hosts
    :param burst: requests that may come at once over all hosts
    :param batch_rate: separate rate of batch items; none draws on ``rate``
    :param batch_burst: burst of the separate batch limit
    :param weight: share of batch capacity relative to other organisations
    """

    name: Name
    rate: Annotated[float, Field(gt=0, le=1_000_000)]
    burst: Annotated[float, Field(ge=1, le=1_000_000)]
    batch_rate: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    batch_burst: Annotated[float, Field(ge=1, le=1_000_000)] | None = None
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class KeyRecord(Record):
    """A caller's key, stored as its hash only.

    :param name: public id of the key
    :param hash: SHA-256 of the secret in hexadecimal digits
    """

    name: Name
    organisation: Name
    hash: Annotated[str, Field(pattern=HASH_PATTERN)]
    withdrawn: bool = False


RECORD_TYPES: dict[str, type[Record]] = {
    "routes": Route,
    "pools": Pool,
    "organisations": Organisation,
    "keys": KeyRecord,
}
"""Kinds of the platform's service that make up the configuration."""


class Tables:
    """All tables at one version of the platform's service.

    :param version: every accepted change up to this version is included
    """

    def __init__(
        self,
        version: Version = Version(0),
        routes: Mapping[RouteName, Route] = MappingProxyType({}),
        pools: Mapping[PoolName, Pool] = MappingProxyType({}),
        organisations: Mapping[OrganisationId, Organisation] = MappingProxyType({}),
        keys: Mapping[KeyId, KeyRecord] = MappingProxyType({}),
    ) -> None:
        self.version = version
        self.routes = routes
        self.pools = pools
        self.organisations = organisations
        self.keys = keys
