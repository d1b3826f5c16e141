"""Answers the calls about batch jobs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.jobs.state import Job
from primroseford.platform.job_calls import JobVerb
from primroseford.platform.job_calls import decode_submission
from primroseford.platform.job_calls import encode_results

if TYPE_CHECKING:
    from primroseford.gateway.requests import IncomingRequest
    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Organisation
    from primroseford.gateway.tables import Route
    from primroseford.ids import JobId
    from primroseford.ids import OrganisationId
    from primroseford.jobs.service import JobService
    from primroseford.jobs.state import ItemResult
    from primroseford.jobs.state import JobView
    from primroseford.platform.job_calls import JobCall

STEP_SECONDS = 0.05
ANSWER_BYTES = 900_000
"""Size of the results in one answer, below the bound of a megabyte."""
ANSWER_MARGIN_SECONDS = 0.3
"""Time before the caller's own deadline at which an open outcome is reported."""

log = structlog.get_logger()


class JobApi:
    """Handlers of job calls.

    :param service: runs the jobs of this host
    """

    def __init__(self, gateway: Gateway, service: JobService) -> None:
        self.gateway = gateway
        self.service = service

    async def submit(
        self, incoming: IncomingRequest, route: Route, organisation: Organisation | None
    ) -> web.Response:
        """Accept a job.

        :raises PrimrosefordError: RATE_LIMITED, or as the store's write ends
        """
        submitted = time.time()
        job_id, items = decode_submission(incoming)
        owner = organisation.name if organisation else None
        known = self.service.views.get(job_id)
        if known is None:
            self._check_room(route, owner, sum(item.tokens for item in items))
            job = Job(job_id, owner, route.host, route.path_prefix, submitted, items)
            await self._accept(job, incoming.allowed or route.timeout)
        return web.Response(status=202)

    async def _accept(self, job: Job, allowed: float) -> None:
        """Store a job; a write that outlasts the caller is finished all the same."""
        write = asyncio.create_task(self.service.accept(job))
        self.service.scheduler.recorder.keep(write)
        try:
            async with asyncio.timeout(max(0.2, allowed - ANSWER_MARGIN_SECONDS)):
                await asyncio.shield(write)
        except TimeoutError as error:
            raise PrimrosefordError(
                ResultCode.JOB_OUTCOME_UNKNOWN,
                "whether the job was accepted is not known yet",
            ) from error

    def _check_room(
        self, route: Route, owner: OrganisationId | None, tokens: int
    ) -> None:
        """Refuse a job that does not fit into its organisation's waiting tokens."""
        limit = route.max_waiting_tokens
        if not limit:
            return
        waiting = self.service.views.waiting_tokens(owner, route.path_prefix)
        if waiting + tokens > limit:
            raise PrimrosefordError(
                ResultCode.RATE_LIMITED,
                f"{waiting} tokens of the organisation wait, of {limit} allowed",
                retry_after=self.gateway.allocator.add_jitter(1.0),
            )

    async def handle_call(
        self, call: JobCall, owner: OrganisationId | None
    ) -> web.StreamResponse:
        """Answer a call about an existing job.

        :param owner: organisation whose key came with the call
        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = await self._view(call.job)
        if view.job.organisation != owner:
            raise _unknown()
        if call.verb is JobVerb.READ:
            results = await self._read(view, call)
            return encode_results(len(view.job.items), call.after, results)
        if call.verb is JobVerb.READ_BODY:
            for item in view.job.items:
                if item.id == call.item:
                    return web.Response(body=item.decoded_body())
            raise _unknown()
        return await self._end(view)

    async def _view(self, job: JobId) -> JobView:
        try:
            return await self.service.views.read(job)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                raise _unknown() from error
            raise

    async def _end(self, view: JobView) -> web.Response:
        await self.service.store.end(view.job.id)
        self.service.note_end(view.job.id)
        log.info("job ended by its caller", job=view.job.id, listed=len(view.listed))
        return web.Response(body=b"{}", content_type="application/json")

    async def _read(self, view: JobView, call: JobCall) -> list[ItemResult]:
        """Return results from a position on, waiting for the first if asked to."""
        gateway = self.gateway
        until = gateway.clock() + call.wait
        while len(view.results) <= call.after and not view.finished:
            if gateway.members.segments(view.job.id) > view.segments:
                await self.service.views.fetch(view)
                continue
            left = until - gateway.clock()
            if left <= 0:
                await self.service.views.confirm(view)
                break
            await asyncio.sleep(min(STEP_SECONDS, left))
        return _bounded(view.results[call.after :])


def _bounded(results: list[ItemResult]) -> list[ItemResult]:
    size = 0
    for number, result in enumerate(results):
        size += len(result.text) + 100
        if number and size > ANSWER_BYTES:
            return results[:number]
    return results


def _unknown() -> PrimrosefordError:
    return PrimrosefordError(ResultCode.NOT_FOUND, "there is no such job or item")
