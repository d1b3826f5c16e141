"""HTTP handlers for batch jobs."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog
from aiohttp import web

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.jobs.cancellations import CancellationSource
from primroseford.jobs.state import Job
from primroseford.platform.job_calls import JobVerb
from primroseford.platform.job_calls import decode_submission
from primroseford.platform.job_calls import encode_item_body
from primroseford.platform.job_calls import encode_results
from primroseford.platform.job_calls import result_bytes

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

POLL_SECONDS = 0.05
"""Interval at which a waiting read checks for new results."""
MAX_RESPONSE_BYTES = 900_000
"""Maximum size of the results in one response, below the limit of a megabyte."""
RESPONSE_MARGIN_SECONDS = 0.3
"""Time before the caller's deadline at which an unknown outcome is reported."""

log = structlog.get_logger()


class JobApi:
    """Handlers for the calls about jobs.

    :param service: runs the jobs of this host
    """

    def __init__(self, gateway: Gateway, service: JobService) -> None:
        self.gateway = gateway
        self.service = service

    async def submit(
        self, incoming: IncomingRequest, route: Route, organisation: Organisation | None
    ) -> web.Response:
        """Accept a job.

        :raises PrimrosefordError: RATE_LIMITED, HOST_MEMORY_SHORT, or the error of the
            store's write
        """
        submitted = time.time()
        job_id, items = decode_submission(incoming)
        # The items are held as decoded; the body would be another copy of them.
        incoming.body = b""
        owner = organisation.name if organisation else None
        cached = self.service.views.get(job_id)
        if cached is None:
            self._check_waiting_tokens(route, owner, sum(item.tokens for item in items))
            job = Job(job_id, owner, route.host, route.path_prefix, submitted, items)
            await self._accept(job, incoming.timeout or route.timeout)
        return web.Response(status=202)

    async def _accept(self, job: Job, timeout: float) -> None:
        """Store a job; the write continues if the caller's deadline passes first.

        :param timeout: seconds until the caller's deadline
        :raises PrimrosefordError: HOST_MEMORY_SHORT before anything is stored, or the
            error of the write
        """
        reservation = self.service.views.memory.reserve(job)
        write = asyncio.create_task(self.service.accept(job, reservation))
        self.service.scheduler.recorder.track(write)
        try:
            async with asyncio.timeout(max(0.2, timeout - RESPONSE_MARGIN_SECONDS)):
                await asyncio.shield(write)
        except TimeoutError as error:
            raise PrimrosefordError(
                ResultCode.JOB_OUTCOME_UNKNOWN,
                "it is not known yet whether the job was accepted",
            ) from error

    def _check_waiting_tokens(
        self, route: Route, owner: OrganisationId | None, tokens: int
    ) -> None:
        """Reject a job that exceeds its organisation's limit of waiting tokens.

        :param tokens: tokens of the job
        :raises PrimrosefordError: RATE_LIMITED
        """
        limit = route.max_waiting_tokens
        if not limit:
            return
        waiting = self.service.views.waiting_tokens(owner, route.path_prefix)
        if waiting + tokens > limit:
            raise PrimrosefordError(
                ResultCode.RATE_LIMITED,
                f"the organisation has {waiting} waiting tokens; the limit is {limit}",
                retry_after=self.gateway.allocator.add_jitter(1.0),
            )

    async def handle_call(
        self, call: JobCall, owner: OrganisationId | None
    ) -> web.StreamResponse:
        """Handle a call about an existing job.

        :param owner: organisation whose key the call carries
        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = await self._view(call.job)
        if view.job.organisation != owner:
            raise _not_found()
        if call.verb is JobVerb.READ:
            results = await self._read(view, call)
            return encode_results(len(view.job.items), call.after, results)
        if call.verb is JobVerb.READ_BODY:
            for item in view.job.items:
                if item.id == call.item:
                    return encode_item_body(item)
            raise _not_found()
        return await self._cancel(view)

    async def _view(self, job: JobId) -> JobView:
        try:
            return await self.service.views.read(job)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND:
                raise _not_found() from error
            raise

    async def _cancel(self, view: JobView) -> web.Response:
        await self.service.store.cancel(view.job.id)
        self.service.cancel_job(view.job.id, CancellationSource.CALLER)
        log.info(
            "job cancelled by its caller", job=view.job.id, listed=len(view.committed)
        )
        return web.Response(body=b"{}", content_type="application/json")

    async def _read(self, view: JobView, call: JobCall) -> list[ItemResult]:
        """Return the results from a position on, waiting for the first if requested."""
        gateway = self.gateway
        until = gateway.clock() + call.wait
        while len(view.results) <= call.after and not view.finished:
            if gateway.members.segments(view.job.id) > view.segments:
                await self.service.views.fetch_reported(view)
                continue
            remaining = until - gateway.clock()
            if remaining <= 0:
                await self.service.views.confirm(view)
                break
            await asyncio.sleep(min(POLL_SECONDS, remaining))
        return _limit_size(view.results[call.after :])


def _limit_size(results: list[ItemResult]) -> list[ItemResult]:
    """Return the first results that fit into one response; at least one."""
    size = 0
    for number, result in enumerate(results):
        size += result_bytes(result)
        if number and size > MAX_RESPONSE_BYTES:
            return results[:number]
    return results


def _not_found() -> PrimrosefordError:
    return PrimrosefordError(ResultCode.NOT_FOUND, "there is no such job or item")
