"""``diff``: show what ``apply`` would write."""

from __future__ import annotations

from cleo.helpers import argument
from cleo.helpers import option

from primroseford.cli.base import BaseCommand
from primroseford.cli.base import CommandResult
from primroseford.cli.base import common_options
from primroseford.cli.exits import Exit
from primroseford.cli.files import read_valid_tables
from primroseford.cli.render import step_body
from primroseford.cli.render import step_lines
from primroseford.configuration.apply import plan_changes
from primroseford.configuration.apply import read_platform


class DiffCommand(BaseCommand):
    """Compares files with the platform."""

    name = "diff"
    description = "Show the difference between files and the platform"
    arguments = [argument("paths", "files or folders", multiple=True)]
    options = [
        option("prune", None, "show objects that the files do not contain as deleted"),
        *common_options(),
    ]

    async def handle_async(self) -> CommandResult:
        """Plan the writes without applying them."""
        checked = read_valid_tables(self.argument("paths"))
        async with self.platform() as client:
            current = await read_platform(client)
            steps = plan_changes(checked, current, self.option("prune"))
        lines = [line for step in steps for line in step_lines(step)]
        return CommandResult(
            [step_body(step) for step in steps],
            lines or ["no differences"],
            Exit.DIFFERENT if steps else Exit.OK,
        )
