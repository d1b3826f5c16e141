"""Routes, pools, organisations and keys as validated, immutable records."""

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
    """Base of all table entries: immutable; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PoolKind(Enum):
    """Kind of the runners of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class RunnerState(Enum):
    """Whether a runner gets new requests and items."""

    READY = "ready"
    LEAVING = "leaving"


class RouteMatch(Record):
    """Conditions of a route on requests; an empty field matches all requests.

    :param host: host name in the request
    :param path_prefix: prefix of the path
    :param models: models named in the request body
    """

    host: Annotated[str, Field(max_length=255)] = ""
    path_prefix: Annotated[str, Field(pattern=r"^/", max_length=1024)] = "/v1/"
    models: Annotated[tuple[Name, ...], Field(max_length=256)] = ()


class Route(Record):
    """Rule that assigns matching requests to a pool.

    :param pool: name of the pool
    :param organisations: organisations that may use the route
    :param open: whether any caller may use the route without a key
    :param repeatable: whether requests may run more than once
    :param timeout_seconds: longest time until the response is complete
    :param priority: of the matching routes, the one with the highest priority is used
    :param hedge_after_seconds: time after which a repeatable request without a response
        is also sent to a second runner (hedging); none by default
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
    :param state: a leaving runner gets no new requests or items
    """

    name: Name
    address: Annotated[str, Field(pattern=ADDRESS_PATTERN)]
    failure_domain: Name
    state: RunnerState = RunnerState.READY


class BatchShare(Record):
    """Limits on the slots of a runner that batch items may use.

    :param headroom: slots kept free for a burst of online requests
    :param share_nonrepeatable: largest share of the slots for non-repeatable items,
        which cannot be preempted
    """

    headroom: Annotated[int, Field(ge=0, le=10_000)] = 2
    share_nonrepeatable: Annotated[float, Field(ge=0, le=1)] = 0.1


class Pool(Record):
    """Runners that serve the same requests.

    :param models: models that the runners serve
    :param runner_kind: whether the runners are model engines or plain services
    :param max_in_flight: largest number of requests in flight on one runner
    :param queue_limit: largest number of requests queued for the pool on one host
    :param checks_fencing: whether the engines refuse orders with an old fencing number
    :param not_run_statuses: HTTP statuses that guarantee that the runner did not run
        the request; none by default, because only the operator knows them
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
    """A customer with its rate limits and its share of the capacity.

    :param rate: requests per second over all hosts
    :param burst: requests that may arrive at once over all hosts
    :param batch_rate: separate rate of batch items; without it they count towards
        ``rate``
    :param batch_burst: burst of the separate limit of batch items
    :param weight: share of batch capacity relative to other organisations
    """

    name: Name
    rate: Annotated[float, Field(gt=0, le=1_000_000)]
    burst: Annotated[float, Field(ge=1, le=1_000_000)]
    batch_rate: Annotated[float, Field(gt=0, le=1_000_000)] | None = None
    batch_burst: Annotated[float, Field(ge=1, le=1_000_000)] | None = None
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class KeyRecord(Record):
    """A caller's key, of which only the hash is stored.

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
