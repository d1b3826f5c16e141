"""Follows which results are listed, so that one host can tell all others.

A host that has nothing at a position must know that nobody has listed it. Asking the
store for each such read would cost a call a second for each job. Instead one host of
the fleet follows all new segments by one watch, and the others ask that host.

Answers many readers of many jobs through all hosts of a large fleet.
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
"""Name by which the hosts agree on the one that follows."""
PURPOSE = "listed results"
WATCH_SECONDS = 0.4
"""Wait of one watch call, and shortest time between two of them: less than half of the
time in which results that were read must be seen everywhere."""
IDLE_SECONDS = 10.0
"""Time after the last question after which nothing is followed any more: several times
the pause between two reads of a caller."""
RETRY_SECONDS = 0.2
"""Pause after a call that failed."""
MAX_JOBS = 10_000
"""Jobs of which segments are counted; beyond it the watch starts anew."""
AFTER_ALL_NAMES = "~"
"""Sorts after the names of all segments, so that the page behind it is empty and tells
the store's version only."""
ASK_SECONDS = 0.3
"""Time for an answer of the host that follows, which takes a few ms."""

log = structlog.get_logger()


@dataclass(frozen=True)
class Listed:
    """What is known of a job's segments from one host's watch.

    :param began_at: local time in seconds since which every new segment was seen
    :param confirmed_at: local time up to which every new segment was seen
    :param segments: number of the job's segments, if any was created in that time
    """

    began_at: float
    confirmed_at: float
    segments: int


class ResultsWatch(Service):
    """Follows the segments that are created, while somebody asks for them.

    :param client: client of the platform's service
    :param clock: local time
    :ivar asked: set once somebody asks
    :ivar segments: number of segments of each job that got one since the beginning
    """

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        super().__init__()
        self.client = client
        self.clock = clock
        self.asked_at = -math.inf
        self.asked = asyncio.Event()
        self.began_at = math.inf
        self.confirmed_at = -math.inf
        self.version: Version | None = None
        self.segments: dict[JobId, int] = {}

    def listed(self, job: JobId) -> Listed | None:
        """Return what is known of a job; nothing before the watch has begun."""
        self.asked_at = self.clock()
        self.asked.set()
        if self.version is None:
            return None
        return Listed(self.began_at, self.confirmed_at, self.segments.get(job, 0))

    @property
    def wanted(self) -> bool:
        """Whether somebody has asked lately."""
        return self.clock() - self.asked_at < IDLE_SECONDS

    @Service.task
    async def follow(self) -> None:
        """Follow while somebody asks."""
        while not self.should_stop:
            if not self.wanted:
                self.version = None
                self.asked.clear()
                await self.asked.wait()
            try:
                if self.version is None:
                    await self.begin()
                await self.watch()
            except PrimrosefordError as error:
                if error.code is ResultCode.WATCH_EXPIRED:
                    self.version = None
                log.info("listed results not followed", code=error.code.name)
                await self.sleep(RETRY_SECONDS)

    async def begin(self) -> None:
        """Take the store's version; what is listed from now on will be seen."""
        asked_at = self.clock()
        listed = await self.client.list(
            SEGMENTS, purpose=PURPOSE, after=AFTER_ALL_NAMES
        )
        self.segments.clear()
        self.began_at, self.confirmed_at = self.clock(), asked_at
        self.version = listed.version
        log.info("listed results are followed", version=self.version)

    async def watch(self) -> None:
        """Take new segments until nobody asks any more.

        :raises PrimrosefordError: as the client's watch does
        """
        events = self.client.watch(
            SEGMENTS, self.version, purpose=PURPOSE, wait_seconds=lambda: WATCH_SECONDS
        )
        started = self.clock()
        changed = False
        async for event in events:
            if event.type is not EventType.BOOKMARK:
                changed = True
                self.take(event)
                continue
            self.version = event.version
            now, waited = self.clock(), started + WATCH_SECONDS
            # An answer without events is given when the whole wait is over.
            self.confirmed_at = started if changed or now < waited else waited
            if not self.wanted or self.should_stop or len(self.segments) > MAX_JOBS:
                self.version = None
                await events.aclose()
                return
            await asyncio.sleep(max(0.0, waited - now))
            started, changed = self.clock(), False

    def take(self, event: WatchEvent) -> None:
        """Count the segment of an event."""
        job, number = split_segment_name(event.object.name)
        if event.type is EventType.DELETED:
            self.segments.pop(job, None)
        else:
            self.segments[job] = max(self.segments.get(job, 0), number + 1)


def create_segment_status_handler(watch: ResultsWatch):
    """Return the handler of other hosts' questions."""

    async def handle(request: BaseRequest) -> web.Response:
        listed = watch.listed(JobId(request.raw_path.removeprefix(PATH)))
        if listed is None:
            return web.Response(status=503)
        now = watch.clock()
        body = {
            "began": now - listed.began_at,
            "confirmed": now - listed.confirmed_at,
            "segments": listed.segments,
        }
        return web.Response(body=json.dumps(body).encode())

    return handle


def create_segment_status_reader(
    session: aiohttp.ClientSession,
    watch: ResultsWatch,
    follower: Callable[[], str | None],
):
    """Return a function that tells what is known of a job's segments.

    :param session: HTTP session for calls between hosts
    :param watch: this host's own watch
    :param follower: returns the base URL of the host that follows; nothing if it is
        this one
    """
    timeout = aiohttp.ClientTimeout(total=ASK_SECONDS)

    async def read(job: JobId) -> Listed | None:
        base_url = follower()
        if base_url is None:
            return watch.listed(job)
        url = URL(f"{base_url}{PATH}{job}", encoded=True)
        asked_at = watch.clock()
        try:
            async with session.get(url, timeout=timeout) as answer:
                if answer.status != 200:
                    return None
                found = json.loads(await answer.read())
                # Each time is taken as the less certain end of what it may have been.
                return Listed(
                    watch.clock() - float(found["began"]),
                    asked_at - float(found["confirmed"]),
                    int(found["segments"]),
                )
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
        ) as error:
            log.info("listed results not told", job=job, reason=type(error).__name__)
            return None

    return read
