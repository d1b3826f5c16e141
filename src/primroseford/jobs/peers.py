"""Reads jobs from the hosts that run them, to save calls to the platform's store.

A running host returns only results that are already in the store, so they are a prefix
of what the store would return. Each response includes the age of the last check that
the host had all committed results.
"""

from __future__ import annotations

import json
import math
import re
from typing import TYPE_CHECKING

import aiohttp
import structlog
from aiohttp import web
from yarl import URL

from primroseford.bounded_http import read_limited
from primroseford.ids import JobId
from primroseford.jobs.state import ItemId
from primroseford.jobs.state import JobView
from primroseford.jobs.state import Progress
from primroseford.jobs.state import decode_job
from primroseford.jobs.state import decode_progress
from primroseford.jobs.state import decode_result
from primroseford.jobs.state import encode_item
from primroseford.jobs.state import encode_job
from primroseford.jobs.state import encode_progress
from primroseford.jobs.state import encode_progress_versions
from primroseford.jobs.state import encode_result

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.clock import Clock
    from primroseford.jobs.views import JobViews

PATH = "/jobs/"
SEGMENT_NUMBER = re.compile(r"[0-9]{1,9}")
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
"""Longest response of a host: a job of the largest body that hosts accept, and the
texts of its items."""
TIMEOUT_SECONDS = 0.5
"""Timeout for a response, which takes a few ms; then the store is read instead."""

log = structlog.get_logger()


class JobPeers:
    """Client for the jobs that other hosts run.

    :param session: HTTP session for calls between hosts
    :param running_urls: base URLs of the live hosts that run a job
    :param leaving_urls: base URLs of the hosts that shut down and still report a job
    :param clock: local time
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        running_urls: Callable[[JobId], list[str]],
        leaving_urls: Callable[[JobId], list[str]],
        clock: Clock,
    ) -> None:
        self.session = session
        self.running_urls = running_urls
        self.leaving_urls = leaving_urls
        self.clock = clock

    async def load(self, job: JobId) -> JobView | None:
        """Return a job from a host that runs it; None if no such host responds."""
        requested_at = self.clock()
        content = await self._request(self.running_urls(job), job, "after=0")
        if content is None:
            return None
        view = JobView(decode_job(job, content["job"], content["items"]))
        _append(view, 0, content, requested_at)
        return view

    async def refresh(self, view: JobView, confirm: bool = False) -> None:
        """Add the segments of a running host, if one responds.

        :param confirm: whether that host must check for results committed elsewhere
        """
        number, requested_at = view.segments, self.clock()
        query = f"after={number}" + ("&sure" if confirm else "")
        content = await self._request(
            self.running_urls(view.job.id), view.job.id, query
        )
        if content is not None:
            _append(view, number, content, requested_at)

    async def take_over(self, view: JobView) -> dict[ItemId, Progress]:
        """Make the hosts that shut down stop a job; return the progress of its items.

        A host that has already handed the job over still reports it for some time, so
        all of them are requested. Results that any of them has committed are added to
        the view.
        """
        job = view.job.id
        progress: dict[ItemId, Progress] = {}
        for base_url in self.leaving_urls(job):
            requested_at = self.clock()
            content = await self._request([base_url], job, "after=0", "POST")
            if content is not None:
                _append(view, 0, content, requested_at)
            received: dict[ItemId, Progress] = {}
            if content is not None:
                versions = content.get("versions")
                received = decode_progress(content["progress"], versions)
            for item, done in received.items():
                if item not in progress or len(done.data) > len(progress[item].data):
                    progress[item] = done
        return progress

    async def _request(
        self, hosts: list[str], job: JobId, query: str, method: str = "GET"
    ) -> dict | None:
        for base_url in hosts:
            url = URL(f"{base_url}{PATH}{job}?{query}", encoded=True)
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
            try:
                async with self.session.request(
                    method, url, timeout=timeout
                ) as response:
                    if response.status == 200:
                        return json.loads(
                            await read_limited(response, MAX_RESPONSE_BYTES)
                        )
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                log.info("job not read from peer", job=job, reason=repr(error))
        return None


def _append(view: JobView, start: int, content: dict, requested_at: float) -> None:
    """Add another host's response to a view.

    :param start: number of the first segment in the response
    :param requested_at: local time of the request in seconds
    """
    view.cancelled = view.cancelled or content["ended"]
    for offset, segment in enumerate(content["segments"]):
        # A concurrent reader of the same view may have added the segment.
        if view.segments == start + offset:
            view.append([decode_result(result) for result in segment])
    age = content["checked_ago"]
    if age is not None and view.segments >= start + len(content["segments"]):
        view.complete_as_of = max(view.complete_as_of, requested_at - age)


def create_jobs_handler(
    views: JobViews,
    hand_over: Callable[[JobId], Awaitable[dict[ItemId, Progress]]],
):
    """Return the handler for reads and takeovers of other hosts.

    :param views: jobs that this host has cached
    :param hand_over: stops a job and returns the progress of its items
    """

    async def handle(request: BaseRequest) -> web.Response:
        path, _, query = request.raw_path.removeprefix(PATH).partition("?")
        view = views.get(JobId(path))
        number, _, confirm = query.removeprefix("after=").partition("&")
        if view is None or not SEGMENT_NUMBER.fullmatch(number):
            return web.Response(status=404)
        handed_over = None
        if request.method == "POST":
            handed_over = await hand_over(view.job.id)
        elif confirm and view.job.id in views.runs and not view.finished:
            await views.try_to_confirm(view)
        content = _encode(view, int(number), views.gateway.clock())
        content["progress"] = None
        if handed_over is not None:
            content["progress"] = encode_progress(handed_over)
            content["versions"] = encode_progress_versions(handed_over)
        return web.Response(body=json.dumps(content).encode())

    return handle


def _encode(view: JobView, number: int, now: float) -> dict:
    age = now - view.complete_as_of
    starts = [0, *view.segment_ends]
    segments = [
        [encode_result(result) for result in view.results[start:end]]
        for start, end in zip(starts[number:], view.segment_ends[number:], strict=False)
    ]
    content = {
        "ended": view.cancelled,
        "segments": segments,
        "checked_ago": age if age < math.inf else None,
    }
    if number == 0:
        items = [encode_item(item) for item in view.job.items]
        content |= {"job": encode_job(view.job), "items": items}
    return content
