"""Reports of jobs that a host has stopped."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primroseford.jobs.state import JobReport
    from primroseford.jobs.state import JobView


class StoppedJob:
    """A stopped job that heartbeats still report.

    Its view may be dropped for lack of memory; then its last report is repeated.

    :param until: local time in seconds at which reporting ends
    """

    def __init__(self, view: JobView, until: float) -> None:
        self.view = weakref.ref(view)
        self.until = until
        self.report = view.report(stopped=True)

    def latest_report(self) -> JobReport:
        """Return the report of the view, or its last one if the view was dropped."""
        view = self.view()
        if view is not None:
            self.report = view.report(stopped=True)
        return self.report
