"""``job results``: download the results of a batch job."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument

from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand


class JobResultsCommand(JobCommand):
    """Downloads the results of a batch job."""

    name = "job results"
    description = "Write the results of a batch job to a file"
    arguments = [argument("id", "id of the job"), argument("file", "file to write")]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Download the results; the target file is created once it is complete."""
        target = Path(self.argument("file"))
        partial = target.with_name(target.name + ".part")
        async with self.jobs() as jobs:
            with partial.open("wb") as stream:
                size = await jobs.results(self.argument("id"), stream, self.progress())
        partial.replace(target)
        body = {"file": str(target), "bytes": size}
        return CommandResult(body, [f"{size} bytes written to {target}"])
