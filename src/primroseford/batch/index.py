"""Index of the active jobs on one host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primroseford.batch.schedule import sort_by_due_time
from primroseford.batch.state import Job
from primroseford.batch.state import JobState

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_ENDED_JOBS = 20_000


class JobIndex:
    """Active jobs by id.

    A job that ended stays ended, whatever an older list or event says.

    :ivar ended: ids of ended jobs, oldest first
    :ivar ordered: result of ``by_due`` until the next change
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.ended: dict[str, None] = {}
        self.callbacks: list[Callable[[], None]] = []
        self.ordered: list[tuple[str, Job]] | None = None

    def is_active(self, name: str) -> bool:
        """Return whether a job is not known to have ended."""
        return name not in self.ended

    def by_due(self) -> list[tuple[str, Job]]:
        """Return the active jobs, earliest due first.

        The identical list is returned until a change.
        """
        if self.ordered is None:
            self.ordered = sort_by_due_time(self.jobs.items())
        return self.ordered

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after jobs were added or ended."""
        self.callbacks.append(callback)

    def apply(self, name: str, job: Job) -> None:
        """Add or end a job according to its state, for example from a watch."""
        if job.state is not JobState.ACTIVE:
            self.end(name)
        elif name not in self.ended and name not in self.jobs:
            self.jobs[name] = job
            self._changed()

    def end(self, name: str) -> None:
        """Mark a job as ended."""
        if name not in self.ended:
            self.ended[name] = None
            self.jobs.pop(name, None)
            while len(self.ended) > MAX_ENDED_JOBS:
                del self.ended[next(iter(self.ended))]
            self._changed()

    def replace(self, listed: list[tuple[str, Job]], known_before: set[str]) -> None:
        """Update the index from a list of all active jobs.

        :param listed: the active jobs
        :param known_before: jobs in the index when the list was requested; those that
            are not listed have ended
        """
        names = {name for name, _ in listed}
        for name in known_before - names:
            self.end(name)
        for name, job in listed:
            self.apply(name, job)

    def _changed(self) -> None:
        self.ordered = None
        for callback in self.callbacks:
            callback()
