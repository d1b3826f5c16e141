"""An online request on its way through a host."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.exchange import MAX_EVENT_BYTES
from primroseford.online.events import EventSplitter

if TYPE_CHECKING:
    from aiohttp import web
    from aiohttp.web_request import BaseRequest

    from primroseford.errors import PrimrosefordError
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route
    from primroseford.ids import PoolName


@dataclass(eq=False)
class RequestContext:
    """An online request on its way.

    :param deadline: local time in seconds
    :param runs: attempts that a runner may have worked on
    :param refusals: attempts that surely did not run
    :param response: answer to the caller, once its head is sent
    :param splitter: events of a resumable stream
    """

    request: BaseRequest
    incoming: IncomingRequest
    route: Route
    organisation: Organisation | None
    pool: PoolName
    started: float
    deadline: float
    runs: int = 0
    refusals: int = 0
    tried: set[RunnerKey] = field(default_factory=set)
    runners: list[str] = field(default_factory=list)
    placed_after: float = 0.0
    first_after: float = 0.0
    response: web.StreamResponse | None = None
    splitter: EventSplitter = field(
        default_factory=lambda: EventSplitter(MAX_EVENT_BYTES)
    )


class CutShort(Exception):
    """An answer that has begun cannot be completed."""

    def __init__(self, error: PrimrosefordError) -> None:
        super().__init__(str(error))
        self.error = error
