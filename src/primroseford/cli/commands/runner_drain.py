"""``runner drain``: take a runner out of a pool."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import Answer
from primroseford.cli.base import BaseCommand
from primroseford.cli.base import common_options
from primroseford.configuration.edits import drain_runner


class RunnerDrainCommand(BaseCommand):
    """Marks a runner as leaving, so it gets no new work."""

    name = "runner drain"
    description = "Give a runner no new work"
    arguments = [argument("pool", "name of the pool"), argument("runner", "its name")]
    options = common_options()

    async def work(self) -> Answer:
        """Edit the pool."""
        pool, runner = self.argument("pool"), self.argument("runner")
        async with self.platform() as client:
            version = await drain_runner(client, pool, runner)
        body = {"pool": pool, "runner": runner, "version": version}
        return Answer(body, [f"runner {runner} is leaving since version {version}"])
