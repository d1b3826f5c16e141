"""State of an online request while a host serves it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primroseford.gateway.exchange import MAX_EVENT_BYTES
from primroseford.gateway.stream_origins import StreamOrigin
from primroseford.online.events import EventSplitter

if TYPE_CHECKING:
    from aiohttp import web
    from aiohttp.web_request import BaseRequest

    from primroseford.errors import PrimrosefordError
    from primroseford.gateway.crash_subjects import CrashSubjects
    from primroseford.gateway.exchange import InactivityTimeout
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.runners import RunnerKey
    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route
    from primroseford.ids import PoolName
    from primroseford.ids import SoftwareVersion


@dataclass(eq=False)
class RequestContext:
    """State of an online request while it is served.

    :param subjects: what it has in common with other requests that crash runners
    :param started: local time in seconds when the request was received
    :param deadline: local time in seconds
    :param runs: attempts that may have run
    :param refusals: attempts that certainly did not run
    :param tried_runners: runners that failed or refused an attempt
    :param runners: names of the runners of all attempts
    :param versions: software versions of these runners
    :param origin: where the first event that went out came from; ``None`` before it
    :param placement_seconds: time from arrival until the first slot was acquired
    :param first_byte_seconds: time from arrival until the response started
    :param response: response to the caller; ``None`` until its head has been sent
    :param inactivity: timeout of the current attempt
    :param splitter: splits a stream into events, for resuming it
    """

    request: BaseRequest
    incoming: IncomingRequest
    subjects: CrashSubjects
    route: Route
    organisation: Organisation | None
    pool: PoolName
    started: float
    deadline: float
    runs: int = 0
    refusals: int = 0
    tried_runners: set[RunnerKey] = field(default_factory=set)
    runners: list[str] = field(default_factory=list)
    versions: list[SoftwareVersion] = field(default_factory=list)
    origin: StreamOrigin | None = None
    placement_seconds: float = 0.0
    first_byte_seconds: float = 0.0
    response: web.StreamResponse | None = None
    inactivity: InactivityTimeout | None = None
    splitter: EventSplitter = field(
        default_factory=lambda: EventSplitter(MAX_EVENT_BYTES)
    )

    @property
    def current_origin(self) -> StreamOrigin:
        """Origin of the response, or the one that the current attempt gives it."""
        if self.origin is not None:
            return self.origin
        return StreamOrigin(self.pool, self.versions[-1], len(self.versions))

    def limit_deadline(self, deadline: float) -> None:
        """Set an earlier deadline, which the current attempt keeps, too.

        :param deadline: local time in seconds
        """
        earlier = self.deadline - deadline
        if earlier <= 0:
            return
        self.deadline = deadline
        if self.inactivity is not None:
            self.inactivity.shorten(earlier)


class ResponseAborted(Exception):
    """A response that has been started cannot be completed."""

    def __init__(self, error: PrimrosefordError) -> None:
        super().__init__(str(error))
        self.error = error
