"""``runner drain``: mark a runner of a pool as leaving."""

from __future__ import annotations

from cleo.helpers import argument

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.configuration.edits import drain_runner


class RunnerDrainCommand(BaseCommand):
    """Marks a runner as leaving, so that it receives no new requests or items."""

    name = "runner drain"
    description = "Send no new requests and items to a runner"
    arguments = [
        argument("pool", "name of the pool"),
        argument("runner", "name of the runner"),
    ]
    options = common_options()

    async def handle_async(self) -> CommandResult:
        """Edit the pool's runner."""
        pool, runner = self.argument("pool"), self.argument("runner")
        async with self.platform() as client:
            version = await drain_runner(client, pool, runner)
        body = {"pool": pool, "runner": runner, "version": version}
        return CommandResult(
            body, [f"runner {runner} is leaving since version {version}"]
        )
