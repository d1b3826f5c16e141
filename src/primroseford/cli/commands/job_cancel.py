"""``job cancel``: stop a job."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand
from primroseford.cli.job_base import job_lines


class JobCancelCommand(JobCommand):
    """Cancels a batch job."""

    name = "job cancel"
    description = "Cancel a batch job"
    arguments = [argument("id", "id of the job")]
    options = common_options()

    async def work(self) -> Answer:
        """Cancel the job."""
        async with self.jobs() as jobs:
            job = await jobs.cancel(self.argument("id"))
        return Answer(job, job_lines(job))
