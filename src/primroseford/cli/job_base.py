"""Base class and output of the job commands."""

from __future__ import annotations

import sys
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from primroseford.cli.base import BaseCommand
from primroseford.cli.jobs import JobClient

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from primroseford.cli.jobs import Progress


class JobCommand(BaseCommand):
    """Base of the commands on batch jobs."""

    @asynccontextmanager
    async def jobs(self) -> AsyncIterator[JobClient]:
        """Yield a client of the batch interface."""
        url, key = self.required_option("api"), self.required_option("key")
        async with aiohttp.ClientSession() as session:
            yield JobClient(url, key, session)

    def progress(self) -> Progress:
        """Return a callback that shows a progress bar on standard error.

        Without a terminal, or with ``--format json``, the callback does nothing.
        """
        if self.option("format") == "json" or not sys.stderr.isatty():
            return lambda done, total: None
        bar = self.progress_bar()
        bar.start()

        def show(done: int, total: int) -> None:
            if total:
                bar.set_max_steps(total)
            bar.set_progress(done)
            if total and done >= total:
                bar.finish()
                self.line_error("")

        return show


def job_lines(job: dict[str, Any]) -> list[str]:
    """Return the text output of a job."""
    counts = job.get("request_counts") or {}
    return [
        f"job {job.get('id')}: {job.get('status')}",
        f"items: {counts.get('completed', 0)} completed, "
        f"{counts.get('failed', 0)} failed, {counts.get('total', 0)} in all",
    ]
