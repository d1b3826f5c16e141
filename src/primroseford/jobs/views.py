"""What this host knows of jobs, and how it learns more."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.errors import PrimrosefordError
from primroseford.errors import ResultCode

if TYPE_CHECKING:
    from collections.abc import Container

    from primroseford.gateway.state import Gateway
    from primroseford.gateway.tables import Route
    from primroseford.ids import JobId
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
        if view.job.id not in self.runs and await self.peers.refresh(view):
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

    async def waiting_tokens(
        self, owner: OrganisationId | None, route: Route, enough: int
    ) -> int:
        """Return the tokens of an organisation's unlisted items on a route.

        Jobs of other hosts are read only if the number could matter.

        :param enough: number up to which an estimate from above does
        """
        for job in self.gateway.members.known_jobs() - set(self.views):
            await self._read_if_there(job)
        waiting = self._sum_waiting(owner, route)
        if waiting <= enough:
            return waiting
        for view in list(self.views.values()):
            if view.job.organisation == owner and view.job.id not in self.runs:
                await self.refresh(view)
        return self._sum_waiting(owner, route)

    async def _read_if_there(self, job: JobId) -> None:
        try:
            await self.read(job)
        except PrimrosefordError as error:
            # A peer may tell of a job that was removed since.
            if error.code is not ResultCode.NOT_FOUND:
                raise

    def _sum_waiting(self, owner: OrganisationId | None, route: Route) -> int:
        return sum(
            view.waiting_tokens()
            for view in self.views.values()
            if view.job.organisation == owner and view.job.prefix == route.path_prefix
        )
