"""This host's copies of jobs, and the consistency of reads across hosts.

A result that one host has returned must be returned by every host soon after. A result
is returned only after its segment is in the platform's store. At the local time
``JobView.complete_as_of`` the view contained every segment that any host had committed.
This time is derived only from

- a read of the store that started then and found no further segment,
- one host's watch of all new segments, which has run since such a read and was
  confirmed up to then (:mod:`primroseford.jobs.results_watch`),
- the creation of the job, before which there is no segment,
- ``complete_as_of`` of another host's view, if all segments of that view were copied.

So a host reports that there is no result at a position only if ``complete_as_of`` is
recent; otherwise it fails the read. Segment numbers in heartbeats only make results
available sooner.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import JobId
from primroseford.jobs.job_memory import JobMemory

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Container

    from primroseford.gateway.state import Gateway
    from primroseford.ids import OrganisationId
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.results_watch import SegmentStatus
    from primroseford.jobs.state import JobView
    from primroseford.jobs.store import JobStore

REUSE_AGE_SHARE = 0.6
"""Share of the settle time for which the last check of a view is reused. The watch
confirms its state at shorter intervals."""
MAX_RESPONSE_AGE_SHARE = 0.85
"""Share of the settle time after which a check is too old for a response. The rest is
left for the transfer of the response to the caller."""
RETRY_SECONDS = 0.5
"""Retry-After of a read that fails: callers read about twice a second."""

log = structlog.get_logger()


class JobViews:
    """Cache of the jobs that this host has read.

    :param store: jobs in the platform's store
    :param peers: reads jobs from the hosts that run them
    :param runs: jobs that this host runs
    :param read_segment_status: returns the status of a job's segments from the host
        that watches all new segments
    :param settle_seconds: time after which a result that any host has returned must be
        returned by all
    :ivar memory: charges the views to the memory budget and drops them
    :ivar views: jobs by id
    :ivar checks: checks in progress, by the identity of the view; a job that was
        dropped and read again has another one
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        runs: Container[JobId],
        read_segment_status: Callable[[JobId], Awaitable[SegmentStatus | None]],
        settle_seconds: float,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.runs = runs
        self.read_segment_status = read_segment_status
        self.settle_seconds = settle_seconds
        self.checks: dict[int, asyncio.Task] = {}
        self.memory = JobMemory(gateway.bodies, runs)
        self.views = self.memory.views

    def get(self, job: JobId) -> JobView | None:
        """Return the cached view of a job, or None."""
        return self.views.get(job)

    def cache(self, view: JobView) -> JobView:
        """Cache a view and return the one to use for its job."""
        cached = self.views.get(view.job.id, view)
        cached.cancelled = cached.cancelled or view.cancelled
        self.memory.put(cached)
        return cached

    def put(self, view: JobView) -> None:
        """Cache a view in place of any other one of its job.

        A job that this host runs must have the view of its run here. The view that was
        cached before may have been dropped since it was read.
        """
        cached = self.views.get(view.job.id, view)
        view.cancelled = view.cancelled or cached.cancelled
        self.memory.put(view)

    def has_room(self) -> bool:
        """Return whether this host has the memory to take a job over."""
        return self.memory.has_room()

    def is_ended(self, job: JobId) -> bool:
        """Return whether a job that was read here is known to be ended."""
        view = self.views.get(job)
        return job in self.memory.ended if view is None else view.ended

    async def read(self, job: JobId) -> JobView:
        """Return a job from the cache, from a host that runs it, or from the store.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is not None:
            self.memory.touch(job)
            return view
        requested_at = self.gateway.clock()
        try:
            found = await self.peers.load(job) or await self.store.load(job)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND and not self.is_recent_enough(
                requested_at
            ):
                raise self.unconfirmed_error() from error
            raise
        return self.cache(found)

    async def fetch_reported(self, view: JobView) -> None:
        """Read the segments that heartbeats report.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        job = view.job.id
        if job not in self.runs:
            await self.peers.refresh(view)
        if view.segments < self.gateway.members.segments(job):
            await self.store.refresh(view)

    def is_recent_enough(self, complete_as_of: float) -> bool:
        """Return whether a check is recent enough for a response to a caller.

        :param complete_as_of: local time of the check in seconds
        """
        return (
            self.gateway.clock() - complete_as_of
            <= MAX_RESPONSE_AGE_SHARE * self.settle_seconds
        )

    def is_fresh(self, view: JobView) -> bool:
        """Return whether the last check of a view can be reused without a new one."""
        return (
            self.gateway.clock() - view.complete_as_of
            <= REUSE_AGE_SHARE * self.settle_seconds
        )

    def unconfirmed_error(self) -> PrimrosefordError:
        """Return the error for a read of results that this host cannot confirm."""
        return PrimrosefordError(
            ResultCode.PLATFORM_UNAVAILABLE,
            "this host cannot confirm which results are committed",
            retry_after=self.gateway.allocator.add_jitter(RETRY_SECONDS),
        )

    async def confirm(self, view: JobView) -> None:
        """Ensure that a view contains all results committed up to a recent time.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if that cannot be confirmed
        """
        key = id(view)
        check = self.checks.get(key)
        if check is None:
            check = self.checks[key] = asyncio.create_task(self._check(view))
            check.add_done_callback(lambda check: self._remove_check(key, check))
        await asyncio.shield(check)
        if not view.finished and not self.is_recent_enough(view.complete_as_of):
            raise self.unconfirmed_error()

    def _remove_check(self, key: int, check: asyncio.Task) -> None:
        del self.checks[key]
        if not check.cancelled():
            # Retrieves the error, since no caller may be waiting for the check now.
            check.exception()

    async def try_to_confirm(self, view: JobView) -> None:
        """Confirm a view for another host, without raising.

        The other host sees from ``complete_as_of`` whether the check succeeded.
        """
        try:
            await self.confirm(view)
        except PrimrosefordError as error:
            log.info(
                "committed results not confirmed", job=view.job.id, code=error.code.name
            )

    async def _check(self, view: JobView) -> None:
        if view.finished or self.is_fresh(view):
            return
        job = view.job.id
        if job not in self.runs:
            await self.peers.refresh(view, confirm=True)
            if view.finished or self.is_fresh(view):
                return
        status = await self.read_segment_status(job)
        if status is not None and status.watched_since <= view.complete_as_of:
            if status.segments <= view.segments:
                view.complete_as_of = max(view.complete_as_of, status.confirmed_at)
            if self.is_fresh(view):
                return
        await self.store.refresh(view)

    async def load_latest(self, job: JobId) -> JobView:
        """Return a job from the store with all committed results and its cancellation.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is None:
            return self.cache(await self.store.load(job))
        await self.store.refresh(view)
        view.cancelled = view.cancelled or await self.store.is_cancelled(job)
        return view

    def waiting_tokens(self, owner: OrganisationId | None, prefix: str) -> int:
        """Return the tokens of an organisation's items without a committed result.

        Other hosts report theirs in heartbeats; the last report of a lost host counts
        until its jobs are taken over.

        :param prefix: path prefix of the route whose limit they count against
        """
        waiting: dict[JobId, int] = {}
        peers = self.gateway.members.peers.values()
        # If two hosts report the same job, the latest heartbeat wins.
        for peer in sorted(peers, key=lambda peer: peer.heard_at):
            for report in peer.heartbeat.jobs if peer.heartbeat is not None else ():
                if (
                    report.organisation == (owner or "")
                    and report.path_prefix == prefix
                ):
                    waiting[JobId(report.job)] = report.waiting_tokens
        for job, view in self.views.items():
            if job in self.runs and view.job.organisation == owner:
                if view.job.prefix == prefix:
                    waiting[job] = view.waiting_tokens()
            elif view.finished or view.cancelled:
                waiting.pop(job, None)
        for job in self.memory.ended:
            waiting.pop(job, None)
        return sum(waiting.values())
