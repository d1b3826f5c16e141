"""``job cancel``: cancel a batch job."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand
from primroseford.cli.job_base import job_lines


class JobCancelCommand(JobCommand):
    """Cancels a batch job."""

    name = "job cancel"
    description = "Cancel a batch job"
    arguments = [argument("id", "id of the job")]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Cancel the job."""
        async with self.jobs() as jobs:
            job = await jobs.cancel(self.argument("id"))
        return CommandResult(job, job_lines(job))
