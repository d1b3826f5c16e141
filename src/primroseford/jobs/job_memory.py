"""Memory of the jobs that a host holds, within the budget of the host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.gateway.host_memory import Holding
from primroseford.jobs.state import job_bytes

if TYPE_CHECKING:
    from collections.abc import Container

    from primroseford.gateway.bodies import Bodies
    from primroseford.ids import JobId
    from primroseford.jobs.state import Job
    from primroseford.jobs.state import JobView

MAX_VIEWS = 256
"""Maximum number of cached jobs; those that do not run here are dropped above it."""
MAX_ENDED_JOBS = 4096
"""Maximum number of ended jobs whose ids are kept after they were dropped."""
LARGEST_JOB_BYTES = 4 * 1024 * 1024
"""Size of a job that is not known before it is taken over: the largest body."""


class JobMemory:
    """Charges the views of jobs to the budget, and drops those that can be read again.

    :param bodies: what this host holds for callers
    :param runs: jobs that this host runs, which cannot be dropped
    :ivar views: jobs by id, least recently used first
    :ivar holdings: charges of the views
    :ivar reserved: charges of jobs that are being accepted
    :ivar ended: dropped jobs of which no item is to run any more, oldest first
    """

    def __init__(self, bodies: Bodies, runs: Container[JobId]) -> None:
        self.bodies = bodies
        self.memory = bodies.memory
        self.runs = runs
        self.views: dict[JobId, JobView] = {}
        self.holdings: dict[JobId, Holding] = {}
        self.reserved: set[Holding] = set()
        self.ended: dict[JobId, None] = {}
        bodies.drop_job = self.drop_one

    def reserve(self, job: Job) -> Holding:
        """Charge a job before it is stored; it must be released after that.

        :raises PrimrosefordError: HOST_MEMORY_SHORT
        """
        self.update_charges()
        size = job_bytes(job)
        if not self.memory.admits_job(self._kept_bytes(), size):
            raise self.bodies.refusal()
        holding = Holding(self.bodies.clock(), job=True)
        self.memory.charge_job(holding, size)
        self.reserved.add(holding)
        self._drop_excess()
        return holding

    def release(self, reservation: Holding) -> None:
        """Release the charge of a job that is stored, or was not accepted."""
        self.reserved.discard(reservation)
        self.memory.release(reservation)

    def has_room(self) -> bool:
        """Return whether a job of the largest size may be taken over."""
        self.update_charges()
        return self.memory.admits_job(self._kept_bytes(), LARGEST_JOB_BYTES)

    def put(self, view: JobView) -> None:
        """Hold a view as the one that was used last, in place of any other."""
        self.ended.pop(view.job.id, None)
        self.views.pop(view.job.id, None)
        self.views[view.job.id] = view
        self.update_charges()

    def touch(self, job: JobId) -> None:
        """Record that a view is used."""
        self.views[job] = self.views.pop(job)

    def update_charges(self) -> None:
        """Charge the present sizes of the views, which grow with their results."""
        for job in self.holdings.keys() - self.views.keys():
            self.memory.release(self.holdings.pop(job))
        for job, view in self.views.items():
            holding = self.holdings.get(job)
            if holding is None:
                holding = Holding(self.bodies.clock(), job=True)
                self.holdings[job] = holding
            self.memory.charge_job(holding, view.held_bytes)
        self._drop_excess()

    def drop_one(self) -> bool:
        """Drop the least recently used view that this host does not run.

        The view that was used last stays, since its user may be about to run it.

        :returns: whether there was one
        """
        for job in list(self.views)[:-1]:
            if job not in self.runs:
                self._drop(job)
                return True
        return False

    def _drop(self, job: JobId) -> None:
        if self.views.pop(job).ended:
            self.ended[job] = None
            if len(self.ended) > MAX_ENDED_JOBS:
                del self.ended[next(iter(self.ended))]
        holding = self.holdings.pop(job, None)
        if holding is not None:
            self.memory.release(holding)

    def _drop_excess(self) -> None:
        while (
            self.memory.jobs > self.memory.job_budget or len(self.views) > MAX_VIEWS
        ) and self.drop_one():
            pass

    def _kept_bytes(self) -> int:
        """Return the charged bytes of the jobs that cannot be dropped."""
        running = sum(
            holding.size for job, holding in self.holdings.items() if job in self.runs
        )
        return running + sum(holding.size for holding in self.reserved)
