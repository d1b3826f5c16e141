"""What this host knows of jobs, and how it learns more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.ids import JobId

if TYPE_CHECKING:
    from collections.abc import Container

    from primroseford.gateway.state import Gateway
    from primroseford.ids import OrganisationId
    from primroseford.jobs.peers import JobPeers
    from primroseford.jobs.state import JobView
    from primroseford.jobs.store import JobStore

MAX_VIEWS = 256
"""Jobs that a host remembers; the oldest others are read again if needed."""


class JobViews:
    """Jobs that this host has read.

    :param store: jobs in the platform's store
    :param peers: jobs that other hosts run
    :param runs: jobs that this host runs, whose views are always up to date
    :ivar views: jobs by id
    """

    def __init__(
        self,
        gateway: Gateway,
        store: JobStore,
        peers: JobPeers,
        runs: Container[JobId],
    ) -> None:
        self.gateway = gateway
        self.store = store
        self.peers = peers
        self.runs = runs
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
        if view is None:
            found = await self.peers.load(job) or await self.store.load(job)
            view = self.remember(found)
        return view

    async def refresh(self, view: JobView) -> None:
        """Read the results that a view lacks.

        :raises PrimrosefordError: PLATFORM_UNAVAILABLE
        """
        asked_at = self.gateway.clock()
        job = view.job.id
        answered = job not in self.runs and await self.peers.refresh(view)
        # A host that runs the job may not know what a second one has listed.
        if answered and view.segments >= self.gateway.members.segments(job):
            view.checked_at = asked_at
        else:
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
            for told in peer.last.jobs if peer.last is not None else ():
                if told.organisation == (owner or "") and told.path_prefix == prefix:
                    waiting[JobId(told.job)] = told.waiting_tokens
        for job, view in self.views.items():
            if job in self.runs and view.job.organisation == owner:
                if view.job.prefix == prefix:
                    waiting[job] = view.waiting_tokens()
            elif view.finished or view.ended:
                waiting.pop(job, None)
        return sum(waiting.values())
