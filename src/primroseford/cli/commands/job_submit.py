"""``job submit``: upload items and create a batch job."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand
from primroseford.cli.job_base import job_lines


class JobSubmitCommand(JobCommand):
    """Submits a batch job."""

    name = "job submit"
    description = "Upload a file of items and create a batch job"
    arguments = [argument("file", "JSON Lines file with one item per line")]
    options = [
        option(
            "endpoint",
            None,
            "path that items are sent to",
            flag=False,
            default="/v1/chat/completions",
        ),
        option("idempotency-key", None, "identifies the submission", flag=False),
        *common_options(),
    ]

    async def handle_async(self) -> CommandResult:
        """Submit the job."""
        async with self.jobs() as jobs:
            job = await jobs.submit(
                Path(self.argument("file")),
                self.option("endpoint"),
                self.option("idempotency-key"),
                self.progress(),
            )
        return CommandResult(job, job_lines(job))
