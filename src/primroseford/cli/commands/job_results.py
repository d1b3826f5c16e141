"""``job results``: fetch the results of a job."""

from __future__ import annotations

from pathlib import Path

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import common_options
from primroseford.cli.job_base import JobCommand


class JobResultsCommand(JobCommand):
    """Fetches the results of a batch job."""

    name = "job results"
    description = "Write the results of a batch job to a file"
    arguments = [argument("id", "id of the job"), argument("file", "file to write")]
    options = common_options()

    async def work(self) -> Answer:
        """Fetch the results; the file appears only once it is complete."""
        target = Path(self.argument("file"))
        partial = target.with_name(target.name + ".part")
        async with self.jobs() as jobs:
            with partial.open("wb") as stream:
                size = await jobs.results(self.argument("id"), stream, self.progress())
        partial.replace(target)
        body = {"file": str(target), "bytes": size}
        return Answer(body, [f"{size} bytes written to {target}"])
