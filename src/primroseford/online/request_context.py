"""State of an online request while a host serves it."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.configuration.tables import PoolKind
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.online.exchange import RunnerRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import web
    from multidict import CIMultiDict

    from primroseford.configuration.tables import Pool
    from primroseford.configuration.tables import Route
    from primroseford.configuration.tables import Tables
    from primroseford.online.open_requests import OpenRequest
    from primroseford.routing.runner_selection import RunnerView

ENGINE_ID_HEADER = "X-Request-Id"


@dataclass(eq=False)
class RequestContext:
    """An online request and the data to send it to a runner.

    :param pool: the pool in force when the last attempt was prepared
    :param deadline: local time in seconds
    :param prefix: start of the prompt, if any
    :param tried: runners that failed the request or already have it
    :param before_relaying: called before the first byte of a response that is streamed
        to the caller
    """

    request: web.Request
    entry: OpenRequest
    route: Route
    pool: Pool
    body: bytes
    headers: CIMultiDict[str]
    path: str
    organisation: str
    prefix: str | None
    deadline: float
    tried: list[RunnerView] = field(default_factory=list)
    before_relaying: Callable[[], None] | None = None

    @property
    def is_engine(self) -> bool:
        """Whether the pool's runners speak the engine protocol."""
        return self.pool.runner_kind is PoolKind.ENGINE

    def update_pool(self, tables: Tables) -> None:
        """Use the pool in force; it may have been edited while the request waited.

        :param tables: tables in force now
        :raises PrimrosefordError: DANGLING_REFERENCE
        """
        route = tables.routes.get(self.route.name, self.route)
        self.pool = pool_of(tables, route)

    def create_runner_request(self, view: RunnerView, now: float) -> RunnerRequest:
        """Return the request of a new attempt on a runner."""
        return RunnerRequest(
            self.request.method,
            f"http://{view.runner.address}{self.path}",
            self.headers,
            self.body,
            uuid.uuid4().hex,
            max(0.001, self.deadline - now),
            requires_echo=self.is_engine,
            not_run_statuses=self.pool.not_run_statuses,
        )


def pool_of(tables: Tables, route: Route) -> Pool:
    """Return the pool of a route.

    :raises PrimrosefordError: DANGLING_REFERENCE if the pool does not exist
    """
    pool = tables.pools.get(route.pool)
    if pool is None:
        raise PrimrosefordError(
            ResultCode.DANGLING_REFERENCE,
            f"route {route.name!r} names pool {route.pool!r}, which does not exist",
            field=f"routes/{route.name}.pool",
        )
    return pool
