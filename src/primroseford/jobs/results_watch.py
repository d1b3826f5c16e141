"""Watches the result segments of all jobs on one host, on behalf of the fleet.

Before a host reports that there is no result at a position, it must know that no host
has committed one. A read of the store for each such request would cost a call per
second for each job. Instead one host of the fleet follows all new segments with a
single watch, and the others query that host. The cost stays low with many readers of
many jobs on all hosts of a large fleet.
"""

from __future__ import annotations

import asyncio
import json
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web
from mode import Service
from yarl import URL

from primroseford.bounded_http import read_limited
from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import JobId
from primroseford.jobs.store import SEGMENTS
from primroseford.jobs.store import split_segment_name
from primroseford.platform.objects import EventType

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.clock import Clock
    from primroseford.ids import Version
    from primroseford.platform.client import PlatformClient
    from primroseford.platform.objects import WatchEvent

PATH = "/results-listed/"
WATCH_ROLE = "results"
"""Rendezvous hashing key that selects the host that runs the watch."""
PURPOSE = "listed results"
WATCH_WAIT_SECONDS = 0.4
"""Wait time of one watch call, and minimum interval between two: less than half of the
settle time, after which a result that one host returned must be returned by all."""
IDLE_SECONDS = 10.0
"""Time after the last request at which the watch stops: several times the interval
between two reads of a caller."""
RETRY_SECONDS = 0.2
"""Delay after a failed call."""
MAX_JOBS = 10_000
"""Maximum number of jobs whose segments are counted; beyond it the watch restarts."""
AFTER_ALL_NAMES = "~"
"""Sorts after the names of all segments, so that a list call after it returns an empty
page with the store's version."""
MAX_RESPONSE_BYTES = 4096
"""Longest status of a job's segments: three numbers."""
MAX_NAME_LENGTH = 100
"""Maximum length of an object's name in the log."""
REQUEST_TIMEOUT_SECONDS = 0.3
"""Timeout for a response of the host that runs the watch, which takes a few ms."""

log = structlog.get_logger()


@dataclass(frozen=True)
class SegmentStatus:
    """Status of a job's segments according to one host's watch.

    :param watched_since: local time in seconds since which every new segment is known
    :param confirmed_at: local time in seconds up to which every new segment is known
    :param segments: number of the job's segments; 0 if none was created in that time
    """

    watched_since: float
    confirmed_at: float
    segments: int


class ResultsWatch(Service):
    """Watches new segments while their status is requested.

    :param client: client of the platform's service
    :param clock: local time
    :ivar requested_at: local time of the last request in seconds
    :ivar requested: set by a request, to wake up an idle watch
    :ivar version: store version from which the watch continues; None without a watch
    :ivar segments: number of segments of each job that got one since the watch started
    """

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        super().__init__()
        self.client = client
        self.clock = clock
        self.requested_at = -math.inf
        self.requested = asyncio.Event()
        self.watched_since = math.inf
        self.confirmed_at = -math.inf
        self.version: Version | None = None
        self.segments: dict[JobId, int] = {}

    def status(self, job: JobId) -> SegmentStatus | None:
        """Return the status of a job's segments; None before the watch has started."""
        self.requested_at = self.clock()
        self.requested.set()
        if self.version is None:
            return None
        return SegmentStatus(
            self.watched_since, self.confirmed_at, self.segments.get(job, 0)
        )

    @property
    def is_requested(self) -> bool:
        """Whether a status was requested recently."""
        return self.clock() - self.requested_at < IDLE_SECONDS

    @Service.task
    async def run_watch(self) -> None:
        """Run the watch while statuses are requested."""
        while not self.should_stop:
            if not self.is_requested:
                self.version = None
                self.requested.clear()
                await self.requested.wait()
            try:
                if self.version is None:
                    await self.start_watch()
                await self.watch()
            except PrimrosefordError as error:
                if error.code is ResultCode.WATCH_EXPIRED:
                    self.version = None
                log.info("result segments not watched", code=error.code.name)
                await self.sleep(RETRY_SECONDS)

    async def start_watch(self) -> None:
        """Read the store's version, from which the watch starts."""
        requested_at = self.clock()
        page = await self.client.list(SEGMENTS, purpose=PURPOSE, after=AFTER_ALL_NAMES)
        self.segments.clear()
        self.watched_since, self.confirmed_at = self.clock(), requested_at
        self.version = page.version
        log.info("result segments are watched", version=self.version)

    async def watch(self) -> None:
        """Count new segments until their status is no longer requested.

        :raises PrimrosefordError: as the client's watch does
        """
        events = self.client.watch(
            SEGMENTS,
            self.version,
            purpose=PURPOSE,
            wait_seconds=lambda: WATCH_WAIT_SECONDS,
        )
        call_started_at = self.clock()
        has_events = False
        async for event in events:
            if event.type is not EventType.BOOKMARK:
                has_events = True
                self.count_segment(event)
                continue
            self.version = event.version
            now, wait_ended_at = self.clock(), call_started_at + WATCH_WAIT_SECONDS
            # The store responds without events only after the whole wait time.
            self.confirmed_at = (
                call_started_at if has_events or now < wait_ended_at else wait_ended_at
            )
            if (
                not self.is_requested
                or self.should_stop
                or len(self.segments) > MAX_JOBS
            ):
                self.version = None
                await events.aclose()
                return
            await asyncio.sleep(max(0.0, wait_ended_at - now))
            call_started_at, has_events = self.clock(), False

    def count_segment(self, event: WatchEvent) -> None:
        """Count the segment of an event; an object of another name is ignored."""
        name = event.object.name
        try:
            job, number = split_segment_name(name)
        except ValueError:
            log.info("segment name not readable", name=name[:MAX_NAME_LENGTH])
            return
        if event.type is EventType.DELETED:
            self.segments.pop(job, None)
        else:
            self.segments[job] = max(self.segments.get(job, 0), number + 1)


def create_segment_status_handler(watch: ResultsWatch):
    """Return the handler for status requests of other hosts."""

    async def handle(request: BaseRequest) -> web.Response:
        status = watch.status(JobId(request.raw_path.removeprefix(PATH)))
        if status is None:
            return web.Response(status=503)
        now = watch.clock()
        body = {
            "began": now - status.watched_since,
            "confirmed": now - status.confirmed_at,
            "segments": status.segments,
        }
        return web.Response(body=json.dumps(body).encode())

    return handle


def create_segment_status_reader(
    session: aiohttp.ClientSession,
    watch: ResultsWatch,
    watch_host_url: Callable[[], str | None],
):
    """Return a function that reads the status of a job's segments.

    :param session: HTTP session for calls between hosts
    :param watch: this host's own watch
    :param watch_host_url: returns the base URL of the host that runs the watch; None if
        it is this one
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)

    async def read(job: JobId) -> SegmentStatus | None:
        base_url = watch_host_url()
        if base_url is None:
            return watch.status(job)
        url = URL(f"{base_url}{PATH}{job}", encoded=True)
        requested_at = watch.clock()
        try:
            async with session.get(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                reported = json.loads(await read_limited(response, MAX_RESPONSE_BYTES))
                # The ages were computed between request and response: each time is
                # converted with the clock reading that gives the weaker claim.
                return SegmentStatus(
                    watch.clock() - float(reported["began"]),
                    requested_at - float(reported["confirmed"]),
                    int(reported["segments"]),
                )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
        ) as error:
            log.info("segment status not read", job=job, reason=type(error).__name__)
            return None

    return read
