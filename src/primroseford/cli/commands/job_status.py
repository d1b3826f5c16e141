"""``job status``: state of a job."""

from __future__ import annotations

import asyncio

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import Answer
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand
from primroseford.cli.job_base import job_lines


class JobStatusCommand(JobCommand):
    """Shows a batch job."""

    name = "job status"
    description = "Show the state of a batch job"
    arguments = [argument("id", "id of the job")]
    options = [option("wait", None, "wait for its end"), *common_options()]

    async def work(self) -> Answer:
        """Read the state."""
        async with self.jobs() as jobs:
            if self.option("wait"):
                job = await jobs.wait(
                    self.argument("id"), self.progress(), asyncio.sleep
                )
            else:
                job = await jobs.status(self.argument("id"))
        return Answer(job, job_lines(job))
