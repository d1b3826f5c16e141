"""``job status``: show the state of a batch job."""

from __future__ import annotations

import asyncio

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand
from primroseford.cli.job_base import job_lines


class JobStatusCommand(JobCommand):
    """Shows the state of a batch job."""

    name = "job status"
    description = "Show the state of a batch job"
    arguments = [argument("id", "id of the job")]
    options = [option("wait", None, "wait until the job has ended"), *common_options()]

    async def handle_async(self) -> CommandResult:
        """Read the state, or poll it until the job has ended."""
        async with self.jobs() as jobs:
            if self.option("wait"):
                job = await jobs.wait(
                    self.argument("id"), self.progress(), asyncio.sleep
                )
            else:
                job = await jobs.status(self.argument("id"))
        return CommandResult(job, job_lines(job))
