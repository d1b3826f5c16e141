"""What this host knows of jobs, and how it learns more.

What one host has shown of a job, every host shows soon after. A result is shown only
after its segment is in the platform's store, and ``JobView.checked_at`` is a time up to
which nobody had listed more than the view holds. It follows from one of these alone:

- a read of the store that began then and found no further segment,
- a host's watch of all new segments that has run since such a read and was confirmed
  up to then (:mod:`primroseford.jobs.results_watch`),
- the creation of the job, before which there is no segment,
- the same of another host's view, with all its segments.

So a host says that there is nothing at a position only if ``checked_at`` is recent; a
host that cannot learn it says that it does not know. What the heartbeats tell only
makes results appear sooner.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode
from primroseford.ids import JobId

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Container

    from primroseford.gateway.state import Gateway
    from primroseford.ids import OrganisationId
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.results_watch import Listed
    from primroseford.jobs.state import JobView
    from primroseford.jobs.store import JobStore

FRESH_SHARE = 0.6
"""Part of the time in which results must be seen everywhere up to which a check stands
for a new one; the watch confirms more often."""
SURE_SHARE = 0.85
"""Part of that time beyond which a check is too old for an answer, which has yet to
reach the caller."""
RETRY_SECONDS = 0.5
"""Retry-After of a read that cannot be answered: callers read about twice a second."""
MAX_VIEWS = 256
"""Jobs that a host remembers; the oldest others are read again if needed."""

log = structlog.get_logger()


class JobViews:
    """Jobs that this host has read.

    :param store: jobs in the platform's store
    :param peers: jobs that other hosts run
    :param runs: jobs that this host runs
    :param listed: returns what one host's watch knows of a job's segments
    :param settle: seconds after which results that were read anywhere must be seen
    :ivar views: jobs by id
    :ivar checks: checks that are on their way
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        runs: Container[JobId],
        listed: Callable[[JobId], Awaitable[Listed | None]],
        settle: float,
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.runs = runs
        self.listed = listed
        self.settle = settle
        self.checks: dict[JobId, asyncio.Task] = {}
        self.views: dict[JobId, JobView] = {}

    def get(self, job: JobId) -> JobView | None:
        """Return a job if this host has read it."""
        return self.views.get(job)

    def remember(self, view: JobView) -> JobView:
        """Keep a view and return the one to use for its job."""
        known = self.views.setdefault(view.job.id, view)
        known.ended = known.ended or view.ended
        if len(self.views) > MAX_VIEWS:
            done = [j for j, v in self.views.items() if j not in self.runs]
            for job in done[: len(self.views) - MAX_VIEWS]:
                del self.views[job]
        return known

    async def read(self, job: JobId) -> JobView:
        """Return a job as this host or a host that runs it knows it, or as stored.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is not None:
            return view
        asked_at = self.gateway.clock()
        try:
            found = await self.peers.load(job) or await self.store.load(job)
        except PrimrosefordError as error:
            if error.code is ResultCode.NOT_FOUND and not self.is_sure(asked_at):
                raise self.unknown() from error
            raise
        return self.remember(found)

    async def fetch(self, view: JobView) -> None:
        """Read the segments that a heartbeat tells of.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        job = view.job.id
        if job not in self.runs:
            await self.peers.refresh(view)
        if view.segments < self.gateway.members.segments(job):
            await self.store.refresh(view)

    def is_sure(self, checked_at: float) -> bool:
        """Return whether a check is recent enough for an answer."""
        return self.gateway.clock() - checked_at <= SURE_SHARE * self.settle

    def is_fresh(self, view: JobView) -> bool:
        """Return whether the last check of a view stands for a new one."""
        return self.gateway.clock() - view.checked_at <= FRESH_SHARE * self.settle

    def unknown(self) -> PrimrosefordError:
        """Return the error of a read that this host cannot answer."""
        return PrimrosefordError(
            ResultCode.PLATFORM_UNAVAILABLE,
            "this host cannot be sure of what is listed",
            retry_after=self.gateway.allocator.add_jitter(RETRY_SECONDS),
        )

    async def confirm(self, view: JobView) -> None:
        """Make sure that a view holds all results that were listed until just now.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE if that cannot be known
        """
        job = view.job.id
        check = self.checks.get(job)
        if check is None:
            check = self.checks[job] = asyncio.create_task(self._check(view))
            check.add_done_callback(lambda check: self._forget_check(job, check))
        await asyncio.shield(check)
        if not view.finished and not self.is_sure(view.checked_at):
            raise self.unknown()

    def _forget_check(self, job: JobId, check: asyncio.Task) -> None:
        del self.checks[job]
        if not check.cancelled():
            # Those who wait for the check get the error, unless all have left.
            check.exception()

    async def try_to_confirm(self, view: JobView) -> None:
        """Do the same for another host, which sees from the view how it ended."""
        try:
            await self.confirm(view)
        except PrimrosefordError as error:
            log.info("listed results unknown", job=view.job.id, code=error.code.name)

    async def _check(self, view: JobView) -> None:
        if view.finished or self.is_fresh(view):
            return
        job = view.job.id
        if job not in self.runs:
            await self.peers.refresh(view, sure=True)
            if view.finished or self.is_fresh(view):
                return
        listed = await self.listed(job)
        if listed is not None and listed.began_at <= view.checked_at:
            if listed.segments <= view.segments:
                view.checked_at = max(view.checked_at, listed.confirmed_at)
            if self.is_fresh(view):
                return
        await self.store.refresh(view)

    async def latest(self, job: JobId) -> JobView:
        """Return a job with all that is listed and whether it has ended.

        :raises PrimrosefordError: NOT_FOUND, or PLATFORM_UNAVAILABLE
        """
        view = self.views.get(job)
        if view is None:
            return self.remember(await self.store.load(job))
        await self.store.refresh(view)
        view.ended = view.ended or await self.store.is_ended(job)
        return view

    def waiting_tokens(self, owner: OrganisationId | None, prefix: str) -> int:
        """Return the tokens of an organisation's items that are not listed.

        Other hosts tell theirs in the heartbeats; what a lost host told last counts
        until its jobs are taken over.

        :param prefix: path prefix of the route on which they count
        """
        waiting: dict[JobId, int] = {}
        peers = self.gateway.members.peers.values()
        # Of two hosts that tell of the same job, the one heard last knows better.
        for peer in sorted(peers, key=lambda peer: peer.heard_at):
            for told in peer.heartbeat.jobs if peer.heartbeat is not None else ():
                if told.organisation == (owner or "") and told.path_prefix == prefix:
                    waiting[JobId(told.job)] = told.waiting_tokens
        for job, view in self.views.items():
            if job in self.runs and view.job.organisation == owner:
                if view.job.prefix == prefix:
                    waiting[job] = view.waiting_tokens()
            elif view.finished or view.ended:
                waiting.pop(job, None)
        return sum(waiting.values())
