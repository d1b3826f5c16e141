"""Reads jobs from the host that runs them, which costs the platform's store nothing.

What the running host gives is in the store already, so it is a prefix of what the
store would give. Each answer tells up to when the host is sure to have all results.
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
from primroseford.jobs.state import encode_result

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from aiohttp.web_request import BaseRequest

    from primroseford.clock import Clock
    from primroseford.jobs.views import JobViews

PATH = "/jobs/"
NUMBER = re.compile(r"[0-9]{1,9}")
TIMEOUT_SECONDS = 0.5
"""Time for an answer, which takes a few ms; the store is asked after it."""

log = structlog.get_logger()


class JobPeers:
    """Asks other hosts about the jobs that they run.

    :param session: HTTP session for calls between hosts
    :param running: base URLs of the live hosts that run a job
    :param leaving: base URLs of the hosts that leave and still have a job
    :param clock: local time
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        running: Callable[[JobId], list[str]],
        leaving: Callable[[JobId], list[str]],
        clock: Clock,
    ) -> None:
        self.session = session
        self.running = running
        self.leaving = leaving
        self.clock = clock

    async def load(self, job: JobId) -> JobView | None:
        """Return a job as a host that runs it knows it; nothing if none answers."""
        asked_at = self.clock()
        found = await self._ask(self.running(job), job, "after=0")
        if found is None:
            return None
        view = JobView(decode_job(job, found["job"], found["items"]))
        _append(view, 0, found, asked_at)
        return view

    async def refresh(self, view: JobView, sure: bool = False) -> None:
        """Add the segments that a running host knows, if one answers.

        :param sure: whether it shall make sure that nobody has listed more
        """
        number, asked_at = view.segments, self.clock()
        query = f"after={number}" + ("&sure" if sure else "")
        found = await self._ask(self.running(view.job.id), view.job.id, query)
        if found is not None:
            _append(view, number, found, asked_at)

    async def take_over(self, view: JobView) -> dict[ItemId, Progress]:
        """Let the leaving hosts stop a job, and return how far its items are.

        A leaving host that has handed the job over tells of it for some time yet, so
        each one is asked. The view gets what each of them has listed.
        """
        job = view.job.id
        progress: dict[ItemId, Progress] = {}
        for base_url in self.leaving(job):
            asked_at = self.clock()
            found = await self._ask([base_url], job, "after=0", "POST")
            if found is not None:
                _append(view, 0, found, asked_at)
            told = decode_progress(found["progress"]) if found else {}
            for item, done in told.items():
                if item not in progress or len(done.data) > len(progress[item].data):
                    progress[item] = done
        return progress

    async def _ask(
        self, hosts: list[str], job: JobId, query: str, method: str = "GET"
    ) -> dict | None:
        for base_url in hosts:
            url = URL(f"{base_url}{PATH}{job}?{query}", encoded=True)
            timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
            try:
                async with self.session.request(method, url, timeout=timeout) as answer:
                    if answer.status == 200:
                        return json.loads(await answer.read())
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
                log.info("job not read from peer", job=job, reason=repr(error))
        return None


def _append(view: JobView, number: int, found: dict, asked_at: float) -> None:
    """Add what a host told of a job.

    :param number: number of the first segment that it told
    :param asked_at: local time of the question in seconds
    """
    view.ended = view.ended or found["ended"]
    for offset, segment in enumerate(found["segments"]):
        # Another reader of the same view may have added it meanwhile.
        if view.segments == number + offset:
            view.append([decode_result(result) for result in segment])
    age = found["checked_ago"]
    if age is not None and view.segments >= number + len(found["segments"]):
        view.checked_at = max(view.checked_at, asked_at - age)


def create_jobs_handler(
    views: JobViews,
    hand_over: Callable[[JobId], Awaitable[dict[ItemId, Progress]]],
):
    """Return the handler of other hosts' reads and take-overs.

    :param views: jobs that this host knows
    :param hand_over: stops a job and returns how far its items are
    """

    async def handle(request: BaseRequest) -> web.Response:
        path, _, query = request.raw_path.removeprefix(PATH).partition("?")
        view = views.get(JobId(path))
        number, _, sure = query.removeprefix("after=").partition("&")
        if view is None or not NUMBER.fullmatch(number):
            return web.Response(status=404)
        progress = None
        if request.method == "POST":
            progress = encode_progress(await hand_over(view.job.id))
        elif sure and view.job.id in views.runs and not view.finished:
            await views.try_to_confirm(view)
        content = _encode(view, int(number), views.gateway.clock())
        content["progress"] = progress
        return web.Response(body=json.dumps(content).encode())

    return handle


def _encode(view: JobView, number: int, now: float) -> dict:
    age = now - view.checked_at
    starts = [0, *view.ends]
    segments = [
        [encode_result(result) for result in view.results[start:end]]
        for start, end in zip(starts[number:], view.ends[number:], strict=False)
    ]
    found = {
        "ended": view.ended,
        "segments": segments,
        "checked_ago": age if age < math.inf else None,
    }
    if number == 0:
        items = [encode_item(item) for item in view.job.items]
        found |= {"job": encode_job(view.job), "items": items}
    return found
